//! How a request ends.

use std::time::Duration;

use stairward_types::ResultCode;

/// Why a request was not answered, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The result code; its class says whether the request ran.
    pub code: ResultCode,
    /// When the same request may be worth sending again; `None` when waiting doesn't help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure that waiting doesn't mend.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A failure after which the caller may come back.
    #[must_use]
    pub const fn retry_after(code: ResultCode, delay: Duration) -> Self {
        Self {
            code,
            retry_after: Some(delay),
        }
    }
}

/// How a request ended. Every request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The back end's answer was passed on whole.
    Answered,
    /// stairward answers in the back end's place.
    Failed(Failure),
}
