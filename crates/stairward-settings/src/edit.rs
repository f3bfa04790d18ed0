//! Edits of the settings tree, and why one is refused.

use std::ops::Not;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use stairward_types::{ChangeId, ResultCode, Revision};

use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::schema::SettingsOption;
use crate::tree::{SettingsTree, problem};
use crate::value::Value;

/// Most changes in one edit: enough to bring a site of 3,300 back ends in as a whole.
pub const MAXIMUM_CHANGES: usize = 20_000;

/// One step of an edit.
///
/// In JSON, `{"path", "option", "value"}` sets, the same without a value (or with null) takes back,
/// `{"path", "add": true}` adds and `{"path", "remove": true}` removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ChangeForm", into = "ChangeForm")]
pub enum Change {
    /// Sets an option, adding the place when it is new.
    Set {
        /// Where.
        path: SettingsPath,
        /// Which option.
        option: SettingsOption,
        /// To what.
        value: Value,
    },
    /// Takes an option back, so that the place inherits it again.
    Unset {
        /// Where.
        path: SettingsPath,
        /// Which option.
        option: SettingsOption,
    },
    /// Adds a place with nothing set; one that is there stays as it is.
    Add {
        /// Which place.
        path: SettingsPath,
    },
    /// Removes a place and all below it.
    Remove {
        /// Which place.
        path: SettingsPath,
    },
}

/// The JSON form of a [`Change`].
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

/// A change that does not name exactly one of an option, `"add": true` and `"remove": true`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a change at {path} names one of an option, \"add\": true and \"remove\": true"))]
pub struct AmbiguousChange {
    /// Where.
    pub path: SettingsPath,
}

impl Change {
    /// Builds a change from the fields of its JSON form.
    ///
    /// # Errors
    /// [`AmbiguousChange`] when the fields do not name exactly one change.
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
        let at = |path| Self {
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
                ..at(path)
            },
            Change::Unset { path, option } => Self {
                option: Some(option),
                ..at(path)
            },
            Change::Add { path } => Self {
                add: true,
                ..at(path)
            },
            Change::Remove { path } => Self {
                remove: true,
                ..at(path)
            },
        }
    }
}

/// What an operator wants changed, all of it or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Chosen at random by whoever edits; tells after a lost reply whether the edit took effect.
    pub change_id: ChangeId,
    /// The revision the operator looked at.
    pub based_on: Revision,
    /// The changes, made in this order.
    pub changes: Vec<Change>,
}

/// An edit that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedEdit {
    /// The revision it made.
    pub revision: Revision,
    /// The edit.
    pub edit: Edit,
}

/// Why an edit was not applied. In every case the document is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditError {
    /// The settings changed since the revision the edit is based on.
    #[snafu(display(
        "the settings are at revision {newest}, the edit is based on {based_on}: look at the newer revision"
    ))]
    Conflict {
        /// The revision the edit is based on.
        based_on: Revision,
        /// The newest revision.
        newest: Revision,
        /// What changed since; none when that lies before the kept history. Then it cannot be told
        /// either whether an edit with this change id took effect long ago.
        changed_since: Option<Vec<AppliedEdit>>,
    },
    /// An edit with this change id has taken effect before.
    #[snafu(display("the edit took effect before, as revision {revision}"))]
    AlreadyApplied {
        /// The revision it made.
        revision: Revision,
    },
    /// Another edit, with other changes, has used the change id.
    #[snafu(display("another edit has used change id {change_id}, as revision {revision}"))]
    ChangeIdReused {
        /// The change id.
        change_id: ChangeId,
        /// The revision the other edit made.
        revision: Revision,
    },
    /// A change does not fit the schema, or the tree would not be valid as a whole.
    #[snafu(display("the settings would not be valid: {}", join(problems)))]
    Invalid {
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
}

impl EditError {
    /// The result code to show; none when the edit has in fact taken effect.
    #[must_use]
    pub const fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Conflict { .. } | Self::ChangeIdReused { .. } => Some(ResultCode::EditConflict),
            Self::AlreadyApplied { .. } => None,
            Self::Invalid { .. } => Some(ResultCode::InvalidSettings),
        }
    }
}

fn join(problems: &[SettingsProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Makes the changes of an edit, without checking the tree as a whole. After an error the tree is to
/// be dropped: some changes may have been made.
pub(crate) fn make_changes(
    tree: &mut SettingsTree,
    changes: &[Change],
) -> Result<(), Vec<SettingsProblem>> {
    check_size(changes)?;
    let problems: Vec<_> = changes
        .iter()
        .filter_map(|change| make_change(tree, change).err())
        .collect();
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn check_size(changes: &[Change]) -> Result<(), Vec<SettingsProblem>> {
    if changes.len() <= MAXIMUM_CHANGES {
        return Ok(());
    }
    let kind = ProblemKind::TooMany {
        count: changes.len(),
        maximum: MAXIMUM_CHANGES,
    };
    Err(vec![problem(&SettingsPath::Root, None, kind)])
}

fn make_change(tree: &mut SettingsTree, change: &Change) -> Result<(), SettingsProblem> {
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
