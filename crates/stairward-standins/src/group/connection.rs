//! A client's connection and its transaction.

use stairward_types::Time;

use crate::TransactionNumber;
use crate::sql::{Overlay, Statement, Tables, Value};

use super::event::{Completion, RequestNumber, TransactionStatus};
use super::settings::Settings;

/// A client's connection.
#[derive(Debug)]
pub struct Connection {
    /// The user's name.
    pub user: String,
    /// Its settings.
    pub settings: Settings,
    /// Whether it has finished opening.
    pub open: bool,
    /// Whether the client has gone while a statement ran.
    pub closing: bool,
    /// Its transaction, explicit or implicit.
    pub transaction: Option<Transaction>,
    /// The statement it runs.
    pub current: Option<Current>,
    /// Whether it breaks instead of answering the statement that has just committed.
    pub loses_reply: bool,
    /// When its statement or, without one, its idle time is over.
    pub deadline: Option<Time>,
    /// When its timer fires, which may be before the deadline, as that moves with each statement.
    pub timer_at: Option<Time>,
}

/// A statement under way.
#[derive(Debug, Clone)]
pub struct Current {
    /// The driver's number of the request.
    pub request: RequestNumber,
    /// The statement.
    pub statement: Statement,
    /// Values of its parameters.
    pub parameters: Vec<Value>,
    /// What happens to an implicit transaction afterwards.
    pub completion: Completion,
    /// How far it has come.
    pub phase: Phase,
}

/// How far a statement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Queued,
    /// It occupies a slot.
    Running,
    /// It has given its slot back and takes effect.
    Executing,
    /// It waits, without a slot, for a lock that another connection holds.
    WaitingForLock,
}

/// How much of other transactions' commits a transaction sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// Each statement sees what was committed before it.
    ReadCommitted,
    /// All statements see what was committed before the first.
    Snapshot,
}

/// A transaction.
#[derive(Debug)]
pub struct Transaction {
    /// Its number at this member.
    pub number: TransactionNumber,
    /// Whether `BEGIN` opened it.
    pub explicit: bool,
    /// Whether it may not write.
    pub read_only: bool,
    /// Its isolation level.
    pub isolation: Isolation,
    /// Whether a statement in it has failed.
    pub failed: bool,
    /// Its uncommitted changes.
    pub overlay: Overlay,
    /// What it sees, with snapshot isolation and after its first statement.
    pub snapshot: Option<Tables>,
    /// Savepoints, oldest first.
    pub savepoints: Vec<Savepoint>,
}

/// A savepoint: its name and the changes made before it.
#[derive(Debug)]
pub struct Savepoint {
    /// Its name.
    pub name: String,
    /// The changes to go back to.
    pub overlay: Overlay,
}

impl Connection {
    /// Whether and how it is in a transaction block.
    #[must_use]
    pub const fn status(&self) -> TransactionStatus {
        match &self.transaction {
            Some(transaction) if !transaction.explicit => TransactionStatus::Idle,
            Some(transaction) if transaction.failed => TransactionStatus::Failed,
            Some(_) => TransactionStatus::InTransaction,
            None => TransactionStatus::Idle,
        }
    }
}
