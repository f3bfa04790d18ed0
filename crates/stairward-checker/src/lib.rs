//! Recorded histories and one checker per invariant.
//!
//! A run records what callers asked and saw, and what the back ends, the proxies and the operators
//! did ([`HistoryEvent`]), into a [`Recorder`]. Afterwards [`check`] looks for violations of each of
//! the nine [`Invariant`]s and counts the observations each was checked on, so that a zero means
//! something.
//!
//! The crate neither reads a clock nor does I/O. It is used by the demo over real sockets and by
//! the deterministic simulation alike.

#![forbid(unsafe_code)]

mod checks;
mod event;
mod index;
mod recorder;
mod report;

pub use checks::{CheckLimits, check, check_with_limits};
pub use event::{
    CallerTransactionKind, HistoryEvent, Outcome, RequestId, RowSeen, RowWritten, SessionId,
    TransactionId,
};
pub use recorder::{History, HistoryRecord, Recorder};
pub use report::{Invariant, Report, Violation};
