//! The settings tree: options set at places, each of which inherits from its parent.

mod bounds;
mod difference;
mod explain;
mod load;
mod resolve;
mod validate;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use stairward_types::ResultCode;

pub use explain::{ExplainedValue, Origin};
pub(crate) use load::{REGION_TABLE, ROOT_TABLE};

use crate::path::SettingsPath;
use crate::problem::{ProblemKind, SettingsProblem};
use crate::schema::SettingsOption;
use crate::value::Value;

/// Maximum number of places in a tree, over all levels. Bounds the memory use of every node.
pub const MAXIMUM_PLACES: usize = 20_000;

/// The options set at one place, without inherited ones.
pub type PlaceOptions = BTreeMap<SettingsOption, Value>;

/// Options set at places: the root, regions, services, groups and back ends.
///
/// Invariants: each value conforms to the schema of its option, each option may be set at its level, and
/// the parent of each place is in the tree. [`SettingsTree::resolve`] validates the tree as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    try_from = "BTreeMap<SettingsPath, PlaceOptions>",
    into = "BTreeMap<SettingsPath, PlaceOptions>"
)]
pub struct SettingsTree {
    places: BTreeMap<SettingsPath, PlaceOptions>,
}

impl Default for SettingsTree {
    fn default() -> Self {
        Self {
            places: BTreeMap::from([(SettingsPath::Root, PlaceOptions::new())]),
        }
    }
}

/// A serialized tree with a value that violates the schema.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidTree {
    /// The first problem found.
    pub problem: SettingsProblem,
}

impl SettingsTree {
    /// Creates a tree with no options set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a place and its missing ancestors with no options set. Existing places keep their options.
    pub fn add_place(&mut self, path: &SettingsPath) {
        for place in path.self_and_ancestors() {
            if self.places.contains_key(&place) {
                return;
            }
            self.places.insert(place, PlaceOptions::new());
        }
    }

    /// Sets an option, adding the place if it does not exist.
    ///
    /// # Errors
    /// [`SettingsProblem`] when the value is not valid for the option, or the option may not be set at
    /// the level of the place.
    pub fn set(
        &mut self,
        path: &SettingsPath,
        option: SettingsOption,
        value: impl Into<Value>,
    ) -> Result<(), SettingsProblem> {
        let value = value.into();
        option
            .check(path.level(), &value)
            .map_err(|kind| problem(path, Some(option), kind))?;
        self.add_place(path);
        if let Some(options) = self.places.get_mut(path) {
            options.insert(option, value);
        }
        Ok(())
    }

    /// Unsets an option, so that the place inherits it again, and returns the previous value. The place
    /// itself remains in the tree.
    pub fn unset(&mut self, path: &SettingsPath, option: SettingsOption) -> Option<Value> {
        self.places.get_mut(path)?.remove(&option)
    }

    /// Removes a place and all its descendants. Removing the root clears its options and all other
    /// places, but the root itself remains. Returns whether the place existed.
    pub fn remove(&mut self, path: &SettingsPath) -> bool {
        let existed = self.places.contains_key(path);
        self.places.retain(|place, _| !place.is_within(path));
        self.add_place(&SettingsPath::Root);
        existed
    }

    /// The options set at a place itself, without inheritance; `None` when there is no such place.
    #[must_use]
    pub fn options_at(&self, path: &SettingsPath) -> Option<&PlaceOptions> {
        self.places.get(path)
    }

    /// All places in path order, with the options set at each.
    pub fn places(&self) -> impl Iterator<Item = (&SettingsPath, &PlaceOptions)> {
        self.places.iter()
    }

    /// The children of a place.
    pub fn children<'tree>(
        &'tree self,
        path: &'tree SettingsPath,
    ) -> impl Iterator<Item = &'tree SettingsPath> {
        self.places
            .keys()
            .filter(move |place| place.parent().as_ref() == Some(path))
    }
}

/// Creates a problem at a place of the tree.
pub(crate) fn problem(
    path: &SettingsPath,
    option: Option<SettingsOption>,
    kind: ProblemKind,
) -> SettingsProblem {
    SettingsProblem {
        path: path.to_string(),
        option: option.map(|option| option.name().to_owned()),
        line: None,
        code: ResultCode::InvalidSettings,
        kind: Box::new(kind),
    }
}

impl TryFrom<BTreeMap<SettingsPath, PlaceOptions>> for SettingsTree {
    type Error = InvalidTree;

    fn try_from(places: BTreeMap<SettingsPath, PlaceOptions>) -> Result<Self, Self::Error> {
        let mut tree = Self::new();
        for (path, options) in places {
            tree.add_place(&path);
            for (option, value) in options {
                tree.set(&path, option, value)
                    .map_err(|problem| InvalidTree { problem })?;
            }
        }
        Ok(tree)
    }
}

impl From<SettingsTree> for BTreeMap<SettingsPath, PlaceOptions> {
    fn from(tree: SettingsTree) -> Self {
        tree.places
    }
}
