//! A member's log of committed transactions.

use std::collections::VecDeque;
use std::sync::Arc;

use stairward_types::{Freshness, LogPosition, Term};

use crate::sql::Change;

/// Where the first log record stands; PostgreSQL's logs do not begin at zero either.
pub const FIRST_POSITION: LogPosition = LogPosition(0x0100_0000);

/// Most records kept for members that are behind. One that needs older ones gets a snapshot.
pub const MAXIMUM_RECORDS: usize = 50_000;

/// One record: a committed transaction, or the beginning of a term when it has no changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Term and position of the record. Both only grow along a log.
    pub freshness: Freshness,
    /// The transaction's changes.
    pub changes: Arc<Vec<Change>>,
}

/// Orders places of a log, and ends of logs in elections: by term, then by position.
#[must_use]
pub fn order(freshness: Freshness) -> (Term, LogPosition) {
    (freshness.term, freshness.position)
}

/// A log. Records at its beginning are trimmed once all members hold them.
#[derive(Debug, Clone)]
pub struct Log {
    base: Freshness,
    /// Whether all members hold the trimmed records. Not so once some were dropped for want of room.
    base_agreed: bool,
    records: VecDeque<LogRecord>,
}

impl Log {
    /// An empty log of the first term.
    #[must_use]
    pub fn new() -> Self {
        Self::starting_at(Freshness::new(Term(1), FIRST_POSITION))
    }

    /// An empty log whose last trimmed record is `base`.
    #[must_use]
    pub const fn starting_at(base: Freshness) -> Self {
        Self {
            base,
            base_agreed: true,
            records: VecDeque::new(),
        }
    }

    /// The last trimmed record.
    #[must_use]
    pub const fn base(&self) -> Freshness {
        self.base
    }

    /// The last record.
    #[must_use]
    pub fn last(&self) -> Freshness {
        let last = self.records.back();
        last.map_or(self.base, |record| record.freshness)
    }

    /// Whether exactly this record is in the log; trimmed ones count if all members hold them.
    #[must_use]
    pub fn holds(&self, record: Freshness) -> bool {
        if order(record) < order(self.base) {
            return self.base_agreed;
        }
        if record == self.base {
            return true;
        }
        let found = self
            .records
            .binary_search_by_key(&order(record), |candidate| order(candidate.freshness));
        found.is_ok()
    }

    /// The last record that does not come after `bound`.
    #[must_use]
    pub fn last_up_to(&self, bound: Freshness) -> Freshness {
        let after = self.count_up_to(bound);
        match after.checked_sub(1) {
            Some(place) => self.records[place].freshness,
            None => self.base,
        }
    }

    /// The last record that comes before `bound`; zero when the log does not reach back that far.
    #[must_use]
    pub fn last_before(&self, bound: Freshness) -> Freshness {
        let before = self
            .records
            .partition_point(|record| order(record.freshness) < order(bound));
        match before.checked_sub(1) {
            Some(place) => self.records[place].freshness,
            None if order(self.base) < order(bound) => self.base,
            None => Freshness::default(),
        }
    }

    /// Up to `limit` records after `previous`.
    #[must_use]
    pub fn after(&self, previous: Freshness, limit: usize) -> Vec<LogRecord> {
        let first = self.count_up_to(previous);
        let records = self.records.iter().skip(first).take(limit);
        records.cloned().collect()
    }

    /// Adds a record at the end.
    pub fn append(&mut self, record: LogRecord) {
        self.records.push_back(record);
        if self.records.len() > MAXIMUM_RECORDS {
            self.drop_first();
            self.base_agreed = false;
        }
    }

    /// Removes and returns the records after `last_kept`, newest first.
    pub fn truncate_after(&mut self, last_kept: Freshness) -> Vec<LogRecord> {
        let kept = self.count_up_to(last_kept);
        let removed = self.records.split_off(kept);
        removed.into_iter().rev().collect()
    }

    /// Forgets the records up to and including `bound`.
    pub fn trim(&mut self, bound: Freshness) {
        while let Some(first) = self.records.front()
            && order(first.freshness) <= order(bound)
        {
            self.drop_first();
        }
        if order(self.base) <= order(bound) {
            self.base_agreed = true;
        }
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.records.pop_front() {
            self.base = first.freshness;
        }
    }

    fn count_up_to(&self, bound: Freshness) -> usize {
        self.records
            .partition_point(|record| order(record.freshness) <= order(bound))
    }
}
