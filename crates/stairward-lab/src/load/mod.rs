//! Drives a site's sessions against proxies over PostgreSQL v3.

pub mod command;
pub mod connection;
pub mod figures;
pub mod outcome;
pub mod progress;
pub mod result;
pub mod run;
pub mod schedule;
mod session;
pub mod statements;
pub mod tally;
