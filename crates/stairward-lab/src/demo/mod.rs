//! The demo: a whole cluster in one process, a site's load, faults, and a checked history.

pub mod failover;
pub mod fault;
pub mod observer;
pub mod replica_reads;
pub mod report;
pub mod settings;
