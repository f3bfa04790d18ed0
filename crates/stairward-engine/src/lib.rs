//! The statement-level engine of one node: sessions, transactions, freshness floors, back-end selection,
//! retries, request queueing and outcomes; and, towards the back ends, admission, connection state and reset.
//!
//! The engine performs no I/O: [`Engine::handle`] takes the current time and an [`Event`] and returns the
//! [`Effect`]s to carry out. Statements are opaque text with an access class; the engine knows no wire
//! protocol.

#![forbid(unsafe_code)]

mod admission;
mod backend;
mod choice;
mod confirmation;
mod connection;
mod discovery;
mod engine;
mod evacuation;
mod event;
mod forwarding;
mod group;
mod holder_directory;
mod holder_sizing;
mod holder_watch;
mod identifiers;
mod leadership;
mod leaving;
mod log_verification;
mod lost_connections;
mod node_count;
mod openings;
mod pending;
mod placement;
mod probes;
mod proofs;
mod replies;
mod reply;
mod reply_admission;
mod reply_confirmation;
mod reply_matching;
mod requests;
mod residency;
mod revocation;
mod session;
mod settings;
mod statement;
mod statements;
mod stopping;
mod tenants;
mod timers;
mod waiting;
mod warm_up;
mod withholding;

pub use engine::{Engine, EngineStatistics};
pub use evacuation::ZoneActivity;
pub use event::{
    BackendCommand, BackendEvidence, Decision, Effect, Event, LeadershipChange, OpenFailure,
    OpenTarget, ReplyRecord, RequestMeasurement, RequestRecord,
};
pub use forwarding::ForwardedRequest;
pub use holder_directory::{Holder, ServiceHolders};
pub use holder_sizing::{HolderSizing, connections_per_holder};
pub use identifiers::{ConnectionId, SessionId};
pub use leaving::{DrainLimit, LeavingChange};
pub use reply::{
    BackendError, BackendErrorCode, BackendReply, Response, ResponseResult, TransactionStatus,
};
pub use reply_matching::{ReplyChecks, ReplyDoubt};
pub use residency::Residency;
pub use settings::{
    BackendDescription, Consistency, DiscoveryChange, EngineOptions, Route, RoutingTable,
    ServiceLimits, ZoneDistance,
};
pub use statement::{PreparedStatement, Statement, StatementKind};
pub use tenants::{Tenant, TenantDirectory};
pub use warm_up::ColdBound;
