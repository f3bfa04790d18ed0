//! Types shared by all stairward crates: identifiers, terms and log positions, time, result codes
//! and log events.
//!
//! This crate contains plain values only: no I/O, no clocks and no protocols.

#![forbid(unsafe_code)]

mod api_key;
mod event;
mod freshness;
mod identifier;
mod member_status;
mod result_code;
mod store_revision;
mod time;

pub use api_key::ApiKey;
pub use event::{LogEvent, LogLevel};
pub use freshness::{Freshness, LogPosition, ParseLogPositionError, Term};
pub use identifier::{
    BackendId, ChangeId, GroupId, Incarnation, InvalidName, NodeId, RegionName, Revision,
    ServiceName, StreamId, TenantName, ZoneName,
};
pub use member_status::MemberStatus;
pub use result_code::{OutcomeClass, ResultCode};
pub use store_revision::StoreRevision;
pub use time::{Duration, Time};

/// Access that a statement requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AccessClass {
    /// Only reads; any sufficiently fresh back end may run it.
    Read,
    /// May write, or could not be classified; only the primary may run it.
    Write,
}

/// State of a back end set by operators in the settings tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum AdminState {
    /// Warming up: connections are opened, but no work is assigned yet.
    Joining,
    /// In use.
    #[default]
    Active,
    /// Finishes running work and gets no new work.
    Leaving,
}

/// Current role of a back end in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BackendRole {
    /// Accepts writes.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// What must be proved after a commit before it is acknowledged to the caller.
///
/// Ordered: a later variant includes the proof of the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum FenceStrength {
    /// A majority of the group's members, queried after the commit, know no later term.
    Term,
    /// The same majority also holds the commit's log position.
    #[default]
    Position,
}
