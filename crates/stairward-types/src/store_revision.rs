//! A moment in the life of the metadata store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of the number that hold the revision. The era takes those above.
const REVISION_BITS: u32 = 40;
/// The highest revision that can be told apart: 87 years of 400 writes a second.
const HIGHEST_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// A moment in the life of the metadata store: which of its copies answers (the era), and that copy's revision.
///
/// A store that comes back from an older copy gives its revisions out again, but never with the same era. So these order
/// all that the store ever told, and the later of two has the higher number. Where the store tells no era it is 0, and
/// the number is the revision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// A revision of the copy that is there since `era`.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        let revision = if revision > HIGHEST_REVISION {
            HIGHEST_REVISION
        } else {
            revision
        };
        Self(era << REVISION_BITS | revision)
    }

    /// The moment that a number stands for, as [`Self::number`] tells it.
    #[must_use]
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// One number for both, which rises with each moment.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Which copy of the store it is of.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The revision, as that copy of the store counts.
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
