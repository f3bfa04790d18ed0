//! The settings document this node holds, and how it is encoded for and decoded from peers.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use stairward_membership::configuration::{OutgoingUpdate, Update};
use stairward_settings::{SettingsDocument, SettingsUpdate, UpdateError};
use stairward_types::Revision;

/// An update from a peer that could not be taken in.
#[derive(Debug, Snafu)]
pub(super) enum AbsorbError {
    /// Its bytes or its edits are wrong.
    #[snafu(display("{source}"))]
    Unusable {
        /// What is wrong.
        source: UpdateError,
    },
    /// It holds edits, but there is nothing to apply them to.
    #[snafu(display("edits arrived before any settings"))]
    NothingHeld,
}

/// The document in force; none before the first.
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

    /// The lowest revision from which all edits up to the one held are known.
    pub(super) fn history_from(&self) -> Revision {
        let oldest = self
            .document
            .as_ref()
            .and_then(|document| document.history().next().map(|edit| edit.revision));
        oldest.map_or(self.revision(), |oldest| Revision(oldest.0 - 1))
    }

    /// Replaces the document if the other is newer; returns whether it is.
    pub(super) fn replace(&mut self, newer: SettingsDocument) -> bool {
        let is_newer = newer.revision() > self.revision();
        if is_newer {
            self.document = Some(Arc::new(newer));
        }
        is_newer
    }

    /// The document after a peer's update; none when that holds nothing newer.
    pub(super) fn absorb(&self, update: &Update) -> Result<Option<SettingsDocument>, AbsorbError> {
        let decoded =
            SettingsUpdate::decode(update.whole, &update.document).context(UnusableSnafu)?;
        match (&self.document, decoded) {
            (Some(document), decoded) => document.apply_update(decoded).context(UnusableSnafu),
            (None, SettingsUpdate::Whole(document)) => Ok(Some(*document)),
            (None, SettingsUpdate::Edits(_)) => NothingHeldSnafu.fail(),
        }
    }

    /// Encodes what a peer is to be sent; none when there is nothing or it cannot be encoded.
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
