//! What goes into the engine and what comes out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_limits::{Ask, Grant, Shard};
use stairward_types::{
    AccessClass, ApiKey, BackendId, BackendRole, Freshness, GroupId, NodeId, OutcomeClass,
    RegionName, ResultCode, ServiceName, TenantName, Term, Time, ZoneName,
};

use crate::forwarding::ForwardedRequest;
use crate::holder_directory::ServiceHolders;
use crate::identifiers::{ConnectionId, SessionId};
use crate::leaving::LeavingChange;
use crate::reply::{BackendReply, Response};
use crate::settings::{BackendDescription, Consistency, DiscoveryChange, RoutingTable};
use crate::statement::{PreparedStatement, Statement};

/// Why a connection to a back end could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// Nothing listens there.
    Refused,
    /// No answer came in time.
    TimedOut,
    /// The back end has too many connections.
    ConnectionLimit,
    /// Another back end answers at this address.
    WrongBackend,
    /// It answered something else.
    Other,
}

/// What the engine hears.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller connected and asked for a database.
    SessionOpened {
        /// The new session.
        session: SessionId,
        /// The database asked for.
        database: GroupId,
        /// The key that the client carries.
        key: Option<ApiKey>,
    },
    /// A caller sent a statement.
    Statement {
        /// Its session.
        session: SessionId,
        /// The statement.
        statement: Statement,
    },
    /// A caller sent something that is not a statement; the session goes on.
    InvalidStatement {
        /// Its session.
        session: SessionId,
    },
    /// A caller is gone.
    SessionClosed {
        /// Its session.
        session: SessionId,
    },
    /// A connection to a back end is ready for use.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
        /// How far the back end's log had come.
        position: Option<Freshness>,
    },
    /// A connection could not be opened.
    OpenFailed {
        /// The connection.
        connection: ConnectionId,
        /// Why.
        failure: OpenFailure,
    },
    /// A back end answered the oldest command without an answer on this connection.
    Reply {
        /// The connection.
        connection: ConnectionId,
        /// The answer.
        reply: BackendReply,
    },
    /// A connection ended, whoever closed it.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A configuration was learnt.
    ConfigurationChanged(Arc<RoutingTable>),
    /// Discovery's whole present list.
    BackendsListed {
        /// The list.
        list: Vec<BackendDescription>,
        /// What differs from the last list came about after this moment; none where that is not known.
        since: Option<Time>,
    },
    /// Discovery's list has changed. What differs came about after `since`, or at any time where that is not known.
    BackendsChanged {
        /// What differs.
        change: DiscoveryChange,
        /// See above.
        since: Option<Time>,
    },
    /// How many nodes share the back ends' connections.
    NodeCountChanged(u32),
    /// Who holds the connections of these services now; all others are as they were.
    HoldersChanged(BTreeMap<ServiceName, ServiceHolders>),
    /// The region of each node that is seen.
    NodeRegions(BTreeMap<NodeId, RegionName>),
    /// The zones to whose back ends nothing is to be sent.
    EvacuatedZonesChanged {
        /// All of them.
        zones: BTreeSet<ZoneName>,
        /// What differs from the last such word came about after this moment; none where that is not known.
        since: Option<Time>,
    },
    /// Another node forwards a statement of one of its sessions.
    ForwardedRequest {
        /// The session, by a number of this node.
        session: SessionId,
        /// The statement, with all of the session that it needs.
        forwarded: Box<ForwardedRequest>,
    },
    /// A holder answered a statement that was forwarded to it.
    ForwardAnswered {
        /// The holder.
        holder: NodeId,
        /// The session.
        session: SessionId,
        /// The request's number, as it was forwarded.
        request: u64,
        /// The answer.
        response: Response,
    },
    /// A peer said how far the leader's log had come.
    PeerPosition {
        /// The service.
        service: ServiceName,
        /// The position.
        freshness: Freshness,
        /// When this node asked the peer.
        asked_at: Time,
        /// How old the peer's knowledge was when it answered, by its own clock.
        age: Duration,
    },
    /// A replica is about to be promoted in this term: no leader of a lower one is to be believed any more.
    LeadershipRevoked(ServiceName, Term),
    /// Whoever was about to have a replica promoted is done, with or without a promotion.
    PromotionEnded(ServiceName),
    /// Another node asks for what is known of a service's lead; see [`crate::Engine::known_leadership`].
    LeadershipQueried(ServiceName),
    /// Another node said what it knows of a service's lead.
    PeerLeadership {
        /// The service.
        service: ServiceName,
        /// The newest term that may have begun.
        possible_term: Term,
        /// When this node asked.
        asked_at: Time,
        /// How old the other's knowledge was when it answered, by its own clock.
        age: Duration,
    },
    /// A node that statements were forwarded to gave a sign of life.
    HolderAlive(NodeId),
    /// The connection to a node that statements were forwarded to has ended.
    HolderLost(NodeId),
    /// A node that statements were to be forwarded to can't be reached: none of them was sent.
    HolderUnreachable(NodeId),
    /// The nodes that live, and those that have said that they leave.
    Members {
        /// Nodes that live and don't leave, this one among them.
        live: BTreeSet<NodeId>,
        /// Nodes that leave.
        leaving: BTreeSet<NodeId>,
    },
    /// How many nodes are on record; 0 where there is no record yet.
    FleetSizeRecorded(u32),
    /// A coordinator answered [`Effect::RequestLimitGrant`].
    LimitGranted(NodeId, Grant),
    /// The process is to stop.
    StopRequested,
    /// Time has passed; see [`crate::Engine::next_wake`].
    Tick,
}

/// A command to a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendCommand {
    /// Drop the connection's values and prepared names.
    Reset,
    /// Set a value.
    SetValue {
        /// Its name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a shape. Its name on the connection is derived from it, so that sessions can share it.
    Prepare(PreparedStatement),
    /// Open a transaction.
    Begin {
        /// Whether only reads follow.
        read_only: bool,
        /// What the log must hold.
        floor: Option<Freshness>,
    },
    /// Undo the transaction.
    Rollback,
    /// Say what it is, for [`BackendReply::member`].
    QueryStatus,
    /// Run a caller's statement, its text unchanged.
    Run {
        /// The caller's id.
        id: String,
        /// The text.
        text: String,
        /// What the log must hold.
        floor: Option<Freshness>,
    },
    /// Run a prepared statement for a caller.
    Execute {
        /// The caller's id.
        id: String,
        /// What was prepared.
        prepared: PreparedStatement,
        /// Opaque arguments.
        arguments: String,
        /// What the log must hold.
        floor: Option<Freshness>,
    },
}

/// What use of a back end shows about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendEvidence {
    /// It answered.
    Answered,
    /// Nothing listens at its address.
    Refused,
    /// It has left a command or an opening without an answer for long.
    Unresponsive,
    /// It said that it does not lead.
    NotLeader,
    /// It calls itself primary and lacks commits that it had answered with.
    LostLog,
    /// It takes no more connections.
    ConnectionLimitReached,
}

/// What a node believes of a service's lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// A replica confirmed the leader.
    Confirmed,
    /// A replica waits for a later term than the leader's.
    Revoked,
    /// The last confirmation has grown too old.
    Lapsed,
}

/// Where to open a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenTarget {
    /// The back end that must answer.
    pub backend: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The tenant whose statements it is for; none for the system's own questions, and where tenants are not
    /// told apart.
    pub tenant: Option<TenantName>,
}

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to another back end.
    Retried,
    /// It is also sent to a second back end, since the first is slow.
    Hedged,
    /// It was refused as not run.
    Refused(ResultCode),
    /// It ended with its outcome unknown.
    OutcomeUnknown(ResultCode),
}

/// A decision that touches a request, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The caller's id of the statement.
    pub id: String,
    /// The service.
    pub service: Option<ServiceName>,
    /// The tenant whose client it is.
    pub tenant: Option<TenantName>,
    /// When a refused client is told to come back.
    pub retry_after: Option<Duration>,
    /// The back end concerned.
    pub backend: Option<BackendId>,
    /// What was decided.
    pub decision: Decision,
    /// How often it had been sent.
    pub attempts: u32,
    /// How long ago it had come.
    pub age: Duration,
    /// How old the newest proof of the leader's position is.
    pub proof_age: Option<Duration>,
}

/// How a request ended, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMeasurement {
    /// What reads of its route must see.
    pub consistency: Consistency,
    /// Whether it could write.
    pub access: AccessClass,
    /// Whether it ran.
    pub outcome: OutcomeClass,
    /// The role of the back end that answered; none where none did.
    pub served_by: Option<BackendRole>,
    /// From its arrival to its answer.
    pub latency: Duration,
}

/// What the engine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The session is accepted.
    AcceptSession {
        /// The session.
        session: SessionId,
    },
    /// The session is refused and ends.
    RefuseSession {
        /// The session.
        session: SessionId,
        /// Why.
        code: ResultCode,
    },
    /// Answer a session's oldest statement without an answer.
    Respond {
        /// The session.
        session: SessionId,
        /// The answer.
        response: Response,
    },
    /// End a session that is at rest.
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Open a connection.
    Open {
        /// The connection's number.
        connection: ConnectionId,
        /// Where to.
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
    /// Use of a back end showed something about it.
    BackendObserved {
        /// The back end.
        backend: BackendId,
        /// What was shown.
        evidence: BackendEvidence,
    },
    /// Ask another node what it knows of a service's lead.
    QueryLeadership {
        /// The node.
        holder: NodeId,
        /// The service.
        service: ServiceName,
    },
    /// What this node believes of a service's lead has changed.
    LeadershipObserved {
        /// The service.
        service: ServiceName,
        /// The leader.
        leader: BackendId,
        /// What is believed now.
        change: LeadershipChange,
        /// The leader's term.
        term: Term,
        /// The newest term that the replica asked last follows or waits for.
        awaited: Option<Term>,
        /// How long ago that replica was asked.
        age: Option<Duration>,
    },
    /// Ask peers how far the leader's log had come.
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
    /// Ask a node that statements were forwarded to for a sign of life.
    PingHolder {
        /// The node.
        holder: NodeId,
    },
    /// A node that statements were forwarded to gives no sign of life, or gives one again.
    HolderLivenessChanged {
        /// The node.
        holder: NodeId,
        /// Whether it gives none.
        is_silent: bool,
    },
    /// Tell a node that a session has ended whose statements were forwarded to it.
    CloseForwardedSession {
        /// The node.
        holder: NodeId,
        /// The session.
        session: SessionId,
    },
    /// Ask a coordinator for operations of tenants with a limit.
    RequestLimitGrant(NodeId, Ask),
    /// Record how many nodes there may be, where all nodes read it.
    RecordFleetSize(u32),
    /// A coordinator of tenants' limits did not answer: another is asked from now on.
    CoordinatorChanged {
        /// The group of tenants.
        shard: Shard,
        /// The one that did not answer.
        silent: NodeId,
        /// The one that is asked now; this node itself where no other answers.
        now: Option<NodeId>,
    },
    /// A zone is evacuated, or is no longer, as this node has heard.
    EvacuationObserved {
        /// The zone.
        zone: ZoneName,
        /// Whether it is evacuated.
        is_evacuated: bool,
    },
    /// A back end leaves, is there to stay again, or gets no more work.
    LeavingObserved {
        /// The back end.
        backend: BackendId,
        /// What is known.
        change: LeavingChange,
    },
    /// A back end's process has started again under its id.
    RestartObserved {
        /// The back end.
        backend: BackendId,
    },
    /// A back end is cold, or is no longer.
    WarmUpObserved {
        /// The back end.
        backend: BackendId,
        /// For how much longer; none once it is warm.
        left: Option<Duration>,
    },
    /// A decision for the log.
    Record(RequestRecord),
    /// A request has ended.
    Measured(RequestMeasurement),
    /// The planned stop is complete.
    Stopped,
}
