//! Promotes the target, handles the outcome, and ends the attempt.

use std::time::Duration;

use stairward_types::{BackendId, Freshness, ServiceName, Time};

use super::FailoverController;
use crate::attempt::{Attempt, Stage};
use crate::event::{Effect, FailoverStep, FencingToken, PromotionOutcome, RecordedPromotion};

/// Delay before the next attempt after one that might have lost an acknowledged commit. Each
/// attempt costs a write to the store.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(1_000);

impl FailoverController {
    pub(super) fn promote(
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
        let term = attempt.promotion_term(&target);
        attempt.target = Some(target.clone());
        attempt.enter_stage(Stage::Promoting, now);
        let chose = FailoverStep::Chose {
            target: target.clone(),
            token,
            received,
            answers,
        };
        self.log(service, chose);
        let promotion = RecordedPromotion {
            leader: target.clone(),
            term,
            is_pending: true,
        };
        self.record_promotion(now, service, promotion);
        self.effects
            .push(Effect::Promote(service.clone(), target, token));
    }

    /// Promotes the member that already leads. This changes no role, but its higher token prevents
    /// earlier promotion calls from taking effect.
    ///
    /// If the earlier promotion takes effect first, this one starts another term. The nodes are
    /// told of that term unless the earlier one has started its own already.
    pub(super) fn fence_earlier_promotion(
        &mut self,
        now: Time,
        service: &ServiceName,
        leader: BackendId,
    ) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            attempt.target_was_leader = true;
            if !attempt.has_pending_term_started(&leader) {
                attempt.known_term = attempt.next_term();
                self.announce_pending_term(now, service);
            }
        }
        self.promote(now, service, leader, None);
    }

    /// Whether promoting a member that reports the primary role only fences an earlier promotion.
    /// Where old primaries go on, it may have been replaced by a member that does not answer; then
    /// it must be demoted like any other old primary.
    pub(super) fn may_fence_with(&self, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return false;
        };
        self.options.leadership_lease.is_none()
            || attempt.has_pending_term_started(leader)
            || attempt.have_others_answered(group, leader)
    }

    pub(super) fn review_promotion(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_late = now.since(attempt.stage_since) > self.options.call_timeout;
        let has_taken_effect = !attempt.target_was_leader && self.target_leads(service);
        if is_late || has_taken_effect {
            self.restart_after_unknown_promotion(now, service);
        }
    }

    /// Starts over after a promotion without an answer, which may still be carried out at any later
    /// time. Only an answered decision with a higher token prevents that, so the attempt continues
    /// until there is one.
    pub(super) fn restart_after_unknown_promotion(&mut self, now: Time, service: &ServiceName) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            let old = attempt.old.clone();
            let held = std::mem::take(&mut attempt.held);
            let is_planned = attempt.is_planned;
            let settles_announcement = attempt.settles_announcement;
            let pending = attempt.demotion.as_ref().map(|demotion| demotion.term);
            let known_term = attempt.known_term.max(pending.unwrap_or_default());
            let mut pending_targets = std::mem::take(&mut attempt.pending_targets);
            pending_targets.extend(attempt.target.take());
            let pending_fences = attempt.pending_fences + u64::from(attempt.target_was_leader);
            let is_announced = attempt.is_announced;
            *attempt = Attempt::new(old, is_planned, now);
            attempt.held = held;
            attempt.must_fence = true;
            attempt.settles_announcement = settles_announcement;
            attempt.pending_targets = pending_targets;
            attempt.pending_fences = pending_fences;
            attempt.is_announced = is_announced;
            // The unanswered promotion may still start that term, so the next one must be higher.
            attempt.known_term = known_term;
        }
        // The promotion may take effect at any time, and the next claim may take long.
        self.announce_pending_term(now, service);
        self.claim(now, service);
    }

    pub(super) fn handle_promotion_outcome(
        &mut self,
        now: Time,
        service: &ServiceName,
        token: FencingToken,
        outcome: PromotionOutcome,
    ) {
        self.log(service, FailoverStep::Answered { token, outcome });
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        if attempt.token != Some(token) || attempt.stage != Stage::Promoting {
            return;
        }
        match outcome {
            PromotionOutcome::Accepted => {
                // Replicas stay on hold until the new primary leads; until then the old one could
                // acknowledge commits through any of them.
                attempt.enter_stage(Stage::AwaitingNewPrimary, now);
                self.record_answer(now, service);
            }
            PromotionOutcome::Refused | PromotionOutcome::Throttled => {
                self.record_answer(now, service);
                self.give_up(now, service, "the promotion was refused");
            }
            PromotionOutcome::Unknown => self.restart_after_unknown_promotion(now, service),
        }
    }

    /// Writes a promotion to the service's record, for later holders and for nodes that start, and
    /// tells the other nodes of it. The promotion does not wait for either: while the store is
    /// unavailable, no other holder can decide, and nodes that miss it have peers that know.
    fn record_promotion(
        &mut self,
        now: Time,
        service: &ServiceName,
        mut promotion: RecordedPromotion,
    ) {
        // A fence may start no term, and recorded terms never go back.
        promotion.term = promotion.term.max(self.records.term(service));
        self.records.note_promotion(service, promotion.clone());
        self.recorded_at = now;
        self.write_record(service);
        if self.must_announce_promotions(service) {
            let users = self.leader_users.clone();
            let announcement = Effect::AnnouncePromotion(service.clone(), promotion.clone(), users);
            self.effects.push(announcement);
        }
        self.effects
            .push(Effect::PromotionRecorded(service.clone(), promotion));
    }

    /// Whether nodes withhold replies of the present leader because of a promotion.
    fn must_announce_promotions(&self, service: &ServiceName) -> bool {
        let group = self.groups.get(service);
        let is_synchronous = group.is_some_and(|group| group.synchronous_replicas > 0);
        self.options.leadership_lease.is_some() || is_synchronous
    }

    /// Records that the newest promotion has been answered.
    fn record_answer(&mut self, now: Time, service: &ServiceName) {
        let target = self.attempts.get(service).and_then(|a| a.target.as_ref());
        let recorded = self.records.promotion(service);
        let recorded = recorded.filter(|recorded| Some(&recorded.leader) == target);
        if let Some(recorded) = recorded.cloned() {
            let answered = RecordedPromotion {
                is_pending: false,
                ..recorded
            };
            self.record_promotion(now, service, answered);
        }
    }

    pub(super) fn target_leads(&self, service: &ServiceName) -> bool {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return false;
        };
        attempt.target.is_some() && Self::announced_leader(group) == attempt.target.as_ref()
    }

    pub(super) fn review_new_primary(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_over = now.since(attempt.stage_since) > self.options.promotion_timeout;
        // An earlier promotion that was accepted just before this one may not have taken effect
        // yet.
        let may_end_early = !attempt.must_fence;
        if is_over || (may_end_early && self.target_leads(service)) {
            if self.records.is_last_holder(now, service) {
                self.resume_held(service);
                self.announce_attempt_ended(service);
            }
            self.restart_revocation_delay(now, service);
            let attempt = self.attempts.remove(service);
            if let Some(old) = attempt.and_then(|attempt| attempt.old) {
                self.evidence.forget(&old);
            }
            self.retry_after
                .insert(service.clone(), now + self.options.retry_delay);
        }
    }

    /// Announces the end of the attempt to the nodes that were told of its promotion.
    pub(super) fn announce_attempt_ended(&mut self, service: &ServiceName) {
        let attempt = self.attempts.get(service);
        if attempt.is_some_and(|attempt| attempt.is_announced) {
            let announcement =
                Effect::AnnounceAttemptEnded(service.clone(), self.leader_users.clone());
            self.effects.push(announcement);
        }
    }

    pub(super) fn resume_held(&mut self, service: &ServiceName) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        for held in std::mem::take(&mut attempt.held) {
            self.effects.push(Effect::Resume(held));
        }
    }

    pub(super) fn give_up(&mut self, now: Time, service: &ServiceName, reason: &'static str) {
        let is_held_by_another = self.records.is_held_by_another(now, service);
        if let Some(attempt) = self.attempts.get_mut(service)
            && attempt.must_fence
            && !is_held_by_another
        {
            // An earlier promotion may still be carried out: continue until a later one is
            // answered.
            attempt.enter_stage(Stage::Queued, now);
            attempt.not_before = now + self.options.retry_delay;
            return self.log(service, FailoverStep::GaveUp { reason });
        }
        // Only the holder of the record releases replicas, because another node may have put them
        // on hold since. They also stay on hold while a promotion may still be carried out, which
        // tells the next holder about it.
        let may_resume = self.attempts.get(service).is_some_and(|attempt| {
            !attempt.must_fence && now.since(attempt.claimed_at) <= self.options.lease * 3 / 4
        });
        if may_resume && !is_held_by_another && self.records.is_last_holder(now, service) {
            self.resume_held(service);
            self.announce_attempt_ended(service);
        }
        self.restart_revocation_delay(now, service);
        self.attempts.remove(service);
        self.retry_after
            .insert(service.clone(), now + self.options.retry_delay);
        self.log(service, FailoverStep::GaveUp { reason });
    }

    /// Whether no promotion of the attempt's best replica can lose an acknowledged commit.
    pub(super) fn keeps_acknowledged_commits(&self, service: &ServiceName) -> bool {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return false;
        };
        let in_sync = || self.in_sync.ids(service);
        group.synchronous_replicas == 0 || attempt.covers_acknowledged_commits(group, &in_sync())
    }

    /// Ends an attempt that might lose an acknowledged commit. The next one begins when a member
    /// joins, or after a while: a listed member may answer again.
    pub(super) fn refuse_promotion(&mut self, now: Time, service: &ServiceName) {
        if let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        {
            let coverage = attempt.coverage(group, &self.in_sync.ids(service));
            self.log(service, coverage.into_step());
        }
        self.give_up(now, service, "an acknowledged commit might be lost");
        let retry_at = now + REFUSAL_RETRY_DELAY;
        match self.attempts.get_mut(service) {
            Some(attempt) => attempt.not_before = retry_at,
            None => _ = self.retry_after.insert(service.clone(), retry_at),
        }
    }

    /// Gives the nodes time to confirm a leader after an attempt of this node, which announced a
    /// term itself: only a term that stays announced after that is a reason for another attempt.
    fn restart_revocation_delay(&mut self, now: Time, service: &ServiceName) {
        if let Some(since) = self.revoked_since.get_mut(service) {
            *since = now;
        }
    }
}
