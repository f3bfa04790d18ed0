//! One request from its start to its outcome.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_types::{AccessClass, BackendId, Freshness, OutcomeClass, ResultCode, Term, Time};

use crate::GroupRouting;
use crate::choice::choose_replica;
use crate::hold::HoldTicket;
use crate::outcome::{Failure, Outcome};
use crate::view::Observation;

/// How long after its deadline a request that was sent may still be answered, since the owner keeps
/// the deadline too and knows better how it ended.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Pause before an owner is looked for again.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// Advised to callers whose retries are not paid for.
const BUDGET_PAUSE: Duration = Duration::from_millis(200);

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether it may write.
    pub access: AccessClass,
    /// Whether it may run twice: a read, a write so marked by its caller, or one with a request key.
    pub repeatable: bool,
    /// Whether it may commit writes. False for the first batch of a transaction that stays open.
    pub may_commit: bool,
    /// The answer must come from a copy that covers this.
    pub floor: Option<Freshness>,
    /// Whether replicas are not to be asked, since the floor could not be learnt.
    pub primary_only: bool,
    /// When the caller gives up.
    pub deadline: Time,
    /// Its size, for the hold queue.
    pub bytes: usize,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It arrived. Always the first event.
    Start,
    /// The owner lent a connection. Carries the back end's state, if known.
    Admitted(Option<Observation>),
    /// The owner refused; nothing ran.
    Refused {
        /// Why, of the class *not run*.
        code: ResultCode,
        /// When it may be worth asking again.
        retry_after: Option<Duration>,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// The first bytes of the answer were passed to the caller.
    AnswerBegun,
    /// The batch ended and its answer was passed on whole. Carries the back end's state, if known.
    Done(Option<Observation>),
    /// The owner cannot tell the outcome.
    OutcomeUnknown {
        /// Why, of the class *outcome unknown*.
        code: ResultCode,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// The batch's transaction was lost without being committed.
    TransactionLost,
    /// The connection to the owner was lost.
    StreamLost {
        /// Whether the request had been sent on it.
        opened: bool,
    },
    /// A primary was learnt, or the one known was found alive.
    PrimaryLearnt,
    /// The caller cancels.
    Cancelled,
    /// Time has passed; comes at the latest at each [`Effect::WakeAt`].
    Tick,
}

/// One try at one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The back end.
    pub backend: BackendId,
    /// Whether to ask its standby owner.
    pub use_standby: bool,
    /// The owner is to refuse unless the back end's term is at least this.
    pub expected_term: Term,
    /// How long the owner may wait for the floor.
    pub freshness_wait: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request.
    Send(Attempt),
    /// Deliver [`Event::Tick`] at this moment. Replaces the moment named before.
    WakeAt(Time),
    /// Ask the group's members for the newest primary, then deliver [`Event::PrimaryLearnt`].
    FindPrimary,
    /// Pass the cancellation to the owner.
    Cancel,
    /// Let go of the stream.
    Abandon,
    /// Answer the caller. The last effect.
    Finish(Outcome),
}

#[derive(Debug, PartialEq, Eq)]
struct Sent {
    backend: BackendId,
    term: Term,
    use_standby: bool,
    answered: bool,
}

#[derive(Debug, PartialEq, Eq)]
struct Waiting {
    ticket: Option<HoldTicket>,
    /// When to give up waiting.
    until: Time,
    /// When to go on by itself; `Time::NEVER` when only a primary can help.
    resume: Time,
    /// What to answer when nothing helped.
    cause: ResultCode,
}

#[derive(Debug, PartialEq, Eq)]
enum State {
    New,
    Waiting(Waiting),
    Sent(Sent),
    Finished,
}

/// Decides for one request. Feed it events until it returns [`Effect::Finish`].
#[derive(Debug)]
pub struct RequestMachine {
    spec: RequestSpec,
    state: State,
    /// Replicas that refused or failed since the last pause.
    tried: BTreeSet<BackendId>,
    /// Set once an attempt of a repeatable request ended with its outcome unknown.
    unknown: Option<ResultCode>,
    /// When the request began to wait for a primary, over all waits.
    waits_until: Option<Time>,
    cancelled: bool,
}

impl RequestMachine {
    /// A machine for a request that has not started.
    #[must_use]
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            state: State::New,
            tried: BTreeSet::new(),
            unknown: None,
            waits_until: None,
            cancelled: false,
        }
    }

    /// What is asked for.
    #[must_use]
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Whether the request has its outcome.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Whether an attempt is under way.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }

    /// Takes an event and says what to do. `random` is used to spread load.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event,
        group: &mut GroupRouting,
        random: u64,
    ) -> Vec<Effect> {
        if self.is_finished() {
            return Vec::new();
        }
        let mut step = Step {
            machine: self,
            now,
            group,
            random,
            effects: Vec::new(),
        };
        step.take(event);
        step.effects
    }
}

/// The handling of one event.
struct Step<'a> {
    machine: &'a mut RequestMachine,
    now: Time,
    group: &'a mut GroupRouting,
    random: u64,
    effects: Vec<Effect>,
}

impl Step<'_> {
    fn take(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Tick => self.tick(),
            Event::PrimaryLearnt => self.primary_learnt(),
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
            .waits_until
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

    fn primary_learnt(&mut self) {
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
            Event::AnswerBegun => sent.answered = true,
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
            Event::StreamLost { opened: false } => self.owner_refused(ResultCode::NotOwner),
            Event::StreamLost { opened: true } => self.lost(ResultCode::OwnerLostAfterSend),
            Event::Start | Event::PrimaryLearnt | Event::Cancelled | Event::Tick => {}
        }
    }

    fn observe(&mut self, backend: &BackendId, observation: Option<Observation>) {
        if let Some(observation) = observation {
            self.group.view.observe(self.now, backend, observation);
        }
    }

    fn done(&mut self, backend: &BackendId, observation: Option<Observation>) {
        self.observe(backend, observation);
        self.group.view.succeeded(backend);
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
        self.group.view.lagged(self.now, &backend);
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
        self.group.view.failed(self.now, &backend, at_least);
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
