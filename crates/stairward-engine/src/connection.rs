//! What the engine keeps of one connection to a back end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stairward_types::{BackendId, Freshness, ServiceName, TenantName, Time};

use crate::event::BackendCommand;
use crate::identifiers::{RequestNumber, SessionId};
use crate::reply::BackendReply;
use crate::statement::PreparedStatement;

/// Who uses a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum User {
    /// A session's request or transaction.
    Session(SessionId, RequestNumber),
    /// The engine, to learn the leader's position.
    Probe,
    /// The engine, to learn what the back end says of itself.
    StatusQuery,
    /// Nobody any more: what was sent is waited for and its answer dropped.
    Abandoned,
}

/// A kind of command that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    Reset,
    SetValue { name: String, value: String },
    Prepare(PreparedStatement),
    Begin { read_only: bool },
    Rollback,
    Statement,
    Status,
}

/// A command without an answer yet.
#[derive(Debug, Clone)]
pub(crate) struct SentStep {
    pub step: Step,
    pub at: Time,
}

/// One connection to a back end.
#[derive(Debug)]
pub(crate) struct Connection {
    pub backend: BackendId,
    pub service: ServiceName,
    /// The tenant that it was opened for and serves alone; none where it carries the system's own questions or
    /// tenants are not told apart.
    pub tenant: Option<TenantName>,
    /// What its back end's log held at the least when it was asked for.
    pub log_floor: Option<Freshness>,
    /// When it was asked for; none once it is open.
    pub opening_since: Option<Time>,
    /// The values set on it.
    pub values: BTreeMap<String, String>,
    /// What is prepared on it.
    pub prepared: BTreeSet<PreparedStatement>,
    /// Commands without an answer, oldest first.
    pub sent: VecDeque<SentStep>,
    /// An answer that can't be believed before its leader is confirmed, and what it answers.
    pub withheld: Option<(SentStep, BackendReply)>,
    /// Who uses it; none while it is idle.
    pub user: Option<User>,
    /// Whether a transaction is open on it.
    pub in_transaction: bool,
    /// Whether that transaction is one that only the leader goes on with.
    pub is_leader_transaction: bool,
    /// Since when nobody has used it.
    pub idle_since: Time,
    /// Whether a timer looks for answers that are due.
    pub is_watched: bool,
}

impl Connection {
    pub fn new(
        backend: BackendId,
        service: ServiceName,
        tenant: Option<TenantName>,
        now: Time,
    ) -> Self {
        Self {
            backend,
            service,
            tenant,
            log_floor: None,
            opening_since: Some(now),
            values: BTreeMap::new(),
            prepared: BTreeSet::new(),
            sent: VecDeque::new(),
            withheld: None,
            user: None,
            in_transaction: false,
            is_leader_transaction: false,
            idle_since: now,
            is_watched: true,
        }
    }

    /// Whether it can be given to a request.
    pub fn is_idle(&self) -> bool {
        self.opening_since.is_none()
            && self.user.is_none()
            && self.sent.is_empty()
            && !self.in_transaction
    }

    /// Since when its opening or its oldest command has had no answer.
    pub fn oldest_unanswered(&self) -> Option<Time> {
        self.opening_since
            .or_else(|| self.sent.front().map(|sent| sent.at))
    }

    /// The commands that make its values those of a session, and what a statement needs prepared.
    pub fn setup(
        &self,
        values: &BTreeMap<String, String>,
        prepared: Option<&PreparedStatement>,
    ) -> Vec<BackendCommand> {
        let mut commands = Vec::new();
        let is_surplus = |name: &String| !values.contains_key(name);
        let must_reset = self.values.keys().any(is_surplus);
        if must_reset {
            commands.push(BackendCommand::Reset);
        }
        for (name, value) in values {
            if must_reset || self.values.get(name) != Some(value) {
                commands.push(BackendCommand::SetValue {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(prepared) = prepared
            && (must_reset || !self.prepared.contains(prepared))
        {
            commands.push(BackendCommand::Prepare(prepared.clone()));
        }
        commands
    }

    /// How many set-up commands a session's values would kind, for choosing among idle connections.
    pub fn setup_cost(&self, values: &BTreeMap<String, String>) -> usize {
        if self.values == *values {
            return 0;
        }
        self.setup(values, None).len()
    }

    /// Notes the effect of a set-up command that succeeded.
    pub fn apply_setup(&mut self, step: Step) {
        match step {
            Step::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            Step::SetValue { name, value } => {
                self.values.insert(name, value);
            }
            Step::Prepare(prepared) => {
                self.prepared.insert(prepared);
            }
            Step::Begin { .. } | Step::Rollback | Step::Statement | Step::Status => {}
        }
    }
}

/// The step that a command is.
pub(crate) fn step_of(command: &BackendCommand) -> Step {
    match command {
        BackendCommand::Reset => Step::Reset,
        BackendCommand::SetValue { name, value } => Step::SetValue {
            name: name.clone(),
            value: value.clone(),
        },
        BackendCommand::Prepare(prepared) => Step::Prepare(prepared.clone()),
        BackendCommand::Begin { read_only, .. } => Step::Begin {
            read_only: *read_only,
        },
        BackendCommand::Rollback => Step::Rollback,
        BackendCommand::QueryStatus => Step::Status,
        BackendCommand::Run { .. } | BackendCommand::Execute { .. } => Step::Statement,
    }
}
