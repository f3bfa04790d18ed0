//! The metadata store: the configuration, evacuations and the failover record of the only service.

use std::collections::{BTreeMap, BTreeSet};

use stairward_failover::{FailoverRecord, InSyncRecord};
use stairward_types::{Time, ZoneName};

/// The metadata store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    pub is_down: bool,
    /// Start and end of each outage, in order.
    pub outages: Vec<(Time, Time)>,
    pub loses_responses: bool,
    pub record_version: u64,
    pub record: Option<FailoverRecord>,
    pub in_sync_version: u64,
    pub in_sync: Option<InSyncRecord>,
    /// Revision of the newest configuration.
    pub configuration: u64,
    /// Evacuated zones, and since when.
    pub evacuated: BTreeMap<ZoneName, Time>,
    /// The newest revision.
    pub revisions: u64,
    /// Rises each time that the store is restored from an older copy.
    pub era: u64,
    /// Revision of the configuration that the operator wrote last, which a restore may have lost.
    pub operator_configuration: u64,
    /// The zones that the operator wants evacuated, which a restore may have lost or brought back.
    pub operator_evacuations: BTreeSet<ZoneName>,
}

impl Store {
    /// Makes the store unavailable.
    pub fn go_down(&mut self, now: Time) {
        if !std::mem::replace(&mut self.is_down, true) {
            self.outages.push((now, Time::NEVER));
        }
    }

    /// Ends the outage.
    pub fn recover(&mut self, now: Time) {
        self.is_down = false;
        if let Some((_, end)) = self.outages.last_mut() {
            *end = now.min(*end);
        }
    }

    /// When the store accepted an announcement: immediately, or at the end of the outage it was made in.
    pub fn accepted_at(&self, announced_at: Time) -> Time {
        let outage = self
            .outages
            .iter()
            .find(|(gone, back)| (*gone..*back).contains(&announced_at));
        outage.map_or(announced_at, |(_, back)| *back)
    }

    /// Writes the record of in-sync members if its version is the expected one. Returns whether it was.
    pub fn write_in_sync(&mut self, expected: u64, record: InSyncRecord) -> bool {
        if expected != self.in_sync_version {
            return false;
        }
        self.revisions += 1;
        self.in_sync_version = self.revisions;
        self.in_sync = Some(record);
        true
    }

    /// Writes the record if its version is the expected one. The condition contains no era. Returns the new
    /// version, or `None` on a conflict.
    pub fn write_record(&mut self, expected: u64, record: FailoverRecord) -> Option<u64> {
        if expected != self.record_version {
            return None;
        }
        self.revisions += 1;
        self.record_version = self.revisions;
        self.record = Some(record);
        Some(self.record_version)
    }
}
