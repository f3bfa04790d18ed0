//! Faults injected into a fleet of limiters.

use rand::RngExt as _;
use stairward_types::Duration;

use super::{Fleet, LEAVE_DURATION, SimulationEvent};

impl Fleet {
    /// Isolates three quarters of the nodes for as long as loans last, then reconnects them for a
    /// moment, repeatedly.
    pub(super) fn schedule_repeated_partitions(&mut self) {
        let seed = self.options.seed;
        let is_isolated =
            |index: &usize| !(u64::try_from(*index).unwrap() + seed).is_multiple_of(4);
        let isolated: Vec<usize> = (0..self.nodes.len()).filter(is_isolated).collect();
        let sides = isolated.iter().fold(0, |sides, node| sides | 1 << node);
        for round in 0..8 {
            let partitioned_at = Duration::from_secs(10) + Duration::from_millis(1_600) * round;
            let healed_at = partitioned_at + Duration::from_millis(1_200);
            self.schedule(partitioned_at, SimulationEvent::Partition(sides));
            self.schedule(healed_at, SimulationEvent::Heal);
            for node in &isolated {
                self.schedule(partitioned_at, SimulationEvent::Kill(*node));
                self.schedule(healed_at, SimulationEvent::Kill(*node));
            }
        }
    }

    pub(super) fn schedule_faults(&mut self) {
        let seconds = self.options.length.as_secs();
        for second in 3..seconds.saturating_sub(2) {
            let at = Duration::from_secs(second)
                + Duration::from_millis(self.random.random_range(0..1_000));
            let node = self.random.random_range(0..self.nodes.len());
            let pause = Duration::from_millis(self.random.random_range(50..4_000));
            match self.random.random_range(0..12) {
                0 => self.schedule(at, SimulationEvent::KillAll),
                1..=4 => self.schedule(at, SimulationEvent::Kill(node)),
                5..=7 => self.schedule(at, SimulationEvent::Freeze(node, pause)),
                8 | 9 => {
                    let sides = self.random.random::<u64>();
                    self.schedule(at, SimulationEvent::Partition(sides));
                    self.schedule(at + pause, SimulationEvent::Heal);
                }
                _ => {}
            }
        }
    }

    /// A planned stop: the node announces that it leaves, and ends a while later.
    pub(super) fn leave(&mut self, node: usize) {
        self.nodes[node].is_leaving = true;
        for other in 0..self.nodes.len() {
            self.send_view(other);
        }
        self.schedule(LEAVE_DURATION, SimulationEvent::Kill(node));
    }

    pub(super) fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_running {
            return;
        }
        self.nodes[node].is_running = false;
        self.nodes[node].inbox.clear();
        let longest = if self.options.repeated_partitions {
            101
        } else {
            1_500
        };
        let pause = Duration::from_millis(self.random.random_range(100..longest));
        self.schedule(pause, SimulationEvent::Start(node));
    }

    pub(super) fn thaw(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_running {
            return;
        }
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        for event in inbox {
            self.deliver(event);
        }
        self.wake(node, incarnation);
    }
}
