//! Times and bounds of the limits.

use std::time::Duration;

use stairward_types::{NodeId, Time};

use crate::limit_window::LimitWindow;

/// Times and bounds of one node.
#[derive(Debug, Clone)]
pub struct LimitOptions {
    /// This node.
    pub node: NodeId,
    /// A number that no other life of this node's process has.
    pub incarnation: u64,
    /// When the process began, by its own clock.
    pub started: Time,
    /// How long a share is lent. Longer: fewer messages, a longer pause after a coordinator is lost.
    pub loan: Duration,
    /// How long before its end a loan is renewed.
    pub renewal_margin: Duration,
    /// How long a granted operation may be used, counted from the question. What a window counts too much is
    /// at most the rate for this long.
    pub grant_life: Duration,
    /// How long a coordinator may take to answer.
    pub answer_timeout: Duration,
    /// How long a coordinator that did not answer is passed over.
    pub skip_duration: Duration,
    /// How long a node that is no longer seen, and did not say that it leaves, counts among the nodes: a network
    /// partition lasts an hour now and then, and a node behind it spends its share.
    pub node_retention: Duration,
    /// How limits are counted; none where every moment counts, so that a bucket has the limit's own rate and burst.
    pub window: Option<LimitWindow>,
    /// Whether shares are lent. Otherwise each node spends its own.
    pub lends_shares: bool,
}

impl LimitOptions {
    /// The usual times.
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

    /// How long a lender keeps to a loan by its own clock: longer than the coordinator counts it, so that clocks
    /// may differ in speed by one in 20.
    pub(crate) fn loan_by_lender(&self) -> Duration {
        self.loan + self.loan / 20
    }
}
