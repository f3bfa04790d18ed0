//! Deterministic simulation of the statement engine and the failover controller.
//!
//! Several nodes run the real [`stairward_engine::Engine`] and [`stairward_failover::FailoverController`] on
//! a virtual clock. They serve a replication group whose databases do not elect a primary themselves, and use
//! a simulated metadata store and promotion call. The simulation injects faults and compares the responses
//! that callers received with what the databases executed. A seed determines a run completely.

#![forbid(unsafe_code)]

mod callers;
mod checker;
mod cold;
mod database;
mod disturbance;
mod evacuations;
mod faults;
mod forwarding;
mod group;
mod in_sync;
mod mixes;
mod nodes;
mod options;
mod planned_faults;
mod queue;
mod replies;
mod restores;
mod store;
mod store_view;
mod tenants;
mod world;
mod world_callers;
mod world_databases;
mod world_nodes;
mod world_store;

pub use callers::{AddedText, Caller, DATABASES, Step};
pub use checker::{Checker, Invariant, ReadKind, SentStatement, Violation};
pub use cold::ColdStart;
pub use database::{
    ConnectionKey, ConnectionState, Database, ExecutedStatement, LogEntry, Outcome,
};
pub use group::{Group, SERVICE, service};
pub use mixes::Mix;
pub use options::{
    BrokenVariant, FaultKind, OperationMix, Options, PlannedFault, PlannedFaultKind, Return,
};
pub use replies::ReplyOrder;
pub use world::{Report, simulate};
