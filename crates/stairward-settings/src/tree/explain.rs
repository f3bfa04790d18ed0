//! The effective values at a place, and their origin.

use std::fmt;

use serde::Serialize;

use super::{PlaceOptions, SettingsTree};
use crate::path::SettingsPath;
use crate::schema::{DefaultValue, SettingsOption};
use crate::value::Value;

/// The origin of an effective value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// The value is set at this path, which is the place itself or one of its ancestors.
    SetAt(SettingsPath),
    /// The value is not set; it is the default of the schema.
    Default,
    /// The value is not set, and the schema has no default.
    Missing,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetAt(path) => path.fmt(formatter),
            Self::Default => formatter.write_str("default"),
            Self::Missing => formatter.write_str("not set"),
        }
    }
}

/// The effective value of one option at one place, and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ExplainedValue {
    /// The option.
    pub option: SettingsOption,
    /// The effective value; `None` when a required option is not set.
    pub value: Option<Value>,
    /// The origin of the value.
    pub origin: Origin,
}

/// The options set at a place and its ancestors, the place itself first.
pub(super) struct Inheritance<'tree> {
    path: &'tree SettingsPath,
    places: Vec<(SettingsPath, &'tree PlaceOptions)>,
}

impl<'tree> Inheritance<'tree> {
    pub(super) fn new(tree: &'tree SettingsTree, path: &'tree SettingsPath) -> Self {
        let places = path
            .self_and_ancestors()
            .filter_map(|place| {
                let options = tree.options_at(&place)?;
                Some((place, options))
            })
            .collect();
        Self { path, places }
    }

    /// The path of the place.
    pub(super) const fn path(&self) -> &'tree SettingsPath {
        self.path
    }

    /// The effective value; `None` when a required option is not set.
    pub(super) fn value(&self, option: SettingsOption) -> Option<Value> {
        let set = self
            .places
            .iter()
            .find_map(|(_, options)| options.get(&option));
        set.cloned().or_else(|| default_value(self.path, option))
    }

    fn explain(&self, option: SettingsOption) -> ExplainedValue {
        let value = self.value(option);
        let place = self
            .places
            .iter()
            .find(|(_, options)| options.contains_key(&option));
        let origin = match (place, &value) {
            (Some((place, _)), _) => Origin::SetAt(place.clone()),
            (None, Some(_)) => Origin::Default,
            (None, None) => Origin::Missing,
        };
        ExplainedValue {
            option,
            value,
            origin,
        }
    }
}

impl SettingsTree {
    /// The effective values of all options that may be set at the place's level or above it, with their
    /// origins; `None` when there is no such place.
    #[must_use]
    pub fn explain(&self, path: &SettingsPath) -> Option<Vec<ExplainedValue>> {
        self.options_at(path)?;
        let inheritance = Inheritance::new(self, path);
        let explained = SettingsOption::ALL
            .iter()
            .filter(|option| option.schema().highest <= path.level())
            .map(|option| inheritance.explain(*option))
            .collect();
        Some(explained)
    }

    /// The effective value of one option at a place, and its origin.
    #[must_use]
    pub fn explain_option(&self, path: &SettingsPath, option: SettingsOption) -> ExplainedValue {
        Inheritance::new(self, path).explain(option)
    }
}

fn default_value(path: &SettingsPath, option: SettingsOption) -> Option<Value> {
    match option.schema().default {
        DefaultValue::Integer(number) => Some(Value::Integer(number)),
        DefaultValue::Text(text) => Some(Value::from(text)),
        DefaultValue::RegionOfPath => path.region().map(|region| Value::from(region.as_str())),
        DefaultValue::Required => None,
    }
}
