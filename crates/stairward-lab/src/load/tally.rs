//! Counts of a run while it goes on.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use stairward_types::GroupId;

use super::figures::Figures;
use super::outcome::{Outcome, result_code};
use super::result::{LoadCounts, LoadResult, OperationResult};
use super::schedule::PlannedRequest;
use crate::site::Site;

/// Longest list of write completions kept, per run.
const MAXIMUM_WRITE_TIMINGS: usize = 1_000_000;

/// When one write was due and when it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteTiming {
    /// Its group, by number.
    pub group: GroupId,
    /// When it was due, from the start of the run.
    pub due: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Whether it was answered.
    pub answered: bool,
}

#[derive(Debug, Default)]
struct State {
    counts: LoadCounts,
    outcomes: BTreeMap<String, u64>,
    connect_failures: BTreeMap<String, u64>,
    all: Figures,
    operations: BTreeMap<usize, (u64, Figures)>,
    writes: Vec<WriteTiming>,
}

/// Collects what the sessions report. Shared by all of them.
#[derive(Debug, Default)]
pub struct Tally {
    state: Mutex<State>,
}

impl Tally {
    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a statement sent to a proxy.
    pub fn statement(&self) {
        self.with(|state| state.counts.statements += 1);
    }

    /// Counts a session that came back on a new connection.
    pub fn reconnected(&self) {
        self.with(|state| state.counts.reconnects += 1);
    }

    /// Counts an arrival that was given up since its session was too far behind.
    pub fn overdue(&self) {
        self.with(|state| state.counts.overdue += 1);
    }

    /// Counts an attempt to connect that failed.
    pub fn connect_failed(&self, error: &tokio_postgres::Error) {
        let label = error.as_db_error().map_or_else(
            || "connection failed".to_owned(),
            |error| {
                result_code(error.message()).map_or_else(
                    || error.code().code().to_owned(),
                    |code| format!("SW{} {}", code.number(), code.name()),
                )
            },
        );
        self.with(|state| *state.connect_failures.entry(label).or_default() += 1);
    }

    /// Counts a request that ended.
    pub fn finished(
        &self,
        request: &PlannedRequest,
        group: &GroupId,
        outcome: &Outcome,
        ended: Duration,
    ) {
        self.with(|state| state.finished(request, group, outcome, ended));
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> LoadCounts {
        self.with(|state| state.counts)
    }

    /// When each write was due and ended.
    #[must_use]
    pub fn write_timings(&self) -> Vec<WriteTiming> {
        self.with(|state| state.writes.clone())
    }

    /// The result of the run so far.
    #[must_use]
    pub fn result(&self, site: &Site) -> LoadResult {
        self.with(|state| state.result(site))
    }
}

impl State {
    fn finished(
        &mut self,
        request: &PlannedRequest,
        group: &GroupId,
        outcome: &Outcome,
        ended: Duration,
    ) {
        let answered = *outcome == Outcome::Answered;
        let latency = ended.saturating_sub(request.at);
        let (count, figures) = self.operations.entry(request.operation).or_default();
        *count += 1;
        for figures in [figures, &mut self.all] {
            if answered {
                figures.answered(request.at, latency);
            } else {
                figures.failed(request.at);
            }
        }
        self.count(request, outcome);
        *self.outcomes.entry(outcome.label()).or_default() += 1;
        if request.action.is_write() && self.writes.len() < MAXIMUM_WRITE_TIMINGS {
            self.writes.push(WriteTiming {
                group: group.clone(),
                due: request.at,
                ended,
                answered,
            });
        }
    }

    fn count(&mut self, request: &PlannedRequest, outcome: &Outcome) {
        let counts = &mut self.counts;
        counts.requests += 1;
        if request.action.is_write() {
            counts.writes += 1;
        } else {
            counts.reads += 1;
        }
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::Refused { .. } => counts.refused_by_back_end += 1,
            Outcome::NotRun { .. } => counts.refused_not_run += 1,
            Outcome::Unknown { .. } => counts.outcome_unknown += 1,
            Outcome::NotSent => counts.not_sent += 1,
        }
    }

    fn result(&self, site: &Site) -> LoadResult {
        let operations = self
            .operations
            .iter()
            .map(|(&position, (count, figures))| {
                let result = OperationResult {
                    count: *count,
                    latency_ms: figures.summary(),
                };
                (site.operations[position].name.clone(), result)
            })
            .collect();
        LoadResult {
            counts: self.counts,
            latency_ms: self.all.summary(),
            outcomes: self.outcomes.clone(),
            connect_failures: self.connect_failures.clone(),
            operations,
            series: self.all.series(),
        }
    }
}
