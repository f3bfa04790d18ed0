//! The store comes back from an older copy: what was written since is gone, and its revisions are given out again. The
//! operator and the databases write again what they wrote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_engine::BackendDescription;
use stairward_types::{BackendId, ZoneName};

use crate::faults::{Ending, LISTING_LAPSE};
use crate::store::Store;
use crate::world::{Happening, World};

/// How long the store is away before it comes back, in milliseconds.
const OUTAGE: (u64, u64) = (300, 1_500);
/// How long after that the operator, and each database, writes again, in milliseconds.
const WRITES_AGAIN: (u64, u64) = (100, 1_300);

/// What the store held at a moment.
#[derive(Debug)]
pub(crate) struct StoreCopy {
    store: Store,
    listed: BTreeMap<BackendId, BackendDescription>,
    revision: u64,
}

impl World {
    /// The store is to come back, some time from now, as it is at this moment.
    pub(crate) fn plan_restore(&mut self, age: Duration) {
        let copy = StoreCopy {
            store: self.store.clone(),
            listed: self.group.listed.clone(),
            revision: self.group.revision,
        };
        self.end_after(age, Ending::StoreGoes(Box::new(copy)));
    }

    pub(crate) fn store_goes(&mut self, copy: Box<StoreCopy>) {
        let outage = self.between(OUTAGE.0, OUTAGE.1);
        self.stop_store_for(outage);
        self.end_after(outage, Ending::StoreRestored(copy));
    }

    pub(crate) fn store_restored(&mut self, copy: StoreCopy) {
        let now = self.now();
        self.store.come_back(now);
        let lost = &mut self.store;
        let outages = std::mem::take(&mut lost.outages);
        let evacuated: BTreeSet<ZoneName> = lost.evacuated.keys().cloned().collect();
        self.store = Store {
            is_down: false,
            outages,
            loses_answers: lost.loses_answers,
            era: lost.era + 1,
            written_configuration: lost.written_configuration,
            written_evacuations: evacuated,
            ..copy.store
        };
        self.group.listed = copy.listed;
        self.group.revision = copy.revision;
        self.push_to_all();
        let pause = self.between(WRITES_AGAIN.0, WRITES_AGAIN.1);
        self.end_after(pause, Ending::OperatorWritesAgain);
        let ids: Vec<_> = self.group.databases.keys().cloned().collect();
        for id in ids {
            let pause = self.between(WRITES_AGAIN.0, WRITES_AGAIN.1);
            self.end_after(pause, Ending::DatabaseWritesAgain(id.clone()));
            let lapses = Ending::DatabaseForgotten(id, u64::MAX);
            self.end_after(LISTING_LAPSE, lapses);
        }
    }

    /// What the operator wrote last is written again where the store has lost it.
    pub(crate) fn operator_writes_again(&mut self) {
        let now = self.now();
        self.store.configuration = self.store.written_configuration;
        for zone in std::mem::take(&mut self.store.written_evacuations) {
            self.store.evacuated.entry(zone).or_insert(now);
        }
        self.push_to_all();
        let check = Happening::CheckConfiguration(self.store.configuration, now);
        self.queue.plan(crate::world::CONFIGURATION_LIMIT, check);
    }

    /// A database that lives writes its entry again.
    pub(crate) fn database_writes_again(&mut self, id: &BackendId) {
        let database = self.group.databases.get(id);
        if database.is_some_and(|database| database.is_alive && !database.is_silent) {
            self.group.announce_if_changed(id);
            self.push_to_all();
        }
    }
}
