//! The settings as persisted in the platform's store: a tree, its revision and the most recent edits.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use stairward_types::{ChangeId, Revision};

use crate::edit::{self, AppliedEdit, Edit, EditError};
use crate::problem::SettingsProblem;
use crate::resolved::ResolvedSettings;
use crate::tree::SettingsTree;

/// Name of the document's object in the platform's store.
pub const SETTINGS_OBJECT: &str = "settings";

/// Maximum number of edits in the history.
pub const MAXIMUM_HISTORY_EDITS: usize = 256;

/// Maximum number of changes in the history, over all its edits. The newest edit is kept even if it
/// alone exceeds this limit, so that its change id can be looked up; the next edit then displaces it.
pub const MAXIMUM_HISTORY_CHANGES: usize = 2_000;

/// The settings tree at one revision, with its recent edit history.
///
/// The tree always passes [`SettingsTree::resolve`]; deserialization rejects documents that do not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredDocument", into = "StoredDocument")]
pub struct SettingsDocument {
    revision: Revision,
    tree: SettingsTree,
    recent: VecDeque<AppliedEdit>,
}

/// Serialized form of a [`SettingsDocument`], not yet validated.
#[derive(Serialize, Deserialize)]
struct StoredDocument {
    revision: Revision,
    tree: SettingsTree,
    #[serde(default)]
    recent: VecDeque<AppliedEdit>,
}

/// Why a stored document was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidDocument {
    /// The tree does not pass [`SettingsTree::resolve`].
    #[snafu(display("the tree is not valid: {}", problems.first().map(ToString::to_string).unwrap_or_default()))]
    Tree {
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
    /// The revisions of the history are not consecutive up to the document's revision.
    #[snafu(display("the history does not lead to revision {revision}"))]
    History {
        /// The document's revision.
        revision: Revision,
    },
}

impl SettingsDocument {
    /// The document before any edit: an empty tree at revision 0.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: Revision(0),
            tree: SettingsTree::new(),
            recent: VecDeque::new(),
        }
    }

    /// Creates a document with this tree at revision 1 and an empty history.
    ///
    /// # Errors
    /// All problems of the tree.
    pub fn initial(tree: SettingsTree) -> Result<Self, Vec<SettingsProblem>> {
        tree.resolve()?;
        Ok(Self {
            revision: Revision(1),
            tree,
            recent: VecDeque::new(),
        })
    }

    /// The revision, which each edit increments by one.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The tree.
    #[must_use]
    pub const fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// The retained edits, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AppliedEdit> {
        self.recent.iter()
    }

    /// The settings in force at this revision.
    ///
    /// # Errors
    /// None in practice: the tree was validated when the document was created.
    pub fn resolve(&self) -> Result<ResolvedSettings, Vec<SettingsProblem>> {
        let mut resolved = self.tree.resolve()?;
        resolved.revision = self.revision;
        Ok(resolved)
    }

    /// The retained edit with this change id.
    #[must_use]
    pub fn find_change(&self, change_id: ChangeId) -> Option<&AppliedEdit> {
        self.recent
            .iter()
            .find(|applied| applied.edit.change_id == change_id)
    }

    /// Returns the document after an edit, one revision higher.
    ///
    /// # Errors
    /// [`EditError`]; `self` is unchanged.
    pub fn apply(&self, edit: &Edit) -> Result<Self, EditError> {
        self.apply_all(std::slice::from_ref(edit))
    }

    /// Returns the document after several edits, each based on the previous one. Only the final tree is
    /// validated, because the node that accepted the edits has validated each intermediate one.
    pub(crate) fn apply_all(&self, edits: &[Edit]) -> Result<Self, EditError> {
        let mut document = self.clone();
        for edit in edits {
            document.apply_without_validation(edit)?;
        }
        document
            .tree
            .resolve()
            .map_err(|problems| EditError::Invalid { problems })?;
        Ok(document)
    }

    /// Applies an edit without validating the resulting tree as a whole.
    fn apply_without_validation(&mut self, edit: &Edit) -> Result<(), EditError> {
        if let Some(applied) = self.find_change(edit.change_id) {
            return Err(known_change_id_error(applied, edit));
        }
        if edit.based_on != self.revision {
            return Err(EditError::Conflict {
                based_on: edit.based_on,
                newest: self.revision,
                changed_since: self.edits_after(edit.based_on),
            });
        }
        edit::apply_changes(&mut self.tree, &edit.changes)
            .map_err(|problems| EditError::Invalid { problems })?;
        self.revision = Revision(self.revision.0 + 1);
        self.recent.push_back(AppliedEdit {
            revision: self.revision,
            edit: edit.clone(),
        });
        trim_history(&mut self.recent);
        Ok(())
    }

    /// The edits after a revision, oldest first; `None` when the history does not reach back that far.
    /// Empty for the newest revision and for later ones.
    #[must_use]
    pub fn edits_after(&self, revision: Revision) -> Option<Vec<AppliedEdit>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let oldest = self.recent.front()?.revision;
        if oldest.0 > revision.0 + 1 {
            return None;
        }
        let later = self
            .recent
            .iter()
            .filter(|applied| applied.revision > revision);
        Some(later.cloned().collect())
    }
}

/// The error for an edit whose change id is that of an applied one.
fn known_change_id_error(applied: &AppliedEdit, edit: &Edit) -> EditError {
    if applied.edit == *edit {
        EditError::AlreadyApplied {
            revision: applied.revision,
        }
    } else {
        EditError::ChangeIdReused {
            change_id: edit.change_id,
            revision: applied.revision,
        }
    }
}

/// Drops the oldest edits until the history is within its limits.
fn trim_history(recent: &mut VecDeque<AppliedEdit>) {
    let mut changes: usize = recent
        .iter()
        .map(|applied| applied.edit.changes.len())
        .sum();
    while recent.len() > MAXIMUM_HISTORY_EDITS
        || (recent.len() > 1 && changes > MAXIMUM_HISTORY_CHANGES)
    {
        let Some(dropped) = recent.pop_front() else {
            return;
        };
        changes -= dropped.edit.changes.len();
    }
}

impl TryFrom<StoredDocument> for SettingsDocument {
    type Error = InvalidDocument;

    fn try_from(stored: StoredDocument) -> Result<Self, Self::Error> {
        let StoredDocument {
            revision,
            tree,
            mut recent,
        } = stored;
        tree.resolve()
            .map_err(|problems| InvalidDocument::Tree { problems })?;
        let expected_revisions = recent.iter().rev().zip((0..=revision.0).rev());
        let is_consecutive = expected_revisions
            .clone()
            .all(|(applied, expected)| applied.revision.0 == expected);
        if !is_consecutive || expected_revisions.count() != recent.len() {
            return HistorySnafu { revision }.fail();
        }
        trim_history(&mut recent);
        Ok(Self {
            revision,
            tree,
            recent,
        })
    }
}

impl From<SettingsDocument> for StoredDocument {
    fn from(document: SettingsDocument) -> Self {
        Self {
            revision: document.revision,
            tree: document.tree,
            recent: document.recent,
        }
    }
}
