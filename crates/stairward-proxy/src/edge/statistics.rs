//! Counters of an edge.

use std::sync::atomic::{AtomicU64, Ordering};

/// Values of an edge's counters. Except for `sessions`, they count from the creation of the edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EdgeStatistics {
    /// Statements received.
    pub statements: u64,
    /// Read batches that completed.
    pub reads: u64,
    /// Read batches that completed on a replica.
    pub replica_reads: u64,
    /// Write batches that completed.
    pub writes: u64,
    /// Refused requests and sessions, which had no effect.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub outcomes_unknown: u64,
    /// Currently open sessions.
    pub sessions: u64,
}

/// A counter that is also exported as a metric.
pub(super) struct Counter {
    value: AtomicU64,
    metric: &'static str,
}

impl Counter {
    const fn new(metric: &'static str) -> Self {
        Self {
            value: AtomicU64::new(0),
            metric,
        }
    }

    pub(super) fn add(&self, count: u64) {
        self.value.fetch_add(count, Ordering::Relaxed);
        metrics::counter!(self.metric).increment(count);
    }

    fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}

/// The counters behind [`EdgeStatistics`].
pub(super) struct Counters {
    pub(super) statements: Counter,
    pub(super) reads: Counter,
    pub(super) replica_reads: Counter,
    pub(super) writes: Counter,
    pub(super) refused: Counter,
    pub(super) outcomes_unknown: Counter,
    sessions: AtomicU64,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            statements: Counter::new("stairward_statements_total"),
            reads: Counter::new("stairward_reads_total"),
            replica_reads: Counter::new("stairward_replica_reads_total"),
            writes: Counter::new("stairward_writes_total"),
            refused: Counter::new("stairward_requests_refused_total"),
            outcomes_unknown: Counter::new("stairward_outcomes_unknown_total"),
            sessions: AtomicU64::new(0),
        }
    }
}

impl Counters {
    pub(super) fn snapshot(&self) -> EdgeStatistics {
        EdgeStatistics {
            statements: self.statements.get(),
            reads: self.reads.get(),
            replica_reads: self.replica_reads.get(),
            writes: self.writes.get(),
            refused: self.refused.get(),
            outcomes_unknown: self.outcomes_unknown.get(),
            sessions: self.sessions.load(Ordering::Relaxed),
        }
    }

    pub(super) fn session_opened(&self) {
        self.sessions.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("stairward_sessions").increment(1.0);
    }

    pub(super) fn session_closed(&self) {
        self.sessions.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("stairward_sessions").decrement(1.0);
    }
}
