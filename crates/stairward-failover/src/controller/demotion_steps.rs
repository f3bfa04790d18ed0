//! Demotes the old primary before another member leads; see [`crate::demotion`] for the proofs
//! required.

use stairward_types::{BackendId, BackendRole, Freshness, NodeId, ServiceName, Term, Time};

use super::FailoverController;
use crate::attempt::Stage;
use crate::demotion::{Demotion, DemotionProof};
use crate::event::{Effect, FailoverStep, MemberCallResult, Via};

impl FailoverController {
    /// Asks the old primary to step down before another member is promoted.
    pub(super) fn begin_demotion(&mut self, now: Time, service: &ServiceName) {
        let is_synchronous = self
            .groups
            .get(service)
            .is_some_and(|group| group.synchronous_replicas > 0);
        // On hold, a replica can't receive the rest of the old primary's log, which is needed where
        // the other members may lack a commit.
        let holds_at_once = is_synchronous && self.keeps_acknowledged_commits(service);
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let (old, token, term) = (attempt.old.clone(), attempt.token, attempt.next_term());
        let old_answer = old.as_ref().and_then(|old| attempt.answers.get(old));
        attempt.old_was_replica = old_answer.is_some_and(|old| old.role == BackendRole::Replica);
        let is_old_silent = old
            .as_ref()
            .is_some_and(|old| !attempt.answers.contains_key(old));
        let mut demotion = Demotion::new(old.clone(), term, now);
        let mut ways = vec![Via::Direct];
        if is_old_silent {
            // It did not answer the status query of this node.
            ways.extend(self.relay_peers.iter().copied().map(Via::Peer));
        }
        if old.is_some() {
            demotion.add_old_calls(&ways);
        }
        attempt.demotion = Some(demotion);
        attempt.unanswered.clear();
        attempt.enter_stage(Stage::Demoting, now);
        let began = FailoverStep::Ending {
            old: old.clone(),
            token,
            term,
            ways: ways.len(),
        };
        self.log(service, began);
        let must_hold = old.is_none() || holds_at_once;
        if let Some(old) = old {
            self.effects.push(Effect::StepDown(old, term, ways));
        }
        if must_hold {
            self.hold_replicas_for_demotion(now, service);
        }
    }

    /// Puts the replicas on hold, so that no node can confirm the old primary any longer.
    pub(super) fn hold_replicas_for_demotion(&mut self, now: Time, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        let Some(demotion) = &mut attempt.demotion else {
            return;
        };
        demotion.holding_since = Some(now);
        let mut replicas = 0;
        let term = demotion.term;
        for (id, member) in &group.members {
            // Including the old primary, which may be a replica of another member by now.
            if !member.is_listed {
                continue;
            }
            let ways = vec![Via::Direct];
            demotion.add_hold_calls(id.clone(), &ways);
            attempt.held.insert(id.clone());
            replicas += 1;
            self.effects.push(Effect::HoldVia(id.clone(), term, ways));
        }
        demotion.await_users(self.leader_users.clone());
        self.announce_pending_term(now, service);
        self.log(service, FailoverStep::Holding { replicas, term });
    }

    pub(super) fn handle_user_revoked(
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
        let Some(demotion) = &mut attempt.demotion else {
            return;
        };
        if newest >= demotion.term && attempt.stage == Stage::Demoting {
            // The old primary's own term is newer than any that the members reported.
            attempt.started_term = attempt.started_term.max(newest);
            return self.begin_demotion(now, service);
        }
        demotion.user_revoked(term, user);
    }

    pub(super) fn record_call_result(
        &mut self,
        now: Time,
        backend: &BackendId,
        via: &Via,
        result: MemberCallResult,
    ) {
        for attempt in self.attempts.values_mut() {
            let Some(demotion) = &mut attempt.demotion else {
                continue;
            };
            if !demotion.has_called(backend) {
                // A member of another service.
                continue;
            }
            demotion.record_result(now, backend, via.clone(), result);
            if let Some(status) = result.answer() {
                attempt.answers.insert(backend.clone(), status);
            }
        }
    }

    pub(super) fn review_demotion(&mut self, now: Time, service: &ServiceName) {
        let lease = self.options.leadership_lease.unwrap_or_default();
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let Some(demotion) = &attempt.demotion else {
            return;
        };
        if now.since(attempt.claimed_at) > self.options.lease * 3 / 4 {
            // The node may have been paused, and another one may act on this service by now.
            return self.give_up(now, service, "the old primary was not demoted in time");
        }
        if let Some(leader) = attempt.other_leader().cloned() {
            if !attempt.must_fence {
                return self.give_up(now, service, "another member leads already");
            }
            if self.may_fence_with(service, &leader) {
                return self.fence_earlier_promotion(now, service, leader);
            }
        }
        let old_is_sole_leader = self
            .groups
            .get(service)
            .is_some_and(|group| attempt.is_old_sole_leader(group));
        let Some(proof) = demotion.proof(now, lease, old_is_sole_leader) else {
            return self.escalate_demotion(now, service);
        };
        let may_promote = match proof {
            DemotionProof::SteppedDown(status) => self.has_caught_up(now, service, status.received),
            DemotionProof::Revoked => true,
            DemotionProof::Lapsed | DemotionProof::Unknown => self.are_holds_verified(now, service),
        };
        if may_promote {
            self.promote_after_demotion(now, service, proof);
        }
    }

    /// Advances a demotion without proof so far: has peers repeat calls that got no answer, and
    /// puts replicas on hold once the old primary had its time to step down.
    pub(super) fn escalate_demotion(&mut self, now: Time, service: &ServiceName) {
        let timeout = self.options.step_down_timeout;
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let Some(demotion) = &mut attempt.demotion else {
            return;
        };
        let peers: Vec<Via> = self.relay_peers.iter().copied().map(Via::Peer).collect();
        let term = demotion.term;
        if let Some(old) = &attempt.old
            && !peers.is_empty()
            && demotion.old_needs_peers(now, timeout / 2)
        {
            demotion.add_old_calls(&peers);
            self.effects
                .push(Effect::StepDown(old.clone(), term, peers.clone()));
        }
        for replica in demotion.replicas_needing_peers(now, timeout) {
            demotion.add_hold_calls(replica.clone(), &peers);
            if !peers.is_empty() {
                self.effects
                    .push(Effect::HoldVia(replica, term, peers.clone()));
            }
        }
        let has_timed_out = now >= demotion.started_at() + timeout || demotion.is_old_unreachable();
        if demotion.holding_since.is_none() && has_timed_out {
            self.hold_replicas_for_demotion(now, service);
        }
    }

    /// Whether all members that were put on hold still are: a promotion of an earlier attempt that
    /// was carried out late would have released them. Queries them, and restarts the demotion if
    /// one is no longer on hold.
    pub(super) fn are_holds_verified(&mut self, now: Time, service: &ServiceName) -> bool {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return false;
        };
        let Some(demotion) = &mut attempt.demotion else {
            return false;
        };
        let held = demotion.held().clone();
        let Some(since) = demotion.verifying_since else {
            demotion.verifying_since = Some(now);
            attempt.unanswered = held.clone();
            for member in held {
                self.effects.push(Effect::QueryStatus(member));
            }
            return false;
        };
        if attempt.unanswered.is_empty() {
            let term = demotion.term;
            let is_held = |id| {
                attempt
                    .answers
                    .get(id)
                    .is_some_and(|status| status.held >= term)
            };
            if held.iter().all(is_held) {
                return true;
            }
        } else if now < since + self.options.status_timeout {
            return false;
        }
        self.begin_demotion(now, service);
        false
    }

    /// Whether the chosen replica has received the whole log of the old primary as of its
    /// step-down, or the time to wait for that is over. Otherwise queries the replicas until they
    /// have.
    pub(super) fn has_caught_up(
        &mut self,
        now: Time,
        service: &ServiceName,
        all: Freshness,
    ) -> bool {
        let timeout = self.options.catch_up_timeout;
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return false;
        };
        let chosen = attempt
            .choose_target(group)
            .and_then(|chosen| chosen.received);
        let has_all = chosen.is_some_and(|received| received.covers(all));
        let Some(demotion) = &mut attempt.demotion else {
            return false;
        };
        let since = demotion.stepped_down().map_or(now, |(_, at)| at);
        if has_all || now >= since + timeout {
            return true;
        }
        if !std::mem::replace(&mut demotion.is_catching_up, true) {
            for (id, member) in &group.members {
                if Some(id) != attempt.old.as_ref() && member.is_listed {
                    attempt.unanswered.insert(id.clone());
                    self.effects
                        .push(Effect::QueryUntilReceived(id.clone(), all));
                }
            }
        }
        false
    }

    /// Promotes the best replica, now that the old primary is demoted.
    pub(super) fn promote_after_demotion(
        &mut self,
        now: Time,
        service: &ServiceName,
        proof: DemotionProof,
    ) {
        let (Some(group), Some(attempt)) = (self.groups.get(service), self.attempts.get(service))
        else {
            return;
        };
        let has_whole_log = match proof {
            // One that started without its log knows nothing of what it had acknowledged.
            DemotionProof::SteppedDown(status) => {
                !attempt.old_is_behind() && attempt.covers_log_of(group, status.received)
            }
            DemotionProof::Revoked | DemotionProof::Lapsed | DemotionProof::Unknown => false,
        };
        if !has_whole_log && !self.keeps_acknowledged_commits(service) {
            return self.refuse_promotion(now, service);
        }
        let Some(chosen) = attempt.choose_target(group) else {
            return self.give_up(now, service, "no replica answered");
        };
        let old_had = match proof {
            DemotionProof::SteppedDown(status) => Some(status.received.position.0),
            DemotionProof::Revoked | DemotionProof::Lapsed | DemotionProof::Unknown => None,
        };
        let received = chosen.received.map(|received| received.position.0);
        let began = attempt.demotion.as_ref().map_or(now, Demotion::started_at);
        let step = FailoverStep::Ended {
            proof,
            after: now.since(began),
            behind: old_had
                .zip(received)
                .map(|(old, new)| old.saturating_sub(new)),
        };
        self.log(service, step);
        self.promote(now, service, chosen.target, chosen.received);
    }
}
