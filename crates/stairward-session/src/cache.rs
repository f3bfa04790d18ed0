//! A bounded cache of statement classes, since most clients repeat a small number of statements.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::sync::Arc;

use std::collections::hash_map::DefaultHasher;

use crate::class::StatementClass;
use crate::classify::classify;
use crate::comment::may_contain_hints;

/// Maximum length of a cached text, in bytes.
const MAXIMUM_TEXT_BYTES: usize = 4 * 1024;

/// Uses a hasher with a fixed seed, to keep runs deterministic.
type Generation = HashMap<Box<str>, Arc<StatementClass>, BuildHasherDefault<DefaultHasher>>;

/// Caches the classes of recently classified texts.
///
/// Uses two generations: when the young one is full, it replaces the old one, so that at most
/// `2 * capacity` texts of 4 KiB are held.
#[derive(Debug)]
pub struct ClassCache {
    capacity: usize,
    young: Generation,
    old: Generation,
}

impl ClassCache {
    /// Creates a cache whose generations hold up to `capacity` texts each.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Classifies a text, from the cache if possible.
    pub fn classify(&mut self, text: &str) -> Arc<StatementClass> {
        if let Some(class) = self.young.get(text) {
            return Arc::clone(class);
        }
        let class = match self.old.get(text) {
            Some(class) => Arc::clone(class),
            None => Arc::new(classify(text)),
        };
        // Hints, request keys above all, make texts unique, which would evict all other entries.
        if text.len() <= MAXIMUM_TEXT_BYTES && !may_contain_hints(text) {
            self.insert(text, &class);
        }
        class
    }

    /// Number of cached texts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: &str, class: &Arc<StatementClass>) {
        if self.young.len() >= self.capacity {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text.into(), Arc::clone(class));
    }
}
