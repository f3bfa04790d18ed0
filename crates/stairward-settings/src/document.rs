//! The settings as the platform's store keeps them: a tree, its revision and the latest edits.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use stairward_types::{ChangeId, Revision};

use crate::edit::{self, AppliedEdit, Edit, EditError};
use crate::problem::SettingsProblem;
use crate::resolved::ResolvedSettings;
use crate::tree::SettingsTree;

/// Name of the object in the platform's store.
pub const SETTINGS_OBJECT: &str = "settings";

/// Most edits kept in the history.
pub const MAXIMUM_HISTORY_EDITS: usize = 256;

/// Most changes kept in the history, of all its edits together. The newest edit is always kept, so that
/// its change id can be found; a large one gives way to the next.
pub const MAXIMUM_HISTORY_CHANGES: usize = 2_000;

/// The settings tree at one revision, with the edits that led to it.
///
/// The tree is valid as a whole, also after reading one from JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredDocument", into = "StoredDocument")]
pub struct SettingsDocument {
    revision: Revision,
    tree: SettingsTree,
    recent: VecDeque<AppliedEdit>,
}

/// The JSON form of a document, before it is checked.
#[derive(Serialize, Deserialize)]
struct StoredDocument {
    revision: Revision,
    tree: SettingsTree,
    #[serde(default)]
    recent: VecDeque<AppliedEdit>,
}

/// A stored document that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidDocument {
    /// The tree is not valid as a whole.
    #[snafu(display("the tree is not valid: {}", problems.first().map(ToString::to_string).unwrap_or_default()))]
    Tree {
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
    /// The history does not lead, one revision after another, to the document's revision.
    #[snafu(display("the history does not lead to revision {revision}"))]
    History {
        /// The document's revision.
        revision: Revision,
    },
}

impl SettingsDocument {
    /// What holds before the first edit: an empty tree at revision 0.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: Revision(0),
            tree: SettingsTree::new(),
            recent: VecDeque::new(),
        }
    }

    /// A document with this tree at revision 1, without a history.
    ///
    /// # Errors
    /// Every problem of the tree.
    pub fn initial(tree: SettingsTree) -> Result<Self, Vec<SettingsProblem>> {
        tree.resolve()?;
        Ok(Self {
            revision: Revision(1),
            tree,
            recent: VecDeque::new(),
        })
    }

    /// The revision. It grows by one with each edit.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The tree.
    #[must_use]
    pub const fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// The kept history, the oldest edit first.
    pub fn history(&self) -> impl Iterator<Item = &AppliedEdit> {
        self.recent.iter()
    }

    /// The settings in force at this revision.
    ///
    /// # Errors
    /// None in practice: the tree was checked when the document was made.
    pub fn resolve(&self) -> Result<ResolvedSettings, Vec<SettingsProblem>> {
        let mut resolved = self.tree.resolve()?;
        resolved.revision = self.revision;
        Ok(resolved)
    }

    /// The kept edit with this change id.
    #[must_use]
    pub fn find_change(&self, change_id: ChangeId) -> Option<&AppliedEdit> {
        self.recent
            .iter()
            .find(|applied| applied.edit.change_id == change_id)
    }

    /// The document after an edit, one revision higher.
    ///
    /// # Errors
    /// [`EditError`]; this document is as good as before.
    pub fn apply(&self, edit: &Edit) -> Result<Self, EditError> {
        self.apply_all(std::slice::from_ref(edit))
    }

    /// The document after several edits, each based on the one before. Only the last tree is checked
    /// as a whole: whoever accepted the edits checked each.
    pub(crate) fn apply_all(&self, edits: &[Edit]) -> Result<Self, EditError> {
        let mut document = self.clone();
        for edit in edits {
            document.apply_unchecked(edit)?;
        }
        document
            .tree
            .resolve()
            .map_err(|problems| EditError::Invalid { problems })?;
        Ok(document)
    }

    fn apply_unchecked(&mut self, edit: &Edit) -> Result<(), EditError> {
        if let Some(known) = self.find_change(edit.change_id) {
            return Err(repeated(known, edit));
        }
        if edit.based_on != self.revision {
            return Err(EditError::Conflict {
                based_on: edit.based_on,
                newest: self.revision,
                changed_since: self.edits_after(edit.based_on),
            });
        }
        edit::make_changes(&mut self.tree, &edit.changes)
            .map_err(|problems| EditError::Invalid { problems })?;
        self.revision = Revision(self.revision.0 + 1);
        self.recent.push_back(AppliedEdit {
            revision: self.revision,
            edit: edit.clone(),
        });
        trim(&mut self.recent);
        Ok(())
    }

    /// The edits after a revision, the oldest first; none when the history does not reach back so
    /// far. Empty for the newest revision and for later ones.
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

fn repeated(known: &AppliedEdit, edit: &Edit) -> EditError {
    if known.edit == *edit {
        EditError::AlreadyApplied {
            revision: known.revision,
        }
    } else {
        EditError::ChangeIdReused {
            change_id: edit.change_id,
            revision: known.revision,
        }
    }
}

/// Drops the oldest edits until the history is within its bounds.
fn trim(recent: &mut VecDeque<AppliedEdit>) {
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
        let revisions_to_newest = recent.iter().rev().zip((0..=revision.0).rev());
        let leads_here = revisions_to_newest
            .clone()
            .all(|(applied, expected)| applied.revision.0 == expected);
        if !leads_here || revisions_to_newest.count() != recent.len() {
            return HistorySnafu { revision }.fail();
        }
        trim(&mut recent);
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
