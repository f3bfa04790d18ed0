//! The metadata store: the configuration and the record of the one service.

use std::collections::{BTreeMap, BTreeSet};

use stairward_failover::FailoverRecord;
use stairward_types::{Time, ZoneName};

/// The store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Store {
    pub is_down: bool,
    /// When it went away and when it came back, in order.
    pub outages: Vec<(Time, Time)>,
    pub loses_responses: bool,
    pub record_version: u64,
    pub record: Option<FailoverRecord>,
    /// The newest configuration's revision.
    pub configuration: u64,
    /// Evacuated zones, and since when.
    pub evacuated: BTreeMap<ZoneName, Time>,
    /// Its newest revision.
    pub revisions: u64,
    /// Rises each time that it comes back from an older copy.
    pub era: u64,
    /// The revision of the configuration that the operator wrote last, which the store may have lost.
    pub operator_configuration: u64,
    /// Evacuations that the store has lost and the operator has not written again yet.
    pub unrestored_evacuations: BTreeSet<ZoneName>,
}

impl Store {
    /// It answers nothing from now on.
    pub fn go_down(&mut self, now: Time) {
        if !std::mem::replace(&mut self.is_down, true) {
            self.outages.push((now, Time::NEVER));
        }
    }

    /// It answers again.
    pub fn recover(&mut self, now: Time) {
        self.is_down = false;
        if let Some((_, end)) = self.outages.last_mut() {
            *end = now.min(*end);
        }
    }

    /// When it took a word that was said at a moment: at once, or as soon as it was back.
    pub fn accepted_at(&self, announced_at: Time) -> Time {
        let outage = self
            .outages
            .iter()
            .find(|(gone, back)| (*gone..*back).contains(&announced_at));
        outage.map_or(announced_at, |(_, back)| *back)
    }

    /// Writes the record under its condition, which names a revision and no era. Returns the version afterwards, or none
    /// for a conflict.
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
