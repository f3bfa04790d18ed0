//! Live progress on a terminal, one line that is rewritten.

use std::io::{IsTerminal, Write, stderr};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::tally::Tally;

/// How often the line is rewritten.
const INTERVAL: Duration = Duration::from_millis(250);

/// Shows the counts of a run until it is dropped. Writes to standard error, and only to a terminal.
#[derive(Debug)]
pub struct Progress {
    task: Option<JoinHandle<()>>,
}

impl Progress {
    /// Starts to show a run's counts.
    #[must_use]
    pub fn show(tally: Arc<Tally>, length: Duration) -> Self {
        let task = stderr()
            .is_terminal()
            .then(|| tokio::spawn(rewrite(tally, length)));
        Self { task }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
            eprintln!();
        }
    }
}

async fn rewrite(tally: Arc<Tally>, length: Duration) {
    let start = tokio::time::Instant::now();
    loop {
        let counts = tally.counts();
        let line = format!(
            "\r{:>3}/{} s  {} answered  {} not run  {} unknown  {} waiting for a proxy  {} reconnects",
            start.elapsed().as_secs(),
            length.as_secs(),
            counts.answered,
            counts.refused_not_run,
            counts.outcome_unknown,
            counts.not_sent,
            counts.reconnects,
        );
        // Progress is a courtesy: a closed terminal must not end the run.
        let _ = stderr().write_all(line.as_bytes());
        tokio::time::sleep(INTERVAL).await;
    }
}
