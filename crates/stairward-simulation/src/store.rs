//! The metadata store: the configuration and the record of the one service.

use std::collections::{BTreeMap, BTreeSet};

use stairward_failover::{DutyRecord, RecordVersion};
use stairward_types::{Time, ZoneName};

/// The store.
#[derive(Debug, Clone, Default)]
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
    /// Its newest revision.
    pub revisions: u64,
    /// Rises each time that it comes back from an older copy.
    pub era: u64,
    /// The revision of the configuration that the operator wrote last, which the store may have lost.
    pub written_configuration: u64,
    /// Evacuations that the store has lost and the operator has not written again yet.
    pub written_evacuations: BTreeSet<ZoneName>,
}

impl Store {
    /// Writes the record under its condition, which names a revision and no era. Returns the version afterwards, or none
    /// for a conflict.
    pub fn write_record(&mut self, expected: RecordVersion, record: DutyRecord) -> Option<u64> {
        if expected.0.revision() != self.record_version {
            return None;
        }
        self.revisions += 1;
        self.record_version = self.revisions;
        self.record = Some(record);
        Some(self.record_version)
    }
}
