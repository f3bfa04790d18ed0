//! Events that the request machine receives, and effects that it returns.

use std::time::Duration;

use stairward_types::{AccessClass, BackendId, Freshness, ResultCode, Term, Time};

use crate::outcome::Outcome;
use crate::view::Observation;

/// Properties of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether the request may write.
    pub access: AccessClass,
    /// Whether it may be executed twice: a read, a write marked repeatable by its caller, or a
    /// write with a request key.
    pub repeatable: bool,
    /// Whether it may commit writes. False for the first batch of a transaction that stays open.
    pub may_commit: bool,
    /// Freshness floor: the copy that answers must cover it.
    pub floor: Option<Freshness>,
    /// Whether only the primary may answer, since the floor could not be determined.
    pub primary_only: bool,
    /// The deadline of the caller.
    pub deadline: Time,
    /// Its size in bytes, for the hold queue.
    pub bytes: usize,
}

/// An event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request arrived. Always the first event.
    Start,
    /// The owner admitted the request to a connection. Contains the back end's state, if known.
    Admitted(Option<Observation>),
    /// The owner refused the request; nothing was executed.
    Refused {
        /// The reason, of the class *not run*.
        code: ResultCode,
        /// When a retry may succeed.
        retry_after: Option<Duration>,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// The first bytes of the answer were forwarded to the caller.
    AnswerStarted,
    /// The batch ended and its answer was forwarded completely. Contains the back end's state, if
    /// known.
    Done(Option<Observation>),
    /// The owner cannot tell the outcome.
    OutcomeUnknown {
        /// The reason, of the class *outcome unknown*.
        code: ResultCode,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// The transaction of the batch was lost without being committed.
    TransactionLost,
    /// The connection to the owner was lost.
    StreamLost {
        /// Whether the request had been sent on it.
        request_sent: bool,
    },
    /// A new primary was found, or the known one was confirmed.
    PrimaryFound,
    /// The caller cancelled the request.
    Cancelled,
    /// Time has passed; delivered at the latest at each [`Effect::WakeAt`].
    Tick,
}

/// One attempt at one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The back end.
    pub backend: BackendId,
    /// Whether to send it to the standby owner of the back end.
    pub use_standby: bool,
    /// The owner must refuse the request unless the back end's term is at least this.
    pub expected_term: Term,
    /// How long the owner may wait until the back end reaches the floor.
    pub freshness_wait: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// Output of the request machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request.
    Send(Attempt),
    /// Deliver [`Event::Tick`] at this time. Replaces the previous time.
    WakeAt(Time),
    /// Query the members of the group for the newest primary, then deliver [`Event::PrimaryFound`].
    FindPrimary,
    /// Forward the cancellation to the owner.
    Cancel,
    /// Abandon the stream.
    Abandon,
    /// Complete the request with this outcome. The last effect.
    Finish(Outcome),
}
