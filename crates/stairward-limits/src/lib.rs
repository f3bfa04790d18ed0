//! Tenant limits that all nodes of a fleet enforce together.
//!
//! A limit is a rate of operations and a burst, counted over the whole fleet. Each of N nodes owns
//! 1/N of every tenant's rate and burst. A node lends its share to the tenant's *coordinator* for a
//! short time and spends none of it meanwhile; the coordinator grants operations to whichever node
//! requests them, out of the shares lent to it. So at any moment at most the sum of the shares can
//! be spent, whatever nodes are partitioned, killed or hold different views of the fleet. Only
//! durations are compared, never the clocks of two nodes. docs/design/limits.md has the proof and
//! the alternatives that were considered.
//!
//! The crate does no I/O: [`Limiter::handle`] takes the time and an [`Event`], and
//! [`Limiter::take_effects`] returns the effects to carry out.

#![forbid(unsafe_code)]

mod allowance;
mod coordinator;
mod fleet;
mod lender;
mod lent_shares;
mod limit_window;
mod limiter;
mod message;
mod options;
mod rate_limit;
mod shard;

pub use limit_window::LimitWindow;
pub use limiter::{Admission, Effect, Event, Limiter};
pub use message::{CoordinatorTime, GrantRequest, GrantResponse, TenantDemand, TenantGrant};
pub use options::LimitOptions;
pub use rate_limit::RateLimit;
pub use shard::{SHARDS, Shard};
