//! Which value is in force at a place, and where it comes from.

use std::fmt;

use serde::Serialize;

use super::SettingsTree;
use crate::path::SettingsPath;
use crate::schema::{DefaultValue, SettingsOption};
use crate::value::Value;

/// Where a value in force comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// It is set at this place, which is the place itself or one above it.
    SetAt(SettingsPath),
    /// No place sets it; it is the schema's default.
    Default,
    /// No place sets it and the schema has no default.
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

/// One option at one place: its value and where that comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ExplainedValue {
    /// The option.
    pub option: SettingsOption,
    /// The value in force; none when it has to be set and is not.
    pub value: Option<Value>,
    /// Where it comes from.
    pub origin: Origin,
}

impl SettingsTree {
    /// Every option that matters at a place, its value in force and where that comes from; none when
    /// there is no such place.
    #[must_use]
    pub fn explain(&self, path: &SettingsPath) -> Option<Vec<ExplainedValue>> {
        self.options_at(path)?;
        let explained = SettingsOption::ALL
            .iter()
            .filter(|option| option.schema().highest <= path.level())
            .map(|option| self.explain_option(path, *option))
            .collect();
        Some(explained)
    }

    /// One option's value in force at a place, and where that comes from.
    #[must_use]
    pub fn explain_option(&self, path: &SettingsPath, option: SettingsOption) -> ExplainedValue {
        let set = path.self_and_ancestors().find_map(|place| {
            let value = self.options_at(&place)?.get(&option)?.clone();
            Some((place, value))
        });
        if let Some((place, value)) = set {
            return ExplainedValue {
                option,
                value: Some(value),
                origin: Origin::SetAt(place),
            };
        }
        let value = default_value(path, option);
        let origin = if value.is_some() {
            Origin::Default
        } else {
            Origin::Missing
        };
        ExplainedValue {
            option,
            value,
            origin,
        }
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
