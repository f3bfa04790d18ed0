//! Collects a history, from many threads at once.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use stairward_types::Time;

use crate::event::HistoryEvent;

/// Records kept when nothing else is said: about 1 GiB at the worst.
const DEFAULT_MAXIMUM_RECORDS: usize = 4_000_000;

/// One event and when it happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// When, on the one clock of the run, in microseconds.
    pub at: Time,
    /// What happened.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// All that was recorded in a run, in the order of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct History {
    /// The records.
    pub records: Vec<HistoryRecord>,
    /// How many more were dropped because the recorder was full. A history with dropped records
    /// proves nothing.
    pub dropped: u64,
}

/// Collects records. Cheap to clone; all clones write into the same history. Bounded: what comes
/// after the maximum is counted and dropped.
#[derive(Debug, Clone)]
pub struct Recorder {
    history: Arc<Mutex<History>>,
    maximum_records: usize,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::with_maximum_records(DEFAULT_MAXIMUM_RECORDS)
    }
}

impl Recorder {
    /// A recorder that keeps at most 4 million records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A recorder that keeps at most so many records.
    #[must_use]
    pub fn with_maximum_records(maximum_records: usize) -> Self {
        Self {
            history: Arc::default(),
            maximum_records,
        }
    }

    /// Adds an event. The time must come from the one clock of the run.
    pub fn record(&self, at: Time, event: HistoryEvent) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.records.len() < self.maximum_records {
            history.records.push(HistoryRecord { at, event });
        } else {
            history.dropped += 1;
        }
    }

    /// A copy of the history so far, ordered by time; records of the same moment keep the order in
    /// which they were added.
    #[must_use]
    pub fn history(&self) -> History {
        let mut history = self
            .history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        history.records.sort_by_key(|record| record.at);
        history
    }
}
