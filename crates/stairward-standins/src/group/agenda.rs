//! What is to happen later, in the order of time.

use std::collections::BTreeMap;

use stairward_types::{Term, Time};

use super::event::RequestNumber;
use super::message::Message;
use crate::ConnectionNumber;

/// Something that happens at a later moment.
#[derive(Debug, Clone)]
pub enum Scheduled {
    /// A message arrives.
    Deliver {
        /// Place of the sender.
        from: usize,
        /// Place of the receiver.
        to: usize,
        /// The message.
        message: Message,
    },
    /// A member's timer fires.
    Timer {
        /// Place of the member.
        member: usize,
        /// The life of its process that set the timer; a later one ignores it.
        life: u64,
        /// The timer.
        timer: Timer,
    },
}

/// A member's timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// The primary of this term sends a heartbeat.
    Heartbeat(Term),
    /// The election timeout may have passed.
    Election,
    /// Log records may be due for application.
    Apply,
    /// A connection has finished opening.
    Opened(ConnectionNumber),
    /// A statement has occupied its slot for its time.
    StatementEnds(ConnectionNumber, RequestNumber),
    /// A connection's deadline may have passed.
    Deadline(ConnectionNumber),
    /// The switchover under way may be able to go on.
    Switchover(Term),
}

/// The queue of scheduled things. Its length is bounded by members, connections and messages under
/// way.
#[derive(Debug, Default)]
pub struct Agenda {
    queue: BTreeMap<(Time, u64), Scheduled>,
    added: u64,
}

impl Agenda {
    /// Adds something; what was added first happens first at the same moment.
    pub fn add(&mut self, at: Time, scheduled: Scheduled) {
        self.added += 1;
        self.queue.insert((at, self.added), scheduled);
    }

    /// The moment of the next thing.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        let ((at, _), _) = self.queue.first_key_value()?;
        Some(*at)
    }

    /// Takes out the next thing if it is due.
    pub fn pop_due(&mut self, now: Time) -> Option<(Time, Scheduled)> {
        if self.next()? > now {
            return None;
        }
        let ((at, _), scheduled) = self.queue.pop_first()?;
        Some((at, scheduled))
    }
}
