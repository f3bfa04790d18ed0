//! Collects a history from several threads.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use stairward_types::Time;

use crate::event::HistoryEvent;

/// Default maximum number of records. A full recorder takes about 1 GiB in the worst case.
const DEFAULT_MAXIMUM_RECORDS: usize = 4_000_000;

/// One event and when it happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Time of the event on the run's single clock, in microseconds.
    pub at: Time,
    /// What happened.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// The records of a run, ordered by time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct History {
    /// The records.
    pub records: Vec<HistoryRecord>,
    /// Number of records dropped because the recorder was full. Checks on an incomplete history
    /// prove nothing.
    pub dropped: u64,
}

/// Collects records. Cheap to clone; all clones write to the same history. Once the maximum number
/// of records is reached, further records are dropped and only counted.
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

    /// A recorder that keeps at most `maximum_records` records.
    #[must_use]
    pub fn with_maximum_records(maximum_records: usize) -> Self {
        Self {
            history: Arc::default(),
            maximum_records,
        }
    }

    /// Adds an event. All times of a run must come from the same clock.
    pub fn record(&self, at: Time, event: HistoryEvent) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.records.len() < self.maximum_records {
            history.records.push(HistoryRecord { at, event });
        } else {
            history.dropped += 1;
        }
    }

    /// A copy of the history so far, ordered by time. Records with the same time keep the order in
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
