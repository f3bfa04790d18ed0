//! What the parts of a simulated fleet say to each other. The shapes follow the messages of the
//! internal protocol, without their encoding.

use std::sync::Arc;
use std::time::Duration;

use stairward_checker::{RequestId, SessionId};
use stairward_membership::Packet;
use stairward_membership::configuration::{ExchangeAnswer, ExchangeRequest};
use stairward_pool::OwnerRole;
use stairward_routing::Observation;
use stairward_settings::SettingsDocument;
use stairward_standins::group::TransactionStatus;
use stairward_standins::sql::{Answer, SqlError, Statement};
use stairward_types::{AccessClass, BackendId, Freshness, NodeId, ResultCode, Term};

/// A statement stream between an edge and an owner. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StreamKey {
    /// The edge's node.
    pub edge: NodeId,
    /// Which life of the edge's process.
    pub life: u64,
    /// Its number there.
    pub number: u64,
}

/// Asks an owner to lend a connection and run a first batch.
#[derive(Debug, Clone)]
pub(super) struct OpenStream {
    /// The back end.
    pub backend: BackendId,
    /// Whether anything on the stream may write.
    pub access: AccessClass,
    /// What the copy must cover.
    pub floor: Option<Freshness>,
    /// The least term of the back end.
    pub expected_term: Term,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// How long a replica may be waited for.
    pub freshness_wait: Duration,
    /// The first batch.
    pub batch: Batch,
}

/// Statements to run on a stream.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    /// Counts the batches of the stream, from 1.
    pub sequence: u32,
    /// The statements.
    pub statements: Vec<Statement>,
    /// Whether it may commit writes.
    pub may_commit: bool,
}

/// From an edge to an owner.
#[derive(Debug, Clone)]
pub(super) enum EdgeMessage {
    /// Opens the stream.
    Open(Box<OpenStream>),
    /// Runs a further batch in the stream's transaction.
    Batch(Batch),
    /// The edge lets go of the stream.
    Abandon,
}

/// How a batch ended at the back end.
#[derive(Debug, Clone)]
pub(super) struct BatchResult {
    /// The answers up to the first error.
    pub answers: Arc<Vec<Answer>>,
    /// The error that ended it, if any.
    pub error: Option<SqlError>,
    /// The transaction status afterwards.
    pub status: TransactionStatus,
}

/// From an owner to an edge.
#[derive(Debug, Clone)]
pub(super) enum OwnerMessage {
    /// A connection was lent.
    Admitted(Observation),
    /// Nothing of the batch ran. Ends the stream.
    Refused {
        /// Why.
        code: ResultCode,
        /// When it may be worth asking again.
        retry_after: Option<Duration>,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// A batch ended, and its commit, if any, was proved. An idle status ends the stream.
    BatchDone {
        /// The batch.
        sequence: u32,
        /// How it ended.
        result: BatchResult,
        /// The state at or past which everything it read or committed lies.
        observation: Observation,
    },
    /// The outcome cannot be told. Ends the stream.
    OutcomeUnknown {
        /// Why.
        code: ResultCode,
        /// The back end's state, if known.
        observation: Option<Observation>,
    },
    /// The stream's transaction was lost before its commit. Ends the stream.
    TransactionLost,
}

/// A short question to another node.
#[derive(Debug, Clone)]
pub(super) enum CallRequest {
    /// Asks the owner of a back end to ask it now for its state.
    AskBackend(BackendId),
    /// Compares settings.
    ExchangeSettings(ExchangeRequest),
    /// The speaker has given up a role at a back end.
    HandOver(BackendId, OwnerRole),
}

/// Its answer.
#[derive(Debug, Clone)]
pub(super) enum CallReply {
    /// A back end's own answer.
    Backend {
        /// Its term and position.
        freshness: Freshness,
        /// Whether it believes to be the primary.
        is_primary: bool,
    },
    /// The other half of an exchange.
    Settings(ExchangeAnswer),
    /// Nothing to say.
    Done,
    /// The node cannot answer.
    Refused,
}

/// Between two proxies.
#[derive(Debug, Clone)]
pub(super) enum PeerMessage {
    /// A stream message to an owner.
    ToOwner(StreamKey, EdgeMessage),
    /// A stream message to an edge.
    ToEdge(StreamKey, OwnerMessage),
    /// A short question.
    Call(u64, CallRequest),
    /// Its answer.
    Reply(u64, CallReply),
    /// A membership datagram.
    Membership(Box<Packet>),
    /// The speaker has closed its connection.
    Closed,
}

/// What a statement of a caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatementKind {
    /// Only reads.
    Read,
    /// Writes, in a transaction of its own.
    Write,
    /// Begins a transaction that writes.
    Begin,
    /// Stands in the middle of a transaction.
    Middle,
    /// Commits it.
    Commit,
}

/// One statement of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerStatement {
    /// The request it belongs to.
    pub request: RequestId,
    /// What it is.
    pub kind: StatementKind,
    /// Its text.
    pub statement: Statement,
    /// Whether its request may run twice.
    pub repeatable: bool,
}

/// One connection of a caller's session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallerConnection {
    /// The session.
    pub session: SessionId,
    /// Counts the session's connections.
    pub number: u64,
}

/// From a caller to a proxy.
#[derive(Debug, Clone)]
pub(super) enum CallerMessage {
    /// Opens a connection, perhaps with a token.
    Connect {
        /// The session token.
        token: Option<String>,
    },
    /// Runs a statement.
    Run(Box<CallerStatement>),
    /// Closes the connection.
    Disconnect,
}

/// From a proxy to a caller.
#[derive(Debug, Clone)]
pub(super) enum ProxyMessage {
    /// The answer to a statement.
    Answer {
        /// The back end's answer.
        result: BatchResult,
        /// The session's token from now on.
        token: Option<String>,
        /// The back end that answered was a replica.
        by_replica: bool,
        /// The term it answered in.
        term: Term,
    },
    /// stairward answers in the back end's place.
    Failed(ResultCode),
    /// The proxy closes the connection, since it stops.
    Stopping,
    /// The connection is lost.
    Lost,
    /// Nobody listens: the connection never came about.
    Refused,
}

/// From a proxy to the platform's store.
#[derive(Debug, Clone)]
pub(super) struct StoreRead {
    /// The version after which a newer one is wanted.
    pub after: u64,
    /// How long the store may hold the answer back.
    pub wait: Duration,
}

/// From the platform's store to a proxy.
#[derive(Debug, Clone)]
pub(super) struct StoreAnswered {
    /// The version, and its document; none when nothing newer came in time.
    pub newer: Option<(u64, Arc<SettingsDocument>)>,
}
