//! What truly happened at the back ends, for checkers to compare with what callers were told.
//!
//! Every database of a group reports each statement, transaction and connection as it happens,
//! whether or not the answer ever reaches the client.

use stairward_types::{BackendId, Freshness, Term, Time};

/// A client connection at one back end. Unique within that back end's whole life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ConnectionNumber(pub u64);

/// A transaction at one back end, explicit or implicit. Unique within that back end's whole life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TransactionNumber(pub u64);

/// One thing that happened at one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroundTruth {
    /// When it happened: virtual time in a simulation, monotonic time of the process otherwise.
    pub at: Time,
    /// Where it happened.
    pub backend: BackendId,
    /// What happened.
    pub observation: Observation,
}

/// The kinds of things that back ends report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A client connected and finished its start-up.
    ConnectionOpened {
        /// The new connection.
        connection: ConnectionNumber,
        /// Its `application_name` parameter; empty when not given.
        application_name: String,
    },
    /// A connection ended, from either side.
    ConnectionClosed {
        /// The connection that ended. An open transaction on it is reported as rolled back first.
        connection: ConnectionNumber,
    },
    /// A statement was executed, successfully or not. Transaction control is reported as well.
    StatementRan {
        /// The connection it came on.
        connection: ConnectionNumber,
        /// The transaction it ran in; for `COMMIT` and `ROLLBACK` the one they ended.
        transaction: Option<TransactionNumber>,
        /// The statement's text as received, with its comments (sqlcommenter `key='value'` pairs).
        sql: String,
        /// How it ended.
        outcome: StatementOutcome,
        /// Term and applied position of the back end when it ran. A read saw exactly this state.
        freshness: Freshness,
    },
    /// A transaction began, explicitly or implicitly.
    TransactionBegun {
        /// The connection it belongs to.
        connection: ConnectionNumber,
        /// Its number.
        transaction: TransactionNumber,
        /// Whether `BEGIN` opened it.
        explicit: bool,
    },
    /// A transaction committed at this back end. On a primary that has been replaced it is lost
    /// later, see [`Observation::CommitsLost`].
    TransactionCommitted {
        /// The connection it belonged to.
        connection: ConnectionNumber,
        /// Its number.
        transaction: TransactionNumber,
        /// Whether it changed data; only then does it have a log record of its own.
        wrote: bool,
        /// Term and position of the log just after the commit.
        freshness: Freshness,
    },
    /// A transaction was rolled back: by the client, by an error, or since its connection ended.
    TransactionRolledBack {
        /// The connection it belonged to.
        connection: ConnectionNumber,
        /// Its number.
        transaction: TransactionNumber,
    },
    /// The back end was elected primary.
    ElectionWon {
        /// The new term.
        term: Term,
        /// Term and position at which the new term's log begins. What the new primary did not hold
        /// at that moment is lost.
        begins: Freshness,
        /// Term and position of the last record before that, which the new term's log continues.
        continues: Freshness,
    },
    /// The back end stopped leading since it learnt of a later term.
    SteppedDown {
        /// The later term.
        term: Term,
    },
    /// Commits that other members do not hold were discarded on rejoining the group.
    CommitsLost {
        /// Term and position of the last commit that was kept.
        kept: Freshness,
        /// Term and position of the last commit that was discarded.
        discarded: Freshness,
    },
}

/// How a statement ended at the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementOutcome {
    /// It ran to its end.
    Succeeded {
        /// Rows returned or changed.
        rows: u64,
    },
    /// It was refused or failed; it changed nothing.
    Failed {
        /// The five-character SQLSTATE.
        sqlstate: &'static str,
    },
}
