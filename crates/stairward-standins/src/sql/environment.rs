//! What statements ask of the server that runs them.

use super::{Column, Row, SqlError, Value, ValueType};

/// A relation that the server makes up, such as a system view.
#[derive(Debug, Clone, Default)]
pub struct Relation {
    /// Its columns.
    pub columns: Vec<Column>,
    /// Its rows.
    pub rows: Vec<Row>,
}

/// The server's side of statement execution: functions and system relations.
pub trait Environment {
    /// Calls a function of the server; `None` when there is none of this name.
    ///
    /// # Errors
    /// Whatever the function refuses.
    fn call(&mut self, name: &str, arguments: &[Value]) -> Result<Option<Value>, SqlError>;

    /// The result type of a function of the server; `None` when there is none of this name.
    fn function_type(&self, name: &str) -> Option<ValueType>;

    /// A system relation by name; `None` when there is none.
    fn relation(&self, name: &str) -> Option<Relation>;
}
