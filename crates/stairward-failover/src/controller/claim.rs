//! Claims the right to act on a service: from the trigger to the written record.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{ServiceName, Term, Time};

use super::FailoverController;
use super::trigger::Trigger;
use crate::attempt::{Attempt, Stage};
use crate::demotion::Demotion;
use crate::event::{Effect, FailoverRecord, FailoverStep, FencingToken, RecordVersion};
use crate::start_delay::start_delay;

/// Fraction of the leadership lease after which a node that has not confirmed an announced term is
/// told again.
const REMINDER_DIVISOR: u32 = 4;
/// Interval at which the write of a promotion is repeated until the record shows it.
const RECORD_REPEAT_INTERVAL: Duration = Duration::from_millis(500);

impl FailoverController {
    /// Estimates how many nodes have the same reason to act. A node that finds a leader silent
    /// reports this to a few peers, so the reports that reach this node indicate how many nodes
    /// there are; nodes that only probed the leader do not compete. Counting every node as a
    /// contender delayed the replacement of a leader that only one node uses by 1.2 s in a fleet of
    /// 100.
    fn contenders(&self, now: Time, trigger: Trigger, service: &ServiceName) -> u32 {
        let leader = self.groups.get(service).and_then(Self::announced_leader);
        let (Trigger::Silent, Some(leader)) = (trigger, leader) else {
            return self.node_count;
        };
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        let reports = count(self.evidence.report_count(now, leader));
        let reported_to = count(self.relay_peers.len()).max(1);
        let others = reports.saturating_mul(self.node_count) / reported_to;
        others.saturating_add(1).min(self.node_count)
    }

    pub(super) fn begin_if_due(&mut self, now: Time, service: &ServiceName) {
        if self
            .retry_after
            .get(service)
            .is_some_and(|until| now < *until)
        {
            return;
        }
        let may_be_held = self.records.is_held_by_another(now, service)
            || self.records.lost_lease_ends_at(now).is_some();
        if may_be_held {
            // Nodes waiting for the lease to expire spread their claims from that moment on.
            self.triggered_since.remove(service);
            return;
        }
        let Some(trigger) = self.trigger(now, service) else {
            self.triggered_since.remove(service);
            return;
        };
        if !trigger.is_planned() && self.lacks_members(service) {
            return;
        }
        let since = *self.triggered_since.entry(service.clone()).or_insert(now);
        let contenders = self.contenders(now, trigger, service);
        if now < since + start_delay(&self.options.node, service, contenders) {
            return;
        }
        if self.records.version(service).is_none() {
            return;
        }
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let old = Self::announced_leader(group).cloned();
        let can_be_replaced = group
            .members
            .iter()
            .any(|(id, member)| Some(id) != old.as_ref() && member.may_lead());
        if !can_be_replaced {
            return;
        }
        let mut attempt = Attempt::new(old.clone(), trigger.is_planned(), now);
        if trigger == Trigger::Misplaced {
            let leader = old.as_ref().and_then(|old| group.members.get(old));
            let allowed = leader.map_or(0, |leader| leader.placement.allowed_work);
            attempt.min_allowed_work = allowed.saturating_add(1);
        }
        attempt.settles_announcement = trigger == Trigger::Held;
        self.attempts.insert(service.clone(), attempt);
        let reason = trigger.reason();
        self.log(service, FailoverStep::Began { reason });
        self.claim(now, service);
    }

    /// Claims the service by writing its record.
    pub(super) fn claim(&mut self, now: Time, service: &ServiceName) {
        if self.records.is_held_by_another(now, service) {
            return self.give_up(now, service, "another node holds the failover lease");
        }
        if let Some(ends_at) = self.records.lost_lease_ends_at(now) {
            return self.wait_for_lost_lease(now, service, ends_at);
        }
        if self.records.version(service).is_none() {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        attempt.enter_stage(Stage::Claiming, now);
        attempt.token = None;
        self.write_record(service);
    }

    /// Queues an attempt with an unanswered promotion until the lost lease has expired; gives up
    /// any other attempt.
    fn wait_for_lost_lease(&mut self, now: Time, service: &ServiceName, ends_at: Time) {
        let attempt = self.attempts.get_mut(service);
        let Some(attempt) = attempt.filter(|attempt| attempt.must_fence) else {
            return self.give_up(now, service, "the store was restored to an older state");
        };
        attempt.enter_stage(Stage::Queued, now);
        attempt.not_before = ends_at;
    }

    /// Abandons claims that were sent before the store was restored: their answers no longer count.
    fn abandon_claims(&mut self, now: Time) {
        let is_claiming = |attempt: &Attempt| attempt.stage == Stage::Claiming;
        let claiming = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_claiming(attempt));
        let claiming: Vec<_> = claiming.map(|(service, _)| service.clone()).collect();
        for service in claiming {
            self.claim(now, &service);
        }
    }

    /// Writes a service's record, conditional on the known version.
    pub(super) fn write_record(&mut self, service: &ServiceName) {
        let Some(version) = self.records.version(service) else {
            return;
        };
        let record = self.records.own_record(service);
        self.effects
            .push(Effect::WriteRecord(service.clone(), version, record));
    }

    /// Takes over a record and reports a promotion that it is the first to show.
    pub(super) fn update_record(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: RecordVersion,
        record: Option<FailoverRecord>,
    ) -> bool {
        let before = self.records.promotion(service).cloned();
        let is_new = self.records.update(now, service.clone(), version, record);
        let newest = self.records.promotion(service).cloned();
        if let Some(newest) = newest.filter(|newest| Some(newest) != before.as_ref()) {
            self.effects
                .push(Effect::PromotionRecorded(service.clone(), newest));
        }
        is_new
    }

    /// Repeats the writes of promotions that the records lack: the store's answer was lost, or it
    /// was unavailable.
    pub(super) fn repeat_record_writes(&mut self, now: Time) {
        if now < self.recorded_at + RECORD_REPEAT_INTERVAL {
            return;
        }
        let unrecorded = self.records.unrecorded(now);
        for service in unrecorded {
            let stage = self.attempts.get(&service).map(|attempt| &attempt.stage);
            // A claim writes what is known as well.
            if stage != Some(&Stage::Claiming) {
                self.recorded_at = now;
                self.write_record(&service);
            }
        }
    }

    /// Applies all records from a watch of the store. A new record written by this node counts as
    /// the answer to its claim, since the store's own answer may be late or lost.
    pub(super) fn apply_records(
        &mut self,
        now: Time,
        era: u64,
        records: BTreeMap<ServiceName, (RecordVersion, FailoverRecord)>,
    ) {
        if self.records.record_listing(now, era) {
            self.abandon_claims(now);
        }
        for (service, (version, record)) in records {
            let (is_own, recorded_term) = (record.holder == self.options.node, record.term);
            let is_new = self.update_record(now, &service, version, Some(record));
            if is_new && is_own {
                self.claim_confirmed(now, &service, version, recorded_term);
            }
        }
    }

    pub(super) fn handle_record_written(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: RecordVersion,
        record: FailoverRecord,
    ) {
        let recorded_term = record.term;
        let is_new = self.update_record(now, service, version, Some(record));
        if is_new {
            self.claim_confirmed(now, service, version, recorded_term);
        }
    }

    /// Handles confirmation that this node wrote the service's record. The record's version is the
    /// fencing token of one decision, so it is used when first seen and never again.
    fn claim_confirmed(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: RecordVersion,
        recorded_term: Term,
    ) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        if attempt.stage != Stage::Claiming {
            // The write recorded a term, or the claim was given up before its answer arrived.
            return;
        }
        if now.since(attempt.stage_since) > self.options.lease / 2 {
            return self.give_up(now, service, "the claim took too long");
        }
        attempt.token = Some(FencingToken(version.0.number()));
        attempt.claimed_at = now;
        attempt.demotion = None;
        attempt.has_held_replicas = false;
        attempt.known_term = attempt.known_term.max(recorded_term);
        attempt.recorded = self.records.promotion(service).cloned();
        attempt.enter_stage(Stage::Querying, now);
        self.query_members(service);
    }

    pub(super) fn handle_record_failed(&mut self, now: Time, service: &ServiceName) {
        let is_claiming = self
            .attempts
            .get(service)
            .is_some_and(|attempt| attempt.stage == Stage::Claiming);
        if is_claiming {
            self.give_up(now, service, "the record could not be written");
        }
    }

    pub(super) fn review_queued(&mut self, now: Time, service: &ServiceName) {
        let is_due = self
            .attempts
            .get(service)
            .is_some_and(|attempt| now >= attempt.not_before);
        if is_due {
            self.claim(now, service);
        }
    }

    pub(super) fn review_claim(&mut self, now: Time, service: &ServiceName) {
        let is_late = self
            .attempts
            .get(service)
            .is_some_and(|attempt| now.since(attempt.stage_since) > self.options.call_timeout);
        if is_late {
            self.give_up(now, service, "the store does not answer");
        }
    }

    /// Repeats the announcement of the attempt's term until the attempt ends, to nodes that have
    /// not confirmed it and, less often, to all: a node that was paused has missed it, and one that
    /// has restarted has forgotten it.
    pub(super) fn repeat_announcement(&mut self, now: Time, service: &ServiceName) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        if !attempt.is_announced && !attempt.must_fence {
            return;
        }
        if now >= attempt.announced_at + lease {
            return self.announce_pending_term(now, service);
        }
        let term = attempt.pending_term();
        let demotion = attempt.demotion.as_ref();
        let unconfirmed = demotion.map(Demotion::unconfirmed_users);
        let unconfirmed = unconfirmed.filter(|users| !users.is_empty());
        if now >= attempt.reminded_at + lease / REMINDER_DIVISOR
            && let Some(users) = unconfirmed
        {
            attempt.reminded_at = now;
            self.effects
                .push(Effect::Revoke(service.clone(), term, users));
        }
    }

    /// Tells all nodes that a later term may start.
    pub(super) fn announce_pending_term(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let term = attempt.pending_term();
        if self.options.leadership_lease.is_some() && term > Term::default() {
            attempt.announced_at = now;
            attempt.reminded_at = now;
            attempt.is_announced = true;
            let revoke = Effect::Revoke(service.clone(), term, self.leader_users.clone());
            self.effects.push(revoke);
        }
    }
}
