//! What nodes see of each other.

use rand::RngExt as _;
use stairward_limits::Event;

use super::{Broken, Fleet, numbers};

impl Fleet {
    /// A node reads the record of the number of nodes.
    pub(super) fn tell_recorded(&mut self, node: usize) {
        let nodes = match self.options.broken {
            Some(Broken::PresentView) => 0,
            _ => self.recorded,
        };
        let now = self.local(node);
        self.nodes[node]
            .limiter
            .handle(now, Event::RecordedFleetSize(nodes));
    }

    pub(super) fn show_views(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].runs {
                self.tell_recorded(node);
            }
            // Views lag: some nodes hear of a change later.
            if self.random.random_range(0..4) > 0 {
                self.show_view(node);
            }
        }
    }

    pub(super) fn show_view(&mut self, node: usize) {
        if !self.nodes[node].runs || self.is_frozen(node) {
            return;
        }
        let side = self.nodes[node].side;
        let seen = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, other)| *index == node || (other.runs && other.side == side));
        let (leaving, live): (Vec<_>, Vec<_>) = seen.partition(|(_, other)| other.leaves);
        let members = Event::Members {
            live: numbers(&live),
            leaving: numbers(&leaving),
        };
        let now = self.local(node);
        self.nodes[node].limiter.handle(now, members);
        self.carry_out(node);
    }
}
