//! What one event does to a request.

use std::time::Duration;

use stairward_types::{AccessClass, BackendId, OutcomeClass, ResultCode, Term, Time};

use crate::GroupRouting;
use crate::choice::choose_replica;
use crate::event::{Attempt, Effect, Event};
use crate::outcome::{Failure, Outcome};
use crate::request::{RequestMachine, Sent, State, Waiting};
use crate::view::Observation;

/// How long after its deadline a request that was sent may still be answered, since the owner keeps
/// the deadline too and knows better how it ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Pause before an owner is looked for again.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// Advised to callers whose retries are not paid for.
const BUDGET_PAUSE: Duration = Duration::from_millis(200);

/// The handling of one event.
pub(crate) struct Step<'a> {
    pub(crate) machine: &'a mut RequestMachine,
    pub(crate) now: Time,
    pub(crate) group: &'a mut GroupRouting,
    pub(crate) random: u64,
    pub(crate) effects: Vec<Effect>,
}

impl Step<'_> {
    /// Handles the event, adding to the effects.
    pub(crate) fn take(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Tick => self.tick(),
            Event::PrimaryFound => self.primary_found(),
            Event::Cancelled => self.cancelled(),
            other => self.take_from_owner(other),
        }
    }

    fn start(&mut self) {
        let deadline = self.machine.spec.deadline;
        self.effects.push(Effect::WakeAt(deadline));
        self.attempt();
    }

    /// Sends the request to the best back end, or has it wait.
    fn attempt(&mut self) {
        if self.now >= self.machine.spec.deadline {
            return self.fail(Failure::new(ResultCode::DeadlineBeforeSend));
        }
        if let Some(replica) = self.replica() {
            let term = Term::default();
            return self.send(replica, term, false);
        }
        let primary = self.group.view.primary().filter(|known| !known.suspected);
        match primary.cloned() {
            Some(primary) => self.send(primary.backend, primary.term, false),
            None => self.hold(ResultCode::BackendUnavailable),
        }
    }

    fn replica(&self) -> Option<BackendId> {
        let spec = &self.machine.spec;
        if spec.access == AccessClass::Write || spec.primary_only {
            return None;
        }
        choose_replica(
            &self.group.view,
            self.now,
            spec.floor,
            &self.machine.tried,
            self.random,
        )
    }

    fn send(&mut self, backend: BackendId, term: Term, use_standby: bool) {
        let spec = &self.machine.spec;
        self.effects.push(Effect::Send(Attempt {
            backend: backend.clone(),
            use_standby,
            expected_term: term,
            freshness_wait: self.group.limits.freshness_wait,
            remaining: spec.deadline.since(self.now),
        }));
        self.effects
            .push(Effect::WakeAt(spec.deadline + DEADLINE_GRACE));
        self.set_state(State::Sent(Sent {
            backend,
            term,
            use_standby,
            answered: false,
        }));
    }

    /// Changes the state and gives back a place in the hold queue that the old one had.
    fn set_state(&mut self, state: State) {
        let old = std::mem::replace(&mut self.machine.state, state);
        if let State::Waiting(Waiting {
            ticket: Some(ticket),
            ..
        }) = old
        {
            self.group.hold.leave(ticket);
        }
    }

    /// Waits in the hold queue until a primary is learnt.
    fn hold(&mut self, cause: ResultCode) {
        self.wait(Time::NEVER, cause);
        if !self.machine.is_finished() {
            self.effects.push(Effect::FindPrimary);
        }
    }

    fn wait(&mut self, resume: Time, cause: ResultCode) {
        if matches!(self.machine.state, State::Waiting(_)) {
            self.set_state(State::New);
        }
        let limits = &self.group.limits.hold;
        let until = *self
            .machine
            .wait_deadline
            .get_or_insert(self.now + limits.time);
        if self.now >= until {
            return self.fail(Failure::retry_after(cause, limits.time));
        }
        let Some(ticket) = self.group.hold.enter(self.machine.spec.bytes, limits) else {
            let failure = Failure::retry_after(ResultCode::HoldQueueFull, limits.time);
            return self.fail(failure);
        };
        self.machine.tried.clear();
        let deadline = self.machine.spec.deadline;
        self.effects
            .push(Effect::WakeAt(until.min(resume).min(deadline)));
        self.set_state(State::Waiting(Waiting {
            ticket: Some(ticket),
            until,
            resume,
            cause,
        }));
    }

    fn primary_found(&mut self) {
        let State::Waiting(waiting) = &mut self.machine.state else {
            return;
        };
        if waiting.resume != Time::NEVER {
            return;
        }
        let release = self
            .group
            .hold
            .release_time(self.now, &self.group.limits.hold);
        waiting.resume = release;
        if release <= self.now {
            self.attempt();
        } else {
            let deadline = self.machine.spec.deadline;
            self.effects.push(Effect::WakeAt(release.min(deadline)));
        }
    }

    fn tick(&mut self) {
        let deadline = self.machine.spec.deadline;
        match &self.machine.state {
            State::Waiting(_) if self.now >= deadline => {
                self.fail(Failure::new(ResultCode::DeadlineBeforeSend));
            }
            State::Waiting(waiting) if self.now >= waiting.resume => self.attempt(),
            State::Waiting(waiting) if self.now >= waiting.until => {
                let time = self.group.limits.hold.time;
                self.fail(Failure::retry_after(waiting.cause, time));
            }
            State::Sent(_) if self.now >= deadline + DEADLINE_GRACE => {
                self.effects.push(Effect::Abandon);
                self.fail(Failure::new(ResultCode::DeadlineAfterSend));
            }
            _ => {}
        }
    }

    fn cancelled(&mut self) {
        if self.machine.is_sent() {
            if !self.machine.cancelled {
                self.effects.push(Effect::Cancel);
            }
            self.machine.cancelled = true;
        } else {
            self.fail(Failure::new(ResultCode::CancelledBeforeSend));
        }
    }

    /// Events of the attempt under way; late ones of an earlier attempt can't arrive, since its
    /// stream is gone.
    fn take_from_owner(&mut self, event: Event) {
        let State::Sent(sent) = &mut self.machine.state else {
            return;
        };
        let backend = sent.backend.clone();
        match event {
            Event::Admitted(observation) => self.observe(&backend, observation),
            Event::AnswerStarted => sent.answered = true,
            Event::Done(observation) => self.done(&backend, observation),
            Event::Refused {
                code,
                retry_after,
                observation,
            } => {
                self.observe(&backend, observation);
                self.refused(code, retry_after);
            }
            Event::OutcomeUnknown { code, observation } => {
                self.observe(&backend, observation);
                self.lost(code);
            }
            Event::TransactionLost => self.transaction_lost(),
            Event::StreamLost {
                request_sent: false,
            } => self.owner_refused(ResultCode::NotOwner),
            Event::StreamLost { request_sent: true } => self.lost(ResultCode::OwnerLostAfterSend),
            Event::Start | Event::PrimaryFound | Event::Cancelled | Event::Tick => {}
        }
    }

    fn observe(&mut self, backend: &BackendId, observation: Option<Observation>) {
        if let Some(observation) = observation {
            self.group.view.observe(self.now, backend, observation);
        }
    }

    fn done(&mut self, backend: &BackendId, observation: Option<Observation>) {
        self.observe(backend, observation);
        self.group.view.record_success(backend);
        self.group.budget.deposit();
        self.finish(Outcome::Answered);
    }

    fn refused(&mut self, code: ResultCode, retry_after: Option<Duration>) {
        match code {
            ResultCode::NotFreshEnough => self.not_fresh_enough(),
            ResultCode::BackendLeaving | ResultCode::PrimaryReplaced => self.go_elsewhere(code),
            ResultCode::BackendUnavailable => {
                self.mark_failed(retry_after);
                self.retry_elsewhere(Failure {
                    code,
                    retry_after: retry_after.or(Some(OWNER_PAUSE)),
                });
            }
            ResultCode::Overloaded => self.overloaded(retry_after),
            ResultCode::NotOwner
            | ResultCode::NotReady
            | ResultCode::ConfigurationTooOld
            | ResultCode::ProxyStopping => self.owner_refused(code),
            _ => self.fail(Failure { code, retry_after }),
        }
    }

    /// Another copy is asked, free of charge: each is asked once at most, so the hops are bounded.
    fn not_fresh_enough(&mut self) {
        let Some(sent) = self.sent() else { return };
        let (backend, is_primary) = (sent.backend.clone(), self.sent_to_primary());
        self.group.view.record_lag(self.now, &backend);
        if is_primary {
            self.suspect_primary();
        }
        self.machine.tried.insert(backend);
        self.attempt();
    }

    /// The back end takes nothing new; free of charge, as above.
    fn go_elsewhere(&mut self, code: ResultCode) {
        self.mark_failed(None);
        if self.sent_to_primary() {
            self.suspect_primary();
            return self.hold(code);
        }
        self.attempt();
    }

    /// A full primary is not asked again: the caller is told at once when to come back.
    fn overloaded(&mut self, retry_after: Option<Duration>) {
        let failure = Failure {
            code: ResultCode::Overloaded,
            retry_after: retry_after.or(Some(BUDGET_PAUSE)),
        };
        if self.sent_to_primary() {
            return self.fail(failure);
        }
        self.mark_failed(retry_after);
        self.retry(failure);
    }

    /// The node asked does not serve the back end: its standby may, or the next owner soon will.
    fn owner_refused(&mut self, code: ResultCode) {
        let Some(sent) = self.sent() else { return };
        let (backend, term, was_standby) = (sent.backend.clone(), sent.term, sent.use_standby);
        if !was_standby {
            return self.send(backend, term, true);
        }
        if self.sent_to_primary() {
            return self.wait(self.now + OWNER_PAUSE, code);
        }
        self.mark_failed(None);
        self.attempt();
    }

    /// An attempt ended without our knowing how.
    fn lost(&mut self, code: ResultCode) {
        let spec = &self.machine.spec;
        if spec.access == AccessClass::Write && !spec.may_commit {
            // Its transaction was still open, so all of it is rolled back.
            return self.transaction_lost();
        }
        let answered = self.sent().is_some_and(|sent| sent.answered);
        self.mark_failed(None);
        if answered || !self.machine.spec.repeatable {
            return self.fail(Failure::new(code));
        }
        // A read that may have run is no longer "not run" either, though running it harms nobody.
        self.machine.unknown = Some(code);
        self.retry_elsewhere(Failure::new(code));
    }

    /// The batch is provably rolled back; it may run again unless the caller has seen answers.
    fn transaction_lost(&mut self) {
        let answered = self.sent().is_some_and(|sent| sent.answered);
        self.mark_failed(None);
        let failure = Failure::retry_after(ResultCode::TransactionLost, OWNER_PAUSE);
        if answered {
            return self.fail(failure);
        }
        self.retry_elsewhere(failure);
    }

    fn retry_elsewhere(&mut self, failure: Failure) {
        if self.sent_to_primary() {
            self.suspect_primary();
        }
        self.retry(failure);
    }

    /// Tries again if the budget pays for it; otherwise the caller gets its answer now.
    fn retry(&mut self, failure: Failure) {
        if self.group.budget.withdraw() {
            return self.attempt();
        }
        if failure.code.class() == OutcomeClass::OutcomeUnknown {
            return self.fail(failure);
        }
        let pause = failure.retry_after.unwrap_or(BUDGET_PAUSE);
        self.fail(Failure::retry_after(ResultCode::RetryBudgetSpent, pause));
    }

    fn sent(&self) -> Option<&Sent> {
        match &self.machine.state {
            State::Sent(sent) => Some(sent),
            _ => None,
        }
    }

    fn sent_to_primary(&self) -> bool {
        let primary = self.group.view.primary();
        self.sent().is_some_and(|sent| {
            primary.is_some_and(|known| known.backend == sent.backend)
                || self.machine.spec.access == AccessClass::Write
        })
    }

    fn suspect_primary(&mut self) {
        let Some(sent) = self.sent() else { return };
        let (backend, term) = (sent.backend.clone(), sent.term);
        self.group.view.suspect_primary(&backend, term);
    }

    fn mark_failed(&mut self, at_least: Option<Duration>) {
        let Some(sent) = self.sent() else { return };
        let backend = sent.backend.clone();
        self.group.view.record_failure(self.now, &backend, at_least);
        self.machine.tried.insert(backend);
    }

    fn fail(&mut self, failure: Failure) {
        // Once an attempt may have run, no later refusal makes the request "not run".
        let failure = match self.machine.unknown {
            Some(code) if failure.code.class() == OutcomeClass::NotRun => Failure::new(code),
            _ => failure,
        };
        self.finish(Outcome::Failed(failure));
    }

    fn finish(&mut self, outcome: Outcome) {
        self.set_state(State::Finished);
        self.effects.push(Effect::Finish(outcome));
    }
}
