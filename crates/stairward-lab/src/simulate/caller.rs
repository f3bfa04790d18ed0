//! The callers of a run: sessions that send the site's traffic and roam between proxies.

use std::collections::VecDeque;

use stairward_checker::{
    CallerTransactionKind, HistoryEvent, Outcome, RequestId, RowSeen, RowWritten, SessionId,
};
use stairward_standins::sql::{Answer, Statement, Value};
use stairward_types::{GroupId, NodeId, OutcomeClass, ResultCode, Time};

use super::message::{BatchResult, CallerConnection, CallerStatement, StatementKind};
use crate::load::schedule::{Action, PlannedRequest};
use crate::load::statements::{RequestStatements, StatementWriter, own_key, record_key};
use crate::site::Site;

/// A request under way.
#[derive(Debug)]
pub(super) struct InFlight {
    /// What was planned.
    pub plan: PlannedRequest,
    statements: Vec<CallerStatement>,
    position: usize,
    /// When it was first sent.
    pub sent_at: Time,
    /// Whether it only reads.
    pub is_read: bool,
    /// Whether a replica in use was fresh enough for it when it reached its proxy.
    pub servable: bool,
}

impl InFlight {
    /// Prepares a planned request.
    pub(super) fn new(site: &Site, plan: PlannedRequest, now: Time) -> Self {
        let statements = statements(site, &plan);
        let is_read = statements.len() == 1 && statements[0].kind == StatementKind::Read;
        Self {
            plan,
            statements,
            position: 0,
            sent_at: now,
            is_read,
            servable: false,
        }
    }

    /// Its number.
    pub(super) const fn request(&self) -> RequestId {
        RequestId(self.plan.number)
    }

    /// The statement to send now.
    pub(super) fn statement(&self) -> CallerStatement {
        self.statements[self.position].clone()
    }

    /// Whether nothing of it has been answered yet.
    pub(super) const fn is_at_its_start(&self) -> bool {
        self.position == 0
    }

    /// Goes back to the first statement.
    pub(super) const fn restart(&mut self) {
        self.position = 0;
    }

    /// Goes on to the next statement. False when there is none.
    pub(super) fn go_on(&mut self) -> bool {
        self.position += 1;
        self.position < self.statements.len()
    }

    /// The event of sending it.
    pub(super) fn sent_event(
        &self,
        site: &Site,
        session: SessionId,
        proxy: NodeId,
        group: &GroupId,
    ) -> HistoryEvent {
        let kind = match self.plan.action {
            Action::WriteOwn { .. } => CallerTransactionKind::Write,
            Action::Transaction => CallerTransactionKind::Transaction,
            _ => CallerTransactionKind::Read,
        };
        HistoryEvent::RequestSent {
            request: self.request(),
            session,
            proxy,
            group: group.clone(),
            kind,
            repeatable: site.operations[self.plan.operation].repeatable,
            request_key: None,
            writes: self.writes(),
        }
    }

    fn writes(&self) -> Vec<RowWritten> {
        let key = match self.plan.action {
            Action::WriteOwn { row } => own_key(self.plan.session, row),
            Action::Transaction => record_key(self.plan.number),
            _ => return Vec::new(),
        };
        vec![RowWritten {
            key,
            version: self.plan.number,
        }]
    }

    /// The event of its end without a whole answer.
    pub(super) fn ended_event(&self, outcome: Outcome, code: Option<ResultCode>) -> HistoryEvent {
        HistoryEvent::RequestEnded {
            request: self.request(),
            outcome,
            code: code.map(ResultCode::number),
            echo: None,
            rows_expected: None,
            rows_received: 0,
            reads: Vec::new(),
        }
    }

    /// The event of its answer.
    pub(super) fn answered_event(&self, site: &Site, result: &BatchResult) -> HistoryEvent {
        let rows = result.answers.last().map_or(&[][..], |answer| &answer.rows);
        HistoryEvent::RequestEnded {
            request: self.request(),
            outcome: Outcome::Answered,
            code: None,
            echo: echo(self, result),
            rows_expected: self.rows_expected(site),
            rows_received: rows.len() as u64,
            reads: self.reads(result.answers.last()),
        }
    }

    fn rows_expected(&self, site: &Site) -> Option<u64> {
        match self.plan.action {
            Action::ReadShared { .. } => Some(u64::from(site.traffic.rows_per_list)),
            Action::ReadOwn { .. } => Some(1),
            // Whether it is there is checked as a read of the session's own write.
            Action::ReadRecord { .. } => None,
            Action::WriteOwn { .. } | Action::Transaction => Some(0),
        }
    }

    fn reads(&self, answer: Option<&Answer>) -> Vec<RowSeen> {
        let key = match self.plan.action {
            Action::ReadOwn { row } => own_key(self.plan.session, row),
            Action::ReadRecord { record } => record_key(record),
            _ => return Vec::new(),
        };
        let row = answer.and_then(|answer| answer.rows.first());
        let version = row.and_then(|row| row.get(2)).map_or(0, integer);
        vec![RowSeen { key, version }]
    }
}

/// The request that an answer belongs to: as the rows say, or by the kind of answer.
fn echo(request: &InFlight, result: &BatchResult) -> Option<RequestId> {
    if !request.is_read {
        return Some(request.request());
    }
    let first = result.answers.last()?.rows.first()?.first()?;
    Some(RequestId(integer(first)))
}

fn integer(value: &Value) -> u64 {
    match value {
        Value::Integer(number) => u64::try_from(*number).unwrap_or_default(),
        Value::Text(text) => text.parse().unwrap_or_default(),
        _ => 0,
    }
}

fn statements(site: &Site, plan: &PlannedRequest) -> Vec<CallerStatement> {
    let texts = match StatementWriter::new(site).request(plan) {
        RequestStatements::Read(text) => vec![(StatementKind::Read, text)],
        RequestStatements::Write(text) => vec![(StatementKind::Write, text)],
        RequestStatements::Transaction(texts) => {
            let last = texts.len() - 1;
            let kind = |position| match position {
                0 => StatementKind::Begin,
                position if position == last => StatementKind::Commit,
                _ => StatementKind::Middle,
            };
            let texts = texts.into_iter().enumerate();
            texts
                .map(|(position, text)| (kind(position), text))
                .collect()
        }
    };
    let repeatable = site.operations[plan.operation].repeatable;
    texts
        .into_iter()
        .map(|(kind, text)| CallerStatement {
            request: RequestId(plan.number),
            kind,
            statement: Statement::parse_one(&text).expect("the site's statements parse"),
            repeatable,
        })
        .collect()
}

/// How a result code ends a request.
pub(super) const fn outcome_of(code: ResultCode) -> Outcome {
    match code.class() {
        OutcomeClass::Answered => Outcome::Answered,
        OutcomeClass::NotRun => Outcome::NotRun,
        OutcomeClass::OutcomeUnknown => Outcome::OutcomeUnknown,
    }
}

/// The name of an outcome in reports.
pub(super) const fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Rejected => "rejected",
        Outcome::NotRun => "not_run",
        Outcome::OutcomeUnknown => "outcome_unknown",
        Outcome::ConnectionLost => "connection_lost",
        Outcome::CallerLeft => "caller_left",
    }
}

/// One session.
#[derive(Debug)]
pub(super) struct CallerSession {
    /// Its number.
    pub id: SessionId,
    /// The group it uses, by place.
    pub group: usize,
    /// The proxy it is connected to, by place.
    pub proxy: Option<usize>,
    /// The proxy it was connected to before.
    pub last_proxy: Option<usize>,
    /// The number of its connection.
    pub connection: u64,
    /// The token it was last told.
    pub token: Option<String>,
    /// Requests that wait for the one under way.
    pub queue: VecDeque<PlannedRequest>,
    /// The request under way.
    pub in_flight: Option<InFlight>,
}

impl CallerSession {
    /// A session that is not connected.
    pub(super) const fn new(id: SessionId, group: usize) -> Self {
        Self {
            id,
            group,
            proxy: None,
            last_proxy: None,
            connection: 0,
            token: None,
            queue: VecDeque::new(),
            in_flight: None,
        }
    }

    /// Its present connection.
    pub(super) const fn caller_connection(&self) -> CallerConnection {
        CallerConnection {
            session: self.id,
            number: self.connection,
        }
    }
}
