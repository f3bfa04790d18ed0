//! One caller's session: serves its requests one after the other, on whichever proxy it is.

use std::sync::Arc;
use std::time::Duration;

use stairward_checker::{
    CallerTransactionKind, HistoryEvent, RequestId, RowSeen, RowWritten, SessionId,
};
use stairward_types::GroupId;
use tokio::sync::mpsc;
use tokio_postgres::SimpleQueryMessage;

use super::connection::CallerConnection;
use super::outcome::Outcome;
use super::run::{LoadContext, ProxyAddress};
use super::schedule::{Action, PlannedRequest};
use super::statements::{RequestStatements, StatementWriter, own_key, record_key};

/// Pause between two rounds of attempts to connect to any proxy.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for its session to be connected.
const CONNECT_DEADLINE: Duration = Duration::from_secs(5);
/// How long a caller waits for an answer before it gives the connection up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What a request's answer held.
#[derive(Debug, Default)]
struct Answer {
    echo: Option<u64>,
    rows: u64,
    reads: Vec<RowSeen>,
}

/// A session and its present connection.
pub(super) struct Session {
    context: Arc<LoadContext>,
    number: u32,
    group: GroupId,
    /// Position of the proxy last used in the list of proxies.
    proxy: usize,
    connection: Option<CallerConnection>,
    token: Option<String>,
}

impl Session {
    /// A session that connects when its first request comes.
    pub(super) fn new(context: Arc<LoadContext>, number: u32, group: GroupId) -> Self {
        Self {
            proxy: number as usize % context.proxies.len(),
            context,
            number,
            group,
            connection: None,
            token: None,
        }
    }

    /// Serves requests until there are no more.
    pub(super) async fn run(mut self, mut requests: mpsc::Receiver<PlannedRequest>) {
        while let Some(request) = requests.recv().await {
            self.serve(&request).await;
        }
        self.disconnect().await;
    }

    async fn serve(&mut self, request: &PlannedRequest) {
        if let Some(reconnect) = request.reconnect {
            self.disconnect().await;
            self.proxy = (self.proxy + 1) % self.context.proxies.len();
            if !reconnect.with_token {
                self.token = None;
            }
            self.context.tally().reconnected();
        }
        if !self.connect().await {
            self.context.finish(request, &self.group, &Outcome::NotSent);
            return;
        }
        self.record_sent(request);
        let (outcome, answer) = self.execute(request).await;
        self.record_ended(request, &outcome, answer);
        self.context.finish(request, &self.group, &outcome);
    }

    async fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            let newest = connection.close().await;
            self.token = newest.or(self.token.take());
        }
    }

    /// Makes sure that the session is connected, trying each proxy in turn.
    async fn connect(&mut self) -> bool {
        let is_open = self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.is_closed());
        if is_open {
            return true;
        }
        let was_connected = self.connection.is_some();
        self.disconnect().await;
        if was_connected {
            self.context.tally().reconnected();
        }
        tokio::time::timeout(CONNECT_DEADLINE, self.connect_to_any())
            .await
            .is_ok()
    }

    async fn connect_to_any(&mut self) {
        loop {
            for _ in 0..self.context.proxies.len() {
                if self.connect_to(self.proxy_address()).await {
                    return;
                }
                self.proxy = (self.proxy + 1) % self.context.proxies.len();
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn connect_to(&mut self, proxy: ProxyAddress) -> bool {
        let opened = CallerConnection::open(
            proxy.address,
            self.group.as_str(),
            &self.context.options.credentials,
            self.token.as_deref(),
        )
        .await;
        match opened {
            Ok(connection) => {
                self.connection = Some(connection);
                true
            }
            Err(error) => {
                self.context.tally().connect_failed(&error);
                false
            }
        }
    }

    fn proxy_address(&self) -> ProxyAddress {
        self.context.proxies[self.proxy]
    }

    async fn execute(&mut self, request: &PlannedRequest) -> (Outcome, Answer) {
        let statements = StatementWriter::new(&self.context.options.site).request(request);
        let executed = match statements {
            RequestStatements::Read(statement) => self.run_statement(&statement).await,
            RequestStatements::Write(statement) => {
                self.run_statement(&statement).await.map(|_| Vec::new())
            }
            RequestStatements::Transaction(statements) => {
                self.run_transaction(&statements).await.map(|()| Vec::new())
            }
        };
        match executed {
            Ok(messages) => (Outcome::Answered, read_answer(&messages)),
            Err(outcome) => (outcome, Answer::default()),
        }
    }

    async fn run_statement(&mut self, statement: &str) -> Result<Vec<SimpleQueryMessage>, Outcome> {
        let Some(connection) = &self.connection else {
            return Err(Outcome::NotSent);
        };
        self.context.tally().statement();
        match tokio::time::timeout(ANSWER_TIMEOUT, connection.run(statement)).await {
            Ok(Ok(messages)) => Ok(messages),
            Ok(Err(error)) => Err(Outcome::from_error(&error)),
            Err(_elapsed) => {
                self.connection = None;
                Err(Outcome::Unknown { code: None })
            }
        }
    }

    async fn run_transaction(&mut self, statements: &[String]) -> Result<(), Outcome> {
        for statement in statements {
            if let Err(outcome) = self.run_statement(statement).await {
                self.roll_back().await;
                return Err(outcome);
            }
        }
        Ok(())
    }

    /// Leaves a failed transaction block, so that the session can go on.
    async fn roll_back(&mut self) {
        let is_open = self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.is_closed());
        if is_open && self.run_statement("ROLLBACK").await.is_err() {
            self.disconnect().await;
        }
    }

    fn record_sent(&self, request: &PlannedRequest) {
        let operation = &self.context.options.site.operations[request.operation];
        self.context.record(HistoryEvent::RequestSent {
            request: RequestId(request.number),
            session: SessionId(u64::from(self.number)),
            proxy: self.proxy_address().node,
            group: self.group.clone(),
            kind: transaction_kind(request.action),
            repeatable: operation.repeatable,
            request_key: None,
            writes: rows_written(request),
        });
    }

    fn record_ended(&self, request: &PlannedRequest, outcome: &Outcome, answer: Answer) {
        let answered = *outcome == Outcome::Answered;
        let rows_expected = answered
            .then(|| self.rows_expected(request.action))
            .flatten();
        self.context.record(HistoryEvent::RequestEnded {
            request: RequestId(request.number),
            outcome: outcome.to_history(),
            code: outcome.code().map(|code| code.number()),
            echo: answer.echo.map(RequestId),
            rows_expected,
            rows_received: answer.rows,
            reads: if answered {
                rows_seen(request, answer)
            } else {
                Vec::new()
            },
        });
    }

    fn rows_expected(&self, action: Action) -> Option<u64> {
        match action {
            Action::ReadShared { .. } => {
                Some(u64::from(self.context.options.site.traffic.rows_per_list))
            }
            Action::ReadOwn { .. } => Some(1),
            _ => None,
        }
    }
}

const fn transaction_kind(action: Action) -> CallerTransactionKind {
    match action {
        Action::Transaction => CallerTransactionKind::Transaction,
        Action::WriteOwn { .. } => CallerTransactionKind::Write,
        _ => CallerTransactionKind::Read,
    }
}

fn rows_written(request: &PlannedRequest) -> Vec<RowWritten> {
    let key = match request.action {
        Action::WriteOwn { row } => own_key(request.session, row),
        Action::Transaction => record_key(request.number),
        _ => return Vec::new(),
    };
    vec![RowWritten {
        key,
        version: request.number,
    }]
}

/// The rows whose version was seen; a read by key that found nothing saw version 0.
fn rows_seen(request: &PlannedRequest, answer: Answer) -> Vec<RowSeen> {
    let key = match request.action {
        Action::ReadOwn { row } => own_key(request.session, row),
        Action::ReadRecord { record } => record_key(record),
        _ => return Vec::new(),
    };
    if answer.reads.is_empty() {
        return vec![RowSeen { key, version: 0 }];
    }
    answer.reads
}

fn read_answer(messages: &[SimpleQueryMessage]) -> Answer {
    let mut answer = Answer::default();
    for message in messages {
        let SimpleQueryMessage::Row(row) = message else {
            continue;
        };
        answer.rows += 1;
        let number = |column: usize| row.try_get(column).ok().flatten()?.parse::<u64>().ok();
        answer.echo = number(0);
        let key = row.try_get(1).ok().flatten().unwrap_or_default().to_owned();
        let version = number(2).unwrap_or(0);
        answer.reads.push(RowSeen { key, version });
    }
    answer
}
