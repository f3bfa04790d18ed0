//! Statements, classified by their effect, with opaque text.

use stairward_types::AccessClass;

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub access: AccessClass,
    /// Its text, opaque to the engine.
    pub shape: String,
}

/// What a statement does to its session, as far as the engine needs to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin {
        /// Whether the caller declares the transaction read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a session value.
    SetValue {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// The statement to prepare.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// Opaque arguments.
        arguments: String,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}

/// A caller's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The caller's id for it.
    pub id: String,
    /// Its effect.
    pub kind: StatementKind,
    /// Its text, passed on unchanged.
    pub text: String,
}
