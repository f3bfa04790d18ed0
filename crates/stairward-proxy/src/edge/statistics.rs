//! Counters of an edge.

use std::sync::atomic::{AtomicU64, Ordering};

/// A reading of an edge's counters, each since the edge was made unless noted otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EdgeStatistics {
    /// Statements received.
    pub statements: u64,
    /// Batches of reads that were answered.
    pub reads: u64,
    /// Batches of reads that a replica answered.
    pub replica_reads: u64,
    /// Batches of writes that were answered.
    pub writes: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that ended with their outcome unknown.
    pub outcomes_unknown: u64,
    /// Sessions open now.
    pub sessions: u64,
}

/// One counter, mirrored in the process's metrics under its name.
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

/// The live counters.
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
