//! How a run of a fleet of limiters is set up.

use stairward_limits::{LimitWindow, RateLimit};
use stairward_types::Duration;

/// What is damaged on purpose, to show that the checker sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A coordinator counts a loan for longer than its lender keeps to it.
    LoanOutlived,
    /// The number of nodes is taken from the present view alone.
    PresentView,
    /// A doubled message lends twice.
    LendsTwice,
}

/// How a run is set up.
#[derive(Debug, Clone)]
pub struct Options {
    pub seed: u64,
    pub nodes: u64,
    pub limit: RateLimit,
    /// Operations a second at each node.
    pub demand: Vec<f64>,
    pub length: Duration,
    /// Kills of all nodes, of some, freezes, partitions, each at random moments.
    pub faults: bool,
    /// All nodes are killed at these moments.
    pub killed_all: Vec<Duration>,
    /// A network partition between these moments.
    pub cut: Option<(Duration, Duration)>,
    /// Most of the nodes are killed and cut off, and killed again as they are back in touch, over and over.
    pub flips: bool,
    /// All nodes are stopped and started again in turn, as planned, so long after each other.
    pub rolled: Option<Duration>,
    /// How the limit is counted.
    pub window: Option<LimitWindow>,
    /// Whether shares are lent.
    pub lends_shares: bool,
    pub broken: Option<Broken>,
}

impl Options {
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
            killed_all: Vec::new(),
            cut: None,
            flips: false,
            rolled: None,
            window: None,
            lends_shares: true,
            broken: None,
        }
    }
}
