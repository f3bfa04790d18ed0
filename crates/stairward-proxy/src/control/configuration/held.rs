//! The settings document held by this node, and its exchange format between peers.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use stairward_membership::configuration::{OutgoingUpdate, Update};
use stairward_settings::{SettingsDocument, SettingsUpdate, UpdateError};
use stairward_types::Revision;

/// Why a peer's update could not be merged.
#[derive(Debug, Snafu)]
pub(super) enum MergeError {
    /// The update cannot be decoded or applied.
    #[snafu(display("{source}"))]
    InvalidUpdate {
        /// The decoding or edit error.
        source: UpdateError,
    },
    /// The update holds edits, but this node has no document to apply them to.
    #[snafu(display("received edits without a base document to apply them to"))]
    NoBase,
}

/// The current document; none before the first.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldSettings {
    document: Option<Arc<SettingsDocument>>,
}

impl HeldSettings {
    pub(super) fn document(&self) -> Option<Arc<SettingsDocument>> {
        self.document.clone()
    }

    pub(super) fn revision(&self) -> Revision {
        self.document
            .as_ref()
            .map_or(Revision(0), |document| document.revision())
    }

    /// The lowest revision from which all edits up to the current revision are known.
    pub(super) fn history_start(&self) -> Revision {
        let oldest = self
            .document
            .as_ref()
            .and_then(|document| document.history().next().map(|edit| edit.revision));
        oldest.map_or(self.revision(), |oldest| Revision(oldest.0 - 1))
    }

    /// Replaces the document if the given one is newer; returns whether it was.
    pub(super) fn replace(&mut self, newer: SettingsDocument) -> bool {
        let is_newer = newer.revision() > self.revision();
        if is_newer {
            self.document = Some(Arc::new(newer));
        }
        is_newer
    }

    /// The document after a peer's update; none when the update contains nothing newer.
    pub(super) fn merge(&self, update: &Update) -> Result<Option<SettingsDocument>, MergeError> {
        let decoded =
            SettingsUpdate::decode(update.whole, &update.document).context(InvalidUpdateSnafu)?;
        match (&self.document, decoded) {
            (Some(document), decoded) => document.apply_update(decoded).context(InvalidUpdateSnafu),
            (None, SettingsUpdate::Whole(document)) => Ok(Some(*document)),
            (None, SettingsUpdate::Edits(_)) => NoBaseSnafu.fail(),
        }
    }

    /// Encodes an update for a peer; none when there is nothing to send or encoding fails.
    pub(super) fn encode(&self, outgoing: OutgoingUpdate) -> Option<Update> {
        let document = self.document.as_ref()?;
        let (after, update) = match outgoing {
            OutgoingUpdate::Nothing => return None,
            OutgoingUpdate::EditsAfter(after) => (after, document.update_after(after)),
            OutgoingUpdate::WholeTree => {
                let whole = SettingsUpdate::Whole(Box::new(document.as_ref().clone()));
                (Revision(0), whole)
            }
        };
        let whole = update.is_whole();
        Some(Update {
            after: if whole { Revision(0) } else { after },
            revision: update.revision()?,
            whole,
            document: update.encode().ok()?.into(),
        })
    }
}
