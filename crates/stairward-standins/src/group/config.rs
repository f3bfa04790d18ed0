//! Configuration of a database group.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::BackendId;

/// A database group.
#[derive(Debug, Clone)]
pub struct GroupConfig {
    /// The database name that clients are told.
    pub database: String,
    /// The members; the first starts as primary.
    pub members: Vec<MemberConfig>,
    /// Timing of heartbeats and elections.
    pub election: ElectionTiming,
    /// One-way latency between members not listed in `links`.
    pub link_latency: Duration,
    /// One-way latency between pairs of members, in either order.
    pub links: BTreeMap<(BackendId, BackendId), Duration>,
    /// How long a planned change of primary may take before it is given up.
    pub switchover_timeout: Duration,
    /// How long the old primary lies still between its last commit and the hand-over, so that
    /// clients can confirm that commit with the other members.
    pub switchover_quiet_time: Duration,
}

/// One member of a group.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// Its name.
    pub backend: BackendId,
    /// Client connections it takes.
    pub connection_limit: usize,
    /// Statements it runs at once; more wait in a queue bounded by the connections.
    pub slots: usize,
    /// How long opening a connection takes.
    pub connection_opening_time: Duration,
    /// How long each statement occupies its slot.
    pub statement_time: Duration,
    /// How long after receiving a log record it applies it, as a replica.
    pub replication_lag: Duration,
}

/// Timing of heartbeats and elections.
#[derive(Debug, Clone, Copy)]
pub struct ElectionTiming {
    /// How often the primary sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// Least time without a heartbeat after which a replica stands for election.
    pub timeout: Duration,
    /// Random time of up to this length is added to each timeout.
    pub timeout_spread: Duration,
}

impl Default for ElectionTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(75),
            timeout: Duration::from_millis(300),
            timeout_spread: Duration::from_millis(150),
        }
    }
}

impl GroupConfig {
    /// A group with default timing and 0.5 ms between its members.
    #[must_use]
    pub fn new(database: impl Into<String>, members: Vec<MemberConfig>) -> Self {
        Self {
            database: database.into(),
            members,
            election: ElectionTiming::default(),
            link_latency: Duration::from_micros(500),
            links: BTreeMap::new(),
            switchover_timeout: Duration::from_secs(3),
            switchover_quiet_time: Duration::from_millis(100),
        }
    }
}

impl MemberConfig {
    /// A member with 100 connections that take 10 ms to open, 10 slots, statements of 0.2 ms and
    /// no lag beyond the link's latency.
    #[must_use]
    pub fn new(backend: BackendId) -> Self {
        Self {
            backend,
            connection_limit: 100,
            slots: 10,
            connection_opening_time: Duration::from_millis(10),
            statement_time: Duration::from_micros(200),
            replication_lag: Duration::ZERO,
        }
    }
}
