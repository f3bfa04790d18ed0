//! What a run of load measured, as it is written to result files.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::figures::{LatencySummary, Slice};

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCounts {
    /// Requests that ended, in whatever way.
    pub requests: u64,
    /// Statements sent to proxies; a transaction has several.
    pub statements: u64,
    /// Requests that read.
    pub reads: u64,
    /// Requests that write, transactions included.
    pub writes: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that the back end refused with an error of its own.
    pub refused_by_back_end: u64,
    /// Requests that stairward refused as not run.
    pub refused_not_run: u64,
    /// Requests of which the caller cannot know whether they ran.
    pub outcome_unknown: u64,
    /// Requests given up before they were sent, since no proxy could be reached.
    pub not_sent: u64,
    /// Arrivals given up since their session was too far behind.
    pub overdue: u64,
    /// Times that a session came back on a new connection.
    pub reconnects: u64,
}

/// What was measured of one operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperationResult {
    /// Requests.
    pub count: u64,
    /// Latencies of those answered.
    pub latency_ms: LatencySummary,
}

/// What a run of load measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Counts.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Latencies of the requests answered, from the moment they were due.
    pub latency_ms: LatencySummary,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// Failed attempts to connect, by reason.
    pub connect_failures: BTreeMap<String, u64>,
    /// By operation.
    pub operations: BTreeMap<String, OperationResult>,
    /// Over time.
    pub series: Vec<Slice>,
}
