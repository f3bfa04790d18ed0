//! What a node goes on with while a store that came back from an older copy shows less than the node knew.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::StoreRevision;

/// Something that the store holds under a name.
pub trait StoreObject: Clone {
    /// The revision of its last change.
    fn revision(&self) -> StoreRevision;

    /// Whether it says the same as another, whenever either was written.
    fn has_same_content(&self, other: &Self) -> bool;
}

/// What a node knew of objects and a restored store does not show. Those who wrote it write it again within seconds; until
/// then the store's older word would take back what was acknowledged: a back end that leaves would read as staying, one
/// that has ended would be listed again, an evacuation would be missing.
#[derive(Debug)]
pub struct RestoredView<T> {
    /// Which copy of the store was listed last; none before the first.
    era: Option<u64>,
    /// What is known of an object, in place of what the store shows; none where it is known to be gone.
    retained: BTreeMap<String, Option<T>>,
}

impl<T> Default for RestoredView<T> {
    fn default() -> Self {
        Self {
            era: None,
            retained: BTreeMap::new(),
        }
    }
}

impl<T: StoreObject> RestoredView<T> {
    /// Takes in that all objects are listed anew, by the copy of the store of this era, or by a peer, of which no copy is
    /// known. `known` are the objects before, `gone` the names of those that had gone lately. Returns whether the store
    /// has come back from an older copy.
    pub fn apply_listing(
        &mut self,
        era: Option<u64>,
        known: BTreeMap<String, T>,
        gone: impl IntoIterator<Item = String>,
        listed: &BTreeMap<String, T>,
    ) -> bool {
        let is_restored = self.era.is_some() && era > self.era;
        self.era = era.or(self.era);
        if is_restored {
            self.keep_known(known, gone, listed);
        } else {
            let revision = |objects: &BTreeMap<String, T>, name: &str| {
                objects.get(name).map(StoreObject::revision)
            };
            self.retained
                .retain(|name, _| revision(&known, name) == revision(listed, name));
        }
        is_restored
    }

    /// Which copy of the store was listed last; none before the first.
    #[must_use]
    pub const fn era(&self) -> Option<u64> {
        self.era
    }

    fn keep_known(
        &mut self,
        known: BTreeMap<String, T>,
        gone: impl IntoIterator<Item = String>,
        listed: &BTreeMap<String, T>,
    ) {
        let known_gone: Vec<_> = self.known_gone().map(str::to_owned).collect();
        let known = self.take_effective_objects(known);
        for name in gone.into_iter().chain(known_gone) {
            if listed.contains_key(&name) && !known.contains_key(&name) {
                self.retained.insert(name, None);
            }
        }
        for (name, object) in known {
            let is_present = listed.get(&name).is_some_and(|listed| {
                listed.has_same_content(&object) || is_written_again(&object, listed)
            });
            if !is_present {
                self.retained.insert(name, Some(object));
            }
        }
    }

    /// The object of this name was written, or removed, since the store came back.
    pub fn mark_written(&mut self, name: &str) {
        self.retained.remove(name);
    }

    /// Nothing more is written again: what the store shows counts. Returns the names that this changes.
    pub fn clear_retained(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.retained).into_keys().collect()
    }

    /// Whether all objects are to be seen as the store shows them.
    #[must_use]
    pub fn matches_store(&self) -> bool {
        self.retained.is_empty()
    }

    /// The names of the objects that are not to be seen as the store shows them.
    pub fn retained_names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.retained.keys().map(String::as_str)
    }

    /// The objects as they are to be seen.
    #[must_use]
    pub fn effective_objects(&self, listed: &BTreeMap<String, T>) -> BTreeMap<String, T> {
        let mut effective = listed.clone();
        for (name, retained) in &self.retained {
            match retained {
                Some(object) => _ = effective.insert(name.clone(), object.clone()),
                None => _ = effective.remove(name),
            }
        }
        effective
    }

    /// The names of objects that the store shows and that are known to be gone.
    fn known_gone(&self) -> impl Iterator<Item = &str> {
        let gone = self
            .retained
            .iter()
            .filter(|(_, retained)| retained.is_none());
        gone.map(|(name, _)| name.as_str())
    }

    /// The objects as they were seen until now, and forgets what was kept.
    fn take_effective_objects(&mut self, listed: BTreeMap<String, T>) -> BTreeMap<String, T> {
        let mut effective = listed;
        for (name, retained) in std::mem::take(&mut self.retained) {
            match retained {
                Some(object) => _ = effective.insert(name, object),
                None => _ = effective.remove(&name),
            }
        }
        effective
    }
}

/// Whether an object was certainly written since the store came back: its revision is one that the copy did not have. A
/// lower one than known may be either, and counts as what the copy had.
fn is_written_again<T: StoreObject>(known: &T, listed: &T) -> bool {
    listed.revision().revision() >= known.revision().revision()
}
