//! The objects a node uses after the store was restored from an older copy that lacks known
//! changes.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::StoreRevision;

/// A named object of the store.
pub trait StoreObject: Clone {
    /// The revision of its last change.
    fn revision(&self) -> StoreRevision;

    /// Whether it has the same content as another, regardless of their revisions.
    fn has_same_content(&self, other: &Self) -> bool;
}

/// Objects that a node knows and a restored store lacks or shows in an older state. Their writers
/// rewrite them within seconds. Until then the restored content would revert acknowledged changes:
/// a leaving back end would appear to stay, a stopped one would be listed again, and an evacuation
/// would be missing.
#[derive(Debug)]
pub struct RestoredView<T> {
    /// Era (the copy of the store) of the last listing; `None` before the first.
    era: Option<u64>,
    /// Known objects that override the store's; `None` for an object known to be deleted.
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
    /// Applies a new listing of all objects. `era` identifies the copy of the store, `None` for a
    /// listing from a peer. `known` holds the objects before, `deleted` the names of recently deleted
    /// ones. Returns whether the store was restored from an older copy.
    pub fn apply_listing(
        &mut self,
        era: Option<u64>,
        known: BTreeMap<String, T>,
        deleted: impl IntoIterator<Item = String>,
        listed: &BTreeMap<String, T>,
    ) -> bool {
        let is_restored = self.era.is_some() && era > self.era;
        self.era = era.or(self.era);
        if is_restored {
            self.retain_known(known, deleted, listed);
        } else {
            let revision = |objects: &BTreeMap<String, T>, name: &str| {
                objects.get(name).map(StoreObject::revision)
            };
            self.retained
                .retain(|name, _| revision(&known, name) == revision(listed, name));
        }
        is_restored
    }

    /// Era of the last listing; `None` before the first.
    #[must_use]
    pub const fn era(&self) -> Option<u64> {
        self.era
    }

    fn retain_known(
        &mut self,
        known: BTreeMap<String, T>,
        deleted: impl IntoIterator<Item = String>,
        listed: &BTreeMap<String, T>,
    ) {
        let known_deleted: Vec<_> = self.known_deleted().map(str::to_owned).collect();
        let known = self.take_effective_objects(known);
        for name in deleted.into_iter().chain(known_deleted) {
            if listed.contains_key(&name) && !known.contains_key(&name) {
                self.retained.insert(name, None);
            }
        }
        for (name, object) in known {
            let is_present = listed.get(&name).is_some_and(|listed| {
                listed.has_same_content(&object) || is_rewritten(&object, listed)
            });
            if !is_present {
                self.retained.insert(name, Some(object));
            }
        }
    }

    /// Records that an object was written or deleted since the restore.
    pub fn mark_written(&mut self, name: &str) {
        self.retained.remove(name);
    }

    /// Drops all retained objects once no more rewrites are expected. Returns their names.
    pub fn clear_retained(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.retained).into_keys().collect()
    }

    /// Whether the effective objects are exactly those of the store.
    #[must_use]
    pub fn matches_store(&self) -> bool {
        self.retained.is_empty()
    }

    /// The names of the objects that override the store's.
    pub fn retained_names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.retained.keys().map(String::as_str)
    }

    /// The store's objects with the retained ones applied.
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

    /// The names of objects that the store lists but that are known to be deleted.
    fn known_deleted(&self) -> impl Iterator<Item = &str> {
        let deleted = self
            .retained
            .iter()
            .filter(|(_, retained)| retained.is_none());
        deleted.map(|(name, _)| name.as_str())
    }

    /// Applies the retained objects to a listing and clears them.
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

/// Whether an object was certainly written after the restore, because its revision is newer than
/// any that the copy can contain. A lower revision is ambiguous and is treated as part of the copy.
fn is_rewritten<T: StoreObject>(known: &T, listed: &T) -> bool {
    listed.revision().revision() >= known.revision().revision()
}
