//! Ending an old leader's lead before another leads: so that nothing is acknowledged from it, and no read
//! answered from it, once the other does.
//!
//! Two ways prove the end, and either will do: the old leader answers that it has stepped down, and all other
//! members say that they follow; or every member that anybody reaches is on hold, so that no node can confirm
//! the old leader any more, and either every node has said that it believes the old one no more, or the nodes'
//! last confirmations have lapsed since (see `stairward_engine`'s `leadership` module). That nothing listens at the old leader's address proves nothing: its process may be back
//! before the promotion takes effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, MemberStatus, NodeId, Term, Time};

use crate::event::{Reach, Via};

/// Clocks of two machines run alike to this part, with much to spare.
const CLOCK_MARGIN_DIVISOR: u32 = 20;

/// How an old leader's lead was proved to be over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// It led until it was asked, and answered as a replica, with what its log had come to.
    SteppedDown(MemberStatus),
    /// The replicas are on hold, and every node that may use a leader believes the old one no more.
    Revoked,
    /// The replicas are on hold, and every node's confirmation has lapsed.
    Lapsed,
    /// No member is known to have led.
    Unknown,
}

/// What was asked of a member, and what came of it.
#[derive(Debug, Default)]
struct Asked {
    /// Whether peers were asked to pass the question on.
    has_peers: bool,
    /// Ways on which an answer is still due.
    due: BTreeSet<Via>,
}

impl Asked {
    fn ask(&mut self, ways: &[Via]) {
        self.due.extend(ways.iter().cloned());
        self.has_peers |= ways.iter().any(|via| *via != Via::Direct);
    }

    /// Whether peers have not been asked yet, and this node's own question came to nothing or is late.
    fn needs_peers(&self, now: Time, since: Time, patience: Duration) -> bool {
        let is_due = self.due.contains(&Via::Direct) && now < since + patience;
        !self.has_peers && !is_due
    }
}

/// The end of one old leader's lead, under way.
#[derive(Debug)]
pub(crate) struct Ending {
    /// The term that it must give way to.
    pub term: Term,
    began: Time,
    old: Option<BackendId>,
    asked_old: Asked,
    stepped_down: Option<(MemberStatus, Time)>,
    /// Whether replicas were asked what they received after the old leader had stepped down.
    pub is_catching_up: bool,
    /// Nodes that are yet to say that they believe the old leader no more; none before they were asked.
    users_due: Option<BTreeSet<NodeId>>,
    holds: BTreeMap<BackendId, Asked>,
    held: BTreeSet<BackendId>,
    /// Since when members have been asked whether they are still on hold.
    pub verifying_since: Option<Time>,
    /// Since when replicas are put on hold.
    pub holding_since: Option<Time>,
    /// When the last hold was answered.
    last_hold_at: Option<Time>,
}

impl Ending {
    pub fn new(old: Option<BackendId>, term: Term, now: Time) -> Self {
        Self {
            term,
            began: now,
            old,
            asked_old: Asked::default(),
            stepped_down: None,
            is_catching_up: false,
            users_due: None,
            holds: BTreeMap::new(),
            held: BTreeSet::new(),
            verifying_since: None,
            holding_since: None,
            last_hold_at: None,
        }
    }

    /// Since when it has been under way.
    pub fn began(&self) -> Time {
        self.began
    }

    /// The old leader is asked to step down, by these ways.
    pub fn ask_old(&mut self, ways: &[Via]) {
        self.asked_old.ask(ways);
    }

    /// A replica is put on hold, by these ways.
    pub fn ask_replica(&mut self, replica: BackendId, ways: &[Via]) {
        self.holds.entry(replica).or_default().ask(ways);
    }

    /// The nodes that may use a leader are asked to believe the old one no more.
    pub fn ask_users(&mut self, users: BTreeSet<NodeId>) {
        self.users_due = Some(users);
    }

    /// A node believes no leader below a term any more.
    pub fn user_revoked(&mut self, term: Term, user: NodeId) {
        if term == self.term
            && let Some(due) = &mut self.users_due
        {
            due.remove(&user);
        }
    }

    /// Whether every other member is on hold, and every node that may use a leader believes the old one no
    /// more.
    fn is_revoked_everywhere(&self) -> bool {
        let others = self
            .holds
            .keys()
            .filter(|id| Some(*id) != self.old.as_ref());
        let is_each_held = others.clone().all(|id| self.held.contains(id));
        let is_any = others.clone().next().is_some();
        let is_none_due = self.users_due.as_ref().is_some_and(BTreeSet::is_empty);
        is_any && is_each_held && is_none_due
    }

    /// Whether others should ask the old leader too, since this node has had no answer.
    pub fn old_needs_peers(&self, now: Time, patience: Duration) -> bool {
        let is_unanswered = self.stepped_down.is_none();
        is_unanswered && self.asked_old.needs_peers(now, self.began, patience)
    }

    /// The replicas that others should put on hold too, since this node has had no answer.
    pub fn replicas_that_need_peers(&self, now: Time, patience: Duration) -> Vec<BackendId> {
        let Some(since) = self.holding_since else {
            return Vec::new();
        };
        let needing = self.holds.iter().filter(|(replica, asked)| {
            !self.held.contains(*replica) && asked.needs_peers(now, since, patience)
        });
        needing.map(|(replica, _)| replica.clone()).collect()
    }

    /// Members that said that they are on hold.
    pub fn held(&self) -> &BTreeSet<BackendId> {
        &self.held
    }

    /// Takes in what came of a question to a member.
    pub fn take(&mut self, now: Time, member: &BackendId, via: Via, reach: Reach) {
        if self.old.as_ref() == Some(member) {
            self.asked_old.due.remove(&via);
            if let Reach::GaveWay(status) = reach {
                self.stepped_down.get_or_insert((status, now));
            }
        }
        if let Some(asked) = self.holds.get_mut(member) {
            asked.due.remove(&via);
            if let Some(status) = reach.answer()
                && status.held >= self.term
            {
                self.held.insert(member.clone());
                self.last_hold_at = Some(now);
            }
        }
    }

    /// When the old leader was first known to have stepped down, and its status then.
    pub fn stepped_down(&self) -> Option<(MemberStatus, Time)> {
        self.stepped_down
    }

    /// Whether nobody who was asked may still reach the old leader, so that there is no use in waiting for it.
    /// It may come back before another leads, so this alone does not end its lead.
    pub fn is_old_unreachable(&self) -> bool {
        self.asked_old.has_peers && self.asked_old.due.is_empty()
    }

    /// The proof that the old lead is over, if there is one. `lease` is how long a node goes on after it was
    /// last told that no hold stands. `is_sole` says that no other member can lead, so that the end of the old leader is all that is needed.
    pub fn proof(&self, now: Time, lease: Duration, is_sole: bool) -> Option<EndProof> {
        if let Some((status, _)) = self.stepped_down
            && is_sole
        {
            return Some(EndProof::SteppedDown(status));
        }
        if is_sole && self.is_revoked_everywhere() {
            return Some(EndProof::Revoked);
        }
        let lease = lease + lease / CLOCK_MARGIN_DIVISOR;
        let is_each_settled = self
            .holds
            .iter()
            .all(|(replica, asked)| self.held.contains(replica) || asked.due.is_empty());
        // A replica that nobody could put on hold, since nobody reaches it, can confirm nothing either. One
        // at the least must be held: it is the one to be promoted.
        let is_any_held = !self.held.is_empty();
        let has_lapsed = self.last_hold_at.is_some_and(|at| now >= at + lease);
        (is_each_settled && is_any_held && has_lapsed).then_some(if self.old.is_some() {
            EndProof::Lapsed
        } else {
            EndProof::Unknown
        })
    }
}
