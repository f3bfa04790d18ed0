//! What the engine keeps of one caller's session.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use stairward_types::{BackendId, Freshness, GroupId, NodeId, ServiceName, Time};

use crate::identifiers::{ConnectionId, RequestNumber};
use crate::reply::{Response, ResponseResult, TransactionStatus};
use crate::residency::Residency;
use crate::settings::Route;
use crate::statement::{PreparedStatement, Statement};
use crate::tenants::Identity;

/// One caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    /// The database asked for.
    pub database: GroupId,
    /// Who the client is.
    pub identity: Identity,
    /// The values that were acknowledged to the caller.
    pub values: BTreeMap<String, String>,
    /// The caller's prepared names.
    pub prepared: BTreeMap<String, PreparedStatement>,
    /// The newest commit of the session, by service.
    pub commits: BTreeMap<ServiceName, Freshness>,
    /// The transaction, as the caller sees it.
    pub transaction: Transaction,
    /// The request under way.
    pub request: Option<Request>,
    /// Whether another node forwards its statements here.
    pub is_forwarded: bool,
    /// When the answer to a statement that another node forwarded must be on its way at the latest.
    pub answer_due: Option<Time>,
    /// The nodes that statements of it were forwarded to.
    pub holders: BTreeSet<NodeId>,
    /// Statements that came while a request was under way; none stands for one that is not understood.
    pub queue: VecDeque<Option<Statement>>,
}

impl Session {
    pub fn new(database: GroupId, identity: Identity) -> Self {
        Self {
            database,
            identity,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            commits: BTreeMap::new(),
            transaction: Transaction::None,
            request: None,
            is_forwarded: false,
            answer_due: None,
            holders: BTreeSet::new(),
            queue: VecDeque::new(),
        }
    }

    /// An answer of the engine's own.
    pub fn own_response(&self, result: ResponseResult) -> Response {
        Response {
            rows: Vec::new(),
            result,
            status: self.status(),
            position: None,
        }
    }

    /// Whether nothing is under way, so that the session may be closed.
    pub fn is_idle(&self) -> bool {
        self.request.is_none() && self.queue.is_empty() && self.status() == TransactionStatus::Idle
    }

    pub fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open(_) | Transaction::Forwarded(_) => TransactionStatus::Open,
            Transaction::Failed { .. } => TransactionStatus::Failed,
        }
    }

    pub fn open_transaction(&self) -> Option<&OpenTransaction> {
        match &self.transaction {
            Transaction::Open(open) => Some(open),
            Transaction::None | Transaction::Forwarded(_) | Transaction::Failed { .. } => None,
        }
    }

    /// Whether a write was sent in the open transaction.
    pub fn has_written(&self) -> bool {
        match &self.transaction {
            Transaction::Open(open) => open.wrote,
            Transaction::Forwarded(forwarded) => forwarded.wrote,
            Transaction::None | Transaction::Failed { .. } => false,
        }
    }
}

/// A session's transaction.
#[derive(Debug)]
pub(crate) enum Transaction {
    /// None is open.
    None,
    /// One is open on a connection.
    Open(OpenTransaction),
    /// One is open at another node.
    Forwarded(ForwardedTransaction),
    /// One failed and waits for its end by the caller. No connection belongs to it any more.
    Failed {
        /// Whether the caller has been told.
        is_reported: bool,
    },
}

/// A transaction that is open at another node.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedTransaction {
    /// The node.
    pub holder: NodeId,
    /// The route it was begun on.
    pub route: Arc<Route>,
    /// Whether a write was sent in it.
    pub wrote: bool,
}

/// An open transaction.
#[derive(Debug, Clone)]
pub(crate) struct OpenTransaction {
    /// The connection that it is bound to.
    pub connection: ConnectionId,
    /// The route it was begun on.
    pub route: Arc<Route>,
    /// Whether any statement of it was sent besides its start.
    pub has_run: bool,
    /// Whether a write was sent in it.
    pub wrote: bool,
    /// Since when it rests, and the number its timer carries.
    pub idle_timer: Option<(Time, RequestNumber)>,
}

/// What a request needs of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A write by itself.
    Write,
    /// A read by itself that must run at the leader, inside a transaction of its own that the back end
    /// refuses to go on with once it has lost the lead.
    LeaderRead,
    /// A read by itself that any copy may answer that is fresh enough.
    FreshRead,
    /// The start of a transaction at the leader.
    LeaderTransaction,
    /// The start of a transaction that only reads, at any copy that is fresh enough.
    FreshTransaction,
    /// A statement within the open transaction.
    InTransaction {
        /// Whether it writes.
        writes: bool,
    },
    /// The commit of the open transaction.
    Commit,
}

impl RequestKind {
    /// Whether only the leader will do.
    pub const fn requires_leader(self) -> bool {
        matches!(
            self,
            Self::Write | Self::LeaderRead | Self::LeaderTransaction
        )
    }

    /// Whether it may be sent again although it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::LeaderRead | Self::FreshRead | Self::LeaderTransaction | Self::FreshTransaction
        )
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for its tenant's limit to have room.
    Admission,
    /// It waits for a back end, a connection or a proof.
    Waiting,
    /// Its connection is being set up; it has not been sent.
    Preparing(ConnectionId),
    /// It was sent on this connection last.
    Sent(ConnectionId),
    /// It was forwarded to another node.
    Forwarded(NodeId),
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// No back end that could take it can be reached.
    NoBackend,
    /// No leader is known.
    NoLeader,
    /// The leader's position is not known freshly enough, or no copy has come so far.
    NotFresh,
    /// All connections are in use.
    NoConnection,
    /// The back end that could take it is cold and has had its share.
    Cold,
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct Request {
    pub number: RequestNumber,
    pub statement: Statement,
    pub route: Arc<Route>,
    /// Where it may run.
    pub residency: Residency,
    pub kind: RequestKind,
    pub received: Time,
    pub deadline: Time,
    pub hold_ends: Time,
    pub hedge_at: Option<Time>,
    pub stage: Stage,
    /// What the log must hold behind the connection it goes to.
    pub floor: Option<Freshness>,
    pub wait_reason: WaitReason,
    /// How often it was sent and may have run.
    pub attempts: u32,
    /// How often a back end was tried in any way.
    pub backend_tries: u32,
    /// Whether the copies near by were found to be behind what it must see: the leader is not.
    pub needs_leader_holder: bool,
    /// Back ends not to be tried again.
    pub tried_backends: BTreeSet<BackendId>,
    /// Nodes that it was forwarded to.
    pub tried_holders: BTreeSet<NodeId>,
    /// The back end it went to last.
    pub last_backend: Option<BackendId>,
    /// Connections on which it was sent and no answer has come.
    pub unanswered: BTreeSet<ConnectionId>,
}
