//! Recorded histories and one checker per invariant.
//!
//! During a run, a [`Recorder`] collects [`HistoryEvent`]s: the requests of callers and their
//! outcomes, and the actions of back ends, proxies and operators. Afterwards [`check`] looks for
//! violations of each of the nine [`Invariant`]s. It also counts the observations on which each
//! invariant was checked, because no violations in no observations would prove nothing.
//!
//! The crate reads no clock and does no I/O, so both the demo, which uses real sockets, and the
//! deterministic simulation can use it.

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
