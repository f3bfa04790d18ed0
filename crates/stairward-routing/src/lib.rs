//! Routing of requests to back ends: freshness, roles, retries, deadlines and the hold queue.
//!
//! [`RequestMachine`] takes one request from its start to exactly one [`Outcome`]. It shares a
//! [`GroupRouting`] with the other requests of its database group: the state of the back ends
//! ([`GroupView`]), the retry budget and the hold queue. The crate does no I/O: time and random
//! numbers are passed in, and the steps to carry out are returned as [`Effect`]s.

#![forbid(unsafe_code)]

mod budget;
mod choice;
mod event;
mod hold;
mod outcome;
mod request;
mod step;
mod view;

pub use budget::RetryBudget;
pub use event::{Attempt, Effect, Event, RequestSpec};
pub use hold::{HoldLimits, HoldQueue, HoldTicket};
pub use outcome::{Failure, Outcome};
pub use request::RequestMachine;
pub use view::{BackendView, GroupView, Observation, PrimaryView, ZoneDistance};

use std::time::Duration;

/// The settings of a database group that affect routing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingLimits {
    /// Limits of the hold queue.
    pub hold: HoldLimits,
    /// Retries allowed, in thousandths of recent successes.
    pub retry_budget_permille: u32,
    /// How long an owner may wait for a replica to reach the freshness floor of a request.
    pub freshness_wait: Duration,
}

impl Default for RoutingLimits {
    fn default() -> Self {
        Self {
            hold: HoldLimits::default(),
            retry_budget_permille: 200,
            freshness_wait: Duration::from_millis(20),
        }
    }
}

/// State shared by all requests of one database group at one edge.
#[derive(Debug, Clone, Default)]
pub struct GroupRouting {
    /// The known state of the back ends.
    pub view: GroupView,
    /// The budget for retries.
    pub budget: RetryBudget,
    /// The queue of requests that wait for a primary.
    pub hold: HoldQueue,
    /// The current settings.
    pub limits: RoutingLimits,
}

impl GroupRouting {
    /// Applies changed settings.
    pub fn set_limits(&mut self, limits: RoutingLimits) {
        self.budget.set_share(limits.retry_budget_permille);
        self.limits = limits;
    }
}
