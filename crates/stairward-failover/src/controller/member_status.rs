//! Queries members for their status and evaluates the answers, before any of them is changed.

use stairward_types::{BackendId, BackendRole, MemberStatus, ServiceName, Term, Time};

use super::FailoverController;
use crate::attempt::Stage;
use crate::event::{Effect, Via};

impl FailoverController {
    /// Puts replicas on hold that joined after the others were: through them the old primary could
    /// acknowledge commits again.
    pub(super) fn hold_new_replicas(&mut self, service: &ServiceName) {
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
            if attempt.stage == Stage::Querying {
                attempt.unanswered.insert(id.clone());
            }
            if let Some(demotion) = &mut attempt.demotion {
                demotion.add_hold_calls(id.clone(), &[Via::Direct]);
                let ways = vec![Via::Direct];
                self.effects
                    .push(Effect::HoldVia(id.clone(), demotion.term, ways));
                continue;
            }
            self.effects.push(Effect::Hold(id.clone(), term));
        }
    }

    pub(super) fn query_members(&mut self, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        self.effects.push(Effect::QueryNewestTerms(service.clone()));
        for (id, member) in &group.members {
            if !member.is_listed && Some(id) != attempt.old.as_ref() {
                continue;
            }
            attempt.unanswered.insert(id.clone());
            self.effects.push(Effect::QueryStatus(id.clone()));
        }
    }

    /// Puts the replicas on hold, so that no further commit is acknowledged, and queries them
    /// again.
    pub(super) fn hold_replicas(&mut self, now: Time, service: &ServiceName) {
        let (Some(group), Some(attempt)) =
            (self.groups.get(service), self.attempts.get_mut(service))
        else {
            return;
        };
        let term = Term(attempt.newest_term().0 + 1);
        attempt.enter_stage(Stage::Querying, now);
        attempt.has_held_replicas = true;
        attempt.unanswered.clear();
        for id in group.members.keys() {
            if Some(id) == attempt.old.as_ref() {
                continue;
            }
            attempt.answers.remove(id);
            attempt.unanswered.insert(id.clone());
            attempt.held.insert(id.clone());
            self.effects.push(Effect::Hold(id.clone(), term));
        }
    }

    pub(super) fn record_newest_terms(
        &mut self,
        service: &ServiceName,
        started: Term,
        announced: Term,
    ) {
        if let Some(attempt) = self.attempts.get_mut(service) {
            attempt.started_term = attempt.started_term.max(started);
            attempt.known_term = attempt.known_term.max(announced);
        }
    }

    pub(super) fn record_status(&mut self, backend: &BackendId, status: Option<MemberStatus>) {
        for attempt in self.attempts.values_mut() {
            let is_asked = matches!(attempt.stage, Stage::Querying | Stage::Demoting);
            if !is_asked || !attempt.unanswered.remove(backend) {
                continue;
            }
            if let Some(status) = status {
                attempt.answers.insert(backend.clone(), status);
            }
        }
    }

    pub(super) fn review_answers(&mut self, now: Time, service: &ServiceName) {
        self.adopt_holds(service);
        let Some(attempt) = self.attempts.get(service) else {
            return;
        };
        let is_late = now.since(attempt.stage_since) >= self.options.status_timeout;
        // If the old primary is demoted before another leads, the demotion gives it more time to
        // answer.
        let old_timeout = match self.options.leadership_lease {
            Some(_) => self.options.step_down_timeout,
            None => self.options.status_timeout,
        };
        let await_old = attempt.old.as_ref().is_some_and(|old| {
            (!attempt.is_planned || attempt.settles_announcement)
                && !self.evidence.is_refused(old)
                && attempt.unanswered.contains(old)
                && now.since(attempt.stage_since) < old_timeout
        });
        let is_complete = attempt.has_all_replica_answers() && !await_old;
        if !is_complete && !is_late {
            return;
        }
        if now.since(attempt.stage_since) > self.options.lease / 2 {
            // The node may have been paused, and another one may act on this service by now.
            return self.give_up(now, service, "the answers are too old");
        }
        self.adopt_pending_promotion(service);
        self.decide(now, service);
    }

    /// Decides by the answers whether the leader must be replaced, and begins with it.
    fn decide(&mut self, now: Time, service: &ServiceName) {
        let (Some(attempt), Some(group)) = (self.attempts.get(service), self.groups.get(service))
        else {
            return;
        };
        let old_has_lost_log = attempt.old_is_behind()
            && attempt
                .old
                .as_ref()
                .is_some_and(|old| self.evidence.has_lost_log(old));
        let current_leader = attempt.current_leader().cloned();
        if (attempt.must_fence || attempt.settles_announcement)
            && let Some(leader) = current_leader
            && !(old_has_lost_log && Some(&leader) == attempt.old.as_ref())
        {
            return if self.may_fence_with(service, &leader) {
                self.fence_earlier_promotion(now, service, leader)
            } else {
                self.begin_demotion(now, service)
            };
        }
        if let Some(leader) = attempt.other_leader().cloned() {
            self.evidence.forget(&leader);
            return self.give_up(now, service, "another member leads already");
        }
        if !attempt.is_planned && attempt.old_still_leads() && !old_has_lost_log {
            if let Some(old) = attempt.old.clone() {
                self.evidence.forget(&old);
            }
            return self.give_up(now, service, "the primary reports that it still leads");
        }
        // Before any member is changed, so that a refused attempt has nothing to undo. A primary
        // that answers can step down and pass its whole log on.
        let may_step_down = attempt.old_still_leads() && !old_has_lost_log;
        if !may_step_down && !self.keeps_acknowledged_commits(service) {
            return self.refuse_promotion(now, service);
        }
        if self.options.leadership_lease.is_some() {
            return self.begin_demotion(now, service);
        }
        if group.synchronous_replicas > 0 {
            if !attempt.has_held_replicas {
                return self.hold_replicas(now, service);
            }
            if !self.keeps_acknowledged_commits(service) {
                return self.refuse_promotion(now, service);
            }
        }
        let Some(chosen) = attempt.choose_target(group) else {
            return self.give_up(now, service, "no replica answered");
        };
        self.promote(now, service, chosen.target, chosen.received);
    }

    /// Adopts the recorded promotion of an earlier holder if it had no answer and has not taken
    /// effect.
    fn adopt_pending_promotion(&mut self, service: &ServiceName) {
        let Some(attempt) = self.attempts.get_mut(service) else {
            return;
        };
        let Some(recorded) = attempt.recorded.clone().filter(|known| known.is_pending) else {
            return;
        };
        let status = attempt.answers.get(&recorded.leader);
        let has_taken_effect = status.is_some_and(|status| {
            status.role == BackendRole::Primary && status.term >= recorded.term
        });
        if !has_taken_effect {
            attempt.must_fence = true;
            attempt.pending_targets.insert(recorded.leader);
        }
    }

    /// Adopts the holds that an earlier attempt left behind. They are released only once this
    /// attempt's own decision is answered, since a promotion of the earlier attempt may still be
    /// carried out.
    pub(super) fn adopt_holds(&mut self, service: &ServiceName) {
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
        let held_for = attempt.answers.values().map(|status| status.held);
        attempt.known_term = attempt.known_term.max(held_for.max().unwrap_or_default());
        attempt.held.extend(left);
    }
}
