//! Limits of tenants that all nodes keep together.
//!
//! A limit is a rate of operations and a burst, counted over the whole fleet. Each of N nodes owns 1/N of every
//! tenant's rate and burst. A node lends its share to the tenant's *coordinator* for a short time and spends
//! nothing of it meanwhile; the coordinator grants operations to whichever node asks, out of what it was lent.
//! So what can be spent at any moment is at most the sum of the shares, whatever nodes are cut off, killed or
//! hold different views; only durations are compared, never two clocks. docs/design/limits.md has the proof and
//! the ways that were weighed.
//!
//! Pure: [`Limiter::handle`] takes the time and an [`Event`], and what to do comes from
//! [`Limiter::take_effects`].

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
