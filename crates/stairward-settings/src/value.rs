//! Values of options in the settings tree.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A value as operators write it and as the store persists it. The option's [`crate::ValueKind`]
/// defines which values are valid.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A whole number in the option's unit.
    Integer(u64),
    /// Text: a name, an address or one of several choices.
    Text(String),
}

impl Value {
    /// Parses a command-line argument: an unsigned 64-bit integer becomes a number, anything else text.
    #[must_use]
    pub fn from_argument(argument: &str) -> Self {
        argument
            .parse()
            .map_or_else(|_| Self::Text(argument.to_owned()), Self::Integer)
    }

    /// The number, if the value is one.
    #[must_use]
    pub const fn as_integer(&self) -> Option<u64> {
        match self {
            Self::Integer(number) => Some(*number),
            Self::Text(_) => None,
        }
    }

    /// The text, if the value is text.
    #[must_use]
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Integer(_) => None,
            Self::Text(text) => Some(text),
        }
    }

    /// The type of the value, for messages.
    #[must_use]
    pub const fn type_name(&self) -> &'static str {
        match self {
            Self::Integer(_) => "an integer",
            Self::Text(_) => "text",
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Integer(number)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(number) => number.fmt(formatter),
            Self::Text(text) => write!(formatter, "{text:?}"),
        }
    }
}
