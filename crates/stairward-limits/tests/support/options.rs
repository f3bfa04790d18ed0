//! Configuration of a simulated fleet of limiters.

use stairward_limits::{LimitWindow, RateLimit};
use stairward_types::Duration;

/// A defect injected on purpose, to show that the checker detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A coordinator counts a loan for longer than its lender honours it.
    LoanOutlivesLender,
    /// The number of nodes is taken from the present view alone.
    CountsOnlyVisibleNodes,
    /// A duplicate message lends twice.
    DuplicateLends,
}

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub nodes: u64,
    pub limit: RateLimit,
    /// Operations per second at each node.
    pub demand: Vec<f64>,
    pub length: Duration,
    /// Whether all nodes or some are killed, frozen or partitioned at random times.
    pub faults: bool,
    /// Times at which all nodes are killed.
    pub kill_all_at: Vec<Duration>,
    /// A network partition between these times.
    pub partition: Option<(Duration, Duration)>,
    /// Whether most nodes are killed and partitioned, and killed again once they are reconnected,
    /// repeatedly.
    pub repeated_partitions: bool,
    /// Interval at which the nodes are stopped and restarted as planned, one after the other.
    pub restart_interval: Option<Duration>,
    /// The window in which the limit is counted.
    pub window: Option<LimitWindow>,
    /// Whether shares are lent.
    pub lends_shares: bool,
    pub bug: Option<InjectedBug>,
}

impl Scenario {
    pub fn new(seed: u64, rate: u64, burst: u64) -> Self {
        Self {
            seed,
            nodes: 12,
            limit: RateLimit {
                rate_thousandths: rate * 1_000,
                burst_thousandths: burst * 1_000,
            },
            demand: vec![20.0; 12],
            length: Duration::from_secs(40),
            faults: false,
            kill_all_at: Vec::new(),
            partition: None,
            repeated_partitions: false,
            restart_interval: None,
            window: None,
            lends_shares: true,
            bug: None,
        }
    }
}
