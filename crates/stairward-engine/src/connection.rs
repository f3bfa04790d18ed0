//! State of one connection to a back end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stairward_types::{BackendId, Freshness, ServiceName, TenantName, Time};

use crate::event::BackendCommand;
use crate::identifiers::{RequestNumber, SessionId};
use crate::reply::BackendReply;
use crate::reply_matching::ReplyHistory;
use crate::statement::PreparedStatement;

/// The user of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum User {
    /// A session's request or transaction.
    Session(SessionId, RequestNumber),
    /// A probe of the leader's position.
    Probe,
    /// A status query.
    StatusQuery,
    /// No user any more: the pending replies are awaited and discarded.
    Abandoned,
}

/// The kind of a sent command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    Reset,
    SetValue {
        name: String,
        value: String,
    },
    Prepare(PreparedStatement),
    Begin {
        read_only: bool,
        floor: Option<Freshness>,
    },
    Rollback,
    Statement,
    Status,
    /// Begins an empty transaction, only to see its reply.
    ConfirmationBegin,
    /// Ends a transaction, only to see its reply.
    ConfirmationEnd,
}

impl Step {
    /// The name in log lines.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Reset => "reset",
            Self::SetValue { .. } => "set_value",
            Self::Prepare(_) => "prepare",
            Self::Begin { .. } => "begin",
            Self::Rollback => "rollback",
            Self::Statement => "statement",
            Self::Status => "status",
            Self::ConfirmationBegin => "confirmation_begin",
            Self::ConfirmationEnd => "confirmation_end",
        }
    }
}

/// A command without a reply yet.
#[derive(Debug, Clone)]
pub(crate) struct SentStep {
    pub step: Step,
    pub at: Time,
}

/// What is done once replies that may be repetitions are confirmed.
#[derive(Debug)]
pub(crate) enum Confirmation {
    /// A transaction begins.
    Begin,
    /// A back end has reported its status.
    Report(SentStep, BackendReply),
}

/// State of one connection to a back end.
#[derive(Debug)]
pub(crate) struct Connection {
    pub backend: BackendId,
    pub service: ServiceName,
    /// The tenant that it exclusively serves; none for internal queries and if tenants are not distinguished.
    pub tenant: Option<TenantName>,
    /// Lower bound of the back end's log when the connection was requested.
    pub log_floor: Option<Freshness>,
    /// When the connection was requested; none once it is open.
    pub opening_since: Option<Time>,
    /// The session values set on it.
    pub values: BTreeMap<String, String>,
    /// The statements prepared on it.
    pub prepared: BTreeSet<PreparedStatement>,
    /// Commands without a reply, oldest first.
    pub sent: VecDeque<SentStep>,
    /// The replies received so far.
    pub replies: ReplyHistory,
    /// What is being confirmed.
    pub confirmation: Option<Confirmation>,
    /// A reply that can't be trusted until its leader is confirmed, and the command that it answers.
    pub withheld: Option<(SentStep, BackendReply)>,
    /// Its user; none while it is idle.
    pub user: Option<User>,
    /// Whether a transaction is open on it.
    pub in_transaction: bool,
    /// Whether that transaction was begun as a leader transaction.
    pub is_leader_transaction: bool,
    /// When it last became idle.
    pub idle_since: Time,
    /// Whether a timer checks for overdue replies.
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
            replies: ReplyHistory::default(),
            confirmation: None,
            withheld: None,
            user: None,
            in_transaction: false,
            is_leader_transaction: false,
            idle_since: now,
            is_watched: true,
        }
    }

    /// Whether it can be assigned to a request.
    pub fn is_idle(&self) -> bool {
        self.opening_since.is_none()
            && self.user.is_none()
            && self.sent.is_empty()
            && !self.in_transaction
    }

    /// When the opening or the oldest unanswered command was sent.
    pub fn oldest_unanswered(&self) -> Option<Time> {
        self.opening_since
            .or_else(|| self.sent.front().map(|sent| sent.at))
    }

    /// The commands that bring its session values in line with a session's, and prepare the statement if
    /// needed.
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

    /// Number of set-up commands that a session's values would need, for choosing among idle connections.
    pub fn setup_cost(&self, values: &BTreeMap<String, String>) -> usize {
        if self.values == *values {
            return 0;
        }
        self.setup(values, None).len()
    }

    /// Records the effect of a successful set-up command.
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
            Step::Begin { .. }
            | Step::Rollback
            | Step::Statement
            | Step::Status
            | Step::ConfirmationBegin
            | Step::ConfirmationEnd => {}
        }
    }
}

/// The kind of a command.
pub(crate) fn step_of(command: &BackendCommand) -> Step {
    match command {
        BackendCommand::Reset => Step::Reset,
        BackendCommand::SetValue { name, value } => Step::SetValue {
            name: name.clone(),
            value: value.clone(),
        },
        BackendCommand::Prepare(prepared) => Step::Prepare(prepared.clone()),
        BackendCommand::Begin { read_only, floor } => Step::Begin {
            read_only: *read_only,
            floor: *floor,
        },
        BackendCommand::Rollback => Step::Rollback,
        BackendCommand::QueryStatus => Step::Status,
        BackendCommand::Run { .. } | BackendCommand::Execute { .. } => Step::Statement,
    }
}
