//! The edge: speaks PostgreSQL protocol 3.0 to callers and has owners run what they ask.
//!
//! One task serves a session. It gathers messages into batches ([`batch`]), decides where each runs
//! ([`execute`]), and passes the answer on. A batch outside a transaction takes a new stream, whose
//! back end the routing machine chooses ([`opening`]); one within a transaction goes to the stream
//! that the session holds ([`pinned`]).

mod active;
mod answer;
mod authentication;
mod batch;
mod cancel;
mod client;
mod error;
mod execute;
mod finish;
mod frontend;
mod group;
mod hint_changes;
mod majority;
mod opening;
mod parameters;
mod pinned;
mod reply;
mod service;
mod session;
mod settings;
mod startup;
mod statistics;
#[cfg(test)]
mod tests;
mod waiting;

pub use service::EdgeService;
pub use settings::{EdgeSettings, Users};
pub use statistics::EdgeStatistics;
