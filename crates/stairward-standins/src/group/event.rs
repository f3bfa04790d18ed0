//! What goes into a group and what comes out.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::BackendId;

use crate::sql::{Answer, Description, SqlError, Statement, Value, ValueType};
use crate::{ConnectionNumber, GroundTruth};

/// Chosen by the driver to match replies with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestNumber(pub u64);

/// What goes into a group.
#[derive(Debug, Clone)]
pub enum Event {
    /// The moment of [`super::Group::wake_at`] has come.
    Wake,
    /// A client asks something of a member.
    Client {
        /// The member asked.
        member: BackendId,
        /// What it is asked.
        request: ClientRequest,
    },
    /// A fault begins or ends.
    Fault(Fault),
    /// Operators move the primary's role to another member.
    Switchover {
        /// The member that is to be primary.
        to: BackendId,
    },
}

/// What a client asks of a member. A connection has one `Run`, `Describe` or `Sync` outstanding at
/// a time.
#[derive(Debug, Clone)]
pub enum ClientRequest {
    /// Opens a connection. The driver chooses a number it has not used at this member.
    Open {
        /// The new connection.
        connection: ConnectionNumber,
        /// The user's name.
        user: String,
        /// Settings given at start-up, such as `application_name`.
        settings: BTreeMap<String, String>,
    },
    /// Runs a statement.
    Run {
        /// The connection.
        connection: ConnectionNumber,
        /// Returned with the reply.
        request: RequestNumber,
        /// The statement.
        statement: Statement,
        /// Values of its parameters.
        parameters: Vec<Value>,
        /// What happens to an implicit transaction afterwards.
        completion: Completion,
    },
    /// Asks for a statement's types without running it.
    Describe {
        /// The connection.
        connection: ConnectionNumber,
        /// Returned with the reply.
        request: RequestNumber,
        /// The statement.
        statement: Statement,
        /// Parameter types that the client has declared.
        declared: Vec<Option<ValueType>>,
    },
    /// Ends a pipeline: commits its implicit transaction.
    Sync {
        /// The connection.
        connection: ConnectionNumber,
        /// Returned with the reply.
        request: RequestNumber,
    },
    /// Tells that the driver itself has refused something on the connection: an open transaction
    /// has failed. Answered by [`Reply::Synced`].
    Fail {
        /// The connection.
        connection: ConnectionNumber,
        /// Returned with the reply.
        request: RequestNumber,
    },
    /// Cancels the statement that the connection runs, if any.
    Cancel {
        /// The connection whose statement to cancel.
        connection: ConnectionNumber,
    },
    /// Closes a connection. A statement that runs is finished first, as PostgreSQL does.
    Close {
        /// The connection.
        connection: ConnectionNumber,
    },
}

/// What happens to an implicit transaction after a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// It is committed before the reply.
    Commit,
    /// It stays open until a later statement or [`ClientRequest::Sync`] commits it.
    Hold,
}

/// Whether a connection is in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// In none.
    Idle,
    /// In a transaction block.
    InTransaction,
    /// In a transaction block that has failed and can only be rolled back.
    Failed,
}

/// A fault of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Cuts the member off from the other members, not from its clients. A primary goes on
    /// accepting commits.
    CutOff {
        /// The member.
        member: BackendId,
    },
    /// Stops the member's process. Its log, term and vote stay on its disk.
    Stop {
        /// The member.
        member: BackendId,
    },
    /// Freezes the member's process: it does nothing until [`Fault::Resume`], then goes on with
    /// what has arrived meanwhile, unaware of the pause.
    Pause {
        /// The member.
        member: BackendId,
    },
    /// Ends a pause.
    Resume {
        /// The member.
        member: BackendId,
    },
    /// Makes every statement take longer.
    Slow {
        /// The member.
        member: BackendId,
        /// Time added to each statement.
        added: Duration,
    },
    /// Makes the member, as a replica, apply log records late.
    Lag {
        /// The member.
        member: BackendId,
        /// Time between receiving and applying a record.
        lag: Duration,
    },
    /// Breaks the connection of the next transaction that commits changes, after the commit and
    /// instead of the answer.
    LoseNextReply {
        /// The member.
        member: BackendId,
    },
    /// Ends all faults of the member; starts it when it is stopped.
    Heal {
        /// The member.
        member: BackendId,
    },
}

impl Fault {
    /// The member concerned.
    #[must_use]
    pub const fn member(&self) -> &BackendId {
        match self {
            Self::CutOff { member }
            | Self::Stop { member }
            | Self::Pause { member }
            | Self::Resume { member }
            | Self::LoseNextReply { member }
            | Self::Slow { member, .. }
            | Self::Lag { member, .. }
            | Self::Heal { member } => member,
        }
    }
}

/// What comes out of a group.
#[derive(Debug, Clone)]
pub enum Effect {
    /// A member answers a client.
    Reply {
        /// The member.
        member: BackendId,
        /// The client's connection.
        connection: ConnectionNumber,
        /// The answer.
        reply: Reply,
    },
    /// A member's process has stopped or started: its address refuses or takes connections.
    Availability {
        /// The member.
        member: BackendId,
        /// Whether it takes connections.
        available: bool,
    },
    /// What truly happened.
    Observed(GroundTruth),
}

/// A member's answer to a client.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The connection is open. The settings are those the server reports at start-up.
    Opened {
        /// Reported settings by name.
        settings: BTreeMap<String, String>,
    },
    /// The connection was refused and does not exist.
    Refused(SqlError),
    /// A statement ended.
    Ran {
        /// The request.
        request: RequestNumber,
        /// Its answer.
        result: Result<Answer, SqlError>,
        /// The connection's transaction afterwards.
        status: TransactionStatus,
    },
    /// A statement was described.
    Described {
        /// The request.
        request: RequestNumber,
        /// Its types.
        result: Result<Description, SqlError>,
    },
    /// A pipeline ended.
    Synced {
        /// The request.
        request: RequestNumber,
        /// Whether the implicit transaction, if any, committed.
        result: Result<(), SqlError>,
        /// The connection's transaction afterwards.
        status: TransactionStatus,
    },
    /// The member closes the connection with this message.
    Terminated(SqlError),
    /// The connection broke without a message, since the member stopped.
    Reset,
}
