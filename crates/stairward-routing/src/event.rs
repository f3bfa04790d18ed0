//! What the request machine is told, and what it asks for.

use std::time::Duration;

use stairward_types::{AccessClass, BackendId, Freshness, ResultCode, Term, Time};

use crate::outcome::Outcome;
use crate::view::Observation;

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
    AnswerStarted,
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
        request_sent: bool,
    },
    /// A primary was learnt, or the one known was found alive.
    PrimaryFound,
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
    /// Ask the group's members for the newest primary, then deliver [`Event::PrimaryFound`].
    FindPrimary,
    /// Pass the cancellation to the owner.
    Cancel,
    /// Let go of the stream.
    Abandon,
    /// Answer the caller. The last effect.
    Finish(Outcome),
}
