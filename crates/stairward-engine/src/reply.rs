//! Answers of back ends to the engine, and of the engine to callers.

use std::time::Duration;

use bytes::Bytes;
use stairward_types::{Freshness, MemberStatus, ResultCode};

/// Where a connection or session stands with regard to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and failed; only its end is accepted.
    Failed,
}

/// Why a back end refused a statement or failed at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendErrorCode {
    /// All slots and the queue are full; not run.
    Busy,
    /// The prepared name does not exist there; not run.
    UnknownPreparedStatement,
    /// The log lacks the asked position; not run.
    NotFresh,
    /// It is not, or no longer, the primary; not run.
    ReadOnly,
    /// The statement is not understood or not allowed now; not run.
    Malformed,
    /// Another back end answers at this address; not run.
    WrongBackend,
    /// Too many connections; not run.
    ConnectionLimit,
    /// The transaction was ended by the back end; nothing is kept.
    Aborted,
    /// It ran and failed.
    Failed,
    /// It ran too long; its effect is not known.
    TimedOut,
    /// Its effect is not known.
    InDoubt,
}

impl BackendErrorCode {
    /// Whether the back end says that the statement did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::Aborted | Self::Failed | Self::TimedOut | Self::InDoubt
        )
    }
}

/// An error as a back end reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendError {
    /// Its kind.
    pub code: BackendErrorCode,
    /// Its text.
    pub text: String,
}

/// A back end's whole answer to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReply {
    /// The result rows, opaque.
    pub rows: Vec<Bytes>,
    /// The signature of success, or the error.
    pub result: Result<String, BackendError>,
    /// The connection's transaction afterwards.
    pub status: TransactionStatus,
    /// How far the back end's log had come.
    pub position: Option<Freshness>,
    /// What the back end says of itself, where it was asked for that.
    pub member: Option<MemberStatus>,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseResult {
    /// It succeeded.
    Completed {
        /// The back end's signature; none where no back end was needed.
        signature: Option<String>,
    },
    /// Stairward itself ends it.
    Refused {
        /// Why.
        code: ResultCode,
        /// When it may be worth asking again; given only where it did not run.
        retry_after: Option<Duration>,
    },
    /// The back end's own error.
    Failed(BackendError),
}

/// The answer to a caller's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The result rows, opaque.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub result: ResponseResult,
    /// The session's transaction afterwards.
    pub status: TransactionStatus,
    /// How far the log of the back end that answered had come.
    pub position: Option<Freshness>,
}
