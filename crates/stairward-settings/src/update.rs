//! What one node sends another so that it catches up: the edits it lacks, or the whole document.

use snafu::{ResultExt, Snafu};
use stairward_types::Revision;

use crate::document::SettingsDocument;
use crate::edit::{AppliedEdit, EditError};

/// Largest encoded update accepted, in bytes.
pub const MAXIMUM_UPDATE_BYTES: usize = 16 << 20;

/// A way from an older revision to a newer one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsUpdate {
    /// The whole document.
    Whole(Box<SettingsDocument>),
    /// Edits, the oldest first, whose revisions follow one another.
    Edits(Vec<AppliedEdit>),
}

/// An update that could not be used; what was held before stays in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpdateError {
    /// The bytes are no update.
    #[snafu(display("the update cannot be read: {source}"))]
    Malformed {
        /// What the JSON reader said.
        source: serde_json::Error,
    },
    /// The bytes are more than [`MAXIMUM_UPDATE_BYTES`].
    #[snafu(display("the update has {bytes} bytes, more than {MAXIMUM_UPDATE_BYTES}"))]
    TooLarge {
        /// How many there are.
        bytes: usize,
    },
    /// Edits between the held revision and the update's first are missing: fetch the whole document.
    #[snafu(display("the update starts at revision {first}, {held} is held"))]
    Gap {
        /// The revision held.
        held: Revision,
        /// The update's first revision.
        first: Revision,
    },
    /// An edit does not apply, so the sender holds another history: fetch the whole document.
    #[snafu(display("the update does not apply: {source}"))]
    DoesNotApply {
        /// Why.
        source: EditError,
    },
}

impl SettingsUpdate {
    /// Encodes as JSON.
    ///
    /// # Errors
    /// [`UpdateError::Malformed`] when JSON cannot express it, which does not happen.
    pub fn encode(&self) -> Result<Vec<u8>, UpdateError> {
        match self {
            Self::Whole(document) => serde_json::to_vec(document),
            Self::Edits(edits) => serde_json::to_vec(edits),
        }
        .context(MalformedSnafu)
    }

    /// Decodes what [`SettingsUpdate::encode`] wrote; `whole` says which of the two forms it is.
    ///
    /// # Errors
    /// [`UpdateError`] when the bytes are too many or not of that form.
    pub fn decode(whole: bool, bytes: &[u8]) -> Result<Self, UpdateError> {
        if bytes.len() > MAXIMUM_UPDATE_BYTES {
            return TooLargeSnafu { bytes: bytes.len() }.fail();
        }
        if whole {
            serde_json::from_slice(bytes).map(|document| Self::Whole(Box::new(document)))
        } else {
            serde_json::from_slice(bytes).map(Self::Edits)
        }
        .context(MalformedSnafu)
    }

    /// Whether it is a whole document.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The revision reached by taking it in; none when it holds nothing.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Self::Whole(document) => Some(document.revision()),
            Self::Edits(edits) => edits.last().map(|applied| applied.revision),
        }
    }
}

impl SettingsDocument {
    /// What brings a node that holds `after` to this revision: the edits when the history reaches
    /// back so far, or else the whole document.
    #[must_use]
    pub fn update_after(&self, after: Revision) -> SettingsUpdate {
        match self.edits_after(after) {
            Some(edits) => SettingsUpdate::Edits(edits),
            None => SettingsUpdate::Whole(Box::new(self.clone())),
        }
    }

    /// Takes an update in. Returns the newer document, or none when the update holds nothing newer:
    /// a revision never goes down.
    ///
    /// # Errors
    /// [`UpdateError`]; the held document stays as it is.
    pub fn apply_update(&self, update: SettingsUpdate) -> Result<Option<Self>, UpdateError> {
        match update {
            SettingsUpdate::Whole(document) => {
                Ok(Some(*document).filter(|newer| newer.revision() > self.revision()))
            }
            SettingsUpdate::Edits(edits) => self.apply_edits(edits),
        }
    }

    fn apply_edits(&self, edits: Vec<AppliedEdit>) -> Result<Option<Self>, UpdateError> {
        let mut reached = self.revision();
        let mut missing = Vec::new();
        for applied in edits {
            if applied.revision <= reached {
                continue;
            }
            if applied.revision.0 != reached.0 + 1 {
                return GapSnafu {
                    held: reached,
                    first: applied.revision,
                }
                .fail();
            }
            reached = applied.revision;
            missing.push(applied.edit);
        }
        if missing.is_empty() {
            return Ok(None);
        }
        self.apply_all(&missing)
            .map(Some)
            .context(DoesNotApplySnafu)
    }
}
