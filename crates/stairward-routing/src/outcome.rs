//! Outcome of a request.

use std::time::Duration;

use stairward_types::ResultCode;

/// Why a request was not answered, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The result code; its class says whether the request was executed.
    pub code: ResultCode,
    /// When a retry of the same request may succeed; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure for which waiting does not help.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A failure after which the caller may retry.
    #[must_use]
    pub const fn retry_after(code: ResultCode, delay: Duration) -> Self {
        Self {
            code,
            retry_after: Some(delay),
        }
    }
}

/// The outcome of a request. Every request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer of the back end was forwarded completely.
    Answered,
    /// stairward answered with an error in place of the back end.
    Failed(Failure),
}
