//! A node's view of the store's objects. Like the platform's adapter, it takes whole listings and handles
//! restored copies of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_engine::BackendDescription;
use stairward_membership::feed::{RestoredView, StoreObject};
use stairward_types::{StoreRevision, Time};

/// How long writers are given to rewrite what a restore has lost. The entry of a stopped database expires
/// after 3.6 s.
const REWRITE_TIMEOUT: Duration = Duration::from_millis(4_100);

/// A database's entry.
#[derive(Debug, Clone)]
pub(crate) struct BackendEntry(pub BackendDescription);

impl StoreObject for BackendEntry {
    fn revision(&self) -> StoreRevision {
        self.0.revision
    }

    fn has_same_content(&self, other: &Self) -> bool {
        let with_own_revision = BackendDescription {
            revision: self.0.revision,
            cold_left: self.0.cold_left,
            ..other.0.clone()
        };
        with_own_revision == self.0
    }
}

/// A request to evacuate a zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evacuation(pub StoreRevision);

impl StoreObject for Evacuation {
    fn revision(&self) -> StoreRevision {
        self.0
    }

    fn has_same_content(&self, _: &Self) -> bool {
        true
    }
}

/// All objects of a kind as one node sees them.
#[derive(Debug)]
pub(crate) struct StoreView<T> {
    listed: BTreeMap<String, T>,
    gone: BTreeSet<String>,
    restored: RestoredView<T>,
    retained_until: Option<Time>,
}

impl<T> Default for StoreView<T> {
    fn default() -> Self {
        Self {
            listed: BTreeMap::new(),
            gone: BTreeSet::new(),
            restored: RestoredView::default(),
            retained_until: None,
        }
    }
}

impl<T: StoreObject> StoreView<T> {
    /// Applies a listing of the store. Returns the objects as the node sees them.
    pub fn apply_listing(
        &mut self,
        now: Time,
        era: u64,
        listed: BTreeMap<String, T>,
    ) -> BTreeMap<String, T> {
        let before = std::mem::replace(&mut self.listed, listed);
        // A node that has just started cannot know when the store was last restored.
        let may_be_restored = self.restored.era().is_none() && era > 0;
        let names_before: BTreeSet<String> = before.keys().cloned().collect();
        let gone = self.gone.clone();
        let is_restored = self
            .restored
            .apply_listing(Some(era), before, gone, &self.listed);
        if is_restored || may_be_restored {
            self.retained_until = Some(now + REWRITE_TIMEOUT);
        }
        self.gone.extend(names_before);
        self.gone.retain(|name| !self.listed.contains_key(name));
        if self.retained_until.is_some_and(|at| now >= at) {
            self.retained_until = None;
            self.restored.clear_retained();
        }
        self.restored.effective_objects(&self.listed)
    }

    /// Whether no recent restore may have lost objects.
    pub fn is_settled(&self) -> bool {
        self.retained_until.is_none()
    }
}
