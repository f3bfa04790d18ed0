//! A group on virtual time, driven step by step.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_standins::group::{
    ClientRequest, Completion, Effect, Event, Fault, Group, GroupConfig, Reply, RequestNumber,
};
use stairward_standins::sql::{Answer, SqlError, Statement};
use stairward_standins::{ConnectionNumber, GroundTruth, Observation};
use stairward_types::{BackendId, Freshness, Time};

/// How long a helper waits, in virtual time, before the test fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// A client's connection.
#[derive(Debug, Clone)]
pub struct Client {
    pub member: BackendId,
    pub number: ConnectionNumber,
}

/// A group, the present moment, and everything that came out so far.
pub struct Bench {
    pub group: Group,
    pub now: Time,
    pub replies: Vec<(ConnectionNumber, Reply)>,
    pub truths: Vec<GroundTruth>,
    last_connection: u64,
    last_request: u64,
}

impl Bench {
    pub fn new(config: &GroupConfig, seed: u64) -> Self {
        Self {
            group: Group::new(config, seed, Time::ZERO),
            now: Time::ZERO,
            replies: Vec::new(),
            truths: Vec::new(),
            last_connection: 0,
            last_request: 0,
        }
    }

    fn feed(&mut self, event: Event) {
        for effect in self.group.handle(self.now, event) {
            match effect {
                Effect::Reply {
                    connection, reply, ..
                } => self.replies.push((connection, reply)),
                Effect::Observed(truth) => self.truths.push(truth),
                Effect::Availability { .. } => {}
            }
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(wake) = self.group.wake_at()
            && wake <= end
        {
            self.now = self.now.max(wake);
            self.feed(Event::Wake);
        }
        self.now = end;
    }

    pub fn advance_millis(&mut self, milliseconds: u64) {
        self.advance(Duration::from_millis(milliseconds));
    }

    /// Lets time pass until something holds.
    pub fn advance_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + PATIENCE;
        while !holds(self) {
            assert!(self.now < end, "never happened: {what}");
            self.advance(Duration::from_millis(1));
        }
    }

    pub fn fault(&mut self, fault: Fault) {
        self.feed(Event::Fault(fault));
    }

    pub fn switch_over(&mut self, to: &BackendId) {
        self.feed(Event::Switchover { to: to.clone() });
    }

    pub fn request(&mut self, client: &Client, request: ClientRequest) {
        self.feed(Event::Client {
            member: client.member.clone(),
            request,
        });
    }

    /// Asks for a connection without waiting for it.
    pub fn start_open(&mut self, member: &BackendId) -> Client {
        self.last_connection += 1;
        let client = Client {
            member: member.clone(),
            number: ConnectionNumber(self.last_connection),
        };
        let open = ClientRequest::Open {
            connection: client.number,
            user: "tester".to_owned(),
            settings: BTreeMap::new(),
        };
        self.request(&client, open);
        client
    }

    /// Opens a connection.
    pub fn open(&mut self, member: &BackendId) -> Client {
        let client = self.start_open(member);
        self.advance_until("the connection opens", |bench| {
            bench.has_opened(&client) || bench.ended_with(&client).is_some()
        });
        assert!(
            self.has_opened(&client),
            "refused: {:?}",
            self.ended_with(&client)
        );
        client
    }

    pub fn has_opened(&self, client: &Client) -> bool {
        self.replies.iter().any(|(number, reply)| {
            *number == client.number && matches!(reply, Reply::Opened { .. })
        })
    }

    /// The error with which the server ended the connection.
    pub fn ended_with(&self, client: &Client) -> Option<SqlError> {
        self.replies.iter().find_map(|(number, reply)| match reply {
            Reply::Refused(error) | Reply::Terminated(error) if *number == client.number => {
                Some(error.clone())
            }
            _ => None,
        })
    }

    /// Whether the connection broke without a message.
    pub fn was_reset(&self, client: &Client) -> bool {
        let mut replies = self.replies.iter();
        replies.any(|(number, reply)| *number == client.number && matches!(reply, Reply::Reset))
    }

    /// Starts a statement.
    pub fn start(&mut self, client: &Client, sql: &str) -> RequestNumber {
        self.last_request += 1;
        let request = RequestNumber(self.last_request);
        let run = ClientRequest::Run {
            connection: client.number,
            request,
            statement: Statement::parse_one(sql).unwrap(),
            parameters: Vec::new(),
            completion: Completion::Commit,
        };
        self.request(client, run);
        request
    }

    /// How a statement ended, if it has.
    pub fn result(&self, wanted: RequestNumber) -> Option<Result<Answer, SqlError>> {
        self.replies.iter().find_map(|(_, reply)| match reply {
            Reply::Ran {
                request, result, ..
            } if *request == wanted => Some(result.clone()),
            _ => None,
        })
    }

    /// Waits for a statement's end.
    pub fn finish(&mut self, request: RequestNumber) -> Result<Answer, SqlError> {
        self.advance_until("the statement ends", |bench| {
            bench.result(request).is_some()
        });
        self.result(request).unwrap()
    }

    /// Runs a statement to its end.
    pub fn run(&mut self, client: &Client, sql: &str) -> Result<Answer, SqlError> {
        let request = self.start(client, sql);
        self.finish(request)
    }

    /// Runs a statement that must succeed.
    pub fn done(&mut self, client: &Client, sql: &str) -> Answer {
        match self.run(client, sql) {
            Ok(answer) => answer,
            Err(error) => panic!("{sql}: {error}"),
        }
    }

    /// Runs a query that must succeed; rows as text, values separated by `|`.
    pub fn rows(&mut self, client: &Client, sql: &str) -> Vec<String> {
        let answer = self.done(client, sql);
        let rows = answer.rows.iter().map(|row| {
            let values: Vec<String> = row.iter().map(ToString::to_string).collect();
            values.join("|")
        });
        rows.collect()
    }

    /// First columns of the rows of a table that a member has applied, as text.
    pub fn applied_rows(&self, member: &BackendId, table: &str) -> Vec<String> {
        let tables = self.group.tables(member).unwrap();
        let rows = tables
            .get(table)
            .into_iter()
            .flat_map(|table| table.rows.values());
        rows.map(|row| row[0].to_string()).collect()
    }

    /// Term and position of the last commit that changed data.
    pub fn last_commit(&self) -> Freshness {
        let commits = self.truths.iter().rev();
        let mut written = commits.filter_map(|truth| match &truth.observation {
            Observation::TransactionCommitted {
                wrote: true,
                freshness,
                ..
            } => Some(*freshness),
            _ => None,
        });
        written.next().expect("nothing was committed")
    }

    /// Waits until another member than the given one leads.
    pub fn await_new_primary(&mut self, old: &BackendId) -> BackendId {
        self.advance_until("a new primary is elected", |bench| {
            bench.group.primary().is_some_and(|primary| primary != old)
        });
        self.group.primary().unwrap().clone()
    }
}
