//! Callers with a special part in a demo: some whose requests must be refused, and some whose
//! transactions are in flight when a proxy is stopped.

use std::time::Duration;

use stairward_checker::{
    CallerTransactionKind, HistoryEvent, Recorder, RequestId, RowWritten, SessionId,
};
use stairward_proxy::cluster::Clock;
use stairward_types::GroupId;
use tokio::sync::oneshot;

use crate::load::connection::{CallerConnection, Credentials};
use crate::load::outcome::Outcome;
use crate::load::run::ProxyAddress;
use crate::load::statements::record_key;
use crate::site::Site;

/// Number of the first request of these callers, beyond any number of the load.
const FIRST_REQUEST: u64 = 1_000_000_000_000;
/// How long a slow transaction waits between its statements.
const PAUSE_IN_TRANSACTION: Duration = Duration::from_millis(200);

/// Sends requests outside the load and records them like the load does.
#[derive(Debug, Clone)]
pub struct SpecialCallers {
    site: Site,
    group: GroupId,
    recorder: Recorder,
    clock: Clock,
}

/// One request of a special caller.
#[derive(Debug, Clone, Copy)]
struct SpecialRequest {
    number: u64,
    proxy: ProxyAddress,
    kind: CallerTransactionKind,
}

impl SpecialCallers {
    /// Callers of a group.
    #[must_use]
    pub const fn new(site: Site, group: GroupId, recorder: Recorder, clock: Clock) -> Self {
        Self {
            site,
            group,
            recorder,
            clock,
        }
    }

    /// Sends writes with a hint that no proxy may accept, so that each must be refused as not run.
    /// Returns how each ended.
    pub async fn send_refused(&self, proxy: ProxyAddress, first: u64, count: u64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let Some(connection) = self.connect(proxy).await else {
            return outcomes;
        };
        for number in (FIRST_REQUEST + first..).take(count as usize) {
            let request = SpecialRequest {
                number,
                proxy,
                kind: CallerTransactionKind::Write,
            };
            let insert = self.insert(number);
            let statement = format!("{insert} /*request='{number}',stairward.deadline_ms='soon'*/");
            self.record_sent(request);
            let outcome = match connection.run(&statement).await {
                Ok(_) => Outcome::Answered,
                Err(error) => Outcome::from_error(&error),
            };
            self.record_ended(request, &outcome);
            outcomes.push(outcome);
        }
        connection.close().await;
        outcomes
    }

    /// Begins a transaction, tells so, and commits it a while later. Returns how it ended.
    pub async fn slow_transaction(
        &self,
        proxy: ProxyAddress,
        number: u64,
        begun: oneshot::Sender<()>,
    ) -> Option<Outcome> {
        let request = SpecialRequest {
            number: FIRST_REQUEST + number,
            proxy,
            kind: CallerTransactionKind::Transaction,
        };
        let connection = self.connect(proxy).await?;
        let comment = format!("/*request='{}'*/", request.number);
        self.record_sent(request);
        let started = connection.run(&format!("BEGIN {comment}")).await;
        // Nobody may be waiting any more.
        let _ = begun.send(());
        let outcome = match started {
            Ok(_) => {
                self.finish_slowly(&connection, request.number, &comment)
                    .await
            }
            Err(error) => Outcome::from_error(&error),
        };
        self.record_ended(request, &outcome);
        connection.close().await;
        Some(outcome)
    }

    async fn finish_slowly(
        &self,
        connection: &CallerConnection,
        number: u64,
        comment: &str,
    ) -> Outcome {
        for statement in [self.insert(number), "COMMIT".to_owned()] {
            tokio::time::sleep(PAUSE_IN_TRANSACTION).await;
            if let Err(error) = connection.run(&format!("{statement} {comment}")).await {
                return Outcome::from_error(&error);
            }
        }
        Outcome::Answered
    }

    fn insert(&self, number: u64) -> String {
        format!(
            "INSERT INTO {} (id, version) VALUES ('{}', {number})",
            self.site.tables.record,
            record_key(number)
        )
    }

    async fn connect(&self, proxy: ProxyAddress) -> Option<CallerConnection> {
        CallerConnection::open(
            proxy.address,
            self.group.as_str(),
            &Credentials::default(),
            None,
        )
        .await
        .ok()
    }

    fn record_sent(&self, request: SpecialRequest) {
        let event = HistoryEvent::RequestSent {
            request: RequestId(request.number),
            session: SessionId(request.number),
            proxy: request.proxy.node,
            group: self.group.clone(),
            kind: request.kind,
            repeatable: false,
            request_key: None,
            writes: vec![RowWritten {
                key: record_key(request.number),
                version: request.number,
            }],
        };
        self.recorder.record(self.clock.now(), event);
    }

    fn record_ended(&self, request: SpecialRequest, outcome: &Outcome) {
        let event = HistoryEvent::RequestEnded {
            request: RequestId(request.number),
            outcome: outcome.to_history(),
            code: outcome.code().map(|code| code.number()),
            echo: None,
            rows_expected: None,
            rows_received: 0,
            reads: Vec::new(),
        };
        self.recorder.record(self.clock.now(), event);
    }
}
