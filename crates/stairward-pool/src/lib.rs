//! Connection pool, connection shares, lease and acknowledgement fence of a back end.
//!
//! Everything here is free of I/O: state machines that take the time and an event and return effects.
//! [`BackendPool`] admits requests and assigns connections to them, [`Lease`] decides whether this node may hold
//! connections at all, and [`AcknowledgementFence`] decides when a commit may be acknowledged.

#![forbid(unsafe_code)]

pub mod fence;
pub mod lease;
pub mod pool;
mod share;

pub use fence::AcknowledgementFence;
pub use lease::Lease;
pub use pool::BackendPool;
pub use share::{CONTENDER_RESERVE, ConnectionShares, OwnerRole, should_hold};
