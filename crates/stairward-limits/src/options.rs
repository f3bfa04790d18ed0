//! Timeouts and bounds of the limiter.

use std::time::Duration;

use stairward_types::{NodeId, Time};

use crate::limit_window::LimitWindow;

/// Timeouts and bounds of one node.
#[derive(Debug, Clone)]
pub struct LimitOptions {
    /// This node.
    pub node: NodeId,
    /// A number unique to this run of the process.
    pub incarnation: u64,
    /// When the process started, by its own clock.
    pub started: Time,
    /// How long a share is lent. A longer loan costs fewer messages but prolongs the pause after
    /// the loss of a coordinator.
    pub loan: Duration,
    /// How long before its end a loan is renewed.
    pub renewal_margin: Duration,
    /// How long a granted operation may be used, counted from the request. A window may exceed the
    /// limit by at most the rate times this duration.
    pub grant_life: Duration,
    /// How long to wait for an answer of a coordinator.
    pub answer_timeout: Duration,
    /// How long a coordinator that did not answer is skipped.
    pub skip_duration: Duration,
    /// How long a node counts that is no longer seen and did not announce that it leaves. A network
    /// partition may last an hour, and a node behind it spends its share.
    pub node_retention: Duration,
    /// How limits are counted in windows; `None` to enforce them at every moment, with buckets of
    /// the rate and burst of the limit itself.
    pub window: Option<LimitWindow>,
    /// Whether shares are lent. Otherwise each node spends its own share only.
    pub lends_shares: bool,
}

impl LimitOptions {
    /// The default timeouts.
    #[must_use]
    pub const fn new(node: NodeId, incarnation: u64) -> Self {
        Self {
            node,
            incarnation,
            started: Time::ZERO,
            loan: Duration::from_millis(800),
            renewal_margin: Duration::from_millis(530),
            grant_life: Duration::from_millis(500),
            answer_timeout: Duration::from_millis(300),
            skip_duration: Duration::from_secs(2),
            node_retention: Duration::from_secs(2 * 3_600),
            window: None,
            lends_shares: true,
        }
    }

    /// How long a lender honours a loan by its own clock: longer than the coordinator counts it, so
    /// that the clocks may differ in speed by one part in 20.
    pub(crate) fn loan_by_lender(&self) -> Duration {
        self.loan + self.loan / 20
    }
}
