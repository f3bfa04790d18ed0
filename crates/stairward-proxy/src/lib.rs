//! Wires a stairward node: listeners, edge, owner, watcher, admin interface and drain.
//!
//! The decisions are made by the pure crates; this one holds the sockets, reads the clock and
//! carries the effects out.

#![forbid(unsafe_code)]

pub mod admin;
pub mod cluster;
pub mod control;
pub mod edge;
pub mod node;
pub mod owner;
pub mod peer;
