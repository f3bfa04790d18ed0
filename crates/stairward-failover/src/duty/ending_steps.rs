//! Ending the old primary's lead before another leads; see [`crate::ending`] for what proves it.

use stairward_types::{BackendId, BackendRole, Freshness, NodeId, ServiceName, Term, Time};

use super::FailoverController;
use crate::attempt::Stage;
use crate::ending::{DemotionProof, Ending};
use crate::event::{Effect, FailoverStep, MemberCallResult, Via};

impl FailoverController {
    /// Has the old primary give way, before another is promoted.
    pub(super) fn begin_ending(&mut self, now: Time, service: &ServiceName) {
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
        let began = FailoverStep::Ending {
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
    pub(super) fn hold_for_ending(&mut self, now: Time, service: &ServiceName) {
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
            self.effects.push(Effect::HoldVia(id.clone(), term, ways));
        }
        ending.ask_users(self.users.clone());
        let revoke = Effect::Revoke(service.clone(), term, self.users.clone());
        self.effects.push(revoke);
        self.log(service, FailoverStep::Holding { replicas, term });
    }

    pub(super) fn user_revoked(
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

    pub(super) fn take_reach(
        &mut self,
        now: Time,
        backend: &BackendId,
        via: &Via,
        reach: MemberCallResult,
    ) {
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

    pub(super) fn review_ending(&mut self, now: Time, service: &ServiceName) {
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
            DemotionProof::SteppedDown(status) => self.has_caught_up(now, service, status.received),
            DemotionProof::Revoked => true,
            DemotionProof::Lapsed | DemotionProof::Unknown => self.are_holds_verified(now, service),
        };
        if is_certain {
            self.ended(now, service, proof);
        }
    }

    /// The old primary's lead is not over yet: others are asked to help, or replicas put on hold.
    pub(super) fn press_ending(&mut self, now: Time, service: &ServiceName) {
        let patience = self.options.step_down_timeout;
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
                    .push(Effect::HoldVia(replica, term, peers.clone()));
            }
        }
        let has_waited = now >= ending.began() + patience || ending.is_old_unreachable();
        if ending.holding_since.is_none() && has_waited {
            self.hold_for_ending(now, service);
        }
    }

    /// Whether all members that were put on hold still are: a promotion of an earlier attempt, carried out
    /// late, would have let them go. Asks them; where one is not, the ending begins anew.
    pub(super) fn are_holds_verified(&mut self, now: Time, service: &ServiceName) -> bool {
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
                self.effects.push(Effect::QueryStatus(member));
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
        } else if now < since + self.options.status_timeout {
            return false;
        }
        self.begin_ending(now, service);
        false
    }

    /// Whether a replica has received all that an old primary's log had when it stepped down, or there is no
    /// use in waiting for that any longer. Asks them where that is not known.
    pub(super) fn has_caught_up(
        &mut self,
        now: Time,
        service: &ServiceName,
        all: Freshness,
    ) -> bool {
        let patience = self.options.catch_up_timeout;
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
                    self.effects
                        .push(Effect::QueryUntilReceived(id.clone(), all));
                }
            }
        }
        false
    }

    /// The old primary's lead is over: the best replica is promoted.
    pub(super) fn ended(&mut self, now: Time, service: &ServiceName, proof: DemotionProof) {
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
            DemotionProof::SteppedDown(status) => Some(status.received.position.0),
            DemotionProof::Revoked | DemotionProof::Lapsed | DemotionProof::Unknown => None,
        };
        let received = chosen.received.map(|received| received.position.0);
        let began = attempt.ending.as_ref().map_or(now, Ending::began);
        let ended = FailoverStep::Ended {
            proof,
            after: now.since(began),
            behind: old_had
                .zip(received)
                .map(|(old, new)| old.saturating_sub(new)),
        };
        self.log(service, ended);
        self.promote(now, service, chosen.target, chosen.received);
    }
}
