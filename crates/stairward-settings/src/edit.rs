//! Edits of the settings tree, and the reasons for rejecting them.

use std::ops::Not;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use stairward_types::{ChangeId, ResultCode, Revision};

use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::schema::SettingsOption;
use crate::tree::{SettingsTree, problem};
use crate::value::Value;

/// Maximum number of changes in one edit: enough to import a site of 3,300 back ends in a single edit.
pub const MAXIMUM_CHANGES: usize = 20_000;

/// One change of an edit.
///
/// In JSON, `{"path", "option", "value"}` sets an option, the same without a value (or with null) unsets
/// it, `{"path", "add": true}` adds a place and `{"path", "remove": true}` removes one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ChangeForm", into = "ChangeForm")]
pub enum Change {
    /// Sets an option, adding the place if it does not exist.
    Set {
        /// The place.
        path: SettingsPath,
        /// The option.
        option: SettingsOption,
        /// The new value.
        value: Value,
    },
    /// Unsets an option, so that the place inherits it again.
    Unset {
        /// The place.
        path: SettingsPath,
        /// The option.
        option: SettingsOption,
    },
    /// Adds a place with no options set; an existing place is left unchanged.
    Add {
        /// The place.
        path: SettingsPath,
    },
    /// Removes a place and all places below it.
    Remove {
        /// The place.
        path: SettingsPath,
    },
}

/// Serialized form of a [`Change`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeForm {
    path: SettingsPath,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    option: Option<SettingsOption>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
    #[serde(default, skip_serializing_if = "Not::not")]
    add: bool,
    #[serde(default, skip_serializing_if = "Not::not")]
    remove: bool,
}

/// A change that does not have exactly one of an option, `"add": true` and `"remove": true`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a change at {path} names one of an option, \"add\": true and \"remove\": true"))]
pub struct AmbiguousChange {
    /// The place of the change.
    pub path: SettingsPath,
}

impl Change {
    /// Creates a change from the fields of its JSON form.
    ///
    /// # Errors
    /// [`AmbiguousChange`] when the fields do not describe exactly one change.
    pub fn from_parts(
        path: SettingsPath,
        option: Option<SettingsOption>,
        value: Option<Value>,
        add: bool,
        remove: bool,
    ) -> Result<Self, AmbiguousChange> {
        match (option, value, add, remove) {
            (Some(option), Some(value), false, false) => Ok(Self::Set {
                path,
                option,
                value,
            }),
            (Some(option), None, false, false) => Ok(Self::Unset { path, option }),
            (None, None, true, false) => Ok(Self::Add { path }),
            (None, None, false, true) => Ok(Self::Remove { path }),
            _ => AmbiguousChangeSnafu { path }.fail(),
        }
    }
}

impl TryFrom<ChangeForm> for Change {
    type Error = AmbiguousChange;

    fn try_from(form: ChangeForm) -> Result<Self, Self::Error> {
        Self::from_parts(form.path, form.option, form.value, form.add, form.remove)
    }
}

impl From<Change> for ChangeForm {
    fn from(change: Change) -> Self {
        let empty = |path| Self {
            path,
            option: None,
            value: None,
            add: false,
            remove: false,
        };
        match change {
            Change::Set {
                path,
                option,
                value,
            } => Self {
                option: Some(option),
                value: Some(value),
                ..empty(path)
            },
            Change::Unset { path, option } => Self {
                option: Some(option),
                ..empty(path)
            },
            Change::Add { path } => Self {
                add: true,
                ..empty(path)
            },
            Change::Remove { path } => Self {
                remove: true,
                ..empty(path)
            },
        }
    }
}

/// A set of changes that an operator requests; applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Random id chosen by the client, by which it can find out after a lost reply whether the edit was
    /// applied.
    pub change_id: ChangeId,
    /// The revision that the operator edited.
    pub based_on: Revision,
    /// The changes, applied in this order.
    pub changes: Vec<Change>,
}

/// An edit that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedEdit {
    /// The revision that the edit created.
    pub revision: Revision,
    /// The edit.
    pub edit: Edit,
}

/// Why an edit was not applied. The document is unchanged in every case.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditError {
    /// The settings changed since the revision the edit is based on.
    #[snafu(display(
        "the settings are at revision {newest}, the edit is based on {based_on}: look at the newer revision"
    ))]
    Conflict {
        /// The revision that the edit is based on.
        based_on: Revision,
        /// The newest revision.
        newest: Revision,
        /// The edits applied since; `None` when the history does not reach back that far. In that case
        /// an edit with this change id may also have been applied earlier than the history shows.
        changed_since: Option<Vec<AppliedEdit>>,
    },
    /// The same edit has already been applied.
    #[snafu(display("the edit took effect before, as revision {revision}"))]
    AlreadyApplied {
        /// The revision that it created.
        revision: Revision,
    },
    /// A different edit has already used the change id.
    #[snafu(display("another edit has used change id {change_id}, as revision {revision}"))]
    ChangeIdReused {
        /// The change id.
        change_id: ChangeId,
        /// The revision that the other edit created.
        revision: Revision,
    },
    /// A change violates the schema, or the resulting tree would not be valid as a whole.
    #[snafu(display("the settings would not be valid: {}", join_problems(problems)))]
    Invalid {
        /// All problems found.
        problems: Vec<SettingsProblem>,
    },
}

impl EditError {
    /// The result code to report; `None` for [`Self::AlreadyApplied`], since the edit is in effect.
    #[must_use]
    pub const fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Conflict { .. } | Self::ChangeIdReused { .. } => Some(ResultCode::EditConflict),
            Self::AlreadyApplied { .. } => None,
            Self::Invalid { .. } => Some(ResultCode::InvalidSettings),
        }
    }
}

fn join_problems(problems: &[SettingsProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Applies the changes of an edit without validating the tree as a whole. After an error the caller
/// must discard the tree, because some of the changes may have been applied.
pub(crate) fn apply_changes(
    tree: &mut SettingsTree,
    changes: &[Change],
) -> Result<(), Vec<SettingsProblem>> {
    check_change_count(changes)?;
    let problems: Vec<_> = changes
        .iter()
        .filter_map(|change| apply_change(tree, change).err())
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn check_change_count(changes: &[Change]) -> Result<(), Vec<SettingsProblem>> {
    if changes.len() <= MAXIMUM_CHANGES {
        return Ok(());
    }
    let kind = ProblemKind::TooMany {
        count: changes.len(),
        maximum: MAXIMUM_CHANGES,
    };
    Err(vec![problem(&SettingsPath::Root, None, kind)])
}

fn apply_change(tree: &mut SettingsTree, change: &Change) -> Result<(), SettingsProblem> {
    match change {
        Change::Set {
            path,
            option,
            value,
        } => tree.set(path, *option, value.clone()),
        Change::Unset { path, option } => match tree.unset(path, *option) {
            Some(_) => Ok(()),
            None => Err(problem(path, Some(*option), ProblemKind::NotSet)),
        },
        Change::Add { path } => {
            tree.add_place(path);
            Ok(())
        }
        Change::Remove { path } => {
            if tree.remove(path) {
                Ok(())
            } else {
                Err(problem(path, None, ProblemKind::NoSuchPlace))
            }
        }
    }
}
