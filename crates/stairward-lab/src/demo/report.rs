//! What a demo found.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairward_checker::{History, Invariant, Violation};

use super::failover::{Failover, failover_gap};
use super::replica_reads;
use crate::load::figures::LatencySummary;
use crate::load::result::LoadResult;
use crate::load::tally::WriteTiming;
use crate::provenance::Provenance;

/// A fault or an operator's step, on the time line of the result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// When, in milliseconds from the start of the load.
    pub at_ms: f64,
    /// What began or ended.
    pub what: String,
}

/// What a demo found. Its JSON form is what `stairward demo --json` prints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemoReport {
    /// The site's name.
    pub site: String,
    /// Statements sent to the proxies; a transaction has several.
    pub statements: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Those of them that a replica answered, by the back ends' own record.
    pub replica_reads: u64,
    /// The share of reads that replicas answered.
    pub replica_read_share: f64,
    /// Lag of every replica during the whole run, in milliseconds.
    pub replica_lag_ms: f64,
    /// Requests that write, transactions included.
    pub writes: u64,
    /// One gap for each primary lost, in milliseconds.
    pub failover_gap_ms: Vec<f64>,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests whose callers cannot know whether they ran.
    pub outcome_unknown: u64,
    /// Latencies of the requests answered, from the moment they were due.
    pub latency_ms: LatencySummary,
    /// Violations by invariant.
    pub violations: BTreeMap<Invariant, u64>,
    /// Observations by invariant.
    pub checked: BTreeMap<Invariant, u64>,
    /// The first violations, told for people.
    pub examples: Vec<Violation>,
    /// Records that did not fit the history; unless zero, nothing is proved.
    pub dropped_records: u64,
    /// Faults and operators' steps over time.
    pub faults: Vec<FaultMark>,
    /// Where the result comes from.
    pub provenance: Provenance,
    /// What the load measured.
    pub load: LoadResult,
}

/// What a demo gathered while it ran.
#[derive(Debug)]
pub struct Gathered {
    /// The site's name.
    pub site: String,
    /// Where the result comes from.
    pub provenance: Provenance,
    /// The recorded history.
    pub history: History,
    /// Lag of every replica during the whole run.
    pub replica_lag: Duration,
    /// What the load measured.
    pub load: LoadResult,
    /// When each write was due and ended.
    pub writes: Vec<WriteTiming>,
    /// Primaries lost.
    pub failovers: Vec<Failover>,
    /// Faults and operators' steps over time.
    pub faults: Vec<FaultMark>,
}

impl DemoReport {
    /// Checks the history and puts the figures together.
    #[must_use]
    pub fn new(gathered: Gathered) -> Self {
        let reads = replica_reads::count(&gathered.history);
        let check = stairward_checker::check(&gathered.history);
        let gaps = gathered
            .failovers
            .iter()
            .filter_map(|failover| failover_gap(failover, &gathered.writes));
        let counts = gathered.load.counts;
        Self {
            site: gathered.site,
            statements: counts.statements,
            reads: reads.reads,
            replica_reads: reads.by_replicas,
            replica_read_share: reads.replica_share(),
            replica_lag_ms: milliseconds(gathered.replica_lag),
            writes: counts.writes,
            failover_gap_ms: gaps.map(milliseconds).collect(),
            refused_not_run: counts.refused_not_run,
            outcome_unknown: counts.outcome_unknown,
            latency_ms: gathered.load.latency_ms,
            violations: check.violations,
            checked: check.checked,
            examples: check.examples,
            dropped_records: check.dropped,
            faults: gathered.faults,
            provenance: gathered.provenance,
            load: gathered.load,
        }
    }

    /// Whether no invariant was violated and the whole history was checked.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dropped_records == 0 && self.violations.values().all(|&count| count == 0)
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
