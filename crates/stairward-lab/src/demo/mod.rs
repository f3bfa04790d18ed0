//! The demo: a whole cluster in one process, a site's load, faults, and a checked history.

pub mod callers;
pub mod cluster;
pub mod databases;
pub mod failover;
pub mod fault;
pub mod observer;
pub mod operator;
pub mod proxies;
pub mod replica_reads;
pub mod report;
mod run;
pub mod settings;
pub mod timeline;

pub use run::{DemoError, DemoOptions, run_demo};
