//! Prepared statements of a session, stored so that they can be prepared again on any connection.

use std::collections::BTreeMap;
use std::sync::Arc;

use snafu::{Snafu, ensure};

use crate::class::StatementClass;

/// Maximum bytes of prepared statements stored per session.
const MAXIMUM_BYTES: usize = 1024 * 1024;

/// A session's prepared statements exceed the limit.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("the session's prepared statements exceed {MAXIMUM_BYTES} bytes"))]
pub struct PreparedStatementsTooLarge;

/// One prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    /// The complete `Parse` message.
    pub message: Vec<u8>,
    /// Class of its text.
    pub class: Arc<StatementClass>,
    /// Its text.
    pub text: Arc<str>,
}

/// The prepared statements of a session, by name. The empty name is the unnamed statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PreparedStatements {
    statements: BTreeMap<String, PreparedStatement>,
    bytes: usize,
}

impl PreparedStatements {
    /// The statement with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&PreparedStatement> {
        self.statements.get(name)
    }

    /// Stores a statement, replacing one of the same name.
    ///
    /// # Errors
    /// [`PreparedStatementsTooLarge`]; nothing is changed then.
    pub fn insert(
        &mut self,
        name: &str,
        statement: PreparedStatement,
    ) -> Result<(), PreparedStatementsTooLarge> {
        let freed = self.statements.get(name).map_or(0, stored_bytes);
        let bytes = self.bytes - freed + stored_bytes(&statement);
        ensure!(bytes <= MAXIMUM_BYTES, PreparedStatementsTooLargeSnafu);
        self.bytes = bytes;
        self.statements.insert(name.to_owned(), statement);
        Ok(())
    }

    /// Removes a statement.
    pub fn remove(&mut self, name: &str) {
        if let Some(statement) = self.statements.remove(name) {
            self.bytes -= stored_bytes(&statement);
        }
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Number of statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Whether there are no statements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }
}

fn stored_bytes(statement: &PreparedStatement) -> usize {
    statement.message.len() + statement.text.len()
}
