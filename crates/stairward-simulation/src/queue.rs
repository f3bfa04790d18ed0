//! What will happen, in the order of time.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::Time;

/// Happenings by their moment; those of one moment in the order in which they were planned.
#[derive(Debug)]
pub(crate) struct Queue<H> {
    now: Time,
    planned: u64,
    happenings: BTreeMap<(Time, u64), H>,
}

impl<H> Queue<H> {
    pub fn new() -> Self {
        Self {
            now: Time::from_millis(1),
            planned: 0,
            happenings: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn plan(&mut self, after: Duration, happening: H) {
        self.plan_at(self.now + after, happening);
    }

    pub fn plan_at(&mut self, at: Time, happening: H) {
        self.planned += 1;
        let at = at.max(self.now);
        self.happenings.insert((at, self.planned), happening);
    }

    pub fn next(&mut self) -> Option<H> {
        let ((at, _), happening) = self.happenings.pop_first()?;
        self.now = at;
        Some(happening)
    }
}
