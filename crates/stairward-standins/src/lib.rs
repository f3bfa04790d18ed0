//! Stand-ins for the database groups and for the platform's store, with faults.
//!
//! The decision code is pure: a replicated database group and the platform's store
//! are state machines on virtual time, driven by a simulation or by the servers here.

#![forbid(unsafe_code)]

mod ground_truth;
pub mod group;
pub mod platform;
pub mod server;
pub mod sql;

pub use ground_truth::{
    ConnectionNumber, GroundTruth, Observation, StatementOutcome, TransactionNumber,
};
