//! One simulated database: its log, its connections, and how it runs statements.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use stairward_engine::{
    BackendCommand, BackendError, BackendErrorCode, BackendReply, PreparedStatement,
    TransactionStatus,
};
use stairward_types::{
    BackendId, BackendRole, Freshness, LogPosition, MemberStatus, TenantName, Term, Time,
};

use crate::replies::ReplyOrder;

/// The position of an empty log.
const EMPTY_LOG: Freshness = Freshness::new(Term(1), LogPosition(0));

/// A connection of any node: the node's incarnation and the connection's number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey {
    /// Incarnation of the node's process, unique within a run.
    pub incarnation: u64,
    /// Number of the connection within that incarnation.
    pub connection: stairward_engine::ConnectionId,
}

/// A committed log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Its position in the log.
    pub at: Freshness,
    /// Ids of the write statements.
    pub writes: Vec<String>,
}

/// A transaction open on a connection.
#[derive(Debug, Clone, Default)]
pub struct OpenTransaction {
    /// Whether it was opened as read-only.
    pub is_read_only: bool,
    /// Ids of its write statements.
    pub writes: Vec<String>,
    /// Ids of all its statements.
    pub statements: Vec<String>,
    /// Whether it has failed, so that it can only be ended.
    pub has_failed: bool,
}

/// The state of a connection.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    /// The tenant that the connection was opened for.
    pub tenant: Option<TenantName>,
    /// Values set on it.
    pub values: BTreeMap<String, String>,
    /// Statements prepared on it.
    pub prepared: BTreeSet<PreparedStatement>,
    /// The open transaction.
    pub transaction: Option<OpenTransaction>,
    /// The order of its replies.
    pub replies: ReplyOrder,
}

/// A statement that a database ran, for the checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// The statement's id.
    pub id: String,
    /// The statement's text, or the shape and arguments of a prepared statement.
    pub text: String,
    /// For a read, the number of log entries that were applied.
    pub read_at: Option<usize>,
    /// Ids of earlier statements of the same transaction.
    pub earlier_statements: Vec<String>,
    /// Whether a transaction was open.
    pub in_transaction: bool,
    /// The connection's values when it ran.
    pub values: BTreeMap<String, String>,
}

/// The outcome of a command.
#[derive(Debug)]
pub struct Outcome {
    /// The response.
    pub reply: BackendReply,
    /// The client's statement that ran, if any.
    pub executed: Option<ExecutedStatement>,
    /// The log entry that was committed, if any.
    pub committed: Option<LogEntry>,
}

/// The row that a database returns for a read.
pub(crate) fn row_of_read(statement: &str) -> String {
    format!("row of {statement}")
}

/// Whether a command runs a client's statement.
pub(crate) fn is_client_statement(command: &BackendCommand) -> bool {
    matches!(
        command,
        BackendCommand::Run { .. } | BackendCommand::Execute { .. }
    )
}

/// One simulated database.
#[derive(Debug)]
pub struct Database {
    /// Its id.
    pub id: BackendId,
    /// Whether its process runs.
    pub is_alive: bool,
    /// Whether it is unresponsive: nothing reaches it and it sends nothing.
    pub is_silent: bool,
    /// Its role.
    pub role: BackendRole,
    /// Its current term; 0 after it has lost its log.
    pub term: Term,
    /// All log entries that it has received.
    pub log: Vec<LogEntry>,
    /// How many of them are applied.
    pub applied: usize,
    /// Open connections.
    pub connections: BTreeMap<ConnectionKey, ConnectionState>,
    /// Maximum number of connections.
    pub connection_limit: usize,
    /// When the cold period after its last start ends.
    pub cold_until: Time,
    /// Length of the cold period that it announced at its last start.
    pub announced_cold_time: Duration,
    /// How often its process has started; listed as its incarnation.
    pub start_count: u64,
    /// When requests reached it while it was cold, within the last second.
    pub cold_request_times: Vec<Time>,
    /// Since when it has been leaving or has been removed from discovery.
    pub leaving_since: Option<Time>,
    /// Whether it is partitioned from the other members.
    pub is_isolated: bool,
    /// It receives no entries of terms below this one; 0 when it is not on hold.
    pub held: Term,
    /// For an old primary, since when it has been connected to the new one.
    pub connected_to_successor_since: Option<Time>,
    /// Factor by which the usual delay of applying the log is multiplied.
    pub lag_factor: u32,
}

impl Database {
    /// A running database with an empty log.
    pub fn new(id: BackendId, role: BackendRole, connection_limit: usize) -> Self {
        Self {
            id,
            is_alive: true,
            is_silent: false,
            role,
            term: Term(1),
            log: Vec::new(),
            applied: 0,
            connections: BTreeMap::new(),
            connection_limit,
            cold_until: Time::ZERO,
            announced_cold_time: Duration::ZERO,
            start_count: 1,
            cold_request_times: Vec::new(),
            leaving_since: None,
            is_isolated: false,
            held: Term(0),
            connected_to_successor_since: None,
            lag_factor: 1,
        }
    }

    /// Loses its log, term and hold, as after a restart on an empty disk; the role stays.
    pub fn discard_state(&mut self) {
        self.log.clear();
        self.applied = 0;
        self.term = Term(0);
        self.held = Term(0);
        self.connected_to_successor_since = None;
    }

    /// The position up to which it has applied the log.
    pub fn position(&self) -> Freshness {
        self.log[..self.applied]
            .last()
            .map_or(EMPTY_LOG, |entry| entry.at)
    }

    /// The status that it reports.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: self.term,
            received: self.log.last().map_or(EMPTY_LOG, |entry| entry.at),
            held: self.held,
        }
    }

    /// Whether other members can reach it.
    #[must_use]
    pub const fn is_reachable(&self) -> bool {
        self.is_alive && !self.is_silent && !self.is_isolated
    }

    /// Whether it has lost its log and not received anything since.
    #[must_use]
    pub const fn has_lost_log(&self) -> bool {
        self.term.0 == 0
    }

    /// Whether other members receive its log. A database that has lost its log is in no term, and the others
    /// are in a later one.
    #[must_use]
    pub const fn can_ship_log(&self) -> bool {
        self.is_reachable() && !self.has_lost_log()
    }

    /// Puts the database on hold: it receives nothing from a primary of a term below this one.
    pub fn hold(&mut self, term: Term) {
        if self.role == BackendRole::Replica && term > self.term {
            self.held = self.held.max(term);
        }
    }

    /// Ends a hold.
    pub fn resume(&mut self) {
        self.held = Term(0);
    }

    /// Steps down if its own term is older than this one.
    pub fn step_down(&mut self, term: Term) {
        if self.term < term {
            self.role = BackendRole::Replica;
        }
    }

    /// Whether the applied log contains a position.
    fn contains_position(&self, floor: Freshness) -> bool {
        let Ok(number) = usize::try_from(floor.position.0) else {
            return false;
        };
        if number == 0 {
            return true;
        }
        if number > self.applied {
            return false;
        }
        // A position of an earlier term may have been rolled back and its number reused.
        self.log[number - 1].at == floor
    }

    /// Refuses a command on a connection because all slots are in use; it is not run.
    pub fn refuse_as_busy(&self, connection_key: ConnectionKey) -> Outcome {
        let state = self.connections.get(&connection_key);
        let status = state.map_or(TransactionStatus::Idle, status);
        refused(BackendErrorCode::Busy, status, self.position())
    }

    /// Runs a command on a connection.
    pub fn run(&mut self, connection_key: ConnectionKey, command: &BackendCommand) -> Outcome {
        let is_primary = self.role == BackendRole::Primary;
        let position = self.position();
        let Some(mut state) = self.connections.remove(&connection_key) else {
            return refused(BackendErrorCode::InDoubt, TransactionStatus::Idle, position);
        };
        let outcome = match command {
            BackendCommand::Reset => {
                state.values.clear();
                state.prepared.clear();
                success(&state, position)
            }
            BackendCommand::SetValue { name, value } => {
                state.values.insert(name.clone(), value.clone());
                success(&state, position)
            }
            BackendCommand::Prepare(prepared) => {
                state.prepared.insert(prepared.clone());
                success(&state, position)
            }
            BackendCommand::Begin { read_only, floor } => {
                if floor.is_some_and(|floor| !self.contains_position(floor)) {
                    refused(
                        BackendErrorCode::NotFresh,
                        TransactionStatus::Idle,
                        position,
                    )
                } else if !read_only && !is_primary {
                    refused(
                        BackendErrorCode::ReadOnly,
                        TransactionStatus::Idle,
                        position,
                    )
                } else {
                    state.transaction = Some(OpenTransaction {
                        is_read_only: *read_only,
                        ..OpenTransaction::default()
                    });
                    success(&state, position)
                }
            }
            BackendCommand::Rollback => {
                state.transaction = None;
                success(&state, position)
            }
            BackendCommand::QueryStatus => {
                let mut outcome = success(&state, position);
                outcome.reply.member = Some(self.status());
                outcome
            }
            BackendCommand::Run { id, text, floor } => {
                self.run_text(&mut state, id, text, *floor, is_primary)
            }
            BackendCommand::Execute {
                id,
                prepared,
                arguments,
                floor,
            } => {
                if state.prepared.contains(prepared) {
                    let verb = match prepared.access {
                        stairward_types::AccessClass::Read => "READ",
                        stairward_types::AccessClass::Write => "WRITE",
                    };
                    let text = format!("{verb} {} {arguments}", prepared.shape);
                    self.run_text(&mut state, id, &text, *floor, is_primary)
                } else {
                    let code = BackendErrorCode::UnknownPreparedStatement;
                    refused(code, status(&state), position)
                }
            }
        };
        self.connections.insert(connection_key, state);
        outcome
    }

    fn run_text(
        &mut self,
        state: &mut ConnectionState,
        id: &str,
        text: &str,
        floor: Option<Freshness>,
        is_primary: bool,
    ) -> Outcome {
        let position = self.position();
        if text.starts_with("COMMIT") {
            return self.commit(state, id, is_primary);
        }
        if let Some(open) = &mut state.transaction {
            if open.has_failed {
                return refused(
                    BackendErrorCode::Malformed,
                    TransactionStatus::Failed,
                    position,
                );
            }
            if !open.is_read_only && !is_primary {
                open.has_failed = true;
                return refused(
                    BackendErrorCode::ReadOnly,
                    TransactionStatus::Failed,
                    position,
                );
            }
        }
        if floor.is_some_and(|floor| !self.contains_position(floor)) {
            return refused(BackendErrorCode::NotFresh, status(state), position);
        }
        let writes = text.starts_with("WRITE");
        if writes && !is_primary {
            return refused(BackendErrorCode::ReadOnly, status(state), position);
        }
        let in_transaction = state.transaction.is_some();
        let earlier_statements = state
            .transaction
            .as_ref()
            .map(|open| open.statements.clone())
            .unwrap_or_default();
        let executed = ExecutedStatement {
            id: id.to_owned(),
            text: text.to_owned(),
            read_at: (!writes).then_some(self.applied),
            earlier_statements,
            in_transaction,
            values: state.values.clone(),
        };
        let mut committed = None;
        match &mut state.transaction {
            Some(open) => {
                open.statements.push(id.to_owned());
                if writes {
                    open.writes.push(id.to_owned());
                }
            }
            None if writes => committed = Some(self.append(vec![id.to_owned()])),
            None => {}
        }
        let mut outcome = success(state, self.position());
        outcome.reply.result = Ok(Some(self.signature(id)));
        if !writes {
            outcome.reply.rows.push(Bytes::from(row_of_read(id)));
        }
        outcome.executed = Some(executed);
        outcome.committed = committed;
        outcome
    }

    fn commit(&mut self, state: &mut ConnectionState, id: &str, is_primary: bool) -> Outcome {
        let position = self.position();
        let Some(open) = state.transaction.take() else {
            return refused(
                BackendErrorCode::Malformed,
                TransactionStatus::Idle,
                position,
            );
        };
        if open.has_failed || (!open.writes.is_empty() && !is_primary) {
            return refused(
                BackendErrorCode::ReadOnly,
                TransactionStatus::Idle,
                position,
            );
        }
        let executed = ExecutedStatement {
            id: id.to_owned(),
            text: "COMMIT".to_owned(),
            read_at: None,
            earlier_statements: open.statements,
            in_transaction: true,
            values: state.values.clone(),
        };
        let committed = (!open.writes.is_empty()).then(|| self.append(open.writes));
        let mut outcome = success(state, self.position());
        outcome.reply.result = Ok(Some(self.signature(id)));
        outcome.executed = Some(executed);
        outcome.committed = committed;
        outcome
    }

    /// The signature of a client's statement that it has run.
    fn signature(&self, statement: &str) -> String {
        format!("{}.{statement}", self.id)
    }

    fn append(&mut self, writes: Vec<String>) -> LogEntry {
        let number = u64::try_from(self.log.len() + 1).unwrap_or_default();
        let entry = LogEntry {
            at: Freshness::new(self.term, LogPosition(number)),
            writes,
        };
        self.log.push(entry.clone());
        self.applied = self.log.len();
        entry
    }

    /// Closes every connection, which rolls back open transactions.
    pub fn drop_connections(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.connections).into_keys().collect()
    }
}

fn status(state: &ConnectionState) -> TransactionStatus {
    match &state.transaction {
        None => TransactionStatus::Idle,
        Some(open) if open.has_failed => TransactionStatus::Failed,
        Some(_) => TransactionStatus::Open,
    }
}

fn success(state: &ConnectionState, position: Freshness) -> Outcome {
    Outcome {
        reply: BackendReply {
            rows: Vec::new(),
            result: Ok(None),
            status: status(state),
            position: Some(position),
            member: None,
        },
        executed: None,
        committed: None,
    }
}

fn refused(code: BackendErrorCode, status: TransactionStatus, position: Freshness) -> Outcome {
    Outcome {
        reply: BackendReply {
            rows: Vec::new(),
            result: Err(BackendError {
                code,
                text: String::new(),
            }),
            status,
            position: Some(position),
            member: None,
        },
        executed: None,
        committed: None,
    }
}
