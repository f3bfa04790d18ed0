//! All revisions of the settings, encoded once for all nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use stairward_membership::configuration::{OutgoingUpdate, Update};
use stairward_settings::{Edit, EditError, SettingsDocument, SettingsTree, SettingsUpdate};
use stairward_types::Revision;

/// Every revision accepted so far. Nodes hold numbers; the bytes they would send come from here.
pub(super) struct Library {
    documents: Vec<SettingsDocument>,
    updates: BTreeMap<(Revision, Revision), Arc<[u8]>>,
}

impl Library {
    /// Starts with the tree as revision 1.
    ///
    /// # Panics
    /// When the tree is not valid.
    pub(super) fn new(tree: SettingsTree) -> Self {
        let first = SettingsDocument::initial(tree).expect("the tree is valid");
        Self {
            documents: vec![first],
            updates: BTreeMap::new(),
        }
    }

    /// The newest document.
    ///
    /// # Panics
    /// Never: there is always one.
    pub(super) fn newest(&self) -> &SettingsDocument {
        self.documents.last().expect("there is a first revision")
    }

    /// Makes an edit.
    ///
    /// # Errors
    /// As the settings crate refuses it.
    pub(super) fn edit(&mut self, edit: &Edit) -> Result<Revision, EditError> {
        let edited = self.newest().apply(edit)?;
        let revision = edited.revision();
        self.documents.push(edited);
        Ok(revision)
    }

    /// What a node that holds `held` sends.
    pub(super) fn encode(&mut self, held: Revision, outgoing: OutgoingUpdate) -> Option<Update> {
        let after = match outgoing {
            OutgoingUpdate::Nothing => return None,
            OutgoingUpdate::EditsAfter(after) => after,
            OutgoingUpdate::WholeTree => Revision(0),
        };
        let whole = outgoing == OutgoingUpdate::WholeTree;
        let known = self.updates.get(&(after, held)).map(Arc::clone);
        let document = match known {
            Some(bytes) => bytes,
            None => self.encode_new(after, held, whole)?,
        };
        Some(Update {
            after,
            revision: held,
            whole,
            document,
        })
    }

    fn encode_new(&mut self, after: Revision, held: Revision, whole: bool) -> Option<Arc<[u8]>> {
        let bytes = encode(self.document(held)?, after, whole);
        self.updates.insert((after, held), Arc::clone(&bytes));
        Some(bytes)
    }

    fn document(&self, revision: Revision) -> Option<&SettingsDocument> {
        self.documents
            .iter()
            .find(|document| document.revision() == revision)
    }
}

fn encode(document: &SettingsDocument, after: Revision, whole: bool) -> Arc<[u8]> {
    let update = if whole {
        SettingsUpdate::Whole(Box::new(document.clone()))
    } else {
        document.update_after(after)
    };
    update.encode().expect("settings are expressible").into()
}
