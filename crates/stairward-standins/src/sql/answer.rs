//! What a statement answers.

use super::{Row, ValueType};

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type.
    pub value_type: ValueType,
}

impl Column {
    /// Builds a column from its parts.
    #[must_use]
    pub fn new(name: impl Into<String>, value_type: ValueType) -> Self {
        Self {
            name: name.into(),
            value_type,
        }
    }
}

/// The whole answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Answer {
    /// The result's columns; `None` for a statement that returns no rows.
    pub columns: Option<Vec<Column>>,
    /// The result's rows.
    pub rows: Vec<Row>,
    /// The command tag, such as `INSERT 0 1`. Empty for an empty query.
    pub tag: String,
    /// Rows returned or changed.
    pub affected: u64,
    /// Settings whose new value the server reports to the client (`ParameterStatus`).
    pub reported_settings: Vec<(String, String)>,
}

impl Answer {
    /// The answer of a statement that returns no rows.
    #[must_use]
    pub fn command(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            ..Self::default()
        }
    }

    /// The answer of a query.
    #[must_use]
    pub fn rows(columns: Vec<Column>, rows: Vec<Row>) -> Self {
        let affected = rows.len() as u64;
        Self {
            columns: Some(columns),
            rows,
            tag: format!("SELECT {affected}"),
            affected,
            reported_settings: Vec::new(),
        }
    }
}

/// What a statement takes and returns, found without running it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Description {
    /// Types of `$1`, `$2` and so on.
    pub parameters: Vec<ValueType>,
    /// Columns of the result; `None` for a statement that returns no rows.
    pub columns: Option<Vec<Column>>,
}
