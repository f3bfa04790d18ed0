//! Inputs and outputs of the engine: events, effects and the types that they carry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_limits::{GrantRequest, GrantResponse, Shard};
use stairward_types::{
    AccessClass, ApiKey, BackendId, BackendRole, Freshness, GroupId, NodeId, OutcomeClass,
    RegionName, ResultCode, ServiceName, TenantName, Term, Time, ZoneName,
};

use crate::forwarding::ForwardedRequest;
use crate::holder_directory::ServiceHolders;
use crate::identifiers::{ConnectionId, SessionId};
use crate::leaving::LeavingChange;
use crate::reply::{BackendReply, Response};
use crate::reply_matching::ReplyDoubt;
use crate::settings::{BackendDescription, Consistency, DiscoveryChange, RoutingTable};
use crate::statement::{PreparedStatement, Statement};

/// Why a connection to a back end could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The attempt timed out.
    TimedOut,
    /// The back end's connection limit is reached.
    ConnectionLimit,
    /// A different back end answered at this address.
    WrongBackend,
    /// Any other failure.
    Other,
}

/// An input to the engine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller connected and requested a database.
    SessionOpened {
        /// The new session.
        session: SessionId,
        /// The requested database.
        database: GroupId,
        /// The API key presented by the client.
        key: Option<ApiKey>,
    },
    /// A caller sent a statement.
    Statement {
        /// Its session.
        session: SessionId,
        /// The statement.
        statement: Statement,
    },
    /// A caller sent input that is not a valid statement. The session continues.
    InvalidStatement {
        /// Its session.
        session: SessionId,
    },
    /// A caller disconnected.
    SessionClosed {
        /// Its session.
        session: SessionId,
    },
    /// A connection to a back end is ready for use.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
        /// The back end's log position when the connection opened.
        position: Option<Freshness>,
    },
    /// A connection could not be opened.
    OpenFailed {
        /// The connection.
        connection: ConnectionId,
        /// The cause.
        failure: OpenFailure,
    },
    /// A back end replied to the oldest unanswered command on this connection.
    Reply {
        /// The connection.
        connection: ConnectionId,
        /// The reply.
        reply: BackendReply,
    },
    /// The last commands for this connection were not sent, because one of them can't be encoded. The connection is
    /// closed.
    CommandsUnsent {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection ended, regardless of which side closed it.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A configuration was received.
    ConfigurationChanged(Arc<RoutingTable>),
    /// The complete list of back ends from discovery.
    BackendsListed {
        /// The list.
        list: Vec<BackendDescription>,
        /// The earliest time at which the differences from the previous list can have occurred; none if
        /// unknown.
        since: Option<Time>,
    },
    /// Discovery's list changed. The differences occurred after `since`, or at any time if it is none.
    BackendsChanged {
        /// The differences.
        change: DiscoveryChange,
        /// The earliest time at which the change can have occurred; none if unknown.
        since: Option<Time>,
    },
    /// The number of nodes that share the back ends' connections.
    NodeCountChanged(u32),
    /// The nodes that hold the connections of these services. Other services are unchanged.
    HoldersChanged(BTreeMap<ServiceName, ServiceHolders>),
    /// The region of each visible node.
    NodeRegions(BTreeMap<NodeId, RegionName>),
    /// The complete set of evacuated zones; nothing may be sent to their back ends.
    EvacuatedZonesChanged {
        /// All evacuated zones.
        zones: BTreeSet<ZoneName>,
        /// The earliest time at which the differences from the previous set can have occurred; none if
        /// unknown.
        since: Option<Time>,
    },
    /// Another node forwards a statement of one of its sessions.
    ForwardedRequest {
        /// The session, numbered by this node.
        session: SessionId,
        /// The statement and the session state that it needs.
        forwarded: Box<ForwardedRequest>,
    },
    /// A holder answered a statement that was forwarded to it.
    ForwardAnswered {
        /// The holder.
        holder: NodeId,
        /// The session.
        session: SessionId,
        /// The request number under which it was forwarded.
        request: u64,
        /// The answer.
        response: Response,
    },
    /// A peer reported the leader's log position.
    PeerPosition {
        /// The service.
        service: ServiceName,
        /// The position.
        freshness: Freshness,
        /// When this node sent the query.
        asked_at: Time,
        /// The age of the peer's information when it answered, by the peer's clock.
        age: Duration,
    },
    /// A replica is about to be promoted in this term; leaders of lower terms are no longer trusted.
    LeadershipRevoked(ServiceName, Term),
    /// The store's record, or another node, names this member as the one whose promotion was requested last. It
    /// may be missing from discovery.
    PromotionRecorded {
        /// The service.
        service: ServiceName,
        /// The promoted member.
        leader: BackendId,
        /// The term for which it was announced.
        term: Term,
        /// Whether the request is unanswered, so that it may be carried out at any later time.
        is_pending: bool,
    },
    /// This node may have missed announcements of promotions: it confirms no leader until
    /// [`Self::PeersConsulted`].
    ConsultationNeeded,
    /// What the peers know of promotions has been applied.
    PeersConsulted,
    /// The promotion attempt has ended, whether or not a replica was promoted.
    PromotionEnded(ServiceName),
    /// Another node queries a service's leadership; see [`crate::Engine::known_leadership`].
    LeadershipQueried(ServiceName),
    /// Another node reported what it knows of a service's leadership.
    PeerLeadership {
        /// The service.
        service: ServiceName,
        /// The highest term that may have begun.
        possible_term: Term,
        /// When this node sent the query.
        asked_at: Time,
        /// The age of the other node's information when it answered, by that node's clock.
        age: Duration,
    },
    /// A holder that statements were forwarded to has shown that it is alive.
    HolderAlive(NodeId),
    /// The connection to a holder that statements were forwarded to has ended.
    HolderLost(NodeId),
    /// A holder could not be reached; none of the statements for it was sent.
    HolderUnreachable(NodeId),
    /// The members of the fleet: live nodes and nodes that have announced that they leave.
    Members {
        /// Live nodes that don't leave, including this one.
        live: BTreeSet<NodeId>,
        /// Nodes that leave.
        leaving: BTreeSet<NodeId>,
    },
    /// The recorded size of the fleet; 0 if none is recorded yet.
    FleetSizeRecorded(u32),
    /// A coordinator answered [`Effect::RequestLimitGrant`].
    LimitGranted(NodeId, GrantResponse),
    /// The process is to stop.
    StopRequested,
    /// Time has advanced; see [`crate::Engine::next_wake`].
    Tick,
}

/// A command to a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendCommand {
    /// Clear the connection's session values and prepared statements.
    Reset,
    /// Set a session value.
    SetValue {
        /// Its name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a statement. Its name on the connection is derived from its shape, so that sessions can share
    /// it.
    Prepare(PreparedStatement),
    /// Begin a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// The log position that the back end must have reached.
        floor: Option<Freshness>,
    },
    /// Roll back the transaction.
    Rollback,
    /// Request the back end's status, returned in [`BackendReply::member`].
    QueryStatus,
    /// Run a caller's statement with its text unchanged.
    Run {
        /// The caller's statement id.
        id: String,
        /// The text.
        text: String,
        /// The log position that the back end must have reached.
        floor: Option<Freshness>,
    },
    /// Run a prepared statement for a caller.
    Execute {
        /// The caller's statement id.
        id: String,
        /// The prepared statement.
        prepared: PreparedStatement,
        /// Opaque arguments.
        arguments: String,
        /// The log position that the back end must have reached.
        floor: Option<Freshness>,
    },
}

/// What the use of a back end shows about its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendEvidence {
    /// It replied.
    Answered,
    /// Nothing listens at its address.
    Refused,
    /// A command or an opening has had no reply for longer than the silence timeout.
    Unresponsive,
    /// It reported that it is not the leader.
    NotLeader,
    /// It reports itself as primary but lacks commits that it had acknowledged.
    LostLog,
    /// It accepts no more connections.
    ConnectionLimitReached,
}

/// A change in what a node knows of a service's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// A replica confirmed the leader.
    Confirmed,
    /// A replica waits for a later term than the leader's.
    Revoked,
    /// The last confirmation has expired.
    Lapsed,
}

/// The target of a new connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenTarget {
    /// The back end that must answer at the address.
    pub backend: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The tenant whose statements the connection carries; none for internal queries and where tenants are
    /// not distinguished.
    pub tenant: Option<TenantName>,
}

/// A decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is retried on another back end.
    Retried,
    /// It is also sent to a second back end because the first is slow.
    Hedged,
    /// It was refused without having run.
    Refused(ResultCode),
    /// It ended with an unknown outcome.
    OutcomeUnknown(ResultCode),
}

/// A log record of a decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The caller's id of the statement.
    pub id: String,
    /// The service.
    pub service: Option<ServiceName>,
    /// The client's tenant.
    pub tenant: Option<TenantName>,
    /// When a refused client should retry.
    pub retry_after: Option<Duration>,
    /// The back end concerned.
    pub backend: Option<BackendId>,
    /// The decision.
    pub decision: Decision,
    /// How often the request had been sent.
    pub attempts: u32,
    /// Time since the request arrived.
    pub age: Duration,
    /// Age of the newest proof of the leader's position.
    pub proof_age: Option<Duration>,
}

/// A log record of a reply that does not answer the command that awaits one, or may not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyRecord {
    /// The back end.
    pub backend: BackendId,
    /// The connection.
    pub connection: ConnectionId,
    /// The awaited command; none if no command is unanswered.
    pub expected: Option<&'static str>,
    /// The caller's id of the statement that uses the connection, if any.
    pub request: Option<String>,
    /// Why the reply is doubted.
    pub doubt: ReplyDoubt,
    /// What the reply is: a signed success, an unsigned success or an error.
    pub received: &'static str,
    /// The log position that it shows.
    pub position: Option<Freshness>,
    /// Time since the last reply on the connection.
    pub last_reply_age: Option<Duration>,
    /// Whether the connection is closed.
    pub is_closing: bool,
}

/// Measurement of a finished request, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMeasurement {
    /// The read consistency of its route.
    pub consistency: Consistency,
    /// Whether it reads or writes.
    pub access: AccessClass,
    /// The class of its outcome.
    pub outcome: OutcomeClass,
    /// The role of the back end that answered; none if no back end did.
    pub served_by: Option<BackendRole>,
    /// Time from the request's arrival to its response.
    pub latency: Duration,
}

/// An action for the engine's driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Accept the session.
    AcceptSession {
        /// The session.
        session: SessionId,
    },
    /// Refuse the session and close it.
    RefuseSession {
        /// The session.
        session: SessionId,
        /// The reason.
        code: ResultCode,
    },
    /// Answer a session's oldest unanswered statement.
    Respond {
        /// The session.
        session: SessionId,
        /// The answer.
        response: Response,
    },
    /// Close a session.
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Open a connection.
    Open {
        /// The number of the new connection.
        connection: ConnectionId,
        /// The target.
        target: OpenTarget,
    },
    /// Send a command.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The command.
        command: BackendCommand,
    },
    /// Close a connection.
    CloseConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// The use of a back end showed something about its state.
    BackendObserved {
        /// The back end.
        backend: BackendId,
        /// What it showed.
        evidence: BackendEvidence,
    },
    /// Query another node for a service's leadership.
    QueryLeadership {
        /// The node.
        holder: NodeId,
        /// The service.
        service: ServiceName,
    },
    /// This node's knowledge of a service's leadership changed.
    LeadershipObserved {
        /// The service.
        service: ServiceName,
        /// The leader.
        leader: BackendId,
        /// The change.
        change: LeadershipChange,
        /// The leader's term.
        term: Term,
        /// The highest term that the last queried replica follows or waits for.
        awaited: Option<Term>,
        /// Time since that replica was queried.
        age: Option<Duration>,
    },
    /// Query peers for the leader's log position.
    QueryPosition {
        /// The service.
        service: ServiceName,
    },
    /// Forward a statement to another node.
    Forward {
        /// The node.
        holder: NodeId,
        /// The session.
        session: SessionId,
        /// The request's number.
        request: u64,
        /// The statement.
        forwarded: ForwardedRequest,
    },
    /// Ask a holder that statements were forwarded to for a liveness reply.
    PingHolder {
        /// The node.
        holder: NodeId,
    },
    /// A holder that statements were forwarded to stopped answering, or answers again.
    HolderLivenessChanged {
        /// The node.
        holder: NodeId,
        /// Whether it has stopped answering.
        is_silent: bool,
    },
    /// Tell a holder that a session whose statements were forwarded to it has ended.
    CloseForwardedSession {
        /// The node.
        holder: NodeId,
        /// The session.
        session: SessionId,
    },
    /// Request a grant of operations for tenants with a limit from a coordinator.
    RequestLimitGrant(NodeId, GrantRequest),
    /// Record the size of the fleet where all nodes read it.
    RecordFleetSize(u32),
    /// A coordinator of tenant limits did not answer; another one is used from now on.
    CoordinatorChanged {
        /// The group of tenants.
        shard: Shard,
        /// The coordinator that did not answer.
        silent: NodeId,
        /// The new coordinator; this node itself if no other answers.
        now: Option<NodeId>,
    },
    /// A zone was evacuated or returned to service, as seen by this node.
    EvacuationObserved {
        /// The zone.
        zone: ZoneName,
        /// Whether it is evacuated.
        is_evacuated: bool,
    },
    /// A back end started to leave, cancelled leaving, or gets no more work.
    LeavingObserved {
        /// The back end.
        backend: BackendId,
        /// The change.
        change: LeavingChange,
    },
    /// A back end's process has restarted under the same id.
    RestartObserved {
        /// The back end.
        backend: BackendId,
    },
    /// A back end became cold (just started) or warm.
    WarmUpObserved {
        /// The back end.
        backend: BackendId,
        /// Remaining time until it is warm; none once it is warm.
        left: Option<Duration>,
    },
    /// Log a decision about a request.
    Record(RequestRecord),
    /// Log a doubted reply.
    ReplyDoubted(ReplyRecord),
    /// Record the metrics of a finished request.
    Measured(RequestMeasurement),
    /// The planned stop is complete.
    Stopped,
}
