//! A bounded cache of statement classes, since most callers send the same few texts.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::sync::Arc;

use std::collections::hash_map::DefaultHasher;

use crate::class::StatementClass;
use crate::classify::classify;
use crate::comment::may_hold_hints;

/// Longest text kept, in bytes.
const MAXIMUM_TEXT_BYTES: usize = 4 * 1024;

/// With a fixed hasher, so that equal inputs give equal runs.
type Generation = HashMap<Box<str>, Arc<StatementClass>, BuildHasherDefault<DefaultHasher>>;

/// Remembers the classes of recent texts.
///
/// Two generations: when the young one is full it becomes the old one and the old one is dropped, so
/// that at most `2 * capacity` texts of 4 KiB are held.
#[derive(Debug)]
pub struct ClassCache {
    capacity: usize,
    young: Generation,
    old: Generation,
}

impl ClassCache {
    /// A cache whose generations hold so many texts each.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// The class of a text.
    pub fn classify(&mut self, text: &str) -> Arc<StatementClass> {
        if let Some(class) = self.young.get(text) {
            return Arc::clone(class);
        }
        let class = match self.old.get(text) {
            Some(class) => Arc::clone(class),
            None => Arc::new(classify(text)),
        };
        // Hints, above all request keys, make texts unique; they would push everything else out.
        if text.len() <= MAXIMUM_TEXT_BYTES && !may_hold_hints(text) {
            self.remember(text, &class);
        }
        class
    }

    /// Texts held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remember(&mut self, text: &str, class: &Arc<StatementClass>) {
        if self.young.len() >= self.capacity {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text.into(), Arc::clone(class));
    }
}
