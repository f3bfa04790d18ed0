//! Deterministic simulation of the statement engine and the failover duty.
//!
//! Several nodes run the real [`stairward_engine::Engine`] and [`stairward_failover::FailoverController`] on a
//! virtual clock, before a group of databases that elect nobody, with a metadata store and a promotion
//! call between them. Faults strike; what callers were told is compared with what the databases did. One
//! seed is one run.

#![forbid(unsafe_code)]

mod callers;
mod checker;
mod cold;
mod database;
mod evacuations;
mod faults;
mod group;
mod guests;
mod nodes;
mod options;
mod queue;
mod restores;
mod store;
mod store_view;
mod tenants;
mod world;
mod world_callers;
mod world_databases;
mod world_nodes;
mod world_store;

pub use callers::{Caller, DATABASES, Step};
pub use checker::{Checker, Invariant, ReadKind, SentStatement, Violation};
pub use cold::ColdStart;
pub use database::{
    ConnectionKey, ConnectionState, Database, ExecutedStatement, LogEntry, Outcome,
};
pub use group::{Group, SERVICE, service};
pub use options::{BrokenVariant, FaultKind, Options};
pub use world::{Report, simulate};
