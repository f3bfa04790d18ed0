//! The data that a member has applied from its log.

use std::collections::VecDeque;

use stairward_types::{Freshness, Time};

use super::log::{LogRecord, order};
use crate::sql::Tables;

/// Applied data, and received records that are not due yet.
#[derive(Debug)]
pub struct Store {
    /// The committed tables.
    pub tables: Tables,
    /// The last applied record.
    pub applied: Freshness,
    pending: VecDeque<(Time, LogRecord)>,
}

impl Store {
    /// No data, applied up to a log's beginning.
    #[must_use]
    pub const fn new(applied: Freshness) -> Self {
        Self {
            tables: Tables::new(),
            applied,
            pending: VecDeque::new(),
        }
    }

    /// Applies a record now. Pending ones must have been applied before.
    pub fn apply(&mut self, record: &LogRecord) {
        for change in record.changes.iter() {
            change.apply(&mut self.tables);
        }
        self.applied = record.freshness;
    }

    /// Notes a received record to be applied at a later moment. Records become due in order.
    pub fn defer(&mut self, due: Time, record: LogRecord) {
        self.pending.push_back((due, record));
    }

    /// Applies the records due.
    pub fn apply_due(&mut self, now: Time) {
        while let Some((due, _)) = self.pending.front()
            && *due <= now
        {
            let Some((_, record)) = self.pending.pop_front() else {
                return;
            };
            self.apply(&record);
        }
    }

    /// Applies all received records.
    pub fn apply_all(&mut self) {
        self.apply_due(Time::NEVER);
    }

    /// Takes back records, newest first, that were cut off the log. `kept` is its new end.
    /// Returns whether applied ones were among them.
    pub fn undo(&mut self, removed: &[LogRecord], kept: Freshness) -> bool {
        self.pending
            .retain(|(_, record)| order(record.freshness) <= order(kept));
        let applied = order(self.applied);
        let mut undone = false;
        for record in removed {
            if order(record.freshness) > applied {
                continue;
            }
            for change in record.changes.iter().rev() {
                change.undo(&mut self.tables);
            }
            undone = true;
        }
        if undone {
            self.applied = kept;
        }
        undone
    }

    /// Replaces all data by a copy that includes everything up to `end`.
    pub fn restore(&mut self, tables: Tables, end: Freshness) {
        self.tables = tables;
        self.applied = end;
        self.pending.clear();
    }
}
