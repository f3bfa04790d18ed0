//! Transitions of a request: the handling of one event.

use std::time::Duration;

use stairward_types::{AccessClass, BackendId, OutcomeClass, ResultCode, Term, Time};

use crate::GroupRouting;
use crate::choice::choose_replica;
use crate::event::{Attempt, Effect, Event};
use crate::outcome::{Failure, Outcome};
use crate::request::{RequestMachine, Sent, State, Waiting};
use crate::view::Observation;

/// How long after its deadline a request that was sent may still be answered. The owner enforces
/// the deadline as well and knows better how the request ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Delay before the request is sent to an owner again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Retry delay for callers whose retries exceed the retry budget.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The handling of one event.
pub(crate) struct Step<'a> {
    pub(crate) machine: &'a mut RequestMachine,
    pub(crate) now: Time,
    pub(crate) group: &'a mut GroupRouting,
    pub(crate) random: u64,
    pub(crate) effects: Vec<Effect>,
}

impl Step<'_> {
    /// Handles an event and appends to the effects.
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Tick => self.tick(),
            Event::PrimaryFound => self.primary_found(),
            Event::Cancelled => self.cancelled(),
            other => self.handle_owner_event(other),
        }
    }

    fn start(&mut self) {
        let deadline = self.machine.spec.deadline;
        self.effects.push(Effect::WakeAt(deadline));
        self.attempt();
    }

    /// Sends the request to the best back end, or lets it wait.
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
            answer_started: false,
        }));
    }

    /// Changes the state and returns the place in the hold queue that the old state held.
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

    /// Waits in the hold queue until a primary is found.
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

    /// Handles an event of the attempt in progress. Late events of an earlier attempt can't arrive,
    /// since its stream is closed.
    fn handle_owner_event(&mut self, event: Event) {
        let State::Sent(sent) = &mut self.machine.state else {
            return;
        };
        let backend = sent.backend.clone();
        match event {
            Event::Admitted(observation) => self.observe(&backend, observation),
            Event::AnswerStarted => sent.answer_started = true,
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
                self.outcome_unknown(code);
            }
            Event::TransactionLost => self.transaction_lost(),
            Event::StreamLost {
                request_sent: false,
            } => self.owner_refused(ResultCode::NotOwner),
            Event::StreamLost { request_sent: true } => {
                self.outcome_unknown(ResultCode::OwnerLostAfterSend)
            }
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
            ResultCode::BackendLeaving | ResultCode::PrimaryReplaced => self.try_elsewhere(code),
            ResultCode::BackendUnavailable => {
                self.record_failure(retry_after);
                self.retry_elsewhere(Failure {
                    code,
                    retry_after: retry_after.or(Some(OWNER_RETRY_DELAY)),
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

    /// Tries another copy without charging the retry budget: each copy is tried at most once, so
    /// the number of hops is bounded.
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

    /// The back end accepts no new work; tries elsewhere without charging the retry budget, as
    /// above.
    fn try_elsewhere(&mut self, code: ResultCode) {
        self.record_failure(None);
        if self.sent_to_primary() {
            self.suspect_primary();
            return self.hold(code);
        }
        self.attempt();
    }

    /// An overloaded primary is not tried again: the caller is told at once when to retry.
    fn overloaded(&mut self, retry_after: Option<Duration>) {
        let failure = Failure {
            code: ResultCode::Overloaded,
            retry_after: retry_after.or(Some(BUDGET_RETRY_AFTER)),
        };
        if self.sent_to_primary() {
            return self.fail(failure);
        }
        self.record_failure(retry_after);
        self.retry(failure);
    }

    /// The node does not serve the back end: its standby may, or the next owner will soon.
    fn owner_refused(&mut self, code: ResultCode) {
        let Some(sent) = self.sent() else { return };
        let (backend, term, was_standby) = (sent.backend.clone(), sent.term, sent.use_standby);
        if !was_standby {
            return self.send(backend, term, true);
        }
        if self.sent_to_primary() {
            return self.wait(self.now + OWNER_RETRY_DELAY, code);
        }
        self.record_failure(None);
        self.attempt();
    }

    /// The outcome of an attempt is unknown.
    fn outcome_unknown(&mut self, code: ResultCode) {
        let spec = &self.machine.spec;
        if spec.access == AccessClass::Write && !spec.may_commit {
            // Its transaction was still open, so all of it is rolled back.
            return self.transaction_lost();
        }
        let answer_started = self.sent().is_some_and(|sent| sent.answer_started);
        self.record_failure(None);
        if answer_started || !self.machine.spec.repeatable {
            return self.fail(Failure::new(code));
        }
        // A read that may have run must not be reported as "not run" either, although running it is
        // harmless.
        self.machine.unknown = Some(code);
        self.retry_elsewhere(Failure::new(code));
    }

    /// The batch was certainly rolled back; it may run again unless the caller has seen part of the
    /// answer.
    fn transaction_lost(&mut self) {
        let answer_started = self.sent().is_some_and(|sent| sent.answer_started);
        self.record_failure(None);
        let failure = Failure::retry_after(ResultCode::TransactionLost, OWNER_RETRY_DELAY);
        if answer_started {
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

    /// Retries if the retry budget allows it; otherwise fails the request now.
    fn retry(&mut self, failure: Failure) {
        if self.group.budget.withdraw() {
            return self.attempt();
        }
        if failure.code.class() == OutcomeClass::OutcomeUnknown {
            return self.fail(failure);
        }
        let pause = failure.retry_after.unwrap_or(BUDGET_RETRY_AFTER);
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

    fn record_failure(&mut self, at_least: Option<Duration>) {
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
