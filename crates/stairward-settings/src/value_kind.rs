//! Value types of options and their validation.

use std::fmt;
use std::net::SocketAddr;

use stairward_types::RegionName;

use crate::problem::ProblemKind;
use crate::value::Value;

/// Maximum length of a text value, in bytes.
pub const MAXIMUM_TEXT_BYTES: usize = 63;

/// The type of an option's values, with its constraints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// A whole number within an inclusive range.
    Integer {
        /// Smallest valid value.
        minimum: u64,
        /// Largest valid value.
        maximum: u64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Text of 1 to [`MAXIMUM_TEXT_BYTES`] bytes without control characters.
    Text,
    /// A name: 1 to 63 of `a-z`, `0-9`, `-`, `_`, `.`.
    Name,
    /// An IP address and a port other than 0, for example `10.0.0.7:5432`.
    Address,
}

impl ValueKind {
    /// Checks that a value has this type and satisfies its constraints.
    ///
    /// # Errors
    /// The [`ProblemKind`] that describes the violation.
    pub fn check(self, value: &Value) -> Result<(), ProblemKind> {
        match (self, value) {
            (Self::Integer { minimum, maximum }, Value::Integer(number)) => {
                check_range(*number, minimum, maximum)
            }
            (Self::Choice(choices), Value::Text(text)) => check_choice(text, choices),
            (Self::Text, Value::Text(text)) => check_text(text),
            (Self::Name, Value::Text(text)) => check_name(text),
            (Self::Address, Value::Text(text)) => check_address(text),
            (kind, value) => Err(ProblemKind::WrongType {
                expected: kind.type_name(),
                found: value.type_name(),
            }),
        }
    }

    /// The required type, for messages.
    #[must_use]
    pub const fn type_name(self) -> &'static str {
        match self {
            Self::Integer { .. } => "an integer",
            Self::Choice(_) => "one of several words",
            Self::Text => "text",
            Self::Name => "a name",
            Self::Address => "an address",
        }
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer { minimum, maximum } => {
                write!(formatter, "integer, {minimum} to {maximum}")
            }
            Self::Choice(choices) => write!(formatter, "one of {}", choices.join(", ")),
            Self::Text => formatter.write_str("text"),
            Self::Name => formatter.write_str("name"),
            Self::Address => formatter.write_str("IP:port"),
        }
    }
}

fn check_range(number: u64, minimum: u64, maximum: u64) -> Result<(), ProblemKind> {
    if (minimum..=maximum).contains(&number) {
        return Ok(());
    }
    Err(ProblemKind::OutOfRange {
        value: number,
        minimum,
        maximum,
    })
}

fn check_choice(text: &str, choices: &'static [&'static str]) -> Result<(), ProblemKind> {
    if choices.contains(&text) {
        return Ok(());
    }
    Err(ProblemKind::NotAChoice {
        value: text.to_owned(),
        choices,
    })
}

fn check_text(text: &str) -> Result<(), ProblemKind> {
    let length_fits = (1..=MAXIMUM_TEXT_BYTES).contains(&text.len());
    if length_fits && !text.chars().any(char::is_control) {
        return Ok(());
    }
    Err(ProblemKind::InvalidText {
        maximum_bytes: MAXIMUM_TEXT_BYTES,
    })
}

fn check_name(text: &str) -> Result<(), ProblemKind> {
    RegionName::new(text)
        .map(|_| ())
        .map_err(|source| ProblemKind::InvalidName { source })
}

fn check_address(text: &str) -> Result<(), ProblemKind> {
    let address: Option<SocketAddr> = text.parse().ok();
    match address {
        Some(address) if address.port() != 0 => Ok(()),
        _ => Err(ProblemKind::InvalidAddress {
            value: text.to_owned(),
        }),
    }
}
