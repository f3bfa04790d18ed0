//! Consultation of peers by a node that may have missed announcements: one that has started, or whose
//! process did not run for a while.
//!
//! A promotion is announced to all nodes, and the store's record names it. A node that missed the
//! announcement relies on the record, which the store loses if it is restored from an older copy.
//! Discovery and the members that can be reached may not show the promotion either: its target may be
//! unreachable, or the call may still be carried out. The other nodes remember it, so the node asks a
//! few of them before it confirms any leader.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_types::{NodeId, Time};

/// The state of the consultation.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// No peers have been asked yet.
    Due,
    /// These peers were asked and have not answered.
    Waiting {
        unanswered: BTreeSet<NodeId>,
        since: Time,
    },
    /// Nothing is missing.
    Complete,
}

/// The consultation of peers by one node.
#[derive(Debug)]
pub(crate) struct Consultation {
    state: State,
    /// Whether any peer was ever asked: a node that has just started may know none.
    has_asked: bool,
    /// When this node last handled an event.
    last_event_at: Option<Time>,
}

impl Default for Consultation {
    fn default() -> Self {
        Self {
            state: State::Due,
            has_asked: false,
            last_event_at: None,
        }
    }
}

impl Consultation {
    /// Notes that the node handles an event. Returns whether a consultation became due because the
    /// node handled none for longer than `limit`.
    pub fn detect_pause(&mut self, now: Time, limit: Duration) -> bool {
        let last = self.last_event_at.replace(now);
        let was_paused = last.is_some_and(|last| now > last + limit);
        if was_paused {
            self.state = State::Due;
        }
        was_paused
    }

    /// The peers that may be asked are known. Returns those to ask now, if a consultation is due.
    pub fn begin(&mut self, now: Time, peers: &[NodeId]) -> Option<BTreeSet<NodeId>> {
        let is_first = !self.has_asked && !peers.is_empty();
        if self.state != State::Due && !(self.state == State::Complete && is_first) {
            return None;
        }
        self.has_asked |= !peers.is_empty();
        let unanswered: BTreeSet<NodeId> = peers.iter().copied().collect();
        self.state = State::Waiting {
            unanswered: unanswered.clone(),
            since: now,
        };
        Some(unanswered)
    }

    /// A peer has answered, or will not.
    pub fn answered(&mut self, peer: NodeId) {
        if let State::Waiting { unanswered, .. } = &mut self.state {
            unanswered.remove(&peer);
        }
    }

    /// Ends the consultation once all peers have answered or `timeout` has passed. Returns the number
    /// of peers that have not answered when it ends.
    pub fn finish_if_over(&mut self, now: Time, timeout: Duration) -> Option<usize> {
        let State::Waiting { unanswered, since } = &self.state else {
            return None;
        };
        let missing = unanswered.len();
        if missing > 0 && now < *since + timeout {
            return None;
        }
        self.state = State::Complete;
        Some(missing)
    }

    /// Whether answers are awaited.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting { .. })
    }
}
