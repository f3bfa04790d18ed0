//! Limits on the use of draining back ends, and the state of a leaving back end.

use std::time::Duration;

use stairward_types::Time;

/// How long this node may still use something that is to be drained. The earlier of both limits applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainLimit {
    /// Counted from the time at which this node received the notice.
    pub after_notice: Duration,
    /// Counted from the earliest time at which it can have been announced.
    pub after_announcement: Duration,
}

impl DrainLimit {
    /// When the use ends, for a notice received now and announced after `since`, or at any time if it is
    /// none.
    ///
    /// A late notice leaves no time, because other nodes count from the announcement.
    pub(crate) fn ends_at(&self, now: Time, since: Option<Time>) -> Time {
        let by_begin = since.map_or(now, |since| since.min(now) + self.after_announcement);
        by_begin.min(now + self.after_notice)
    }
}

/// State of a back end that leaves or is no longer listed by discovery.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Leaving {
    /// When this node received the notice.
    pub heard_at: Time,
    /// When its use ends.
    pub ends_at: Time,
    /// Statements sent to it since the notice.
    pub sent: u64,
    /// When the last of these was sent.
    pub last_sent_at: Time,
    /// Whether the end of its use was reported.
    pub is_expiry_reported: bool,
}

impl Leaving {
    /// State for a notice received now.
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

/// A change of a leaving back end's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingChange {
    /// It leaves, or is no longer listed by discovery.
    Started {
        /// Longest possible time since the announcement; none if unknown.
        age: Option<Duration>,
        /// How long it still gets work.
        used_for: Duration,
    },
    /// It no longer leaves.
    Cancelled,
    /// It gets no more work.
    Expired {
        /// Statements that this node sent to it after the notice.
        sent: u64,
        /// Time from the notice to the last of them.
        last_after: Duration,
    },
}
