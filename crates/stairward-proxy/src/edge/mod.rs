//! The edge: accepts PostgreSQL protocol 3.0 connections from clients and sends their requests to
//! the nodes that own the backend connection pools.
//!
//! One task serves each session. It collects protocol messages into batches ([`batch`]), decides
//! how each batch runs ([`execute`]) and forwards the response. A batch outside a transaction opens
//! a new stream to the owner of the backend chosen by the routing state machine ([`dispatch`]). A
//! batch within a transaction uses the stream that the session already holds ([`pinned`]).

mod active;
mod authentication;
mod batch;
mod cancel;
mod client;
mod completion;
mod dispatch;
mod error;
mod events;
mod execute;
mod frontend;
mod group;
mod hint_changes;
mod majority;
mod parameters;
mod pinned;
mod reply;
mod response_filter;
mod service;
mod session;
mod settings;
mod startup;
mod statistics;
#[cfg(test)]
mod tests;

pub use service::EdgeService;
pub use settings::{EdgeSettings, Users};
pub use statistics::EdgeStatistics;
