//! How a request to the platform's store may fail, sorted by what the asker may conclude.

use std::time::Duration;

use snafu::Snafu;
use stairward_types::ResultCode;

/// Why a read or watch failed. Reading again is always safe.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The store cannot be reached, or answers that it is down.
    #[snafu(display("the store does not answer: {reason}"))]
    Unavailable {
        /// What was seen last.
        reason: String,
    },
    /// The store has too many readers.
    #[snafu(display("the store has too many readers, come back in {} s", retry_after.as_secs()))]
    TooManyReaders {
        /// When to come back.
        retry_after: Duration,
    },
    /// The store's answer cannot be understood.
    #[snafu(display("the store's answer cannot be understood: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// Why a conditional write failed, or may have.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// The write certainly did not take effect and never will.
    #[snafu(display("not written: {reason}"))]
    NotApplied {
        /// What was seen.
        reason: String,
    },
    /// The object has another version. When an earlier try of the same write had no reply, that
    /// version may be its own.
    #[snafu(display("not written: the object is at version {version}"))]
    Conflict {
        /// The version in the store.
        version: u64,
        /// Whether an earlier try of the same write may be what made it.
        may_be_own: bool,
    },
    /// The write may have taken effect, or may still do so.
    #[snafu(display("it is not known whether it was written: {reason}"))]
    Unknown {
        /// What was seen.
        reason: String,
    },
}

impl ReadError {
    /// The result code to show.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        ResultCode::StoreUnavailable
    }
}
