//! Assembles a stairward node: listeners, edge, owner, watcher, admin interface and drain.
//!
//! Decisions are made by state machines without I/O in other crates. This crate holds the sockets,
//! reads the clock and executes the effects.

#![forbid(unsafe_code)]

pub mod admin;
pub mod cluster;
pub mod control;
pub mod edge;
pub mod node;
pub mod owner;
pub mod peer;
