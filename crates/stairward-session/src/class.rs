//! The class of an SQL text: the access that it requires and the session state that it changes.

use std::fmt;

use stairward_types::AccessClass;

/// A feature that is refused because it would bind a session to one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnsupportedFeature {
    /// `COPY`.
    Copy,
    /// `LISTEN` and `UNLISTEN`.
    Listen,
    /// Temporary tables, views and sequences.
    TemporaryObject,
    /// Advisory locks held by a session.
    AdvisoryLock,
    /// Cursors that outlive their transaction.
    CursorWithHold,
    /// `SET ROLE` and `SET SESSION AUTHORIZATION`.
    RoleChange,
    /// `PREPARE TRANSACTION` and the statements that end such a transaction.
    TwoPhaseCommit,
}

impl fmt::Display for UnsupportedFeature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Copy => "COPY",
            Self::Listen => "LISTEN",
            Self::TemporaryObject => "temporary objects",
            Self::AdvisoryLock => "advisory locks held by a session",
            Self::CursorWithHold => "cursors WITH HOLD",
            Self::RoleChange => "SET ROLE and SET SESSION AUTHORIZATION",
            Self::TwoPhaseCommit => "two-phase commit",
        })
    }
}

/// Access mode of a started transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStart {
    /// `READ ONLY`: a replica may run it.
    ReadOnly,
    /// Anything else.
    ReadWrite,
}

/// How a transaction control statement ends a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionEnd {
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK` or `ABORT`.
    Rollback,
}

/// A change of session state, to be recorded once the statement has succeeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionChange {
    /// `SET name = value`.
    Set {
        /// The parameter, in lower case.
        name: String,
        /// The value as SQL text, ready for another `SET`.
        value: String,
        /// `SET LOCAL`: discarded at the end of the transaction.
        local: bool,
    },
    /// `RESET name` or `SET name TO DEFAULT`.
    Reset {
        /// The parameter, in lower case.
        name: String,
    },
    /// `RESET ALL`.
    ResetAll,
    /// `DISCARD ALL`.
    DiscardAll,
    /// `PREPARE name AS ...`.
    Prepare {
        /// The statement's name.
        name: String,
        /// The whole `PREPARE` statement.
        text: String,
    },
    /// `DEALLOCATE name`.
    Deallocate {
        /// The statement's name.
        name: String,
    },
    /// `DEALLOCATE ALL`.
    DeallocateAll,
}

/// Class of a text of one or more statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementClass {
    /// The strongest access required by any of its statements.
    pub access: AccessClass,
    /// Number of statements; zero for an empty text.
    pub statements: usize,
    /// Whether it contains `COMMIT` or `END`.
    pub has_commit: bool,
    /// The transaction that it leaves open when run outside a transaction.
    pub leaves_open: Option<TransactionStart>,
    /// How its last transaction control statement ends a transaction.
    pub ends: Option<TransactionEnd>,
    /// Whether it may leave session state on the connection, which must be reset afterwards.
    pub alters_session: bool,
    /// An unsupported feature that it uses.
    pub refused: Option<UnsupportedFeature>,
    /// Changes of session state, in order.
    pub changes: Vec<SessionChange>,
}

impl StatementClass {
    /// The class of an empty text.
    #[must_use]
    pub const fn empty() -> Self {
        Self {
            access: AccessClass::Read,
            statements: 0,
            has_commit: false,
            leaves_open: None,
            ends: None,
            alters_session: false,
            refused: None,
            changes: Vec::new(),
        }
    }

    /// The class of text that cannot be parsed: a write that may change any session state.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            access: AccessClass::Write,
            statements: 1,
            alters_session: true,
            ..Self::empty()
        }
    }

    /// Whether running it may commit writes.
    #[must_use]
    pub fn may_commit(&self, in_transaction: bool) -> bool {
        if in_transaction || self.leaves_open.is_some() {
            return self.has_commit;
        }
        self.access == AccessClass::Write
    }

    /// Whether it contains transaction control statements.
    #[must_use]
    pub fn controls_transaction(&self) -> bool {
        self.leaves_open.is_some() || self.ends.is_some() || self.has_commit
    }

    /// Combines this class with that of the next statement of the same batch.
    pub fn append(&mut self, next: Self) {
        self.access = self.access.max(next.access);
        self.statements += next.statements;
        self.has_commit |= next.has_commit;
        if next.ends.is_some() {
            self.leaves_open = None;
            self.ends = next.ends;
        }
        if next.leaves_open.is_some() {
            self.leaves_open = next.leaves_open;
            self.ends = None;
        }
        self.alters_session |= next.alters_session;
        self.refused = self.refused.or(next.refused);
        self.changes.extend(next.changes);
    }
}
