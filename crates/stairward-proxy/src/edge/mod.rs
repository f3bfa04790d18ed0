//! The edge: speaks PostgreSQL protocol 3.0 to callers and has owners run what they ask.
//!
//! One task serves a session. It gathers messages into batches ([`batch`]), decides where each runs
//! ([`execute`]), and passes the answer on. A batch outside a transaction takes a new stream, whose
//! back end the routing machine chooses ([`opening`]); one within a transaction goes to the stream
//! that the session holds ([`pinned`]).

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
