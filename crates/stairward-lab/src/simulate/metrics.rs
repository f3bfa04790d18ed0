//! What a run measures besides violations.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use stairward_types::{Duration, GroupId, ResultCode, Term, Time};

/// Significant digits kept of durations.
const HISTOGRAM_DIGITS: u8 = 3;

/// Durations with their percentiles, in microseconds.
#[derive(Debug, Clone)]
pub(super) struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new(HISTOGRAM_DIGITS).expect("the precision is valid");
        Self(histogram)
    }
}

impl Durations {
    /// Adds one duration.
    pub(super) fn add(&mut self, duration: Duration) {
        // An auto-resizing histogram takes any value.
        let _ = self.0.record(duration.as_micros() as u64);
    }

    /// Adds all durations of another.
    pub(super) fn merge(&mut self, other: &Self) {
        // Fails only for values out of range, which an auto-resizing histogram does not have.
        let _ = self.0.add(&other.0);
    }

    /// The percentiles in milliseconds.
    pub(super) fn summary(&self) -> DurationSummary {
        let milliseconds = |value: u64| value as f64 / 1_000.0;
        DurationSummary {
            count: self.0.len(),
            p50: milliseconds(self.0.value_at_quantile(0.5)),
            p99: milliseconds(self.0.value_at_quantile(0.99)),
            max: milliseconds(self.0.max()),
        }
    }
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub(super) struct DurationSummary {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// Who answered reads.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct ReadCounts {
    /// Reads answered.
    pub answered: u64,
    /// Those answered by replicas.
    pub by_replica: u64,
    /// Reads for which, when they reached their proxy, a replica in use was fresh enough.
    pub servable: u64,
    /// Those of them answered by replicas.
    pub servable_by_replica: u64,
}

impl ReadCounts {
    fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.by_replica += other.by_replica;
        self.servable += other.servable;
        self.servable_by_replica += other.servable_by_replica;
    }

    /// Share of all reads that replicas answered.
    pub(super) fn replica_share(&self) -> f64 {
        share(self.by_replica, self.answered)
    }

    /// Share that replicas answered of those reads that a replica could have answered.
    pub(super) fn replica_share_of_servable(&self) -> f64 {
        share(self.servable_by_replica, self.servable)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// The loss of a group's primary, until a write of a later term is acknowledged.
#[derive(Debug, Clone)]
struct PrimaryLoss {
    lost_at: Time,
    term: Term,
    elected_at: Option<Time>,
}

/// How long writes could not complete after primaries were lost.
#[derive(Debug, Clone, Default)]
pub(super) struct Failovers {
    pending: BTreeMap<GroupId, PrimaryLoss>,
    /// From the loss until a caller saw a write of the new term acknowledged.
    pub gap: Durations,
    /// From the loss until the group had elected another primary.
    pub election: Durations,
    /// From the election until a caller saw a write of the new term acknowledged.
    pub added: Durations,
}

impl Failovers {
    /// The primary of a term is lost.
    pub(super) fn primary_lost(&mut self, at: Time, group: &GroupId, term: Term) {
        let loss = PrimaryLoss {
            lost_at: at,
            term,
            elected_at: None,
        };
        self.pending.entry(group.clone()).or_insert(loss);
    }

    /// The lost primary works again before another was elected: nothing to measure.
    pub(super) fn primary_back(&mut self, group: &GroupId) {
        let unelected = |loss: &PrimaryLoss| loss.elected_at.is_none();
        if self.pending.get(group).is_some_and(unelected) {
            self.pending.remove(group);
        }
    }

    /// The group elected a primary.
    pub(super) fn elected(&mut self, at: Time, group: &GroupId, term: Term) {
        if let Some(loss) = self.pending.get_mut(group)
            && term > loss.term
        {
            loss.elected_at.get_or_insert(at);
        }
    }

    /// A caller saw a write acknowledged that was committed in a term.
    pub(super) fn acknowledged(&mut self, at: Time, group: &GroupId, term: Term) {
        let Some(loss) = self.pending.get(group) else {
            return;
        };
        let Some(elected_at) = loss.elected_at.filter(|_| term > loss.term) else {
            return;
        };
        self.gap.add(at.since(loss.lost_at));
        self.election.add(elected_at.since(loss.lost_at));
        self.added.add(at.since(elected_at));
        self.pending.remove(group);
    }

    fn merge(&mut self, other: &Self) {
        self.gap.merge(&other.gap);
        self.election.merge(&other.election);
        self.added.merge(&other.added);
    }
}

/// How callers' requests ended.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct RequestCounts {
    /// By outcome class.
    pub by_outcome: BTreeMap<&'static str, u64>,
    /// By result code, for those that stairward answered itself.
    pub by_code: BTreeMap<&'static str, u64>,
}

impl RequestCounts {
    /// Counts one.
    pub(super) fn add(&mut self, outcome: &'static str, code: Option<ResultCode>) {
        *self.by_outcome.entry(outcome).or_default() += 1;
        if let Some(code) = code {
            *self.by_code.entry(code.name()).or_default() += 1;
        }
    }

    fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.by_outcome {
            *self.by_outcome.entry(outcome).or_default() += count;
        }
        for (code, count) in &other.by_code {
            *self.by_code.entry(code).or_default() += count;
        }
    }
}

/// All that a run measures.
#[derive(Debug, Clone, Default)]
pub(super) struct Metrics {
    /// Reads and who answered them.
    pub reads: ReadCounts,
    /// Failover gaps.
    pub failovers: Failovers,
    /// How requests ended.
    pub requests: RequestCounts,
    /// From a caller's sending a read to its answer.
    pub read_latency: Durations,
    /// From a caller's sending a write or transaction to its answer.
    pub write_latency: Durations,
    /// Virtual events handled.
    pub events: u64,
}

impl Metrics {
    /// Adds the figures of another run.
    pub(super) fn merge(&mut self, other: &Self) {
        self.reads.merge(&other.reads);
        self.failovers.merge(&other.failovers);
        self.requests.merge(&other.requests);
        self.read_latency.merge(&other.read_latency);
        self.write_latency.merge(&other.write_latency);
        self.events += other.events;
    }
}
