//! The promotion itself, its answer or the lack of one, and the end of the attempt.

use stairward_types::{BackendId, Freshness, ServiceName, Time};

use super::FailoverController;
use crate::attempt::{Attempt, Stage};
use crate::event::{Effect, FailoverStep, FencingToken, PromotionOutcome};

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
        attempt.target = Some(target.clone());
        attempt.enter(Stage::Promoting, now);
        let chose = FailoverStep::Chose {
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
    pub(super) fn fence_earlier_promotion(
        &mut self,
        now: Time,
        service: &ServiceName,
        leader: BackendId,
    ) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            attempt.target_was_leader = true;
        }
        self.promote(now, service, leader, None);
    }

    pub(super) fn review_promotion(&mut self, now: Time, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_late = now.since(attempt.stage_since) > self.options.call_timeout;
        let has_taken_effect = !attempt.target_was_leader && self.target_leads(service);
        if is_late || has_taken_effect {
            self.promotion_unknown(now, service);
        }
    }

    /// The call may be carried out at any later time. Only a decision with a higher token that was
    /// answered keeps it from that, so the attempt goes on until one is.
    pub(super) fn promotion_unknown(&mut self, now: Time, service: &ServiceName) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            let old = attempt.old.clone();
            let held = std::mem::take(&mut attempt.held);
            let is_planned = attempt.is_planned;
            let pending = attempt.demotion.as_ref().map(|demotion| demotion.term);
            let known_term = attempt.known_term.max(pending.unwrap_or_default());
            *attempt = Attempt::new(old, is_planned, now);
            attempt.held = held;
            attempt.must_fence = true;
            // Its promotion may begin that term yet, so that the next one is above it.
            attempt.known_term = known_term;
        }
        self.claim(now, service);
    }

    pub(super) fn promotion_ended(
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
                // Replicas stay on hold until the new primary leads: the old one could acknowledge
                // through any of them until then.
                attempt.enter(Stage::AwaitingNewPrimary, now);
                self.record_term(service);
            }
            PromotionOutcome::Refused | PromotionOutcome::Throttled => {
                self.give_up(now, service, "the promotion was refused");
            }
            PromotionOutcome::Unknown => self.promotion_unknown(now, service),
        }
    }

    /// Notes the term that begins now in the service's record, for holders to come.
    fn record_term(&mut self, service: &ServiceName) {
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        if attempt.target_was_leader {
            // Promoting the one that leads begins no term.
            return;
        }
        let announced = attempt.demotion.as_ref().map(|demotion| demotion.term);
        let term = announced.unwrap_or_else(|| attempt.next_term());
        if term > self.records.term(service) {
            self.write_record(service, term);
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
        // An earlier promotion that was accepted just before this one still takes its time to take effect.
        let may_end_early = !attempt.must_fence;
        if is_over || (may_end_early && self.target_leads(service)) {
            if self.records.is_last_holder(now, service) {
                self.resume_held(service);
                self.announce_attempt_ended(service);
            }
            let attempt = self.attempts.remove(service);
            if let Some(old) = attempt.and_then(|attempt| attempt.old) {
                self.evidence.forget(&old);
            }
            self.retry_after
                .insert(service.clone(), now + self.options.retry_delay);
        }
    }

    /// The nodes that were told of a promotion learn that the attempt is over.
    pub(super) fn announce_attempt_ended(&mut self, service: &ServiceName) {
        let attempt = self.attempts.get(service);
        let was_announced = attempt
            .and_then(|attempt| attempt.demotion.as_ref())
            .is_some_and(|demotion| demotion.holding_since.is_some());
        if was_announced {
            let announce_attempt_ended =
                Effect::AnnounceAttemptEnded(service.clone(), self.leader_users.clone());
            self.effects.push(announce_attempt_ended);
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
            // An earlier promotion may still be carried out: go on until a later one is answered.
            attempt.enter(Stage::Queued, now);
            attempt.not_before = now + self.options.retry_delay;
            return self.log(service, FailoverStep::GaveUp { reason });
        }
        // Only whoever has the duty lets replicas go: another one may have put them on hold since. And they stay
        // on hold where a promotion may still be carried out: that tells the next holder.
        let may_resume = self.attempts.get(service).is_some_and(|attempt| {
            !attempt.must_fence && now.since(attempt.claimed_at) <= self.options.lease * 3 / 4
        });
        if may_resume && !is_held_by_another && self.records.is_last_holder(now, service) {
            self.resume_held(service);
            self.announce_attempt_ended(service);
        }
        self.attempts.remove(service);
        self.retry_after
            .insert(service.clone(), now + self.options.retry_delay);
        self.log(service, FailoverStep::GaveUp { reason });
    }
}
