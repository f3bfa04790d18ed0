//! Revisions of the metadata store that stay ordered when the store is restored from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Low bits of the number, which hold the revision. The era is in the bits above.
const REVISION_BITS: u32 = 40;
/// The highest representable revision: enough for 87 years at 400 writes per second.
const HIGHEST_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// A state of the metadata store: the era, which identifies the copy of the store, and the revision within it.
///
/// A store restored from an older copy assigns its revisions again, but always in a new, higher era. Store revisions
/// therefore order all states of the store, and the later of two has the higher number. Without an era in the store's
/// answers the era is 0, and the number equals the revision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Creates a store revision from an era and a revision within it.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        let revision = if revision > HIGHEST_REVISION {
            HIGHEST_REVISION
        } else {
            revision
        };
        Self(era << REVISION_BITS | revision)
    }

    /// Decodes a number returned by [`Self::number`].
    #[must_use]
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Era and revision encoded as one number, which preserves the order.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The era of the store.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The revision within the era.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & HIGHEST_REVISION
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era(), self.revision())
    }
}
