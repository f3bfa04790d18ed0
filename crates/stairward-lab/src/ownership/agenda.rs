//! What happens when, in order of time and, for equal times, of asking.

use std::collections::BTreeMap;

use stairward_types::{Duration, Time};

/// Things to come.
#[derive(Debug)]
pub(super) struct Agenda<E> {
    entries: BTreeMap<(Time, u64), E>,
    next_number: u64,
    now: Time,
}

impl<E> Agenda<E> {
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            next_number: 0,
            now: Time::ZERO,
        }
    }

    /// The present moment.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Has something happen at a moment, or now when that has passed.
    pub(super) fn at(&mut self, at: Time, event: E) {
        let key = (at.max(self.now), self.next_number);
        self.next_number += 1;
        self.entries.insert(key, event);
    }

    /// Has something happen after a while.
    pub(super) fn after(&mut self, pause: Duration, event: E) {
        self.at(self.now + pause, event);
    }

    /// Moves the clock to the next thing and takes it out.
    pub(super) fn next_event(&mut self) -> Option<E> {
        let ((at, _), event) = self.entries.pop_first()?;
        self.now = at;
        Some(event)
    }
}
