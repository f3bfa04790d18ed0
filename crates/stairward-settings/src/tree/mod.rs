//! The settings tree: values set at places, each place inheriting from the one above.

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

/// Most places a tree may have, of all levels together. Bounds the memory of every node.
pub const MAXIMUM_PLACES: usize = 20_000;

/// The options set at one place.
pub type PlaceOptions = BTreeMap<SettingsOption, Value>;

/// Values set at places: root, regions, services, groups, back ends.
///
/// Every value in it fits its option and level, and every place has its parent. Whether the tree is
/// valid as a whole is said by [`SettingsTree::resolve`].
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

/// A document whose tree has a value that does not fit the schema.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidTree {
    /// The first problem found.
    pub problem: SettingsProblem,
}

impl SettingsTree {
    /// A tree in which nothing is set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a place, and those above it, with nothing set. A place that is there keeps its options.
    pub fn add_place(&mut self, path: &SettingsPath) {
        for place in path.self_and_ancestors() {
            if self.places.contains_key(&place) {
                return;
            }
            self.places.insert(place, PlaceOptions::new());
        }
    }

    /// Sets an option, adding the place when it is new.
    ///
    /// # Errors
    /// [`SettingsProblem`] when the value does not fit the option, or the option not the level.
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

    /// Takes an option back, so that the place inherits it again. The place itself stays.
    pub fn unset(&mut self, path: &SettingsPath, option: SettingsOption) -> Option<Value> {
        self.places.get_mut(path)?.remove(&option)
    }

    /// Removes a place and all below it; of the root, only what lies below and is set. Returns
    /// whether the place was there.
    pub fn remove(&mut self, path: &SettingsPath) -> bool {
        let was_there = self.places.contains_key(path);
        self.places.retain(|place, _| !place.is_within(path));
        self.add_place(&SettingsPath::Root);
        was_there
    }

    /// What is set at a place itself, without inheritance; none when there is no such place.
    #[must_use]
    pub fn options_at(&self, path: &SettingsPath) -> Option<&PlaceOptions> {
        self.places.get(path)
    }

    /// Every place, with what is set there.
    pub fn places(&self) -> impl Iterator<Item = (&SettingsPath, &PlaceOptions)> {
        self.places.iter()
    }

    /// Every place directly below this one.
    pub fn children<'tree>(
        &'tree self,
        path: &'tree SettingsPath,
    ) -> impl Iterator<Item = &'tree SettingsPath> {
        self.places
            .keys()
            .filter(move |place| place.parent().as_ref() == Some(path))
    }
}

/// A problem at a place of the tree.
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
