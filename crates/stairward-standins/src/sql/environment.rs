//! What statements ask of the server that runs them.

use sqlparser::ast::Expr;

use super::expression::{Scope, evaluate};
use super::{Column, Row, SqlError, Value, ValueType, View};

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

/// What one statement runs with.
pub struct StatementContext<'a> {
    /// The tables it sees.
    pub view: View<'a>,
    /// Values of `$1`, `$2` and so on.
    pub parameters: &'a [Value],
    /// The server.
    pub environment: &'a mut dyn Environment,
}

impl StatementContext<'_> {
    /// Evaluates an expression that refers to no row.
    ///
    /// # Errors
    /// The error of whatever part fails.
    pub fn constant(&mut self, expression: &Expr) -> Result<Value, SqlError> {
        evaluate(
            expression,
            Scope::constant(self.parameters),
            self.environment,
        )
    }
}
