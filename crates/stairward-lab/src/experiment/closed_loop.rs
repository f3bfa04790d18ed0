//! Callers that each send the next statement after the answer to the one before.
//!
//! A closed loop measures how much a path can carry and what it adds to an answer; it hides waiting,
//! which is what `stairward-lab load` is for.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::load::connection::{CallerConnection, Credentials};
use crate::load::figures::LatencySummary;
use crate::process::Process;

/// Decimal digits kept by the histogram.
const HISTOGRAM_DIGITS: u8 = 3;
/// Statements each caller sends before the measurement begins.
const WARM_UP_STATEMENTS: usize = 50;

/// What callers do.
#[derive(Debug, Clone)]
pub struct ClosedLoop {
    /// Where they connect.
    pub address: SocketAddr,
    /// The database.
    pub database: String,
    /// Callers at once.
    pub callers: usize,
    /// How long they go on.
    pub length: Duration,
    /// What they send.
    pub statement: String,
}

/// What callers saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ClosedLoopResult {
    /// Statements answered a second, all callers together.
    pub statements_per_second: f64,
    /// Time to an answer, in milliseconds.
    pub latency_ms: LatencySummary,
    /// Processor time of the whole process for one statement, callers and databases included, in
    /// microseconds.
    pub processor_microseconds_per_statement: f64,
}

impl ClosedLoop {
    /// Runs the callers.
    ///
    /// # Errors
    /// The first error of any caller.
    pub async fn run(&self) -> Result<ClosedLoopResult, tokio_postgres::Error> {
        let mut connections = Vec::new();
        for _ in 0..self.callers {
            connections.push(self.connect().await?);
        }
        let process = Process::this();
        let used_before = process.processor_time().unwrap_or_default();
        let started = Instant::now();
        let mut callers = JoinSet::new();
        for connection in connections {
            callers.spawn(call_until(
                connection,
                self.statement.clone(),
                started + self.length,
            ));
        }
        let mut latencies = new_histogram();
        while let Some(ended) = callers.join_next().await {
            let of_caller = match ended {
                Ok(outcome) => outcome?,
                Err(panic) => std::panic::resume_unwind(panic.into_panic()),
            };
            latencies += of_caller;
        }
        let elapsed = started.elapsed();
        let used = process
            .processor_time()
            .unwrap_or_default()
            .saturating_sub(used_before);
        Ok(summarise(&latencies, elapsed, used))
    }

    async fn connect(&self) -> Result<CallerConnection, tokio_postgres::Error> {
        let credentials = Credentials::default();
        let connection =
            CallerConnection::open(self.address, &self.database, &credentials, None).await?;
        for _ in 0..WARM_UP_STATEMENTS {
            connection.run(&self.statement).await?;
        }
        Ok(connection)
    }
}

async fn call_until(
    connection: CallerConnection,
    statement: String,
    deadline: Instant,
) -> Result<Histogram<u64>, tokio_postgres::Error> {
    let mut latencies = new_histogram();
    while Instant::now() < deadline {
        let sent = Instant::now();
        connection.run(&statement).await?;
        let nanoseconds = sent.elapsed().as_nanos() as u64;
        latencies.saturating_record(nanoseconds);
    }
    connection.close().await;
    Ok(latencies)
}

/// Latencies in nanoseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(HIGHEST_NANOSECONDS, HISTOGRAM_DIGITS)
        .unwrap_or_else(|_| unreachable!("one to five digits are valid"))
}

/// Longest latency told apart: one minute.
const HIGHEST_NANOSECONDS: u64 = 60_000_000_000;

fn summarise(latencies: &Histogram<u64>, elapsed: Duration, used: Duration) -> ClosedLoopResult {
    let milliseconds = |nanoseconds: u64| nanoseconds as f64 / 1e6;
    let statements = latencies.len() as f64;
    ClosedLoopResult {
        statements_per_second: statements / elapsed.as_secs_f64(),
        latency_ms: LatencySummary {
            p50: milliseconds(latencies.value_at_quantile(0.5)),
            p99: milliseconds(latencies.value_at_quantile(0.99)),
            max: milliseconds(latencies.max()),
        },
        processor_microseconds_per_statement: used.as_secs_f64() * 1e6 / statements.max(1.0),
    }
}
