//! Updates by which one node brings another to a newer revision: the missing edits or the whole document.

use snafu::{ResultExt, Snafu};
use stairward_types::Revision;

use crate::document::SettingsDocument;
use crate::edit::{AppliedEdit, EditError};

/// Largest encoded update accepted, in bytes.
pub const MAXIMUM_UPDATE_BYTES: usize = 16 << 20;

/// An update from an older revision to a newer one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsUpdate {
    /// The whole document.
    Whole(Box<SettingsDocument>),
    /// Edits with consecutive revisions, oldest first.
    Edits(Vec<AppliedEdit>),
}

/// Why an update was rejected. The document that it was applied to stays in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpdateError {
    /// The update cannot be encoded as or decoded from JSON.
    #[snafu(display("the update is malformed: {source}"))]
    Malformed {
        /// The error of the JSON codec.
        source: serde_json::Error,
    },
    /// The encoded update is larger than [`MAXIMUM_UPDATE_BYTES`].
    #[snafu(display("the update has {bytes} bytes, more than {MAXIMUM_UPDATE_BYTES}"))]
    TooLarge {
        /// Size of the update, in bytes.
        bytes: usize,
    },
    /// Edits between the local revision and the update's first one are missing. Recovery needs the
    /// whole document.
    #[snafu(display("the update starts at revision {first}, but the local revision is {held}"))]
    Gap {
        /// The local revision.
        held: Revision,
        /// The first revision of the update.
        first: Revision,
    },
    /// An edit does not apply, so the sender's history has diverged from the local one. Recovery needs
    /// the whole document.
    #[snafu(display("the update does not apply: {source}"))]
    DoesNotApply {
        /// Why the edit was rejected.
        source: EditError,
    },
}

impl SettingsUpdate {
    /// Encodes the update as JSON.
    ///
    /// # Errors
    /// [`UpdateError::Malformed`] when serialization fails, which does not happen for these types.
    pub fn encode(&self) -> Result<Vec<u8>, UpdateError> {
        match self {
            Self::Whole(document) => serde_json::to_vec(document),
            Self::Edits(edits) => serde_json::to_vec(edits),
        }
        .context(MalformedSnafu)
    }

    /// Decodes the output of [`SettingsUpdate::encode`]. `whole` selects between a whole document and
    /// edits, which the JSON itself does not tell apart.
    ///
    /// # Errors
    /// [`UpdateError`] when there are too many bytes or they are not of the selected form.
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

    /// Whether the update is a whole document.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The revision after applying the update; `None` for an update without edits.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Self::Whole(document) => Some(document.revision()),
            Self::Edits(edits) => edits.last().map(|applied| applied.revision),
        }
    }
}

impl SettingsDocument {
    /// The update that brings a node from revision `after` to this one: the edits when the history
    /// reaches back that far, otherwise the whole document.
    #[must_use]
    pub fn update_after(&self, after: Revision) -> SettingsUpdate {
        match self.edits_after(after) {
            Some(edits) => SettingsUpdate::Edits(edits),
            None => SettingsUpdate::Whole(Box::new(self.clone())),
        }
    }

    /// Applies an update and returns the newer document, or `None` when the update contains nothing
    /// newer: the revision never decreases.
    ///
    /// # Errors
    /// [`UpdateError`]; `self` is unchanged.
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
