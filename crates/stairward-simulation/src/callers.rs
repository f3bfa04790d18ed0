//! Callers: sessions that send operations one after the other and record the responses.

use std::collections::BTreeMap;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use stairward_engine::{PreparedStatement, Response, ResponseResult, Statement, StatementKind};
use stairward_types::{AccessClass, OutcomeClass, Time};

use crate::checker::{Checker, Invariant, ReadKind, SentStatement};
use crate::database::row_of_read;
use crate::options::OperationMix;

/// The databases that callers connect to, with the reads that their routes provide.
pub const DATABASES: [(&str, ReadKind); 3] = [
    ("leader", ReadKind::Leader),
    ("bounded", ReadKind::Bounded),
    ("own", ReadKind::Own),
];
/// Supplies text that a caller adds to things, data, values, shapes and arguments.
pub type AddedText = fn(&mut ChaCha8Rng) -> String;

/// The only prepared statement name that callers use.
const PREPARED_NAME: &str = "p1";

/// The outcome that a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedOutcome {
    Success,
    NotRun,
    Unknown,
}

fn reported(response: &Response) -> ReportedOutcome {
    match &response.result {
        ResponseResult::Completed { .. } => ReportedOutcome::Success,
        ResponseResult::Refused { code, .. } if code.class() == OutcomeClass::NotRun => {
            ReportedOutcome::NotRun
        }
        ResponseResult::Failed(error) if error.code.is_not_run() => ReportedOutcome::NotRun,
        ResponseResult::Refused { .. } | ResponseResult::Failed(_) => ReportedOutcome::Unknown,
    }
}

/// The rows of a statement that a database has run.
fn rows_of(id: &str, kind: &StatementKind) -> Vec<String> {
    match kind {
        StatementKind::Read | StatementKind::Execute { .. } => vec![row_of_read(id)],
        _ => Vec::new(),
    }
}

/// Whether only a database's signature makes a success of a statement.
fn is_signed(kind: &StatementKind) -> bool {
    matches!(
        kind,
        StatementKind::Read
            | StatementKind::Write
            | StatementKind::Execute { .. }
            | StatementKind::Commit
    )
}

/// Checks that a success is the response to this statement: by its signature and its rows.
fn check_own_response(
    now: Time,
    id: &str,
    kind: &StatementKind,
    response: &Response,
    checker: &mut Checker,
) {
    checker.count(Invariant::OwnResponse);
    let ResponseResult::Completed { signature } = &response.result else {
        return;
    };
    let signed = signature.as_deref().and_then(|text| text.split_once('.'));
    let signed = signed.map(|(_, statement)| statement);
    let is_own_signature = signed == is_signed(kind).then_some(id);
    if !is_own_signature || response.rows != rows_of(id, kind) {
        let text = format!(
            "{id} ({kind:?}) received the signature {signature:?} and the rows {:?}",
            response.rows
        );
        checker.record_violation(now, Invariant::OwnResponse, text);
    }
}

fn random_value(random: &mut ChaCha8Rng) -> StatementKind {
    StatementKind::SetValue {
        name: format!("v{}", random.random_range(0..3)),
        value: random.random_range(0..5).to_string(),
    }
}

fn random_preparation(random: &mut ChaCha8Rng) -> StatementKind {
    StatementKind::Prepare {
        name: PREPARED_NAME.to_owned(),
        prepared: PreparedStatement {
            access: AccessClass::Read,
            shape: format!("q{}", random.random_range(0..4)),
        },
    }
}

fn execution() -> StatementKind {
    StatementKind::Execute {
        name: PREPARED_NAME.to_owned(),
        arguments: "x".to_owned(),
    }
}

/// A caller and its current session.
#[derive(Debug)]
pub struct Caller {
    /// The caller's number, which all its sessions share.
    pub number: u64,
    /// The session's number, which is new with each connection.
    pub session: u64,
    /// The node that it is connected to, and that node's incarnation.
    pub node: Option<(usize, u64)>,
    /// Index of its database in [`DATABASES`].
    pub database: usize,
    values: BTreeMap<String, String>,
    prepared: Option<PreparedStatement>,
    remaining: Vec<StatementKind>,
    operation: u64,
    start: Time,
    in_transaction: bool,
    before: Vec<String>,
    writes: Vec<String>,
    in_flight: Option<(String, StatementKind)>,
    /// Number of statements sent in this session.
    sent_count: u64,
    /// Supplies text to add; `None` for plain texts.
    added_text: Option<AddedText>,
}

/// A caller's next step.
#[derive(Debug)]
pub enum Step {
    /// Send a statement.
    Send(Statement),
    /// Close the session.
    CloseSession,
}

impl Caller {
    /// A caller that is not connected.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            session: 0,
            node: None,
            database: 0,
            values: BTreeMap::new(),
            prepared: None,
            remaining: Vec::new(),
            operation: 0,
            start: Time::ZERO,
            in_transaction: false,
            before: Vec::new(),
            writes: Vec::new(),
            in_flight: None,
            sent_count: 0,
            added_text: None,
        }
    }

    /// A caller that is not connected and adds text to all fields that may hold anything.
    pub fn with_added_text(number: u64, added_text: AddedText) -> Self {
        Self {
            added_text: Some(added_text),
            ..Self::new(number)
        }
    }

    /// Starts a new session on a node.
    pub fn start_session(&mut self, session: u64, node: (usize, u64), database: usize) {
        *self = Self {
            session,
            node: Some(node),
            database,
            added_text: self.added_text,
            ..Self::new(self.number)
        };
    }

    /// Number of the last statement sent in this session.
    pub fn request_number(&self) -> u64 {
        self.sent_count
    }

    /// Whether the response to a read is outstanding.
    pub fn awaits_read(&self) -> bool {
        matches!(self.in_flight, Some((_, StatementKind::Read)))
    }

    /// Whether the response that acknowledges a commit with writes is outstanding.
    pub fn awaits_commit(&self) -> bool {
        match &self.in_flight {
            Some((_, StatementKind::Write)) => !self.in_transaction,
            Some((_, StatementKind::Commit)) => !self.writes.is_empty(),
            _ => false,
        }
    }

    /// Whether a response is outstanding.
    pub fn is_waiting(&self) -> bool {
        self.in_flight.is_some()
    }

    fn plan_operation(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Time,
        operation: u64,
        mix: OperationMix,
    ) {
        self.operation = operation;
        self.start = now;
        self.in_transaction = false;
        self.before.clear();
        self.writes.clear();
        let writes_per_twenty = mix.writes_per_twenty;
        self.remaining = match random.random_range(0..20) {
            0 => vec![random_value(random)],
            1 => vec![random_preparation(random)],
            2 if self.prepared.is_some() => vec![execution()],
            3..=6 => self.plan_transaction(random, mix),
            kind if kind >= 7 && kind < 7 + writes_per_twenty => vec![StatementKind::Write],
            _ => vec![StatementKind::Read],
        };
    }

    fn plan_transaction(&self, random: &mut ChaCha8Rng, mix: OperationMix) -> Vec<StatementKind> {
        let may_write = mix.writes_per_twenty > 1;
        let read_only = random.random_range(0..3) == 0 || !may_write;
        let mut remaining = vec![StatementKind::Begin { read_only }];
        for _ in 0..random.random_range(1..4) {
            if mix.sets_up_in_transactions {
                remaining.extend(self.plan_set_up(random));
            }
            let writes = !read_only && random.random_range(0..2) == 0;
            remaining.push(if writes {
                StatementKind::Write
            } else {
                StatementKind::Read
            });
        }
        remaining.push(if random.random_range(0..6) == 0 {
            StatementKind::Rollback
        } else {
            StatementKind::Commit
        });
        remaining.reverse();
        remaining
    }

    /// A statement that changes or uses the session's values and prepared statements, or none.
    fn plan_set_up(&self, random: &mut ChaCha8Rng) -> Option<StatementKind> {
        match random.random_range(0..6) {
            0 => Some(random_value(random)),
            1 => Some(random_preparation(random)),
            2 | 3 if self.prepared.is_some() => Some(execution()),
            _ => None,
        }
    }

    /// Returns the next statement to send, or closes the session.
    pub fn next_step(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Time,
        mix: OperationMix,
        last_statement_number: &mut u64,
        checker: &mut Checker,
    ) -> Step {
        if random.random_range(0..60) == 0 {
            return Step::CloseSession;
        }
        *last_statement_number += 1;
        if self.remaining.is_empty() {
            let operation = *last_statement_number;
            self.plan_operation(random, now, operation, mix);
        }
        let kind = self.remaining.pop().unwrap_or(StatementKind::Read);
        let kind = self.with_text_added_to_fields(random, kind);
        let id = format!("a{last_statement_number}");
        let text = self.text(random, &kind, &id);
        if let StatementKind::Begin { .. } = kind {
            self.in_transaction = true;
        }
        let sent = SentStatement {
            session: self.session,
            operation: self.operation,
            text: text.clone(),
            kind: DATABASES[self.database].1,
            start: self.start,
            values: self.values.clone(),
            before: self.before.clone(),
            in_transaction: self.in_transaction,
        };
        checker.record_sent(id.clone(), sent);
        if kind == StatementKind::Write {
            self.writes.push(id.clone());
        }
        self.in_flight = Some((id.clone(), kind.clone()));
        self.sent_count += 1;
        Step::Send(Statement { id, kind, text })
    }

    fn added_text(&self, random: &mut ChaCha8Rng) -> String {
        self.added_text
            .map_or_else(String::new, |added_text| added_text(random))
    }

    fn with_text_added_to_fields(
        &self,
        random: &mut ChaCha8Rng,
        mut kind: StatementKind,
    ) -> StatementKind {
        match &mut kind {
            StatementKind::SetValue { value: field, .. }
            | StatementKind::Execute {
                arguments: field, ..
            } => field.push_str(&self.added_text(random)),
            StatementKind::Prepare { prepared, .. } => {
                prepared.shape.push_str(&self.added_text(random));
            }
            _ => {}
        }
        kind
    }

    fn text(&self, random: &mut ChaCha8Rng, kind: &StatementKind, id: &str) -> String {
        match kind {
            StatementKind::Read if self.added_text.is_some() => {
                let (before, after) = (self.added_text(random), self.added_text(random));
                format!("READ {before}{id}{after}")
            }
            StatementKind::Write if self.added_text.is_some() => {
                // Only the last field may hold blanks.
                let thing = self.added_text(random).replace(' ', "_");
                format!("WRITE {id}{thing} {}", self.added_text(random))
            }
            StatementKind::Read => format!("READ {id}"),
            StatementKind::Write => format!("WRITE {id}"),
            StatementKind::Commit => "COMMIT".to_owned(),
            StatementKind::Execute { arguments, .. } => {
                let shape = self.prepared.as_ref().map_or("", |p| p.shape.as_str());
                format!("READ {shape} {arguments}")
            }
            _ => String::new(),
        }
    }

    /// Processes a response. Returns whether the session continues.
    pub fn receive_response(
        &mut self,
        now: Time,
        response: &Response,
        checker: &mut Checker,
    ) -> bool {
        checker.count(Invariant::OneResponse);
        let Some((id, kind)) = self.in_flight.take() else {
            let text = format!(
                "session {} received an unexpected response {response:?}",
                self.session
            );
            checker.record_violation(now, Invariant::OneResponse, text);
            return false;
        };
        let reported = reported(response);
        if reported != ReportedOutcome::Success {
            if reported == ReportedOutcome::NotRun {
                checker.record_not_run(self.operation);
            }
            self.remaining.clear();
            return !self.in_transaction;
        }
        check_own_response(now, &id, &kind, response, checker);
        match kind {
            StatementKind::SetValue { name, value } => {
                self.values.insert(name, value);
            }
            StatementKind::Prepare { prepared, .. } => self.prepared = Some(prepared),
            StatementKind::Write if !self.in_transaction => {
                checker.record_acknowledgement(now, self.session, &[id]);
            }
            StatementKind::Commit => {
                checker.record_acknowledgement(now, self.session, &self.writes)
            }
            StatementKind::Read | StatementKind::Write | StatementKind::Execute { .. } => {
                self.before.push(id);
            }
            StatementKind::Begin { .. }
            | StatementKind::Rollback
            | StatementKind::Deallocate { .. } => {}
        }
        true
    }
}
