//! Replies of back ends to the engine, and responses of the engine to callers.

use std::time::Duration;

use bytes::Bytes;
use stairward_types::{Freshness, MemberStatus, ResultCode};

/// Transaction state of a connection or session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed; only its end is accepted.
    Failed,
}

/// Why a back end refused a statement or failed to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BackendErrorCode {
    /// All slots and the queue are full; not run.
    Busy,
    /// The prepared statement is unknown on this connection; not run.
    UnknownPreparedStatement,
    /// The log has not reached the required position; not run.
    NotFresh,
    /// The back end is not the primary; not run.
    ReadOnly,
    /// The statement is invalid or not allowed in this state; not run.
    Malformed,
    /// A different back end answers at this address; not run.
    WrongBackend,
    /// The connection limit is reached; not run.
    ConnectionLimit,
    /// The back end aborted the transaction; nothing of it is kept.
    Aborted,
    /// It ran and failed.
    Failed,
    /// It exceeded its time limit; its effect is unknown.
    TimedOut,
    /// Its effect is unknown.
    InDoubt,
}

impl BackendErrorCode {
    /// Whether the error means that the statement did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::Aborted | Self::Failed | Self::TimedOut | Self::InDoubt
        )
    }
}

/// An error reported by a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendError {
    /// Its kind.
    pub code: BackendErrorCode,
    /// Its text.
    pub text: String,
}

/// A back end's complete reply to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReply {
    /// The result rows, opaque to the engine.
    pub rows: Vec<Bytes>,
    /// The back end's signature of the completed statement, which is missing in replies to commands of the proxy
    /// itself, or the error.
    pub result: Result<Option<String>, BackendError>,
    /// The connection's transaction state after the command.
    pub status: TransactionStatus,
    /// The back end's log position.
    pub position: Option<Freshness>,
    /// The back end's status, if it was queried.
    pub member: Option<MemberStatus>,
}

impl BackendReply {
    /// The kind of its result, for log lines.
    #[must_use]
    pub const fn kind_name(&self) -> &'static str {
        match &self.result {
            Ok(Some(_)) => "signed",
            Ok(None) => "unsigned",
            Err(_) => "error",
        }
    }
}

/// The result of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseResult {
    /// It succeeded.
    Completed {
        /// The back end's signature of the completed statement; none if no back end was needed.
        signature: Option<String>,
    },
    /// Stairward itself refused or ended the request.
    Refused {
        /// The reason.
        code: ResultCode,
        /// When a retry may succeed; set only if the request did not run.
        retry_after: Option<Duration>,
    },
    /// The back end returned an error.
    Failed(BackendError),
}

/// The response to a caller's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The result rows, opaque to the engine.
    pub rows: Vec<Bytes>,
    /// The result.
    pub result: ResponseResult,
    /// The session's transaction state after the request.
    pub status: TransactionStatus,
    /// The log position of the back end that answered.
    pub position: Option<Freshness>,
}
