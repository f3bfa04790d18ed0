//! Timers of the engine.

use std::collections::BTreeSet;

use stairward_types::{BackendId, NodeId, ServiceName, Time};

use crate::identifiers::{ConnectionId, RequestNumber, SessionId};

/// What a timer triggers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Refuses a request that is still unsent.
    HoldEnds(SessionId, RequestNumber),
    /// Sends an unanswered read to a second back end.
    Hedge(SessionId, RequestNumber),
    /// Ends a request at its deadline.
    Deadline(SessionId, RequestNumber),
    /// Ends an idle transaction.
    TransactionIdle(SessionId, RequestNumber),
    /// Checks a connection for overdue replies.
    ReplyCheck(ConnectionId),
    /// Checks a holder that owes an answer.
    HolderCheck(NodeId),
    /// Refuses a session that waits for the first configuration.
    PendingSession(SessionId),
    /// Renews the confirmation of a service's leadership, if anything depends on it.
    LeadershipCheck(ServiceName),
    /// Retries the requests that wait for a service.
    RetryWaiting(ServiceName),
    /// Checks whether a back end's warm-up has ended.
    WarmUpCheck(BackendId),
    /// Ends idle work in evacuated zones.
    Evacuation,
    /// Reviews leaving and unlisted back ends.
    BackendReview,
    /// Performs the next step of a planned stop.
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

    /// Removes and returns the first due timer.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
