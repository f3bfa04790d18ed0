//! Vocabulary shared by every stairward crate: identifiers, terms and log positions, virtual time,
//! numbered result codes and numbered log events.
//!
//! This crate holds plain values only. It does no I/O, reads no clock and knows no protocol.

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

/// What a statement needs from the back end that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AccessClass {
    /// Only reads; any copy that is fresh enough may answer.
    Read,
    /// May write, or could not be classified; only the primary may run it.
    Write,
}

/// What operators have said about a back end, from the settings tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum AdminState {
    /// Being warmed up: connections are opened, no work is given yet.
    Joining,
    /// In use.
    #[default]
    Active,
    /// Finishes what it has begun and gets nothing new.
    Leaving,
}

/// The role in which a back end serves its group at a given moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BackendRole {
    /// Accepts writes.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// How much must be proved after a commit before the caller is told of success.
///
/// Ordered: a later variant proves everything an earlier one does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum FenceStrength {
    /// A majority of the group's members, asked after the commit, know no later term.
    Term,
    /// The same majority also holds the commit's log position.
    #[default]
    Position,
}
