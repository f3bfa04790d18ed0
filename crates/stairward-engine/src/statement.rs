//! Statements by class, with opaque text.

use stairward_types::AccessClass;

/// What a caller prepared: a named shape that reads or writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PreparedStatement {
    /// Whether running it reads or writes.
    pub access: AccessClass,
    /// The opaque shape.
    pub shape: String,
}

/// What a statement does to its session, as far as the engine must know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// Opens a transaction.
    Begin {
        /// Whether the caller promises only to read in it.
        read_only: bool,
    },
    /// Ends the transaction and keeps it.
    Commit,
    /// Ends the transaction and undoes it.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a value of the session.
    SetValue {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Gives a name to a statement.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// What is prepared.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// Opaque arguments.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The caller's id for it.
    pub id: String,
    /// What it does.
    pub kind: StatementKind,
    /// Its text, passed on unchanged.
    pub text: String,
}
