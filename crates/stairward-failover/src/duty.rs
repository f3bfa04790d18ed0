//! The duty's state machine.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{
    BackendId, BackendRole, Freshness, MemberStatus, NodeId, ServiceName, Term, Time,
};

use crate::attempt::{Attempt, Stage};
use crate::ending::{EndProof, Ending};
use crate::event::{
    Action, DutyRecord, Effect, Event, FencingToken, GroupState, LeaderEvidence, PromotionOutcome,
    Reach, RecordVersion, Via,
};
use crate::evidence::EvidenceLedger;
use crate::options::FailoverOptions;
use crate::turn::turn;

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    Refused,
    Silent,
    Leaving,
    Missing,
    Leaderless,
    Held,
}

impl Trigger {
    const fn reason(self) -> &'static str {
        match self {
            Self::Refused => "nothing listens at the primary's address",
            Self::Silent => "enough nodes find the primary silent",
            Self::Leaving => "the primary is leaving",
            Self::Missing => "discovery no longer lists the primary",
            Self::Leaderless => "no member calls itself primary",
            Self::Held => "replicas wait for a later term that does not begin",
        }
    }

    const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Missing | Self::Held)
    }
}

/// The failover duty of one node.
#[derive(Debug)]
pub struct FailoverDuty {
    options: FailoverOptions,
    groups: BTreeMap<ServiceName, GroupState>,
    nodes: u32,
    /// Nodes that may pass questions on to members.
    peers: Vec<NodeId>,
    /// All other nodes that may use a leader.
    users: BTreeSet<NodeId>,
    evidence: EvidenceLedger,
    /// When others were last told which back ends this node finds silent.
    reported_at: Time,
    version: Option<RecordVersion>,
    record: Option<DutyRecord>,
    record_learnt: Time,
    /// The service whose claim is being written.
    writing: Option<ServiceName>,
    attempts: BTreeMap<ServiceName, Attempt>,
    /// Since when there has been a reason to replace a primary.
    triggered_since: BTreeMap<ServiceName, Time>,
    /// No new attempt begins before this.
    pauses: BTreeMap<ServiceName, Time>,
    /// Since when a primary has been missing or leading nobody.
    missing_since: BTreeMap<ServiceName, Time>,
    /// When entries last lapsed together.
    lapsed_at: Option<Time>,
    /// Since when replicas have waited for a later term than their leader's.
    revoked_since: BTreeMap<ServiceName, Time>,
    effects: Vec<Effect>,
}

impl FailoverDuty {
    /// A duty that knows nothing yet. It acts only once it has learnt the record.
    #[must_use]
    pub fn new(options: FailoverOptions) -> Self {
        Self {
            options,
            groups: BTreeMap::new(),
            nodes: 1,
            peers: Vec::new(),
            users: BTreeSet::new(),
            evidence: EvidenceLedger::default(),
            reported_at: Time::ZERO,
            version: None,
            record: None,
            record_learnt: Time::ZERO,
            writing: None,
            attempts: BTreeMap::new(),
            triggered_since: BTreeMap::new(),
            pauses: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            lapsed_at: None,
            revoked_since: BTreeMap::new(),
            effects: Vec::new(),
        }
    }

    /// Takes an event in and says what must be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.apply(now, event);
        let services: Vec<_> = self.groups.keys().cloned().collect();
        for service in &services {
            self.review(now, service);
        }
        std::mem::take(&mut self.effects)
    }

    /// When the duty wants a [`Event::Tick`] at the latest; none while nothing is under way.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let is_idle = self.attempts.is_empty()
            && self.missing_since.is_empty()
            && self.revoked_since.is_empty()
            && self.evidence.silent().is_empty()
            && self
                .groups
                .keys()
                .all(|service| self.trigger(now, service).is_none());
        (!is_idle).then(|| now + POLL)
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Groups(groups) => {
                self.note_lapse(now, &groups);
                self.groups = groups;
                self.attempts
                    .retain(|service, _| self.groups.contains_key(service));
            }
            Event::Nodes(nodes) => self.nodes = nodes.max(1),
            Event::Peers(peers) => self.peers = peers,
            Event::Users(users) => self.users = users,
            Event::Revoked {
                service,
                term,
                user,
                newest,
            } => self.user_revoked(now, &service, term, user, newest),
            Event::Evidence(backend, evidence) => self.note_evidence(now, backend, evidence),
            Event::Lead(service, is_revoked) => self.note_lead(now, service, is_revoked),
            Event::Suspicion(node, silent) => self.evidence.note_other(now, node, silent),
            Event::Record(version, record) => self.learn_record(now, version, record),
            Event::RecordWritten(version) => self.record_written(now, version),
            Event::RecordFailed => self.record_failed(now),
            Event::Status(backend, status) => self.take_status(&backend, status),
            Event::Reached(backend, via, reach) => self.take_reach(now, &backend, &via, reach),
            Event::Promotion(service, token, outcome) => {
                self.promotion_ended(now, &service, token, outcome);
            }
            Event::Tick => self.report_again(now),
        }
    }

    fn note_evidence(&mut self, now: Time, backend: BackendId, evidence: LeaderEvidence) {
        if self.evidence.note(backend, evidence) {
            self.report(now);
        }
    }

    fn report(&mut self, now: Time) {
        self.reported_at = now;
        let silent = self.evidence.silent().clone();
        self.effects.push(Effect::Report(silent));
    }

    /// Others count a report for a while only.
    fn report_again(&mut self, now: Time) {
        let has_report = !self.evidence.silent().is_empty();
        if has_report && now >= self.reported_at + REPORT_PAUSE {
            self.report(now);
        }
    }

    /// Entries that go together have lapsed: the store was away, and their members most likely are not.
    fn note_lapse(&mut self, now: Time, groups: &BTreeMap<ServiceName, GroupState>) {
        let (before, after) = (listed_members(&self.groups), listed_members(groups));
        if before >= FEWEST_THAT_LAPSE && after * 2 <= before {
            self.lapsed_at = Some(now);
        }
    }

    fn note_lead(&mut self, now: Time, service: ServiceName, is_revoked: bool) {
        if is_revoked {
            self.revoked_since.entry(service).or_insert(now);
        } else {
            self.revoked_since.remove(&service);
        }
    }

    fn learn_record(&mut self, now: Time, version: RecordVersion, record: Option<DutyRecord>) {
        if self.version.is_some_and(|known| known >= version) {
            return;
        }
        self.version = Some(version);
        self.record = record;
        self.record_learnt = now;
    }

    /// Whether another node acts on the duty at the moment.
    fn is_held_by_another(&self, now: Time) -> bool {
        let is_another = self
            .record
            .as_ref()
            .is_some_and(|record| record.holder != self.options.node);
        is_another && now < self.record_learnt + self.options.lease
    }

    /// The member that calls itself primary, the one announced last if there are several.
    fn announced_leader(group: &GroupState) -> Option<&BackendId> {
        let primaries = group
            .members
            .iter()
            .filter(|(_, member)| member.role == BackendRole::Primary);
        primaries
            .max_by_key(|(_, member)| (member.is_listed, member.revision))
            .map(|(id, _)| id)
    }

    fn trigger(&self, now: Time, service: &ServiceName) -> Option<Trigger> {
        let group = self.groups.get(service)?;
        let missing_since = self.missing_since.get(service);
        let has_returned = self
            .lapsed_at
            .is_none_or(|at| now >= at + self.options.return_patience);
        let is_missing_long = has_returned
            && missing_since.is_some_and(|since| now >= *since + self.options.missing_patience);
        let Some(leader) = Self::announced_leader(group) else {
            return is_missing_long.then_some(Trigger::Leaderless);
        };
        let member = group.members.get(leader)?;
        if self.evidence.is_refused(leader) {
            return Some(Trigger::Refused);
        }
        if self.evidence.suspecting(now, leader) >= self.suspicion_quorum() {
            return Some(Trigger::Silent);
        }
        if member.is_leaving && member.is_listed {
            return Some(Trigger::Leaving);
        }
        if is_missing_long {
            return Some(Trigger::Missing);
        }
        let revoked_since = self.revoked_since.get(service);
        let is_revoked_long =
            revoked_since.is_some_and(|since| now >= *since + self.options.missing_patience);
        is_revoked_long.then_some(Trigger::Held)
    }

    fn suspicion_quorum(&self) -> usize {
        if self.nodes == 1 {
            return 1;
        }
        let share = (self.nodes * self.options.suspicion_percent).div_ceil(100);
        usize::try_from(share.clamp(2, MOST_NEEDED)).unwrap_or(2)
    }

    fn note_missing(&mut self, now: Time, service: &ServiceName) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let has_replica = group.members.values().any(|member| member.is_listed);
        let leader = Self::announced_leader(group).and_then(|id| group.members.get(id));
        let is_missing = has_replica && !leader.is_some_and(|leader| leader.is_listed);
        if is_missing {
            self.missing_since.entry(service.clone()).or_insert(now);
        } else {
            self.missing_since.remove(service);
        }
    }

    fn review(&mut self, now: Time, service: &ServiceName) {
        self.note_missing(now, service);
        self.hold_late_members(service);
        self.announce_pending(now, service);
        match self
            .attempts
            .get(service)
            .map(|attempt| attempt.stage.clone())
        {
            None => self.maybe_begin(now, service),
            Some(Stage::Queued) => self.review_queued(now, service),
            Some(Stage::Claiming) => self.review_claim(now, service),
            Some(Stage::Asking) => self.review_asking(now, service),
            Some(Stage::Ending) => self.review_ending(now, service),
            Some(Stage::Promoting) => self.review_promotion(now, service),
            Some(Stage::Settling) => self.review_settling(now, service),
        }
    }

    /// While a promotion without an answer may still be carried out, no leader of a lower term is to be
    /// believed, however long the store keeps this node from fencing it off.
    fn announce_pending(&mut self, now: Time, service: &ServiceName) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let term = attempt.known_term;
        let is_due = attempt.must_fence && now >= attempt.announced_at + lease;
        if is_due && term > Term::default() {
            attempt.announced_at = now;
            let revoke = Effect::Revoke(service.clone(), term, self.users.clone());
            self.effects.push(revoke);
        }
    }

    fn maybe_begin(&mut self, now: Time, service: &ServiceName) {
        if self.pauses.get(service).is_some_and(|until| now < *until) {
            return;
        }
        let Some(trigger) = self.trigger(now, service) else {
            self.triggered_since.remove(service);
            return;
        };
        let since = *self.triggered_since.entry(service.clone()).or_insert(now);
        if now < since + turn(&self.options.node, service, self.nodes) {
            return;
        }
        if self.is_held_by_another(now) || self.version.is_none() {
            return;
        }
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let old = Self::announced_leader(group).cloned();
        let can_be_replaced = group
            .members
            .iter()
            .any(|(id, member)| Some(id) != old.as_ref() && member.is_listed && !member.is_leaving);
        if !can_be_replaced {
            return;
        }
        let attempt = Attempt::new(old, trigger.is_planned(), now);
        self.attempts.insert(service.clone(), attempt);
        let reason = trigger.reason();
        self.log(service, Action::Began { reason });
        self.claim(now, service);
    }

    /// Writes the record, one service at a time.
    fn claim(&mut self, now: Time, service: &ServiceName) {
        if self.writing.is_some() {
            return;
        }
        if self.is_held_by_another(now) {
            return self.give_up(now, service, "another node holds the duty");
        }
        let Some(version) = self.version else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        attempt.enter(Stage::Claiming, now);
        attempt.token = None;
        self.writing = Some(service.clone());
        let record = DutyRecord {
            holder: self.options.node.clone(),
            service: service.clone(),
        };
        self.effects.push(Effect::WriteRecord(version, record));
    }

    fn record_written(&mut self, now: Time, version: RecordVersion) {
        let Some(service) = self.writing.take() else {
            return;
        };
        let record = DutyRecord {
            holder: self.options.node.clone(),
            service: service.clone(),
        };
        self.learn_record(now, version, Some(record));
        let Some(attempt) = self.attempts.get_mut(&service) else {
            return;
        };
        if attempt.stage != Stage::Claiming || now.since(attempt.since) > self.options.lease / 2 {
            return self.give_up(now, &service, "the claim took too long");
        }
        attempt.token = Some(FencingToken(version.0));
        attempt.claimed_at = now;
        attempt.ending = None;
        attempt.enter(Stage::Asking, now);
        self.ask_members(&service);
    }

    fn record_failed(&mut self, now: Time) {
        if let Some(service) = self.writing.take() {
            self.give_up(now, &service, "the record could not be written");
        }
    }

    fn review_queued(&mut self, now: Time, service: &ServiceName) {
        let is_due = self
            .attempts
            .get(service)
            .is_some_and(|attempt| now >= attempt.not_before);
        if is_due {
            self.claim(now, service);
        }
    }

    /// A replica that comes while the others are on hold would let the old primary acknowledge again.
    fn hold_late_members(&mut self, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        if attempt.held.is_empty() {
            return;
        }
        let term = Term(attempt.newest_term().0 + 1);
        for (id, member) in &group.members {
            let is_known = Some(id) == attempt.old.as_ref() || attempt.held.contains(id);
            if is_known || member.role == BackendRole::Primary {
                continue;
            }
            attempt.held.insert(id.clone());
            if attempt.stage == Stage::Asking {
                attempt.asked.insert(id.clone());
            }
            if let Some(ending) = &mut attempt.ending {
                ending.ask_replica(id.clone(), &[Via::Direct]);
                let ways = vec![Via::Direct];
                self.effects
                    .push(Effect::HoldBy(id.clone(), ending.term, ways));
                continue;
            }
            self.effects.push(Effect::Hold(id.clone(), term));
        }
    }

    fn review_claim(&mut self, now: Time, service: &ServiceName) {
        let is_late = self
            .attempts
            .get(service)
            .is_some_and(|attempt| now.since(attempt.since) > self.options.call_patience);
        if is_late {
            self.writing = None;
            self.give_up(now, service, "the store does not answer");
        }
    }

    fn ask_members(&mut self, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        for (id, member) in &group.members {
            if !member.is_listed && Some(id) != attempt.old.as_ref() {
                continue;
            }
            attempt.asked.insert(id.clone());
            self.effects.push(Effect::Ask(id.clone()));
        }
    }

    /// Keeps the replicas from receiving, so that nothing more is acknowledged, and asks them again.
    fn hold_replicas(&mut self, now: Time, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        let term = Term(attempt.newest_term().0 + 1);
        attempt.enter(Stage::Asking, now);
        attempt.asked.clear();
        for id in group.members.keys() {
            if Some(id) == attempt.old.as_ref() {
                continue;
            }
            attempt.answers.remove(id);
            attempt.asked.insert(id.clone());
            attempt.held.insert(id.clone());
            self.effects.push(Effect::Hold(id.clone(), term));
        }
    }

    fn take_status(&mut self, backend: &BackendId, status: Option<MemberStatus>) {
        for attempt in self.attempts.values_mut() {
            let is_asked = matches!(attempt.stage, Stage::Asking | Stage::Ending);
            if !is_asked || !attempt.asked.remove(backend) {
                continue;
            }
            if let Some(status) = status {
                attempt.answers.insert(backend.clone(), status);
            }
        }
    }

    fn review_asking(&mut self, now: Time, service: &ServiceName) {
        self.take_holds_over(service);
        let (Some(attempt), Some(group)) = (self.attempts.get(service), self.groups.get(service))
        else {
            return;
        };
        let is_late = now.since(attempt.since) >= self.options.ask_patience;
        // Where an old primary is ended before another leads, there is time for its answer later.
        let old_patience = match self.options.leadership_lease {
            Some(_) => self.options.step_down_patience,
            None => self.options.ask_patience,
        };
        let old_may_live = attempt.old.as_ref().is_some_and(|old| {
            !attempt.is_planned
                && !self.evidence.is_refused(old)
                && attempt.asked.contains(old)
                && now.since(attempt.since) < old_patience
        });
        let is_complete = attempt.is_asked_out() && !old_may_live;
        if !is_complete && !is_late {
            return;
        }
        if now.since(attempt.since) > self.options.lease / 2 {
            // The node may have been paused: another may hold the duty by now.
            return self.give_up(now, service, "the answers are too old");
        }
        if attempt.must_fence
            && let Some(leader) = attempt.present_leader().cloned()
        {
            return self.fence_off(now, service, leader);
        }
        if let Some(leader) = attempt.other_leader().cloned() {
            self.evidence.forget(&leader);
            return self.give_up(now, service, "another member leads already");
        }
        if !attempt.is_planned && attempt.old_still_leads() {
            if let Some(old) = attempt.old.clone() {
                self.evidence.forget(&old);
            }
            return self.give_up(now, service, "the primary answers that it leads");
        }
        if self.options.leadership_lease.is_some() {
            return self.begin_ending(now, service);
        }
        if group.synchronous_replicas > 0 {
            if attempt.held.is_empty() {
                return self.hold_replicas(now, service);
            }
            if !attempt.covers_acknowledged(group) {
                return self.give_up(now, service, "an acknowledged commit might be missed");
            }
        }
        let Some(chosen) = attempt.choose(group) else {
            return self.give_up(now, service, "no replica answered");
        };
        self.promote(now, service, chosen.target, chosen.received);
    }

    /// Replicas that an earlier attempt left on hold are this one's to let go, once its own decision is answered:
    /// a promotion of that attempt may still be carried out.
    fn take_holds_over(&mut self, service: &ServiceName) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let left: Vec<_> = attempt
            .answers
            .iter()
            .filter(|(id, status)| status.held > Term(0) && !attempt.held.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        attempt.must_fence |= !left.is_empty();
        attempt.held.extend(left);
    }

    /// Has the old primary give way, before another is promoted.
    fn begin_ending(&mut self, now: Time, service: &ServiceName) {
        let is_synchronous = self
            .groups
            .get(service)
            .is_some_and(|group| group.synchronous_replicas > 0);
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let (old, token, term) = (attempt.old.clone(), attempt.token, attempt.next_term());
        let old_answer = old.as_ref().and_then(|old| attempt.answers.get(old));
        attempt.old_followed = old_answer.is_some_and(|old| old.role == BackendRole::Replica);
        let is_old_silent = old
            .as_ref()
            .is_some_and(|old| !attempt.answers.contains_key(old));
        let mut ending = Ending::new(old.clone(), term, now);
        let mut ways = vec![Via::Direct];
        if is_old_silent {
            // This node has just asked it in vain.
            ways.extend(self.peers.iter().copied().map(Via::Peer));
        }
        if old.is_some() {
            ending.ask_old(&ways);
        }
        attempt.ending = Some(ending);
        attempt.asked.clear();
        attempt.enter(Stage::Ending, now);
        let began = Action::Ending {
            old: old.clone(),
            token,
            term,
            ways: ways.len(),
        };
        self.log(service, began);
        let must_hold = old.is_none() || is_synchronous;
        if let Some(old) = old {
            self.effects.push(Effect::StepDown(old, term, ways));
        }
        if must_hold {
            self.hold_for_ending(now, service);
        }
    }

    /// Puts the replicas on hold, so that no node can confirm the old primary any more.
    fn hold_for_ending(&mut self, now: Time, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        let Some(ending) = &mut attempt.ending else {
            return;
        };
        ending.holding_since = Some(now);
        let mut replicas = 0;
        let term = ending.term;
        for (id, member) in &group.members {
            // The old primary too: it may follow another one by now.
            if !member.is_listed {
                continue;
            }
            let ways = vec![Via::Direct];
            ending.ask_replica(id.clone(), &ways);
            attempt.held.insert(id.clone());
            replicas += 1;
            self.effects.push(Effect::HoldBy(id.clone(), term, ways));
        }
        ending.ask_users(self.users.clone());
        let revoke = Effect::Revoke(service.clone(), term, self.users.clone());
        self.effects.push(revoke);
        self.log(service, Action::Holding { replicas, term });
    }

    fn user_revoked(
        &mut self,
        now: Time,
        service: &ServiceName,
        term: Term,
        user: NodeId,
        newest: Term,
    ) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let Some(ending) = &mut attempt.ending else {
            return;
        };
        if newest >= ending.term && attempt.stage == Stage::Ending {
            // The old primary's own term is newer than any that the members who answered knew.
            attempt.known_term = attempt.known_term.max(newest);
            return self.begin_ending(now, service);
        }
        ending.user_revoked(term, user);
    }

    fn take_reach(&mut self, now: Time, backend: &BackendId, via: &Via, reach: Reach) {
        for attempt in self.attempts.values_mut() {
            let Some(ending) = &mut attempt.ending else {
                continue;
            };
            ending.take(now, backend, via.clone(), reach);
            if let Some(status) = reach.answer() {
                attempt.answers.insert(backend.clone(), status);
            }
        }
    }

    fn review_ending(&mut self, now: Time, service: &ServiceName) {
        let lease = self.options.leadership_lease.unwrap_or_default();
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let Some(ending) = &attempt.ending else {
            return;
        };
        if now.since(attempt.claimed_at) > self.options.lease * 3 / 4 {
            // The node may have been paused: another may hold the duty by now.
            return self.give_up(now, service, "the old primary's lead was not ended in time");
        }
        if let Some(leader) = attempt.other_leader().cloned() {
            return if attempt.must_fence {
                self.fence_off(now, service, leader);
            } else {
                self.give_up(now, service, "another member leads already");
            };
        }
        let is_sole = self
            .groups
            .get(service)
            .is_some_and(|group| attempt.is_old_sole_leader(group));
        let Some(proof) = ending.proof(now, lease, is_sole) else {
            return self.press_ending(now, service);
        };
        let is_certain = match proof {
            EndProof::SteppedDown(status) => self.has_caught_up(now, service, status.received),
            EndProof::Revoked => true,
            EndProof::Lapsed | EndProof::Unknown => self.are_holds_verified(now, service),
        };
        if is_certain {
            self.ended(now, service, proof);
        }
    }

    /// The old primary's lead is not over yet: others are asked to help, or replicas put on hold.
    fn press_ending(&mut self, now: Time, service: &ServiceName) {
        let patience = self.options.step_down_patience;
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let Some(ending) = &mut attempt.ending else {
            return;
        };
        let peers: Vec<Via> = self.peers.iter().copied().map(Via::Peer).collect();
        let term = ending.term;
        if let Some(old) = &attempt.old
            && !peers.is_empty()
            && ending.old_needs_peers(now, patience / 2)
        {
            ending.ask_old(&peers);
            self.effects
                .push(Effect::StepDown(old.clone(), term, peers.clone()));
        }
        for replica in ending.replicas_that_need_peers(now, patience) {
            ending.ask_replica(replica.clone(), &peers);
            if !peers.is_empty() {
                self.effects
                    .push(Effect::HoldBy(replica, term, peers.clone()));
            }
        }
        let has_waited = now >= ending.began() + patience || ending.is_old_unreachable();
        if ending.holding_since.is_none() && has_waited {
            self.hold_for_ending(now, service);
        }
    }

    /// Whether all members that were put on hold still are: a promotion of an earlier attempt, carried out
    /// late, would have let them go. Asks them; where one is not, the ending begins anew.
    fn are_holds_verified(&mut self, now: Time, service: &ServiceName) -> bool {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return false;
        };
        let Some(ending) = &mut attempt.ending else {
            return false;
        };
        let held = ending.held().clone();
        let Some(since) = ending.verifying_since else {
            ending.verifying_since = Some(now);
            attempt.asked = held.clone();
            for member in held {
                self.effects.push(Effect::Ask(member));
            }
            return false;
        };
        if attempt.asked.is_empty() {
            let term = ending.term;
            let is_held = |id| {
                attempt
                    .answers
                    .get(id)
                    .is_some_and(|status| status.held >= term)
            };
            if held.iter().all(is_held) {
                return true;
            }
        } else if now < since + self.options.ask_patience {
            return false;
        }
        self.begin_ending(now, service);
        false
    }

    /// Whether a replica has received all that an old primary's log had when it stepped down, or there is no
    /// use in waiting for that any longer. Asks them where that is not known.
    fn has_caught_up(&mut self, now: Time, service: &ServiceName, all: Freshness) -> bool {
        let patience = self.options.catch_up_patience;
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return false;
        };
        let chosen = attempt.choose(group).and_then(|chosen| chosen.received);
        let has_all = chosen.is_some_and(|received| received.covers(all));
        let Some(ending) = &mut attempt.ending else {
            return false;
        };
        let since = ending.stepped_down().map_or(now, |(_, at)| at);
        if has_all || now >= since + patience {
            return true;
        }
        if !std::mem::replace(&mut ending.is_catching_up, true) {
            for (id, member) in &group.members {
                if Some(id) != attempt.old.as_ref() && member.is_listed {
                    attempt.asked.insert(id.clone());
                    self.effects.push(Effect::AskReceived(id.clone(), all));
                }
            }
        }
        false
    }

    /// The old primary's lead is over: the best replica is promoted.
    fn ended(&mut self, now: Time, service: &ServiceName, proof: EndProof) {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return;
        };
        if group.synchronous_replicas > 0 && !attempt.covers_acknowledged(group) {
            return self.give_up(now, service, "an acknowledged commit might be missed");
        }
        let Some(chosen) = attempt.choose(group) else {
            return self.give_up(now, service, "no replica answered");
        };
        let old_had = match proof {
            EndProof::SteppedDown(status) => Some(status.received.position.0),
            EndProof::Revoked | EndProof::Lapsed | EndProof::Unknown => None,
        };
        let received = chosen.received.map(|received| received.position.0);
        let began = attempt.ending.as_ref().map_or(now, Ending::began);
        let ended = Action::Ended {
            proof,
            after: now.since(began),
            behind: old_had
                .zip(received)
                .map(|(old, new)| old.saturating_sub(new)),
        };
        self.log(service, ended);
        self.promote(now, service, chosen.target, chosen.received);
    }

    fn promote(
        &mut self,
        now: Time,
        service: &ServiceName,
        target: BackendId,
        received: Option<Freshness>,
    ) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let Some(token) = attempt.token else {
            return;
        };
        let answers = attempt.answers.len();
        attempt.target = Some(target.clone());
        attempt.enter(Stage::Promoting, now);
        let chose = Action::Chose {
            target: target.clone(),
            token,
            received,
            answers,
        };
        self.log(service, chose);
        self.effects
            .push(Effect::Promote(service.clone(), target, token));
    }

    /// Promotes the one that leads, which changes nothing, but keeps older calls from taking effect.
    fn fence_off(&mut self, now: Time, service: &ServiceName, leader: BackendId) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            attempt.target_led = true;
        }
        self.promote(now, service, leader, None);
    }

    fn review_promotion(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_late = now.since(attempt.since) > self.options.call_patience;
        let has_taken_effect = !attempt.target_led && self.target_leads(service);
        if is_late || has_taken_effect {
            self.promotion_unknown(now, service);
        }
    }

    /// The call may be carried out at any later time. Only a decision with a higher token that was
    /// answered keeps it from that, so the attempt goes on until one is.
    fn promotion_unknown(&mut self, now: Time, service: &ServiceName) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            let old = attempt.old.clone();
            let held = std::mem::take(&mut attempt.held);
            let is_planned = attempt.is_planned;
            let pending = attempt.ending.as_ref().map(|ending| ending.term);
            let known_term = attempt.known_term.max(pending.unwrap_or_default());
            *attempt = Attempt::new(old, is_planned, now);
            attempt.held = held;
            attempt.must_fence = true;
            // Its promotion may begin that term yet, so that the next one is above it.
            attempt.known_term = known_term;
        }
        self.claim(now, service);
    }

    fn promotion_ended(
        &mut self,
        now: Time,
        service: &ServiceName,
        token: FencingToken,
        outcome: PromotionOutcome,
    ) {
        self.log(service, Action::Answered { token, outcome });
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        if attempt.token != Some(token) || attempt.stage != Stage::Promoting {
            return;
        }
        match outcome {
            PromotionOutcome::Accepted => {
                // Replicas stay on hold until the new primary leads: the old one could acknowledge
                // through any of them until then.
                attempt.enter(Stage::Settling, now);
            }
            PromotionOutcome::Refused | PromotionOutcome::Throttled => {
                self.give_up(now, service, "the promotion was refused");
            }
            PromotionOutcome::Unknown => self.promotion_unknown(now, service),
        }
    }

    fn target_leads(&self, service: &ServiceName) -> bool {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return false;
        };
        attempt.target.is_some() && Self::announced_leader(group) == attempt.target.as_ref()
    }

    fn review_settling(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_over = now.since(attempt.since) > self.options.settle_patience;
        // An earlier promotion that was accepted just before this one still takes its time to take effect.
        let may_end_early = !attempt.must_fence;
        if is_over || (may_end_early && self.target_leads(service)) {
            self.resume_held(service);
            self.settle(service);
            let attempt = self.attempts.remove(service);
            if let Some(old) = attempt.and_then(|attempt| attempt.old) {
                self.evidence.forget(&old);
            }
            self.pauses
                .insert(service.clone(), now + self.options.pause);
        }
    }

    /// The nodes that were told of a promotion learn that the attempt is over.
    fn settle(&mut self, service: &ServiceName) {
        let attempt = self.attempts.get(service);
        let was_announced = attempt
            .and_then(|attempt| attempt.ending.as_ref())
            .is_some_and(|ending| ending.holding_since.is_some());
        if was_announced {
            let settle = Effect::Settle(service.clone(), self.users.clone());
            self.effects.push(settle);
        }
    }

    fn resume_held(&mut self, service: &ServiceName) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        for held in std::mem::take(&mut attempt.held) {
            self.effects.push(Effect::Resume(held));
        }
    }

    fn give_up(&mut self, now: Time, service: &ServiceName, reason: &'static str) {
        let is_held_by_another = self.is_held_by_another(now);
        if let Some(attempt) = self.attempts.get_mut(service)
            && attempt.must_fence
            && !is_held_by_another
        {
            // An earlier promotion may still be carried out: go on until a later one is answered.
            attempt.enter(Stage::Queued, now);
            attempt.not_before = now + self.options.pause;
            return self.log(service, Action::GaveUp { reason });
        }
        // Only whoever has the duty lets replicas go: another one may have put them on hold since. And they stay
        // on hold where a promotion may still be carried out: that tells the next holder.
        let may_resume = self.attempts.get(service).is_some_and(|attempt| {
            !attempt.must_fence && now.since(attempt.claimed_at) <= self.options.lease * 3 / 4
        });
        if may_resume && !is_held_by_another {
            self.resume_held(service);
            self.settle(service);
        }
        self.attempts.remove(service);
        self.pauses
            .insert(service.clone(), now + self.options.pause);
        self.log(service, Action::GaveUp { reason });
    }

    fn log(&mut self, service: &ServiceName, action: Action) {
        self.effects.push(Effect::Log(service.clone(), action));
    }

    /// The back ends that this node finds silent.
    #[must_use]
    pub fn silent(&self) -> &BTreeSet<BackendId> {
        self.evidence.silent()
    }
}

/// Nodes that must find a primary silent at most, however many there are.
const MOST_NEEDED: u32 = 3;
/// How often the duty looks again while something is under way.
const POLL: std::time::Duration = std::time::Duration::from_millis(50);
/// How often a report that still holds is told again.
const REPORT_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);
/// So many entries at the least must be listed for the loss of half of them to count as a lapse: a group's.
const FEWEST_THAT_LAPSE: usize = 3;

fn listed_members(groups: &BTreeMap<ServiceName, GroupState>) -> usize {
    let members = groups.values().flat_map(|group| group.members.values());
    members.filter(|member| member.is_listed).count()
}
