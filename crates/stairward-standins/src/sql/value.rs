//! Values and their types.

use std::fmt;
use std::sync::Arc;

use super::SqlError;

/// A value in a row, a parameter or a result.
///
/// The order is that of keys: NULL first, then by type, then by value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Value {
    /// SQL's NULL.
    Null,
    /// A truth value.
    Boolean(bool),
    /// An integer of up to 64 bits.
    Integer(i64),
    /// Text. Log positions and numbers with a fraction are kept as text, too.
    Text(Arc<str>),
}

/// The type of a column, parameter or expression.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ValueType {
    /// `bool`
    Boolean,
    /// `int4`
    Int4,
    /// `int8`
    Int8,
    /// `text`
    Text,
    /// `pg_lsn`, kept as text
    LogPosition,
}

impl ValueType {
    /// PostgreSQL's object identifier of the type.
    #[must_use]
    pub const fn oid(self) -> u32 {
        match self {
            Self::Boolean => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::LogPosition => 3220,
        }
    }

    /// The type with this object identifier; `None` for those this server does not know.
    #[must_use]
    pub const fn from_oid(oid: u32) -> Option<Self> {
        match oid {
            16 => Some(Self::Boolean),
            20 => Some(Self::Int8),
            21 | 23 => Some(Self::Int4),
            // text, and the string types that drivers declare: bpchar, varchar, name, unknown.
            25 | 1042 | 1043 | 19 | 705 => Some(Self::Text),
            3220 => Some(Self::LogPosition),
            _ => None,
        }
    }

    /// PostgreSQL's name of the type.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Boolean => "boolean",
            Self::Int8 => "bigint",
            Self::Int4 => "integer",
            Self::Text => "text",
            Self::LogPosition => "pg_lsn",
        }
    }

    /// Bytes of a value in binary form; -1 when it varies.
    #[must_use]
    pub const fn size(self) -> i16 {
        match self {
            Self::Boolean => 1,
            Self::Int4 => 4,
            Self::Int8 | Self::LogPosition => 8,
            Self::Text => -1,
        }
    }
}

impl Value {
    /// A text value.
    #[must_use]
    pub fn text(text: impl Into<Arc<str>>) -> Self {
        Self::Text(text.into())
    }

    /// Whether the value is NULL.
    #[must_use]
    pub const fn is_null(&self) -> bool {
        matches!(self, Self::Null)
    }

    /// Whether a condition with this value holds; NULL does not.
    #[must_use]
    pub const fn is_true(&self) -> bool {
        matches!(self, Self::Boolean(true))
    }

    /// The type the value has by itself; NULL counts as text.
    #[must_use]
    pub const fn natural_type(&self) -> ValueType {
        match self {
            Self::Boolean(_) => ValueType::Boolean,
            Self::Integer(_) => ValueType::Int8,
            Self::Null | Self::Text(_) => ValueType::Text,
        }
    }

    /// Converts to a type, as an assignment or a cast does.
    ///
    /// # Errors
    /// [`SqlError::InvalidText`] when text does not read as the type, [`SqlError::OutOfRange`]
    /// when an integer does not fit, [`SqlError::DatatypeMismatch`] when there is no conversion.
    pub fn convert(&self, target: ValueType) -> Result<Self, SqlError> {
        match (self, target) {
            (Self::Null, _) => Ok(Self::Null),
            (Self::Boolean(_), ValueType::Boolean) => Ok(self.clone()),
            (Self::Integer(_), ValueType::Int8) => Ok(self.clone()),
            (Self::Integer(number), ValueType::Int4) => {
                i32::try_from(*number).map_err(|_| SqlError::OutOfRange)?;
                Ok(self.clone())
            }
            (Self::Text(_), ValueType::Text | ValueType::LogPosition) => Ok(self.clone()),
            (Self::Boolean(_) | Self::Integer(_), ValueType::Text) => {
                Ok(Self::text(self.to_string()))
            }
            (Self::Text(text), _) => Self::parse(text, target),
            (Self::Boolean(_) | Self::Integer(_), _) => Err(SqlError::DatatypeMismatch {
                found: self.natural_type(),
                wanted: target,
            }),
        }
    }

    /// Reads a value from its text form.
    ///
    /// # Errors
    /// [`SqlError::InvalidText`] or [`SqlError::OutOfRange`] when the text is not of the type.
    pub fn parse(text: &str, target: ValueType) -> Result<Self, SqlError> {
        let invalid = || SqlError::InvalidText {
            text: text.to_owned(),
            wanted: target,
        };
        match target {
            ValueType::Text | ValueType::LogPosition => Ok(Self::text(text)),
            ValueType::Boolean => match text.trim().to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "1" => Ok(Self::Boolean(true)),
                "f" | "false" | "off" | "no" | "0" => Ok(Self::Boolean(false)),
                _ => Err(invalid()),
            },
            ValueType::Int4 | ValueType::Int8 => {
                let number: i64 = text.trim().parse().map_err(|_| invalid())?;
                Self::Integer(number).convert(target)
            }
        }
    }
}

impl fmt::Display for Value {
    /// The value in PostgreSQL's text format; NULL is empty.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => Ok(()),
            Self::Boolean(true) => formatter.write_str("t"),
            Self::Boolean(false) => formatter.write_str("f"),
            Self::Integer(number) => number.fmt(formatter),
            Self::Text(text) => formatter.write_str(text),
        }
    }
}
