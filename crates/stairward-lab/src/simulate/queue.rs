//! The virtual clock and its event queue.

use std::collections::BTreeMap;

use stairward_types::Time;

/// Events ordered by time; those of the same moment come in the order in which they were added.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    now: Time,
    added: u64,
    events: BTreeMap<(Time, u64), E>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            now: Time::ZERO,
            added: 0,
            events: BTreeMap::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// The moment of the event taken last.
    pub(super) const fn now(&self) -> Time {
        self.now
    }

    /// Adds an event. A moment that has passed counts as now.
    pub(super) fn at(&mut self, moment: Time, event: E) {
        if moment == Time::NEVER {
            return;
        }
        self.added += 1;
        self.events
            .insert((moment.max(self.now), self.added), event);
    }

    /// Takes the next event and sets the clock to its moment.
    pub(super) fn next(&mut self) -> Option<E> {
        let ((moment, _), event) = self.events.pop_first()?;
        self.now = moment;
        Some(event)
    }
}
