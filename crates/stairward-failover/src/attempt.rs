//! State of one attempt to replace a service's primary, from the claim to the new primary.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, Freshness, LogPosition, MemberStatus, Term, Time};

use crate::demotion::Demotion;
use crate::event::{FailoverStep, FencingToken, GroupState, RecordedPromotion};

/// The stage of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting until `not_before` to write the record.
    Queued,
    /// The record write is in progress.
    Claiming,
    /// Status queries to members are in progress.
    Querying,
    /// The old primary is being demoted.
    Demoting,
    /// The promotion call is in progress.
    Promoting,
    /// The promotion was accepted; waiting for the new primary to lead.
    AwaitingNewPrimary,
}

/// One attempt to replace a primary.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The primary to be replaced; `None` if no member reports the primary role.
    pub old: Option<BackendId>,
    /// Whether the replacement is planned: the old primary may still be working.
    pub is_planned: bool,
    pub stage: Stage,
    /// When the current stage was entered.
    pub stage_since: Time,
    /// In [`Stage::Queued`], the earliest time to claim the record.
    pub not_before: Time,
    pub token: Option<FencingToken>,
    /// When the record was written under the current token.
    pub claimed_at: Time,
    /// Whether the old primary reported the replica role before it was asked to step down.
    pub old_was_replica: bool,
    /// State of the demotion of the old primary, once that has started.
    pub demotion: Option<Demotion>,
    /// Members that were queried and have not answered.
    pub unanswered: BTreeSet<BackendId>,
    pub answers: BTreeMap<BackendId, MemberStatus>,
    /// The newest term that a promotion was announced for or that its holder recorded. It may not
    /// have started.
    pub known_term: Term,
    /// The newest term that any node knew to have started.
    pub started_term: Term,
    /// The newest promotion that a holder recorded.
    pub recorded: Option<RecordedPromotion>,
    /// Replicas that may be on hold.
    pub held: BTreeSet<BackendId>,
    /// Whether replicas were put on hold under the current token. A hold ends if the replica
    /// restarts, so those of earlier claims don't count.
    pub has_held_replicas: bool,
    pub target: Option<BackendId>,
    /// Whether the target was already primary when it was chosen, so that its role does not show
    /// that the promotion took effect.
    pub target_was_leader: bool,
    /// When all nodes were last told that a term may start.
    pub announced_at: Time,
    /// When any node was last told that a term may start.
    pub reminded_at: Time,
    /// Whether the nodes were told that a term may start, so that they must be told of the end.
    pub is_announced: bool,
    /// Whether an earlier promotion got no answer and may still be carried out. A decision with a
    /// higher token must be answered before this attempt may end.
    pub must_fence: bool,
    /// Whether the attempt began because of an announced term that does not start. Then the present
    /// leader stays if it can be shown to lead.
    pub settles_announcement: bool,
    /// Targets of earlier promotions that got no answer.
    pub pending_targets: BTreeSet<BackendId>,
    /// Unanswered promotions of the member that led already. Each may start a term if another
    /// member leads by then.
    pub pending_fences: u64,
    /// Lower bound on [`crate::Placement::allowed_work`] of the target, used when the leader moves
    /// to a region where more work is allowed.
    pub min_allowed_work: u64,
}

/// How many of the members on whose logs acknowledged commits may depend have answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Coverage {
    /// How many must answer, so that each acknowledged commit is on one of them.
    pub needed: usize,
    pub answered: usize,
    /// Those that have not answered, without the old primary.
    pub missing: BTreeSet<BackendId>,
}

impl Coverage {
    /// The coverage by those members that have answered, as far as `has_answered` tells. `in_sync`
    /// are the members on whose logs commits may depend; the present ones of the group count as
    /// well.
    pub fn of(
        group: &GroupState,
        in_sync: &BTreeSet<BackendId>,
        old: Option<&BackendId>,
        has_answered: impl Fn(&BackendId) -> bool,
    ) -> Self {
        let mut members: BTreeSet<_> = group.members.keys().chain(in_sync).collect();
        members.extend(old);
        let others = members.iter().copied().filter(|id| Some(*id) != old);
        let (answered, missing): (Vec<_>, Vec<_>) = others.partition(|id| has_answered(id));
        let synchronous = usize::try_from(group.synchronous_replicas).unwrap_or(usize::MAX);
        Self {
            needed: members.len().saturating_sub(synchronous),
            answered: answered.len(),
            missing: missing.into_iter().cloned().collect(),
        }
    }

    pub fn into_step(self) -> FailoverStep {
        FailoverStep::MembersMissing {
            missing: self.missing,
            needed: self.needed,
            answered: self.answered,
        }
    }

    /// Whether each acknowledged commit is on a member that has answered.
    pub fn is_sufficient(&self) -> bool {
        self.answered >= self.needed
    }
}

/// The replica chosen for promotion.
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
            started_term: Term::default(),
            recorded: None,
            held: BTreeSet::new(),
            has_held_replicas: false,
            target: None,
            target_was_leader: false,
            announced_at: now,
            reminded_at: now,
            is_announced: false,
            must_fence: false,
            settles_announcement: false,
            pending_targets: BTreeSet::new(),
            pending_fences: 0,
            min_allowed_work: 0,
        }
    }

    pub fn enter_stage(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Whether the old primary reported the primary role in a term that no other answer exceeds.
    pub fn old_still_leads(&self) -> bool {
        let Some(old) = &self.old else {
            return false;
        };
        let Some(status) = self.answers.get(old) else {
            return false;
        };
        status.role == BackendRole::Primary && status.term >= self.newest_term()
    }

    /// Whether a replica has received more than the old primary reports to have. This only happens
    /// if the old primary has lost its log.
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

    /// A member other than the old primary that already leads.
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

    /// The member that leads according to the answers.
    pub fn current_leader(&self) -> Option<&BackendId> {
        let old = self.old.as_ref().filter(|_| self.old_still_leads());
        self.other_leader().or(old)
    }

    /// The newest term that any member reported.
    pub fn newest_term(&self) -> Term {
        let terms = self.answers.values().map(|status| status.term);
        terms.max().unwrap_or_default()
    }

    /// A term above any that members have reported or are on hold for, and above any that an
    /// unanswered promotion may start.
    pub fn next_term(&self) -> Term {
        let terms = self.answers.values().map(MemberStatus::awaited_term);
        let newest = terms.max().unwrap_or_default();
        let newest = newest.max(self.known_term).max(self.started_term);
        Term(newest.0.saturating_add(self.pending_fences + 1))
    }

    /// The term that a promotion of this member starts, or its present one if it leads already.
    pub fn promotion_term(&self, target: &BackendId) -> Term {
        let status = self.answers.get(target);
        if let Some(demotion) = &self.demotion {
            demotion.term
        } else if self.target_was_leader && self.has_pending_term_started(target) {
            status.map(|status| status.term).unwrap_or_default()
        } else if self.target_was_leader {
            self.known_term
        } else {
            self.next_term()
        }
    }

    /// The newest term that a promotion of this attempt may start.
    pub fn pending_term(&self) -> Term {
        let holding = self.demotion.as_ref().filter(|d| d.holding_since.is_some());
        let term = holding.map(|demotion| demotion.term);
        self.known_term.max(term.unwrap_or_default())
    }

    /// Whether a leader of the pending term, or any later one, has started.
    pub fn has_pending_term_started(&self, leader: &BackendId) -> bool {
        let status = self.answers.get(leader);
        self.known_term > Term::default()
            && status.is_some_and(|status| status.term >= self.known_term)
    }

    /// Whether every other member that may lead has answered: those that are listed, and the
    /// targets of unanswered promotions.
    pub fn have_others_answered(&self, group: &GroupState, leader: &BackendId) -> bool {
        let listed = group.members.iter().filter(|(_, member)| member.is_listed);
        let listed = listed.map(|(id, _)| id);
        let mut others = listed
            .chain(&self.pending_targets)
            .filter(|id| *id != leader);
        others.all(|id| self.answers.contains_key(id))
    }

    /// Whether the old primary is the only member that can be leading: every other listed member
    /// reports the replica role, the old primary did not do so before it was asked to step down,
    /// no later term than its own is known to have started, and no earlier promotion is unanswered.
    /// If no member leads, an earlier promotion may be about to take effect. The leader of a later
    /// term may be missing from discovery and still be in use.
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
        old_may_lead && !self.must_fence && !self.knows_later_term() && answers.all(follows)
    }

    /// Whether a later term than that of the old primary is known to have started, or was recorded
    /// for another member. An old primary that has not answered may be in any term.
    fn knows_later_term(&self) -> bool {
        let Some(id) = &self.old else {
            return false;
        };
        let Some(old) = self.answers.get(id) else {
            return false;
        };
        let recorded = self.recorded.as_ref();
        let is_other_recorded =
            recorded.is_some_and(|other| other.leader != *id && other.term > old.term);
        is_other_recorded || old.term < self.newest_term().max(self.started_term)
    }

    /// Whether every replica that was queried has answered.
    pub fn has_all_replica_answers(&self) -> bool {
        let awaits_replica = self
            .unanswered
            .iter()
            .any(|id| Some(id) != self.old.as_ref());
        !awaits_replica
    }

    /// How many of the members on whose logs acknowledged commits may depend have answered.
    pub fn coverage(&self, group: &GroupState, in_sync: &BTreeSet<BackendId>) -> Coverage {
        Coverage::of(group, in_sync, self.old.as_ref(), |id| self.has_log(id))
    }

    /// Whether a member has answered and has not lost its log. A member that has lost it does not
    /// count for what it had acknowledged.
    fn has_log(&self, id: &BackendId) -> bool {
        let is_empty = |status: &MemberStatus| status.received.position == LogPosition(0);
        let are_all_empty = || self.answers.values().all(is_empty);
        let status = self.answers.get(id);
        status.is_some_and(|status| !is_empty(status) || are_all_empty())
    }

    /// Whether the replica that would be chosen holds every acknowledged commit: enough members
    /// answered that each acknowledged commit is on one of them, and none of them is ahead of the
    /// chosen one.
    pub fn covers_acknowledged_commits(
        &self,
        group: &GroupState,
        in_sync: &BTreeSet<BackendId>,
    ) -> bool {
        let is_replica = |id: &BackendId| Some(id) != self.old.as_ref();
        let order = |received: Freshness| (received.term, received.position);
        let replicas = self.answers.iter().filter(|(id, _)| is_replica(id));
        let most = replicas.map(|(_, status)| order(status.received)).max();
        let chosen = self.choose_target(group).and_then(|chosen| chosen.received);
        self.coverage(group, in_sync).is_sufficient() && chosen.map(order) == most
    }

    /// Whether the replica that would be chosen has received the whole log of a primary that has
    /// stepped down, so that no commit depends on any other member.
    pub fn covers_log_of(&self, group: &GroupState, old: Freshness) -> bool {
        let chosen = self.choose_target(group).and_then(|chosen| chosen.received);
        chosen.is_some_and(|received| received.covers(old))
    }

    /// Chooses among the replicas that answered and may lead the one that has received most of the
    /// log. Ties are broken in favour of the target of an unanswered promotion, then of a warm
    /// replica, then of one where more work is allowed.
    pub fn choose_target(&self, group: &GroupState) -> Option<PromotionTarget> {
        let may_be_chosen = |id: &BackendId| {
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
        let answered = self.answers.iter().filter(|(id, _)| may_be_chosen(id));
        let best = answered.max_by_key(|(id, status)| {
            (
                status.received.term,
                status.received.position,
                // If the earlier promotion is carried out as well, it changes nothing.
                self.pending_targets.contains(*id),
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
