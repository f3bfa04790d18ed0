//! For how long what is to be left may still be used, and what is known of a back end that leaves.

use std::time::Duration;

use stairward_types::Time;

/// For how long something that is to be left may still be used by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainLimit {
    /// From when this node heard of it.
    pub after_notice: Duration,
    /// From the earliest moment at which it can have been said.
    pub after_announcement: Duration,
}

impl DrainLimit {
    /// When the use ends of what was heard of now, and was said after `since` or at any time.
    ///
    /// Who hears late has no time left: others count from when it was said.
    pub(crate) fn ends_at(&self, now: Time, since: Option<Time>) -> Time {
        let by_begin = since.map_or(now, |since| since.min(now) + self.after_announcement);
        by_begin.min(now + self.after_notice)
    }
}

/// What is known of a back end that leaves, or has gone from discovery.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Leaving {
    /// When this node heard of it.
    pub heard_at: Time,
    /// When it gets the last work.
    pub ends_at: Time,
    /// Statements that were sent to it since.
    pub sent: u64,
    /// When the last of these was.
    pub last_sent_at: Time,
    /// Whether it was told that its time is over.
    pub is_expiry_reported: bool,
}

impl Leaving {
    /// A back end that leaves as heard now.
    pub const fn new(now: Time, ends_at: Time) -> Self {
        Self {
            heard_at: now,
            ends_at,
            sent: 0,
            last_sent_at: now,
            is_expiry_reported: false,
        }
    }
}

/// What this node hears, or does, of a back end that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingChange {
    /// It leaves, or has gone from discovery.
    Started {
        /// How long ago it can have said so at the most; none where that is not known.
        age: Option<Duration>,
        /// For how much longer it gets work.
        used_for: Duration,
    },
    /// It is there to stay again.
    Cancelled,
    /// It gets no more work.
    Expired {
        /// Statements that this node sent to it since it had heard.
        sent: u64,
        /// From hearing to the last of them.
        last_after: Duration,
    },
}
