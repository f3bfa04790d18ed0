//! Restores of the metadata store from an older copy: later writes are lost and their revisions are used
//! again. The operator and the databases rewrite their latest state.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_engine::BackendDescription;
use stairward_types::BackendId;

use crate::faults::{FaultEnd, LISTING_TIMEOUT};
use crate::store::Store;
use crate::world::{SimulationEvent, World};

/// Range of the outage before a restore, in milliseconds.
const OUTAGE_MS: (u64, u64) = (300, 1_500);
/// Range of the delay until the operator and each database rewrite their state, in milliseconds.
const REWRITE_DELAY_MS: (u64, u64) = (100, 1_300);

/// The state of the store at a point in time.
#[derive(Debug)]
pub(crate) struct StoreCopy {
    store: Store,
    listed: BTreeMap<BackendId, BackendDescription>,
    revision: u64,
}

impl World {
    /// Copies the store now, to restore it from this copy after some time.
    pub(crate) fn plan_restore(&mut self, age: Duration) {
        let copy = StoreCopy {
            store: self.store.clone(),
            listed: self.group.listed.clone(),
            revision: self.group.revision,
        };
        self.end_after(age, FaultEnd::StoreStops(Box::new(copy)));
    }

    pub(crate) fn stop_for_restore(&mut self, copy: Box<StoreCopy>) {
        let outage = self.random_duration(OUTAGE_MS.0, OUTAGE_MS.1);
        self.stop_store_for(outage);
        self.end_after(outage, FaultEnd::StoreRestored(copy));
    }

    pub(crate) fn restore_store(&mut self, copy: StoreCopy) {
        let now = self.now();
        self.store.recover(now);
        let lost = &mut self.store;
        let outages = std::mem::take(&mut lost.outages);
        self.store = Store {
            is_down: false,
            outages,
            loses_responses: lost.loses_responses,
            era: lost.era + 1,
            operator_configuration: lost.operator_configuration,
            operator_evacuations: std::mem::take(&mut lost.operator_evacuations),
            ..copy.store
        };
        self.group.listed = copy.listed;
        self.group.revision = copy.revision;
        self.notify_all_nodes();
        let pause = self.random_duration(REWRITE_DELAY_MS.0, REWRITE_DELAY_MS.1);
        self.end_after(pause, FaultEnd::OperatorRewrites);
        let ids: Vec<_> = self.group.databases.keys().cloned().collect();
        for id in ids {
            let pause = self.random_duration(REWRITE_DELAY_MS.0, REWRITE_DELAY_MS.1);
            self.end_after(pause, FaultEnd::DatabaseRewrites(id.clone()));
            let expiry = FaultEnd::DatabaseUnlisted(id, u64::MAX);
            self.end_after(LISTING_TIMEOUT, expiry);
        }
    }

    /// The operator rewrites its latest state if the store has lost it.
    pub(crate) fn rewrite_operator_state(&mut self) {
        let now = self.now();
        self.store.configuration = self.store.operator_configuration;
        let wanted = &self.store.operator_evacuations;
        self.store.evacuated.retain(|zone, _| wanted.contains(zone));
        for zone in wanted {
            self.store.evacuated.entry(zone.clone()).or_insert(now);
        }
        self.notify_all_nodes();
        let check = SimulationEvent::CheckConfiguration(self.store.configuration, now);
        self.queue
            .schedule(crate::world::CONFIGURATION_LIMIT, check);
    }

    /// A running database rewrites its entry.
    pub(crate) fn rewrite_database_entry(&mut self, id: &BackendId) {
        let database = self.group.databases.get(id);
        if database.is_some_and(|database| database.is_alive && !database.is_silent) {
            self.group.announce_if_changed(id);
            self.notify_all_nodes();
        }
    }
}
