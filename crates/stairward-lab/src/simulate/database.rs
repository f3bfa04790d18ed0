//! The database groups of a run: stand-in groups on the virtual clock, each with the connections
//! that proxies hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stairward_checker::Recorder;
use stairward_proxy::cluster::Clock;
use stairward_standins::group::{
    ClientRequest, Completion, Effect, Event, Fault, Group, GroupConfig, Reply, RequestNumber,
    TransactionStatus,
};
use stairward_standins::sql::{Answer, SqlError, Statement};
use stairward_standins::{ConnectionNumber, Observation};
use stairward_types::{BackendId, Freshness, GroupId, Term, Time};

use crate::demo::observer::Observer;

/// Matches the answer to a batch with the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchNumber(pub u64);

/// What a proxy asks of a database on one of its connections.
#[derive(Debug, Clone)]
pub(super) enum DatabaseRequest {
    /// Opens the connection.
    Open {
        /// Shown in the database's own views.
        application_name: String,
    },
    /// Runs statements one after another, as one simple query does; the first error ends it.
    Run {
        /// The batch.
        batch: BatchNumber,
        /// The statements.
        statements: Vec<Statement>,
    },
    /// Closes the connection.
    Close,
}

/// What a database answers on a connection.
#[derive(Debug, Clone)]
pub(super) enum DatabaseReply {
    /// The connection is open.
    Opened,
    /// A batch ended.
    Ran {
        /// The batch.
        batch: BatchNumber,
        /// The answers up to the first error.
        answers: Vec<Answer>,
        /// The error that ended it, if any.
        error: Option<SqlError>,
        /// The transaction status afterwards.
        status: TransactionStatus,
    },
    /// The connection was refused, or has ended.
    Closed,
}

/// A batch that runs.
#[derive(Debug)]
struct RunningBatch {
    batch: BatchNumber,
    waiting: VecDeque<Statement>,
    answers: Vec<Answer>,
}

/// What a database group tells the run.
#[derive(Debug)]
pub(super) enum GroupOutput {
    /// A member answers on a connection.
    Reply {
        /// The member.
        member: BackendId,
        /// The connection.
        connection: ConnectionNumber,
        /// The answer.
        reply: DatabaseReply,
    },
    /// The group elected a primary.
    Elected {
        /// The term.
        term: Term,
    },
}

/// One group.
pub(super) struct DatabaseGroup {
    /// Its name.
    pub id: GroupId,
    group: Group,
    running: BTreeMap<(BackendId, ConnectionNumber), RunningBatch>,
    observer: Observer,
    recorder: Recorder,
    next_request: u64,
    /// Members whose process does not run.
    stopped: BTreeSet<BackendId>,
}

impl DatabaseGroup {
    /// Starts a group.
    pub(super) fn new(id: GroupId, config: &GroupConfig, seed: u64, recorder: Recorder) -> Self {
        let members = config.members.iter();
        let groups = members.map(|member| (member.backend.clone(), id.clone()));
        Self {
            observer: Observer::new(recorder.clone(), Clock::start(), groups.collect()),
            recorder,
            id,
            group: Group::new(config, seed, Time::ZERO),
            running: BTreeMap::new(),
            next_request: 0,
            stopped: BTreeSet::new(),
        }
    }

    /// When [`Self::wake`] is due.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.group.wake_at()
    }

    /// Does what is due.
    pub(super) fn wake(&mut self, now: Time) -> Vec<GroupOutput> {
        self.feed(now, Event::Wake)
    }

    /// Begins or ends a fault.
    pub(super) fn fault(&mut self, now: Time, fault: Fault) -> Vec<GroupOutput> {
        self.feed(now, Event::Fault(fault))
    }

    /// Takes what a proxy asks on a connection.
    pub(super) fn request(
        &mut self,
        now: Time,
        member: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) -> Vec<GroupOutput> {
        match request {
            DatabaseRequest::Open { application_name } => {
                let settings = BTreeMap::from([("application_name".to_owned(), application_name)]);
                let request = ClientRequest::Open {
                    connection,
                    user: "stairward".to_owned(),
                    settings,
                };
                self.client(now, member, request)
            }
            DatabaseRequest::Run { batch, statements } => {
                let running = RunningBatch {
                    batch,
                    waiting: statements.into(),
                    answers: Vec::new(),
                };
                self.running.insert((member.clone(), connection), running);
                self.run_next(now, member, connection)
            }
            DatabaseRequest::Close => {
                self.running.remove(&(member.clone(), connection));
                self.client(now, member, ClientRequest::Close { connection })
            }
        }
    }

    /// The member that leads the newest term.
    pub(super) fn primary(&self) -> Option<&BackendId> {
        self.group.primary()
    }

    /// What a member reports of itself.
    pub(super) fn freshness(&self, member: &BackendId) -> Option<Freshness> {
        self.group.freshness(member)
    }

    /// What a member reports of itself, if it runs and is not the primary.
    pub(super) fn replica_freshness(&self, member: &BackendId) -> Option<Freshness> {
        if self.primary() == Some(member) || self.stopped.contains(member) {
            return None;
        }
        self.freshness(member)
    }

    fn client(
        &mut self,
        now: Time,
        member: &BackendId,
        request: ClientRequest,
    ) -> Vec<GroupOutput> {
        let event = Event::Client {
            member: member.clone(),
            request,
        };
        self.feed(now, event)
    }

    fn run_next(
        &mut self,
        now: Time,
        member: &BackendId,
        connection: ConnectionNumber,
    ) -> Vec<GroupOutput> {
        let running = self.running.get_mut(&(member.clone(), connection));
        let Some(statement) = running.and_then(|running| running.waiting.pop_front()) else {
            return Vec::new();
        };
        self.next_request += 1;
        let request = ClientRequest::Run {
            connection,
            request: RequestNumber(self.next_request),
            statement,
            parameters: Vec::new(),
            completion: Completion::Commit,
        };
        self.client(now, member, request)
    }

    fn feed(&mut self, now: Time, event: Event) -> Vec<GroupOutput> {
        let effects = self.group.handle(now, event);
        let mut outputs = Vec::new();
        for effect in effects {
            self.take(now, effect, &mut outputs);
        }
        outputs
    }

    fn take(&mut self, now: Time, effect: Effect, outputs: &mut Vec<GroupOutput>) {
        match effect {
            Effect::Reply {
                member,
                connection,
                reply,
            } => self.take_reply(now, member, connection, reply, outputs),
            Effect::Observed(truth) => {
                if let Some(event) = self.observer.event(&truth) {
                    self.recorder.record(truth.at, event);
                }
                if let Observation::ElectionWon { term, .. } = truth.observation {
                    outputs.push(GroupOutput::Elected { term });
                }
            }
            Effect::Availability { member, available } => {
                if available {
                    self.stopped.remove(&member);
                } else {
                    self.stopped.insert(member);
                }
            }
        }
    }

    fn take_reply(
        &mut self,
        now: Time,
        member: BackendId,
        connection: ConnectionNumber,
        reply: Reply,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let reply = match reply {
            Reply::Opened { .. } => DatabaseReply::Opened,
            Reply::Refused(_) | Reply::Terminated(_) | Reply::Reset => {
                self.running.remove(&(member.clone(), connection));
                DatabaseReply::Closed
            }
            Reply::Ran { result, status, .. } => {
                return self.statement_ran(now, member, connection, result, status, outputs);
            }
            Reply::Described { .. } | Reply::Synced { .. } => return,
        };
        outputs.push(GroupOutput::Reply {
            member,
            connection,
            reply,
        });
    }

    fn statement_ran(
        &mut self,
        now: Time,
        member: BackendId,
        connection: ConnectionNumber,
        result: Result<Answer, SqlError>,
        status: TransactionStatus,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let key = (member, connection);
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        let error = match result {
            Ok(answer) => {
                running.answers.push(answer);
                None
            }
            Err(error) => Some(error),
        };
        if error.is_none() && !running.waiting.is_empty() {
            outputs.extend(self.run_next(now, &key.0, connection));
            return;
        }
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        outputs.push(GroupOutput::Reply {
            member: key.0,
            connection,
            reply: DatabaseReply::Ran {
                batch: running.batch,
                answers: running.answers,
                error,
                status,
            },
        });
    }
}
