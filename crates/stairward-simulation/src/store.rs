//! The metadata store: the configuration and the record of the one service.

use std::collections::BTreeMap;

use stairward_failover::{DutyRecord, RecordVersion};
use stairward_types::{Time, ZoneName};

/// The store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub is_down: bool,
    /// Since when it has been up.
    pub up_since: Time,
    pub loses_answers: bool,
    pub record_version: u64,
    pub record: Option<DutyRecord>,
    /// The newest configuration's revision.
    pub configuration: u64,
    /// Evacuated zones, and since when.
    pub evacuated: BTreeMap<ZoneName, Time>,
    /// Whether the route for own reads exists in it.
    pub revisions: u64,
}

impl Store {
    /// Writes the record under its condition. Returns the version afterwards, or none for a conflict.
    pub fn write_record(&mut self, expected: RecordVersion, record: DutyRecord) -> Option<u64> {
        if expected.0 != self.record_version {
            return None;
        }
        self.revisions += 1;
        self.record_version = self.revisions;
        self.record = Some(record);
        Some(self.record_version)
    }
}
