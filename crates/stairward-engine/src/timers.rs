//! Moments at which the engine wants to be woken.

use std::collections::BTreeSet;

use stairward_types::{BackendId, NodeId, ServiceName, Time};

use crate::identifiers::{ConnectionId, RequestNumber, SessionId};

/// What is due at a moment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request that still waits is given up.
    HoldEnds(SessionId, RequestNumber),
    /// A request without an answer is also sent elsewhere.
    Hedge(SessionId, RequestNumber),
    /// A request's time is over.
    Deadline(SessionId, RequestNumber),
    /// A transaction that rests is ended.
    TransactionIdle(SessionId, RequestNumber),
    /// A connection is looked at for commands without an answer.
    ReplyCheck(ConnectionId),
    /// A holder that owes an answer is looked at.
    HolderCheck(NodeId),
    /// A session that waits for the first configuration is refused.
    PendingSession(SessionId),
    /// A service's lead is to be confirmed again, if somebody waits for that.
    LeadershipCheck(ServiceName),
    /// Requests that wait for a service are tried again.
    RetryWaiting(ServiceName),
    /// A cold back end's time may be over.
    WarmUpCheck(BackendId),
    /// What is open in evacuated zones is ended.
    Evacuation,
    /// Leaving and lost back ends are looked at.
    BackendReview,
    /// The next step of a planned stop.
    Stop,
}

/// An ordered set of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Time, Timer)>,
}

impl Timers {
    pub fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub fn cancel(&mut self, at: Time, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    pub fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes the first timer that is due.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
