//! Errors of requests to the platform's store, distinguished by whether the request may have taken effect.

use std::time::Duration;

use snafu::Snafu;
use stairward_types::ResultCode;

/// Why a read or watch failed. Repeating it is always safe.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The store is unreachable or reports a server error.
    #[snafu(display("the store does not answer: {reason}"))]
    Unavailable {
        /// The last error.
        reason: String,
    },
    /// The store has too many readers.
    #[snafu(display("the store has too many readers, come back in {} s", retry_after.as_secs()))]
    TooManyReaders {
        /// Delay before the next attempt.
        retry_after: Duration,
    },
    /// The store's answer is malformed.
    #[snafu(display("the store's answer cannot be understood: {reason}"))]
    Malformed {
        /// The parser's error.
        reason: String,
    },
}

/// Why a conditional write failed, or may have failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// The write did not take effect and never will.
    #[snafu(display("not written: {reason}"))]
    NotApplied {
        /// The last error.
        reason: String,
    },
    /// The object has another version. If an earlier attempt of the same write got no reply, that attempt
    /// may have created it.
    #[snafu(display("not written: the object is at version {version}"))]
    Conflict {
        /// The version in the store.
        version: u64,
        /// Whether an earlier attempt of the same write may have created that version.
        may_be_own: bool,
    },
    /// The write may have taken effect, or may still do so.
    #[snafu(display("it is not known whether it was written: {reason}"))]
    Unknown {
        /// The last error.
        reason: String,
    },
}

impl ReadError {
    /// The result code for this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        ResultCode::StoreUnavailable
    }
}
