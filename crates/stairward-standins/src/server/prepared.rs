//! Prepared statements and portals of one connection.

use std::collections::BTreeMap;

use crate::sql::{Answer, Description, SqlError, Statement, Value};

/// Most prepared statements of one connection.
const MAXIMUM_STATEMENTS: usize = 1_000;

/// Most portals of one connection.
const MAXIMUM_PORTALS: usize = 100;

/// A prepared statement.
#[derive(Debug, Clone)]
pub struct Prepared {
    /// The statement.
    pub statement: Statement,
    /// Its types.
    pub description: Description,
}

/// A statement with its parameters bound.
#[derive(Debug, Clone)]
pub struct Portal {
    /// The prepared statement.
    pub prepared: Prepared,
    /// Values of its parameters.
    pub parameters: Vec<Value>,
    /// Formats of the result's columns.
    pub formats: Vec<i16>,
    /// The answer, once it has run.
    pub answer: Option<Answer>,
    /// Rows sent so far.
    pub sent: usize,
}

/// All prepared statements and portals of a connection, by name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
}

impl PreparedStatements {
    /// Adds a statement. Only the unnamed one may be replaced.
    ///
    /// # Errors
    /// [`SqlError::DuplicateStatement`] or [`SqlError::LimitExceeded`].
    pub fn prepare(&mut self, name: &str, prepared: Prepared) -> Result<(), SqlError> {
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(SqlError::DuplicateStatement {
                name: name.to_owned(),
            });
        }
        if self.statements.len() >= MAXIMUM_STATEMENTS {
            return Err(SqlError::LimitExceeded {
                what: "prepared statements",
            });
        }
        self.statements.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// A statement by name.
    ///
    /// # Errors
    /// [`SqlError::UndefinedStatement`].
    pub fn statement(&self, name: &str) -> Result<&Prepared, SqlError> {
        let found = self.statements.get(name);
        found.ok_or_else(|| SqlError::UndefinedStatement {
            name: name.to_owned(),
        })
    }

    /// Adds a portal, replacing one of the same name.
    ///
    /// # Errors
    /// [`SqlError::LimitExceeded`].
    pub fn bind(&mut self, name: &str, portal: Portal) -> Result<(), SqlError> {
        if self.portals.len() >= MAXIMUM_PORTALS && !self.portals.contains_key(name) {
            return Err(SqlError::LimitExceeded { what: "portals" });
        }
        self.portals.insert(name.to_owned(), portal);
        Ok(())
    }

    /// A portal by name.
    ///
    /// # Errors
    /// [`SqlError::UndefinedPortal`].
    pub fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        let found = self.portals.get(name);
        found.ok_or_else(|| SqlError::UndefinedPortal {
            name: name.to_owned(),
        })
    }

    /// Takes a portal out, to be put back with [`PreparedStatements::bind`].
    ///
    /// # Errors
    /// [`SqlError::UndefinedPortal`].
    pub fn take_portal(&mut self, name: &str) -> Result<Portal, SqlError> {
        let found = self.portals.remove(name);
        found.ok_or_else(|| SqlError::UndefinedPortal {
            name: name.to_owned(),
        })
    }

    /// Forgets a statement, if there is one.
    pub fn close_statement(&mut self, name: &str) {
        self.statements.remove(name);
    }

    /// Forgets a portal, if there is one.
    pub fn close_portal(&mut self, name: &str) {
        self.portals.remove(name);
    }

    /// Forgets all portals, as the end of a transaction does.
    pub fn close_portals(&mut self) {
        self.portals.clear();
    }

    /// Forgets all statements.
    pub fn close_statements(&mut self) {
        self.statements.clear();
    }
}
