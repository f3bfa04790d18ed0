//! State machine of one request, from its start to its outcome.

use std::collections::BTreeSet;

use stairward_types::{BackendId, ResultCode, Term, Time};

use crate::GroupRouting;
use crate::event::{Effect, Event, RequestSpec};
use crate::hold::HoldTicket;
use crate::step::Step;

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) backend: BackendId,
    pub(crate) term: Term,
    pub(crate) use_standby: bool,
    /// Whether the caller has seen part of the answer.
    pub(crate) answer_started: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) ticket: Option<HoldTicket>,
    /// When to stop waiting.
    pub(crate) until: Time,
    /// When to try again without an event; `Time::NEVER` if only a new primary can help.
    pub(crate) resume: Time,
    /// The result code if waiting ends without success.
    pub(crate) cause: ResultCode,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum State {
    New,
    Waiting(Waiting),
    Sent(Sent),
    Finished,
}

/// State machine of one request. Pass it events until it returns [`Effect::Finish`].
#[derive(Debug)]
pub struct RequestMachine {
    pub(crate) spec: RequestSpec,
    pub(crate) state: State,
    /// Replicas that refused or failed since the last wait.
    pub(crate) tried: BTreeSet<BackendId>,
    /// Set once an attempt of a repeatable request has ended with an unknown outcome.
    pub(crate) unknown: Option<ResultCode>,
    /// Time at which the request stops waiting for a primary, over all its waits.
    pub(crate) wait_deadline: Option<Time>,
    pub(crate) cancelled: bool,
}

impl RequestMachine {
    /// Creates the state machine of a request that has not started.
    #[must_use]
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            state: State::New,
            tried: BTreeSet::new(),
            unknown: None,
            wait_deadline: None,
            cancelled: false,
        }
    }

    /// The properties of the request.
    #[must_use]
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Whether the request has its outcome.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Whether an attempt is in progress.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }

    /// Handles an event and returns the effects to carry out. `random` is used to spread load.
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
        step.handle(event);
        step.effects
    }
}
