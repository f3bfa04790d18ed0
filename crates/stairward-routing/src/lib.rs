//! Which back end may answer a request: freshness, roles, retries, deadlines and the hold queue.
//!
//! [`RequestMachine`] takes one request from its start to exactly one [`Outcome`]. It shares with
//! the other requests of its database group a [`GroupRouting`]: what is known of the back ends
//! ([`GroupView`]), the retry budget and the hold queue. Everything here is pure: time and random
//! numbers are passed in, and what must be done is returned as [`Effect`]s.

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

/// The settings of a group that routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingLimits {
    /// Bounds of the hold queue.
    pub hold: HoldLimits,
    /// Retries allowed, in thousandths of recent successes.
    pub retry_budget_permille: u32,
    /// How long an owner may wait for a replica to reach a request's floor.
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

/// What all requests of one group at one edge share.
#[derive(Debug, Clone, Default)]
pub struct GroupRouting {
    /// What is known of the back ends.
    pub view: GroupView,
    /// Pays for retries.
    pub budget: RetryBudget,
    /// Requests that wait for a primary.
    pub hold: HoldQueue,
    /// Settings in force.
    pub limits: RoutingLimits,
}

impl GroupRouting {
    /// Puts changed settings in force.
    pub fn set_limits(&mut self, limits: RoutingLimits) {
        self.budget.set_share(limits.retry_budget_permille);
        self.limits = limits;
    }
}
