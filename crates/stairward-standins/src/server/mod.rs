//! A database group over TCP: one PostgreSQL server per member.
//!
//! The protocol is PostgreSQL's version 3.0 (PostgreSQL manual, chapter "Frontend/Backend
//! Protocol"), without TLS and passwords. One thread runs the group's state machine in real time;
//! each client connection is a task that translates between messages and requests.
//!
//! Memory: a connection buffers at most one message of [`MAXIMUM_MESSAGE_BYTES`], what the client
//! has sent ahead up to [`READ_AHEAD_BYTES`], and the result of one statement.

mod driver;
mod encoding;
mod extended;
mod handle;
mod listener;
mod prepared;
mod session;
mod simple;
mod startup;
mod wire;

pub use handle::{DatabaseGroup, DatabaseGroupConfig, Observer, StartError};
pub use wire::{MAXIMUM_MESSAGE_BYTES, READ_AHEAD_BYTES};
