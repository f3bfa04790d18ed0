//! The control connection of a role: takes the lock that the lease rests on, and asks the back end
//! for its state.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use stairward_pool::OwnerRole;
use stairward_standins::ConnectionNumber;
use stairward_standins::sql::{Answer, Statement, Value};
use stairward_types::{Freshness, LogPosition, NodeId, Term, Time};

use crate::simulate::database::{BatchNumber, DatabaseRequest};
use crate::simulate::outbox::Outbox;

/// How often a back end is asked for its state while nothing else asks.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is asked while requests wait, perhaps for it to become fresh enough.
pub(super) const WAITING_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// How long one answer may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The back end ends a silent control connection after this.
const IDLE_TIMEOUT: &str = "SET idle_session_timeout = '2s'";
/// Asks for role, term, and the positions applied and received.
const STATUS: &str = "SELECT pg_is_in_recovery(); \
    SELECT timeline_id FROM pg_control_checkpoint(); \
    SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() \
    ELSE pg_current_wal_lsn() END; \
    SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() \
    ELSE pg_current_wal_lsn() END";
/// Statements of [`STATUS`].
const STATUS_STATEMENTS: usize = 4;

static STATUS_PARSED: LazyLock<Vec<Statement>> = LazyLock::new(|| parse(STATUS));

fn parse(sql: &str) -> Vec<Statement> {
    Statement::parse(sql).expect("the proxy's own statements parse")
}

/// What runs on the control connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Job {
    /// The connection opens.
    Open,
    /// Tries to take the lock.
    Lock,
    /// Ends the sessions of earlier holders.
    EndLeftovers,
    /// Asks for the back end's state.
    Probe,
}

/// What a back end said of itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct Status {
    /// Its term and applied position.
    pub freshness: Freshness,
    /// Its term and received position.
    pub received: Freshness,
    /// Whether it believes to be the primary.
    pub is_primary: bool,
}

/// How a job ended.
#[derive(Debug)]
pub(super) enum JobEnded {
    /// The lock was taken, or not.
    Locked(bool),
    /// The leftovers are gone.
    LeftoversEnded,
    /// The back end's state, or none when the answer cannot be used.
    Probed(Option<Status>),
}

/// The control connection of one role.
#[derive(Debug, Default)]
pub(super) struct ControlConnection {
    /// The connection; none when there is none.
    pub connection: Option<ConnectionNumber>,
    job: Option<(Job, BatchNumber)>,
    /// When the job that runs was begun.
    pub begun_at: Time,
    next_batch: u64,
    /// Whether the lock is taken.
    pub is_locked: bool,
    asked: Vec<(NodeId, u64)>,
    answering: Vec<(NodeId, u64)>,
}

impl ControlConnection {
    /// Opens the connection, to take the lock with it.
    pub(super) fn open(
        &mut self,
        backend: &stairward_types::BackendId,
        role: OwnerRole,
        out: &mut Outbox<'_>,
    ) -> ConnectionNumber {
        let name = format!("stairward/{}/control", role.name());
        let connection = out.open_connection(backend, name);
        self.connection = Some(connection);
        self.begin(Job::Open, out);
        connection
    }

    fn begin(&mut self, job: Job, out: &Outbox<'_>) -> BatchNumber {
        self.next_batch += 1;
        let batch = BatchNumber(self.next_batch);
        self.job = Some((job, batch));
        self.begun_at = out.now;
        batch
    }

    /// Whether it is open and holds the lock.
    pub(super) const fn is_ready(&self) -> bool {
        self.connection.is_some() && self.is_locked
    }

    /// When the job that runs has taken too long.
    pub(super) fn job_deadline(&self) -> Option<Time> {
        self.job.map(|_| self.begun_at + PROBE_TIMEOUT)
    }

    /// Runs a job, unless one runs.
    pub(super) fn run(
        &mut self,
        job: Job,
        backend: &stairward_types::BackendId,
        role: OwnerRole,
        out: &mut Outbox<'_>,
    ) {
        let Some(connection) = self.connection.filter(|_| self.job.is_none()) else {
            return;
        };
        let statements = match job {
            Job::Open => return,
            Job::Lock => parse(&format!(
                "{IDLE_TIMEOUT}; SELECT pg_try_advisory_lock({}) AS locked",
                role as u8 + 1
            )),
            Job::EndLeftovers => parse(&format!(
                "SELECT pg_terminate_backend(pid) FROM pg_stat_activity \
                 WHERE application_name = 'stairward/{}'",
                role.name()
            )),
            Job::Probe => {
                self.answering = std::mem::take(&mut self.asked);
                STATUS_PARSED.clone()
            }
        };
        let batch = self.begin(job, out);
        out.database(
            backend,
            connection,
            DatabaseRequest::Run { batch, statements },
        );
    }

    /// Notes that the connection is open. Returns whether it was waited for.
    pub(super) fn opened(&mut self) -> bool {
        let was_opening = matches!(self.job, Some((Job::Open, _)));
        if was_opening {
            self.job = None;
        }
        was_opening
    }

    /// Notes that a batch has ended.
    pub(super) fn ran(
        &mut self,
        batch: BatchNumber,
        answers: &[Answer],
        failed: bool,
    ) -> Option<JobEnded> {
        let (job, _) = self.job.take_if(|(_, running)| *running == batch)?;
        match job {
            Job::Open => None,
            Job::Lock => {
                self.is_locked = !failed && value(answers, 1) == Some(&Value::Boolean(true));
                Some(JobEnded::Locked(self.is_locked))
            }
            Job::EndLeftovers => Some(JobEnded::LeftoversEnded),
            Job::Probe => Some(JobEnded::Probed(read_status(answers))),
        }
    }

    /// A node wants to know the state from a question sent after now.
    pub(super) fn ask(&mut self, from: NodeId, call: u64) {
        self.asked.push((from, call));
    }

    /// Whether a question waits and no job runs.
    pub(super) fn wants_probe(&self) -> bool {
        self.job.is_none() && !self.asked.is_empty()
    }

    /// Whether no job runs.
    pub(super) const fn is_idle(&self) -> bool {
        self.job.is_none()
    }

    /// Who waits for the answer that has just come.
    pub(super) fn take_answering(&mut self) -> Vec<(NodeId, u64)> {
        std::mem::take(&mut self.answering)
    }

    /// Forgets the connection. Returns it, and who waited for answers.
    pub(super) fn close(&mut self) -> (Option<ConnectionNumber>, Vec<(NodeId, u64)>) {
        let mut waiting = std::mem::take(&mut self.asked);
        waiting.extend(std::mem::take(&mut self.answering));
        self.job = None;
        self.is_locked = false;
        (self.connection.take(), waiting)
    }
}

fn value(answers: &[Answer], statement: usize) -> Option<&Value> {
    answers.get(statement)?.rows.first()?.first()
}

fn read_status(answers: &[Answer]) -> Option<Status> {
    if answers.len() != STATUS_STATEMENTS {
        return None;
    }
    let Value::Boolean(in_recovery) = value(answers, 0)? else {
        return None;
    };
    let Value::Integer(timeline) = value(answers, 1)? else {
        return None;
    };
    let term = Term(u64::try_from(*timeline).ok()?);
    let applied = read_position(value(answers, 2)?)?;
    let received = read_position(value(answers, 3)?)?;
    Some(Status {
        freshness: Freshness::new(term, applied),
        received: Freshness::new(term, received),
        is_primary: !in_recovery,
    })
}

fn read_position(value: &Value) -> Option<LogPosition> {
    match value {
        Value::Text(text) => Arc::clone(text).parse().ok(),
        _ => None,
    }
}
