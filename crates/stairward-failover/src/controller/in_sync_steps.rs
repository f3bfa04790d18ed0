//! Keeps the record of in-sync members: adds members that discovery lists, and removes missing ones
//! by the evidence of a review; see [`crate::in_sync`] and [`crate::member_review`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Freshness, ServiceName, Time};

use super::FailoverController;
use crate::attempt::Coverage;
use crate::event::{
    Effect, FailoverStep, GroupState, MemberCallResult, RecordVersion, ReviewCall, Via,
};
use crate::member_review::{LeaderPosition, MemberReview, ReviewProgress, ReviewStage};
use crate::start_delay::{start_delay, turn_delay};

/// How long the answer to a write of the record is awaited before the write is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// How long a member must be missing before it is reviewed: entries that expired while the store
/// was unavailable come back a little later.
const REVIEW_DELAY: Duration = Duration::from_millis(500);
/// How long a stage of a review may take.
const STAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a missing member must have been out of reach of every node asked before it counts as
/// ended: connections that break are replaced within this time.
const SILENCE_CONFIRMATION: Duration = Duration::from_millis(3_000);
/// Interval of unsuccessful reviews of a service, over all nodes together.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which the nodes start their first reviews of a service, one after the other.
const TURN_INTERVAL: Duration = Duration::from_millis(100);

/// State of the record of one service, and of the review of its missing members.
#[derive(Debug, Default)]
pub(super) struct InSyncReview {
    in_progress: Option<MemberReview>,
    /// The earliest time of the next review.
    next_at: Option<Time>,
    /// Since when no path has led to a missing member.
    silent_since: BTreeMap<BackendId, Time>,
    /// The members for want of which no replica can be promoted, as last logged.
    reported_missing: BTreeSet<BackendId>,
    /// Since when the record differs from the set.
    unrecorded_since: Option<Time>,
    /// The version that the last write replaces, and when it was sent.
    last_write: Option<(RecordVersion, Time)>,
}

impl FailoverController {
    /// Whether a service has a listed member that it did not have before.
    pub(super) fn has_new_member(&self, service: &ServiceName, after: &GroupState) -> bool {
        let before = self.groups.get(service);
        let was_listed = |id: &BackendId| {
            let member = before.and_then(|before| before.members.get(id));
            member.is_some_and(|member| member.is_listed)
        };
        let mut listed = after.members.iter().filter(|(_, member)| member.is_listed);
        listed.any(|(id, _)| !was_listed(id))
    }

    pub(super) fn review_in_sync_members(&mut self, now: Time, service: &ServiceName) {
        let is_synchronous = |group: &GroupState| group.synchronous_replicas > 0;
        if !self.groups.get(service).is_some_and(is_synchronous) {
            self.reviews.remove(service);
            return;
        }
        self.record_changes(now, service);
        self.review_missing_members(now, service);
    }

    /// The number of in-sync members of all services that discovery does not list.
    #[must_use]
    pub fn missing_in_sync_members(&self) -> usize {
        let missing = self
            .in_sync
            .unsettled()
            .map(|service| self.in_sync.missing(service).len());
        missing.sum()
    }

    fn review_of(&mut self, service: &ServiceName) -> &mut InSyncReview {
        self.reviews.entry(service.clone()).or_default()
    }

    /// Writes the record if the set has changed. The nodes, which all notice a change of the members
    /// at the same time, spread their writes.
    fn record_changes(&mut self, now: Time, service: &ServiceName) {
        if !self.in_sync.must_be_recorded(service) {
            self.review_of(service).unrecorded_since = None;
            return;
        }
        let delay = start_delay(&self.options.node, service, self.node_count);
        let version = self.in_sync.version(service);
        let review = self.review_of(service);
        let since = *review.unrecorded_since.get_or_insert(now);
        let is_answer_awaited = review.last_write.is_some_and(|(replaced, at)| {
            Some(replaced) == version && now < at + WRITE_RETRY_DELAY + delay
        });
        if now >= since + delay && !is_answer_awaited {
            self.write_in_sync_record(now, service, &BTreeSet::new());
        }
    }

    fn write_in_sync_record(
        &mut self,
        now: Time,
        service: &ServiceName,
        accounted_for: &BTreeSet<BackendId>,
    ) {
        if let Some(version) = self.in_sync.version(service) {
            self.review_of(service).last_write = Some((version, now));
            let record = self.in_sync.record_without(service, accounted_for);
            let write = Effect::WriteInSyncRecord(service.clone(), version, record);
            self.effects.push(write);
        }
    }

    /// Whether discovery lists too few members for any promotion to be safe, so that an attempt to
    /// replace a lost primary would be in vain.
    pub(super) fn lacks_members(&mut self, service: &ServiceName) -> bool {
        let Some(group) = self.groups.get(service) else {
            return false;
        };
        if group.synchronous_replicas == 0 {
            return false;
        }
        let listed = group.members.iter().filter(|(_, member)| member.is_listed);
        let listed: BTreeSet<_> = listed.map(|(id, _)| id.clone()).collect();
        let old = Self::announced_leader(group).cloned();
        let coverage = Coverage::of(group, &self.in_sync.ids(service), old.as_ref(), |id| {
            listed.contains(id)
        });
        if coverage.is_sufficient() {
            self.review_of(service).reported_missing.clear();
            return false;
        }
        let reported = &mut self.review_of(service).reported_missing;
        if *reported != coverage.missing {
            reported.clone_from(&coverage.missing);
            self.log(service, coverage.into_step());
        }
        true
    }

    /// Begins a review of missing members if one is due, or checks the one in progress.
    fn review_missing_members(&mut self, now: Time, service: &ServiceName) {
        let missing = self.in_sync.missing(service);
        let leader = self.reviewable_leader(service);
        let version = self.in_sync.version(service);
        let review = self.review_of(service);
        review.silent_since.retain(|id, _| missing.contains_key(id));
        let (Some(leader), Some(version)) = (leader, version) else {
            review.in_progress = None;
            return;
        };
        if let Some(current) = &review.in_progress {
            let is_outdated =
                current.version != version || current.leader != leader || missing.is_empty();
            if is_outdated {
                review.in_progress = None;
            } else if now >= current.stage_since + STAGE_TIMEOUT {
                self.end_review(now, service);
            }
            return;
        }
        if self.is_review_due(now, service, &missing) {
            self.begin_review(now, service, version, leader, missing.into_keys().collect());
        }
    }

    fn is_review_due(
        &self,
        now: Time,
        service: &ServiceName,
        missing: &BTreeMap<BackendId, Time>,
    ) -> bool {
        let nodes = self.node_count;
        let turn = turn_delay(&self.options.node, service, nodes, TURN_INTERVAL);
        let next_at = self.reviews.get(service).and_then(|it| it.next_at);
        let is_missing_long = |since: &Time| now >= *since + REVIEW_DELAY + turn;
        missing.values().any(is_missing_long)
            && next_at.is_none_or(|at| now >= at)
            && !self.in_sync.must_be_recorded(service)
    }

    /// The leader of a service whose missing members may be reviewed: discovery lists it, and this
    /// node is not about to replace it.
    fn reviewable_leader(&self, service: &ServiceName) -> Option<BackendId> {
        let group = self.groups.get(service)?;
        let leader = Self::announced_leader(group)?;
        let is_listed = group.members.get(leader).is_some_and(|it| it.is_listed);
        let is_stable = is_listed && !self.attempts.contains_key(service);
        is_stable.then(|| leader.clone())
    }

    fn begin_review(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: RecordVersion,
        leader: BackendId,
        missing: BTreeSet<BackendId>,
    ) {
        self.last_review += 1;
        let number = self.last_review;
        let review = MemberReview::new(number, now, version, leader, missing.iter().cloned());
        self.review_of(service).in_progress = Some(review);
        for id in &missing {
            self.call_for_review(service, id, Via::Direct, None);
        }
    }

    fn current_review(&mut self, service: &ServiceName) -> Option<&mut MemberReview> {
        self.reviews.get_mut(service)?.in_progress.as_mut()
    }

    fn call_for_review(
        &mut self,
        service: &ServiceName,
        backend: &BackendId,
        via: Via,
        until: Option<Freshness>,
    ) {
        let address = self.in_sync.address(service, backend);
        let review = self.current_review(service).map(|review| review.number);
        if let (Some(review), Some(address)) = (review, address) {
            self.effects.push(Effect::ReviewMember(ReviewCall {
                service: service.clone(),
                review,
                backend: backend.clone(),
                address,
                via,
                until,
            }));
        }
    }

    pub(super) fn record_review_result(
        &mut self,
        now: Time,
        call: &ReviewCall,
        result: MemberCallResult,
    ) {
        let service = &call.service;
        let review = self.current_review(service);
        let Some(review) = review.filter(|review| review.number == call.review) else {
            return;
        };
        match review.record(&call.backend, &call.via, result) {
            ReviewProgress::Pending => {}
            ReviewProgress::PeersNeeded => self.probe_through_peers(now, service, &call.backend),
            ReviewProgress::Probed => self.conclude_probes(now, service),
            ReviewProgress::LeaderAt(position) => self.await_coverage(now, service, position),
            ReviewProgress::Covered => self.remove_ended_members(now, service),
            ReviewProgress::Failed => self.end_review(now, service),
        }
    }

    fn probe_through_peers(&mut self, now: Time, service: &ServiceName, member: &BackendId) {
        let peers: Vec<Via> = self.relay_peers.iter().copied().map(Via::Peer).collect();
        let Some(review) = self.current_review(service) else {
            return;
        };
        review.await_peers(member, &peers);
        if peers.is_empty() {
            review.conclude_probe(member);
            if review.probe_progress() == ReviewProgress::Probed {
                self.conclude_probes(now, service);
            }
        }
        for peer in peers {
            self.call_for_review(service, member, peer, None);
        }
    }

    /// Asks the leader for its position, once every missing member is known to be running or to
    /// have ended, and one has ended.
    fn conclude_probes(&mut self, now: Time, service: &ServiceName) {
        self.confirm_long_silence(now, service);
        let Some(review) = self.current_review(service) else {
            return;
        };
        let (running, ended, silent) = (review.running(), review.ended(), review.silent());
        let leader = review.leader.clone();
        self.log(
            service,
            FailoverStep::MembersProbed {
                running,
                ended: ended.clone(),
                silent: silent.clone(),
            },
        );
        if !silent.is_empty() {
            // This node repeats the probe itself to confirm the silence.
            let review = self.review_of(service);
            review.in_progress = None;
            review.next_at = Some(now + SILENCE_CONFIRMATION);
        } else if ended.is_empty() {
            self.end_review(now, service);
        } else {
            if let Some(review) = self.current_review(service) {
                review.enter_stage(ReviewStage::AskingLeader, now);
            }
            self.call_for_review(service, &leader, Via::Direct, None);
        }
    }

    /// Treats members as ended that no path has led to for a while.
    fn confirm_long_silence(&mut self, now: Time, service: &ServiceName) {
        let state = self.review_of(service);
        let Some(review) = &mut state.in_progress else {
            return;
        };
        let running = review.running();
        state.silent_since.retain(|id, _| !running.contains(id));
        for id in review.silent() {
            let since = *state.silent_since.entry(id.clone()).or_insert(now);
            if now >= since + SILENCE_CONFIRMATION {
                review.confirm_silence(&id);
            }
        }
    }

    /// Waits until all members that stay have received the leader's position. Enough of them must
    /// stay to hold each commit as often as the service requires.
    fn await_coverage(&mut self, now: Time, service: &ServiceName, position: LeaderPosition) {
        let synchronous = self.groups.get(service).map(|it| it.synchronous_replicas);
        let synchronous = usize::try_from(synchronous.unwrap_or_default()).unwrap_or(usize::MAX);
        let mut staying = self.in_sync.ids(service);
        let Some(review) = self.current_review(service) else {
            return;
        };
        let ended = review.ended();
        staying.retain(|id| !ended.contains(id) && *id != review.leader);
        if staying.len() < synchronous {
            return self.end_review(now, service);
        }
        review.enter_stage(ReviewStage::AwaitingCoverage(position), now);
        review.await_coverage(staying.clone());
        for id in &staying {
            self.call_for_review(service, id, Via::Direct, Some(position.received));
        }
    }

    fn remove_ended_members(&mut self, now: Time, service: &ServiceName) {
        let Some(review) = self.current_review(service) else {
            return;
        };
        let ReviewStage::AwaitingCoverage(position) = review.stage else {
            return;
        };
        let covered = position.received;
        let removed = review.ended();
        review.enter_stage(ReviewStage::Writing, now);
        self.write_in_sync_record(now, service, &removed);
        self.log(service, FailoverStep::MembersRemoved { removed, covered });
    }

    /// Ends a review without a result. All nodes together make one in each interval.
    fn end_review(&mut self, now: Time, service: &ServiceName) {
        let next_at = now + REVIEW_INTERVAL * self.node_count;
        let review = self.review_of(service);
        review.in_progress = None;
        review.next_at = Some(next_at);
    }
}
