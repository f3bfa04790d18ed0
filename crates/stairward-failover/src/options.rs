//! Timeouts and limits of the failover controller.

use std::time::Duration;

/// Default leadership lease. A shorter lease costs more status queries to replicas; a longer one
/// prolongs the outage when an old leader can't be reached.
pub const LEADERSHIP_LEASE: Duration = Duration::from_millis(1_000);

/// Timeouts and limits of the failover controller.
#[derive(Debug, Clone)]
pub struct FailoverOptions {
    /// Name of this node and process, unique across nodes and restarts: a record with this holder
    /// was written by this controller.
    pub node: String,
    /// How long a record, counted from when a node learned of it, keeps all nodes but its holder
    /// from acting.
    pub lease: Duration,
    /// How long to wait for answers to status queries.
    pub status_timeout: Duration,
    /// How long to wait for the answer to a record write or a promotion.
    pub call_timeout: Duration,
    /// How long to wait for a promoted back end to become primary.
    pub promotion_timeout: Duration,
    /// How long a primary's entry may be missing, or no member may report the primary role, before
    /// the primary is replaced.
    pub missing_primary_delay: Duration,
    /// How long to wait for entries that expired together to come back, as they do when the store
    /// was unavailable.
    pub mass_expiry_grace: Duration,
    /// Delay before the next attempt after one has ended.
    pub retry_delay: Duration,
    /// How long nodes keep using a leader after a replica last confirmed that it is not on hold.
    /// `None` if a promotion makes the databases end the old leader's role by itself, so that no
    /// demotion is needed.
    pub leadership_lease: Option<Duration>,
    /// How long to wait for the old leader to step down before replicas are put on hold.
    pub step_down_timeout: Duration,
    /// How long to wait for a replica to receive the end of the log of a leader that has stepped
    /// down.
    pub catch_up_timeout: Duration,
    /// Percentage of the nodes that must find a primary silent before it is replaced.
    pub suspicion_percent: u32,
}

impl FailoverOptions {
    /// The default timeouts and limits.
    #[must_use]
    pub fn new(node: impl Into<String>) -> Self {
        Self {
            node: node.into(),
            lease: Duration::from_millis(3_000),
            status_timeout: Duration::from_millis(350),
            call_timeout: Duration::from_millis(2_500),
            promotion_timeout: Duration::from_millis(3_000),
            missing_primary_delay: Duration::from_millis(1_500),
            mass_expiry_grace: Duration::from_millis(2_500),
            retry_delay: Duration::from_millis(300),
            leadership_lease: None,
            step_down_timeout: Duration::from_millis(150),
            catch_up_timeout: Duration::from_millis(400),
            suspicion_percent: 30,
        }
    }
}
