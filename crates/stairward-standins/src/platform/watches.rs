//! Watches that wait for an object's version to rise.

use std::collections::BTreeMap;

use stairward_types::Time;

/// A watch.
#[derive(Debug, Clone)]
pub struct Watch {
    /// The object.
    pub name: String,
    /// The version that the client knows.
    pub after: u64,
    /// When it ends without a change.
    pub deadline: Time,
}

/// All waiting watches, by request number. The limit on readers bounds them.
#[derive(Debug, Default)]
pub struct Watches {
    waiting: BTreeMap<u64, Watch>,
}

impl Watches {
    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds one.
    pub fn add(&mut self, number: u64, watch: Watch) {
        self.waiting.insert(number, watch);
    }

    /// Forgets one.
    pub fn remove(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Takes out those that an object's new version ends.
    pub fn take_risen(&mut self, name: &str, version: u64) -> Vec<u64> {
        self.take(|watch| watch.name == name && watch.after < version)
    }

    /// Takes out those whose time is over.
    pub fn take_expired(&mut self, now: Time) -> Vec<u64> {
        self.take(|watch| watch.deadline <= now)
    }

    /// Takes out all.
    pub fn take_all(&mut self) -> Vec<u64> {
        self.take(|_| true)
    }

    /// When the next one ends without a change.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Time> {
        self.waiting.values().map(|watch| watch.deadline).min()
    }

    fn take(&mut self, ends: impl Fn(&Watch) -> bool) -> Vec<u64> {
        let ended = self.waiting.iter().filter(|(_, watch)| ends(watch));
        let ended: Vec<u64> = ended.map(|(number, _)| *number).collect();
        for number in &ended {
            self.waiting.remove(number);
        }
        ended
    }
}
