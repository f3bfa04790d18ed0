//! The queue of future events, ordered by time.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::Time;

/// Events by time; events of the same time are ordered by when they were scheduled.
#[derive(Debug)]
pub(crate) struct Queue<H> {
    now: Time,
    sequence: u64,
    events: BTreeMap<(Time, u64), H>,
}

impl<H> Queue<H> {
    pub fn new() -> Self {
        Self {
            now: Time::from_millis(1),
            sequence: 0,
            events: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn schedule(&mut self, after: Duration, event: H) {
        self.schedule_at(self.now + after, event);
    }

    pub fn schedule_at(&mut self, at: Time, event: H) {
        self.sequence += 1;
        let at = at.max(self.now);
        self.events.insert((at, self.sequence), event);
    }

    pub fn next(&mut self) -> Option<H> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        Some(event)
    }
}
