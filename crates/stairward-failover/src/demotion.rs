//! Demotion of an old leader before another member leads, so that once the new one does, the old
//! one acknowledges no commit and answers no read.
//!
//! Either of two proofs is sufficient. The first: the old leader answers that it has stepped down,
//! and all other members report the replica role. The second: every member that any node can reach
//! is on hold, so that no node can confirm the old leader any longer, and either every node has
//! confirmed that it no longer accepts the old leader, or the last confirmations of the nodes have
//! expired since (see the `leadership` module of `stairward_engine`).
//!
//! A refused connection at the old leader's address proves nothing: its process may be back before
//! the promotion takes effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, MemberStatus, NodeId, Term, Time};

use crate::event::{MemberCallResult, Via};

/// Safety margin for clocks of different speed, as a divisor of the lease. Real clocks differ by
/// far less.
const CLOCK_MARGIN_DIVISOR: u32 = 20;

/// Proof that an old leader leads no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemotionProof {
    /// It was primary until it was asked to step down, and answered as a replica, with the final
    /// status of its log.
    SteppedDown(MemberStatus),
    /// The replicas are on hold, and every node that may use a leader has stopped accepting the old
    /// one.
    Revoked,
    /// The replicas are on hold, and every node's confirmation of the old leader has expired.
    Lapsed,
    /// No member is known to have been the leader.
    Unknown,
}

/// Calls to a member and their state.
#[derive(Debug, Default)]
struct MemberCalls {
    /// Whether peers were asked to relay the call.
    asked_peers: bool,
    /// Paths on which an answer is pending.
    pending: BTreeSet<Via>,
}

impl MemberCalls {
    fn add(&mut self, ways: &[Via]) {
        self.pending.extend(ways.iter().cloned());
        self.asked_peers |= ways.iter().any(|via| *via != Via::Direct);
    }

    /// Whether peers should be asked: they have not been yet, and the call of this node failed or
    /// timed out.
    fn needs_peers(&self, now: Time, since: Time, timeout: Duration) -> bool {
        let is_pending = self.pending.contains(&Via::Direct) && now < since + timeout;
        !self.asked_peers && !is_pending
    }
}

/// State of the demotion of one old leader.
#[derive(Debug)]
pub(crate) struct Demotion {
    /// The term in whose favour it must step down.
    pub term: Term,
    started_at: Time,
    old: Option<BackendId>,
    old_calls: MemberCalls,
    stepped_down: Option<(MemberStatus, Time)>,
    /// Whether replicas were asked to report when they have received the rest of the log.
    pub is_catching_up: bool,
    /// Nodes that have not yet confirmed that they stopped accepting the old leader; `None` before
    /// they are asked.
    pending_users: Option<BTreeSet<NodeId>>,
    hold_calls: BTreeMap<BackendId, MemberCalls>,
    held: BTreeSet<BackendId>,
    /// Since when members have been queried whether they are still on hold.
    pub verifying_since: Option<Time>,
    /// Since when replicas are being put on hold.
    pub holding_since: Option<Time>,
    /// When a hold was last confirmed.
    last_hold_at: Option<Time>,
}

impl Demotion {
    pub fn new(old: Option<BackendId>, term: Term, now: Time) -> Self {
        Self {
            term,
            started_at: now,
            old,
            old_calls: MemberCalls::default(),
            stepped_down: None,
            is_catching_up: false,
            pending_users: None,
            hold_calls: BTreeMap::new(),
            held: BTreeSet::new(),
            verifying_since: None,
            holding_since: None,
            last_hold_at: None,
        }
    }

    /// When the demotion started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Records that the old leader is asked to step down by these paths.
    pub fn add_old_calls(&mut self, ways: &[Via]) {
        self.old_calls.add(ways);
    }

    /// Records that a replica is put on hold by these paths.
    pub fn add_hold_calls(&mut self, replica: BackendId, ways: &[Via]) {
        self.hold_calls.entry(replica).or_default().add(ways);
    }

    /// Whether a member was asked to step down or put on hold.
    pub fn has_called(&self, member: &BackendId) -> bool {
        self.old.as_ref() == Some(member) || self.hold_calls.contains_key(member)
    }

    /// Records that these nodes are asked to stop accepting the old leader.
    pub fn await_users(&mut self, users: BTreeSet<NodeId>) {
        self.pending_users = Some(users);
    }

    /// Records that a node no longer accepts any leader below a term.
    pub fn user_revoked(&mut self, term: Term, user: NodeId) {
        if term == self.term
            && let Some(pending) = &mut self.pending_users
        {
            pending.remove(&user);
        }
    }

    /// The nodes that have not confirmed that they stopped accepting the old leader.
    pub fn unconfirmed_users(&self) -> BTreeSet<NodeId> {
        self.pending_users.clone().unwrap_or_default()
    }

    /// Whether every other member is on hold, and every node that may use a leader has stopped
    /// accepting the old one.
    fn is_revoked_by_all(&self) -> bool {
        let others = self
            .hold_calls
            .keys()
            .filter(|id| Some(*id) != self.old.as_ref());
        let all_held = others.clone().all(|id| self.held.contains(id));
        let any_replica = others.clone().next().is_some();
        let all_users_revoked = self.pending_users.as_ref().is_some_and(BTreeSet::is_empty);
        any_replica && all_held && all_users_revoked
    }

    /// Whether peers should ask the old leader as well, since this node got no answer.
    pub fn old_needs_peers(&self, now: Time, timeout: Duration) -> bool {
        let is_unanswered = self.stepped_down.is_none();
        is_unanswered && self.old_calls.needs_peers(now, self.started_at, timeout)
    }

    /// The replicas that peers should put on hold as well, since this node got no answer.
    pub fn replicas_needing_peers(&self, now: Time, timeout: Duration) -> Vec<BackendId> {
        let Some(since) = self.holding_since else {
            return Vec::new();
        };
        let needing = self.hold_calls.iter().filter(|(replica, calls)| {
            !self.held.contains(*replica) && calls.needs_peers(now, since, timeout)
        });
        needing.map(|(replica, _)| replica.clone()).collect()
    }

    /// Members that confirmed that they are on hold.
    pub fn held(&self) -> &BTreeSet<BackendId> {
        &self.held
    }

    /// Records the result of a call to a member.
    pub fn record_result(
        &mut self,
        now: Time,
        member: &BackendId,
        via: Via,
        result: MemberCallResult,
    ) {
        if self.old.as_ref() == Some(member) {
            self.old_calls.pending.remove(&via);
            if let MemberCallResult::GaveWay(status) = result {
                self.stepped_down.get_or_insert((status, now));
            }
        }
        if let Some(calls) = self.hold_calls.get_mut(member) {
            calls.pending.remove(&via);
            if let Some(status) = result.answer()
                && status.held >= self.term
            {
                self.held.insert(member.clone());
                self.last_hold_at = Some(now);
            }
        }
    }

    /// The status of the old leader at its step-down, and when this node learned of it.
    pub fn stepped_down(&self) -> Option<(MemberStatus, Time)> {
        self.stepped_down
    }

    /// Whether all calls to the old leader, including those relayed by peers, have ended. Waiting
    /// longer for it is pointless then, but this does not prove the demotion: the leader may come
    /// back before another leads.
    pub fn is_old_unreachable(&self) -> bool {
        self.old_calls.asked_peers && self.old_calls.pending.is_empty()
    }

    /// The proof that the old leader leads no longer, if there is one. `lease` is how long a node
    /// keeps using a leader after it was last told that no replica is on hold. `old_is_sole_leader`
    /// says that no other member can be leading, so that the demotion of the old leader alone is
    /// sufficient.
    pub fn proof(
        &self,
        now: Time,
        lease: Duration,
        old_is_sole_leader: bool,
    ) -> Option<DemotionProof> {
        if let Some((status, _)) = self.stepped_down
            && old_is_sole_leader
        {
            return Some(DemotionProof::SteppedDown(status));
        }
        if old_is_sole_leader && self.is_revoked_by_all() {
            return Some(DemotionProof::Revoked);
        }
        let lease = lease + lease / CLOCK_MARGIN_DIVISOR;
        let all_held_or_unreachable = self
            .hold_calls
            .iter()
            .all(|(replica, calls)| self.held.contains(replica) || calls.pending.is_empty());
        // A replica that no node can reach to put it on hold can't confirm the old leader either.
        // At least one must be on hold: the one to be promoted.
        let any_held = !self.held.is_empty();
        let has_lapsed = self.last_hold_at.is_some_and(|at| now >= at + lease);
        (all_held_or_unreachable && any_held && has_lapsed).then_some(if self.old.is_some() {
            DemotionProof::Lapsed
        } else {
            DemotionProof::Unknown
        })
    }
}
