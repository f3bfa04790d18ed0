//! What strikes a fleet of limiters.

use rand::RngExt as _;
use stairward_types::Duration;

use super::{Fleet, Happening, LEAVES_FOR};

impl Fleet {
    /// Cuts three quarters of the nodes off for as long as loans last, and lets them meet the others for a moment.
    pub(super) fn plan_flips(&mut self) {
        let seed = self.options.seed;
        let is_struck = |index: &usize| !(u64::try_from(*index).unwrap() + seed).is_multiple_of(4);
        let struck: Vec<usize> = (0..self.nodes.len()).filter(is_struck).collect();
        let sides = struck.iter().fold(0, |sides, node| sides | 1 << node);
        for round in 0..8 {
            let cut_at = Duration::from_secs(10) + Duration::from_millis(1_600) * round;
            let healed_at = cut_at + Duration::from_millis(1_200);
            self.plan(cut_at, Happening::Cut(sides));
            self.plan(healed_at, Happening::Heal);
            for node in &struck {
                self.plan(cut_at, Happening::Kill(*node));
                self.plan(healed_at, Happening::Kill(*node));
            }
        }
    }

    pub(super) fn plan_faults(&mut self) {
        let seconds = self.options.length.as_secs();
        for second in 3..seconds.saturating_sub(2) {
            let at = Duration::from_secs(second)
                + Duration::from_millis(self.random.random_range(0..1_000));
            let node = self.random.random_range(0..self.nodes.len());
            let pause = Duration::from_millis(self.random.random_range(50..4_000));
            match self.random.random_range(0..12) {
                0 => self.plan(at, Happening::KillAll),
                1..=4 => self.plan(at, Happening::Kill(node)),
                5..=7 => self.plan(at, Happening::Freeze(node, pause)),
                8 | 9 => {
                    let sides = self.random.random::<u64>();
                    self.plan(at, Happening::Cut(sides));
                    self.plan(at + pause, Happening::Heal);
                }
                _ => {}
            }
        }
    }

    /// A planned stop: the node says that it leaves, and ends a while later.
    pub(super) fn leave(&mut self, node: usize) {
        self.nodes[node].leaves = true;
        for other in 0..self.nodes.len() {
            self.show_view(other);
        }
        self.plan(LEAVES_FOR, Happening::Kill(node));
    }

    pub(super) fn kill(&mut self, node: usize) {
        if !self.nodes[node].runs {
            return;
        }
        self.nodes[node].runs = false;
        self.nodes[node].inbox.clear();
        let longest = if self.options.flips { 101 } else { 1_500 };
        let pause = Duration::from_millis(self.random.random_range(100..longest));
        self.plan(pause, Happening::Start(node));
    }

    pub(super) fn thaw(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].runs {
            return;
        }
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        for happening in inbox {
            self.deliver(happening);
        }
        self.wake(node, incarnation);
    }
}
