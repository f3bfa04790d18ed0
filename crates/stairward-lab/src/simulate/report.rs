//! What the command prints.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use stairward_checker::{Invariant, Report, Violation};

use super::metrics::{DurationSummary, Metrics, RequestCounts};
use super::options::Options;
use super::run::RunResult;

/// Failing seeds told in full.
const MAXIMUM_FAILURES: usize = 5;

/// The result of all seeds.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// The site.
    site: String,
    /// First and last seed.
    seeds: [u64; 2],
    /// The policy.
    policy: String,
    /// The broken variant, if any.
    broken: Option<&'static str>,
    /// Violations by invariant.
    violations: BTreeMap<Invariant, u64>,
    /// Observations by invariant.
    checked: BTreeMap<Invariant, u64>,
    /// Share of reads answered by replicas.
    replica_read_share: ReadShare,
    /// From the loss of a primary to the first write acknowledged by its successor.
    failover_gap_ms: DurationSummary,
    /// From the loss of a primary to the group's election.
    election_ms: DurationSummary,
    /// From the election to the first write acknowledged.
    added_gap_ms: DurationSummary,
    /// From a caller's sending a read to its answer.
    read_latency_ms: DurationSummary,
    /// From a caller's sending a write to its answer.
    write_latency_ms: DurationSummary,
    /// How requests ended.
    requests: RequestCounts,
    /// Virtual events handled.
    events: u64,
    /// Seeds with violations; the first few.
    failures: Vec<SeedFailure>,
    /// Number of seeds with violations.
    failing_seeds: usize,
}

#[derive(Debug, Serialize)]
struct ReadShare {
    of_all: f64,
    of_servable: f64,
    reads: u64,
    servable_reads: u64,
}

/// A seed with violations.
#[derive(Debug, Serialize)]
struct SeedFailure {
    seed: u64,
    /// The command that repeats it.
    replay: String,
    examples: Vec<Violation>,
    /// The last lines of its event log.
    log_tail: Vec<String>,
}

impl Summary {
    /// Sums up the runs, which come in the order of their seeds.
    pub(super) fn new(options: &Options, runs: Vec<RunResult>) -> Self {
        let mut report = Report::default();
        let mut metrics = Metrics::default();
        let mut failures = Vec::new();
        let mut failing_seeds = 0;
        for run in runs {
            metrics.merge(&run.metrics);
            if !run.report.is_clean() {
                failing_seeds += 1;
                if failures.len() < MAXIMUM_FAILURES {
                    failures.push(SeedFailure::new(options, &run));
                }
            }
            report.merge(run.report);
        }
        Self {
            site: options.site.clone(),
            seeds: [*options.seeds.start(), *options.seeds.end()],
            policy: options.policy.to_string(),
            broken: options.broken.map(super::variant::BrokenVariant::name),
            violations: report.violations,
            checked: report.checked,
            replica_read_share: ReadShare {
                of_all: metrics.reads.replica_share(),
                of_servable: metrics.reads.replica_share_of_servable(),
                reads: metrics.reads.answered,
                servable_reads: metrics.reads.servable,
            },
            failover_gap_ms: metrics.failovers.gap.summary(),
            election_ms: metrics.failovers.election.summary(),
            added_gap_ms: metrics.failovers.added.summary(),
            read_latency_ms: metrics.read_latency.summary(),
            write_latency_ms: metrics.write_latency.summary(),
            requests: metrics.requests,
            events: metrics.events,
            failures,
            failing_seeds,
        }
    }

    /// Whether no seed has a violation.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.failing_seeds == 0
    }

    /// How often an invariant was violated.
    #[must_use]
    pub fn violations_of(&self, invariant: Invariant) -> u64 {
        self.violations.get(&invariant).copied().unwrap_or(0)
    }

    /// On how many observations an invariant was checked.
    #[must_use]
    pub fn checked_of(&self, invariant: Invariant) -> u64 {
        self.checked.get(&invariant).copied().unwrap_or(0)
    }

    /// As text for people.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{} seeds {}..{} policy {}: {} seeds with violations\n",
            self.site, self.seeds[0], self.seeds[1], self.policy, self.failing_seeds
        );
        for (invariant, count) in &self.violations {
            let checked = self.checked_of(*invariant);
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "  {invariant:<24} {count:>8} violations of {checked} checked"
            );
        }
        let _ = writeln!(
            text,
            "  replica reads {:.4} of all, {:.4} of servable\n  failover gap p99 {:.1} ms, added p99 {:.1} ms",
            self.replica_read_share.of_all,
            self.replica_read_share.of_servable,
            self.failover_gap_ms.p99,
            self.added_gap_ms.p99
        );
        for failure in &self.failures {
            let _ = writeln!(text, "  seed {}: {}", failure.seed, failure.replay);
            for example in &failure.examples {
                let _ = writeln!(text, "    {}: {}", example.invariant, example.text);
            }
        }
        text
    }
}

impl SeedFailure {
    fn new(options: &Options, run: &RunResult) -> Self {
        Self {
            seed: run.seed,
            replay: options.replay_command(run.seed),
            examples: run.report.examples.clone(),
            log_tail: run.log_tail.clone(),
        }
    }
}
