//! One attempt to replace a service's primary: from the claim to the new primary.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, Freshness, MemberStatus, Term, Time};

use crate::demotion::Demotion;
use crate::event::{FencingToken, GroupState};

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for its turn to write the record.
    Queued,
    /// The record is being written.
    Claiming,
    /// Members are asked.
    Querying,
    /// The old primary's lead is being ended.
    Demoting,
    /// The promotion is under way.
    Promoting,
    /// The promotion was accepted; the new primary is waited for.
    AwaitingNewPrimary,
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The primary to be replaced; none where no member calls itself primary.
    pub old: Option<BackendId>,
    /// Whether the old primary still works and is only about to end.
    pub is_planned: bool,
    pub stage: Stage,
    /// Since when it is in its stage.
    pub stage_since: Time,
    /// While it is queued: not claimed before this.
    pub not_before: Time,
    pub token: Option<FencingToken>,
    /// When the record was written, for the present token.
    pub claimed_at: Time,
    /// Whether the old primary answered that it follows, before it was asked to give way.
    pub old_was_replica: bool,
    /// The end of the old primary's lead, once that is under way.
    pub demotion: Option<Demotion>,
    /// Members that were asked and have not answered.
    pub unanswered: BTreeSet<BackendId>,
    pub answers: BTreeMap<BackendId, MemberStatus>,
    /// The newest term that a node knew to have begun.
    pub known_term: Term,
    /// Replicas that may be on hold.
    pub held: BTreeSet<BackendId>,
    pub target: Option<BackendId>,
    /// Whether the target led already when it was chosen, so that its lead shows nothing.
    pub target_was_leader: bool,
    /// When the nodes were last told that a term may begin.
    pub announced_at: Time,
    /// Whether an earlier promotion had no answer, so that it may still be carried out. A decision with a
    /// higher token must be answered before this attempt may end.
    pub must_fence: bool,
    /// Members where less of the service's work is allowed are not chosen: the leader moves for more.
    pub min_allowed_work: u64,
}

/// A replica chosen for promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PromotionTarget {
    pub target: BackendId,
    pub received: Option<Freshness>,
}

impl Attempt {
    pub fn new(old: Option<BackendId>, is_planned: bool, now: Time) -> Self {
        Self {
            old,
            is_planned,
            stage: Stage::Queued,
            stage_since: now,
            not_before: now,
            token: None,
            claimed_at: now,
            old_was_replica: false,
            demotion: None,
            unanswered: BTreeSet::new(),
            answers: BTreeMap::new(),
            known_term: Term::default(),
            held: BTreeSet::new(),
            target: None,
            target_was_leader: false,
            announced_at: now,
            must_fence: false,
            min_allowed_work: 0,
        }
    }

    pub fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Whether the old primary answered that it leads, in a term no other answer exceeds.
    pub fn old_still_leads(&self) -> bool {
        let Some(old) = &self.old else {
            return false;
        };
        let Some(status) = self.answers.get(old) else {
            return false;
        };
        status.role == BackendRole::Primary && status.term >= self.newest_term()
    }

    /// Whether a replica holds more than the old primary says that it does. A primary's replicas never do, unless it has
    /// lost its log.
    pub fn old_is_behind(&self) -> bool {
        let Some(old) = self.old.as_ref().and_then(|old| self.answers.get(old)) else {
            return false;
        };
        let order = |status: &MemberStatus| (status.received.term, status.received.position);
        let replicas = self
            .answers
            .iter()
            .filter(|(id, _)| Some(*id) != self.old.as_ref());
        let most = replicas.map(|(_, status)| order(status)).max();
        most > Some(order(old))
    }

    /// A member other than the old one that already leads.
    pub fn other_leader(&self) -> Option<&BackendId> {
        let mut others = self
            .answers
            .iter()
            .filter(|(id, _)| Some(*id) != self.old.as_ref());
        let newest = self.newest_term();
        others
            .find(|(_, status)| status.role == BackendRole::Primary && status.term >= newest)
            .map(|(id, _)| id)
    }

    /// The member that leads, by the answers.
    pub fn current_leader(&self) -> Option<&BackendId> {
        let old = self.old.as_ref().filter(|_| self.old_still_leads());
        self.other_leader().or(old)
    }

    /// The newest term that any member follows.
    pub fn newest_term(&self) -> Term {
        let terms = self.answers.values().map(|status| status.term);
        terms.max().unwrap_or_default()
    }

    /// A term above any that members follow or wait for.
    pub fn next_term(&self) -> Term {
        let terms = self.answers.values().map(MemberStatus::awaited_term);
        let newest = terms.max().unwrap_or_default().max(self.known_term);
        Term(newest.0.saturating_add(1))
    }

    /// Whether the old primary, and no other member, can lead: each other one that is listed says that it
    /// follows, the old one has not said so before it was asked to give way, and no earlier promotion is without
    /// an answer. Where nobody leads, an earlier promotion may be about to take effect.
    pub fn is_old_sole_leader(&self, group: &GroupState) -> bool {
        let others = group
            .members
            .iter()
            .filter(|(id, member)| Some(*id) != self.old.as_ref() && member.is_listed);
        let mut answers = others.map(|(id, _)| self.answers.get(id));
        let follows = |status: Option<&MemberStatus>| {
            status.is_some_and(|status| status.role == BackendRole::Replica)
        };
        let old_may_lead = self.old.is_some() && !self.old_was_replica;
        old_may_lead && !self.must_fence && answers.all(follows)
    }

    /// Whether every replica that can be asked has answered.
    pub fn has_all_replica_answers(&self) -> bool {
        let waits_for_replica = self
            .unanswered
            .iter()
            .any(|id| Some(id) != self.old.as_ref());
        !waits_for_replica
    }

    /// Whether the replica that would be chosen holds every commit that was acknowledged: so many replicas
    /// answered that one of them has each, and none of them has more than the chosen one.
    pub fn covers_acknowledged_commits(&self, group: &GroupState) -> bool {
        let is_replica = |id: &&BackendId| Some(*id) != self.old.as_ref();
        let replicas = group.members.keys().filter(is_replica).count();
        let answered = self.answers.keys().filter(is_replica).count();
        let needed = replicas + 1;
        let synchronous = usize::try_from(group.synchronous_replicas).unwrap_or(usize::MAX);
        let most = self
            .answers
            .iter()
            .filter(|(id, _)| is_replica(id))
            .map(|(_, status)| (status.received.term, status.received.position))
            .max();
        let chosen = self.choose_target(group).and_then(|chosen| chosen.received);
        let chosen = chosen.map(|received| (received.term, received.position));
        answered.saturating_add(synchronous) >= needed && chosen == most
    }

    /// The replica that has received most of those that answered and may lead; of several, a warm one, then one where
    /// more of the work is allowed.
    pub fn choose_target(&self, group: &GroupState) -> Option<PromotionTarget> {
        let stays = |id: &BackendId| {
            let member = group.members.get(id);
            Some(id) != self.old.as_ref()
                && member.is_some_and(|member| {
                    member.may_lead() && member.placement.allowed_work >= self.min_allowed_work
                })
        };
        let placement = |id: &BackendId| {
            let member = group.members.get(id);
            member.map(|member| member.placement).unwrap_or_default()
        };
        let answered = self.answers.iter().filter(|(id, _)| stays(id));
        let best = answered.max_by_key(|(id, status)| {
            (
                status.received.term,
                status.received.position,
                !placement(id).is_cold,
                placement(id).allowed_work,
                std::cmp::Reverse(*id),
            )
        });
        best.map(|(id, status)| PromotionTarget {
            target: id.clone(),
            received: Some(status.received),
        })
    }
}
