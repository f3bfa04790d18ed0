//! What a node knows of the services' records in the store.

use std::collections::BTreeMap;

use stairward_types::{Duration, ServiceName, Term, Time};

use crate::event::{FailoverRecord, RecordVersion};

/// A service's record, and when this node learnt of it.
#[derive(Debug)]
struct KnownRecord {
    version: RecordVersion,
    record: Option<FailoverRecord>,
    learned_at: Time,
}

/// The records of all services.
#[derive(Debug)]
pub(crate) struct Records {
    /// The name under which this node writes records.
    node: String,
    /// How long a holder's last record keeps others from acting.
    lease: Duration,
    /// Which copy of the store has shown the records; none before the first listing. A service without a record has none
    /// then.
    era: Option<u64>,
    known: BTreeMap<ServiceName, KnownRecord>,
    /// What was known when the store last came back from an older copy.
    lost_records: BTreeMap<ServiceName, KnownRecord>,
    /// When this node learnt that records may have been lost.
    lost_at: Option<Time>,
    /// The newest term that holders ever noted, whatever the store has lost since.
    terms: BTreeMap<ServiceName, Term>,
}

impl Records {
    /// Nothing is known yet to the node of this name.
    pub fn new(node: String, lease: Duration) -> Self {
        Self {
            node,
            lease,
            era: None,
            known: BTreeMap::new(),
            lost_records: BTreeMap::new(),
            lost_at: None,
            terms: BTreeMap::new(),
        }
    }

    /// A copy of the store has shown the records of all services that have one. Returns whether it is a later copy than
    /// before: what is known of the records of the earlier one says nothing any more.
    pub fn record_listing(&mut self, now: Time, era: u64) -> bool {
        let before = self.era.unwrap_or_default();
        if era <= before {
            self.era = Some(before);
            return false;
        }
        // Also a node that has just started: the copy before may have had a record of which it never heard.
        self.lost_at = Some(now);
        self.lost_records = std::mem::take(&mut self.known);
        self.era.replace(era).is_some()
    }

    /// Takes a service's record in, unless this version or a later one is known, or it is one of a copy of the store that
    /// is gone, or not listed yet. Returns whether it was taken.
    pub fn learn(
        &mut self,
        now: Time,
        service: ServiceName,
        version: RecordVersion,
        record: Option<FailoverRecord>,
    ) -> bool {
        if version.0.era() != self.era.unwrap_or_default() {
            return false;
        }
        let known = self.known.get(&service);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        if let Some(record) = &record {
            let noted = self.terms.entry(service.clone()).or_default();
            *noted = record.term.max(*noted);
        }
        let known = KnownRecord {
            version,
            record,
            learned_at: now,
        };
        self.known.insert(service, known);
        true
    }

    /// The version of a service's record; none before the store has shown the records.
    pub fn version(&self, service: &ServiceName) -> Option<RecordVersion> {
        let none = self.era.map(RecordVersion::absent_in_era);
        self.known.get(service).map(|known| known.version).or(none)
    }

    /// The newest term that a service's holders noted.
    pub fn term(&self, service: &ServiceName) -> Term {
        self.terms.get(service).copied().unwrap_or_default()
    }

    /// Whether this node was the last to write a service's record. Another one since may have put replicas on
    /// hold. A record that the store has lost counts too while whoever wrote it may act.
    pub fn is_last_holder(&self, now: Time, service: &ServiceName) -> bool {
        let lost_lease_may_hold = self.lost_lease_ends_at(now).is_some();
        let lost = self
            .lost_records
            .get(service)
            .filter(|_| lost_lease_may_hold);
        let known = self.known.get(service);
        let mut records = known
            .into_iter()
            .chain(lost)
            .filter_map(|known| known.record.as_ref())
            .peekable();
        // The record that is shown may be the older one of the two, or the newer.
        records.peek().is_some() && records.all(|record| record.holder == self.node)
    }

    /// Whether a node other than this one acts on a service at the moment.
    pub fn is_held_by_another(&self, now: Time, service: &ServiceName) -> bool {
        self.known.get(service).is_some_and(|known| {
            let holder = known.record.as_ref().map(|record| &record.holder);
            holder.is_some_and(|holder| *holder != self.node) && now < known.learned_at + self.lease
        })
    }

    /// Until when a node may act by a record that the store has lost; none where none can.
    pub fn lost_lease_ends_at(&self, now: Time) -> Option<Time> {
        let ends_at = self.lost_at? + self.lease;
        (now < ends_at).then_some(ends_at)
    }
}
