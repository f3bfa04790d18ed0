//! The views that nodes have of each other.

use rand::RngExt as _;
use stairward_limits::Event;

use super::{Fleet, InjectedBug, node_ids};

impl Fleet {
    /// A node reads the recorded number of nodes.
    pub(super) fn send_recorded_size(&mut self, node: usize) {
        let nodes = match self.options.bug {
            Some(InjectedBug::CountsOnlyVisibleNodes) => 0,
            _ => self.recorded,
        };
        let now = self.local_time(node);
        self.nodes[node]
            .limiter
            .handle(now, Event::RecordedFleetSize(nodes));
    }

    pub(super) fn send_views(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_running {
                self.send_recorded_size(node);
            }
            // Views lag: some nodes learn of a change later.
            if self.random.random_range(0..4) > 0 {
                self.send_view(node);
            }
        }
    }

    pub(super) fn send_view(&mut self, node: usize) {
        if !self.nodes[node].is_running || self.is_frozen(node) {
            return;
        }
        let side = self.nodes[node].side;
        let seen =
            self.nodes.iter().enumerate().filter(|(index, other)| {
                *index == node || (other.is_running && other.side == side)
            });
        let (leaving, live): (Vec<_>, Vec<_>) = seen.partition(|(_, other)| other.is_leaving);
        let members = Event::Members {
            live: node_ids(&live),
            leaving: node_ids(&leaving),
        };
        let now = self.local_time(node);
        self.nodes[node].limiter.handle(now, members);
        self.apply_effects(node);
    }
}
