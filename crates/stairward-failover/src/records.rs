//! What a node knows of the services' records in the store.

use std::collections::BTreeMap;

use stairward_types::{Duration, ServiceName, Term, Time};

use crate::event::{DutyRecord, RecordVersion};

/// A service's record, and when this node learnt of it.
#[derive(Debug)]
struct Known {
    version: RecordVersion,
    record: Option<DutyRecord>,
    learnt_at: Time,
}

/// The records of all services.
#[derive(Debug, Default)]
pub(crate) struct Records {
    /// Whether the store has shown the records once: a service without one has none then.
    are_listed: bool,
    known: BTreeMap<ServiceName, Known>,
}

impl Records {
    /// The store has shown the records of all services that have one.
    pub fn listed(&mut self) {
        self.are_listed = true;
    }

    /// Takes a service's record in, unless this version or a later one is known. Returns whether it was taken.
    pub fn learn(
        &mut self,
        now: Time,
        service: ServiceName,
        version: RecordVersion,
        record: Option<DutyRecord>,
    ) -> bool {
        let known = self.known.get(&service);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let known = Known {
            version,
            record,
            learnt_at: now,
        };
        self.known.insert(service, known);
        true
    }

    /// The version of a service's record; none before the store has shown the records.
    pub fn version(&self, service: &ServiceName) -> Option<RecordVersion> {
        let none = self.are_listed.then_some(RecordVersion(0));
        self.known.get(service).map(|known| known.version).or(none)
    }

    /// The newest term that a service's holders noted.
    pub fn term(&self, service: &ServiceName) -> Term {
        let record = self.record(service);
        record.map_or(Term::default(), |record| record.term)
    }

    /// Whether this node was the last to write a service's record. Another one since may have put replicas on
    /// hold.
    pub fn is_held_by(&self, service: &ServiceName, node: &str) -> bool {
        self.record(service)
            .is_some_and(|record| record.holder == node)
    }

    /// Whether a node other than this one acts on a service at the moment.
    pub fn is_held_by_another(
        &self,
        now: Time,
        service: &ServiceName,
        node: &str,
        lease: Duration,
    ) -> bool {
        self.known.get(service).is_some_and(|known| {
            let holder = known.record.as_ref().map(|record| &record.holder);
            holder.is_some_and(|holder| holder != node) && now < known.learnt_at + lease
        })
    }

    fn record(&self, service: &ServiceName) -> Option<&DutyRecord> {
        self.known.get(service)?.record.as_ref()
    }
}
