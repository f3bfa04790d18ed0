//! Events and effects of a [`super::BackendPool`].

use std::time::Duration;

use stairward_types::{
    AccessClass, AdminState, BackendRole, Freshness, ResultCode, ServiceName, Term, Time,
};

/// Identifies a request for a connection within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a connection within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The limits in force for one back end at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// State of the back end set by operators.
    pub admin_state: AdminState,
    /// Maximum connections for statements at this node, in any state.
    pub connections: u32,
    /// Statements that may run concurrently before new work is queued. Further batches of open
    /// transactions are not queued, so up to `connections` statements can run.
    pub slots: u32,
    /// Maximum connections being opened at the same time.
    pub opening_limit: u32,
    /// Maximum waiting requests.
    pub queue_limit: usize,
    /// How long running transactions may continue once the back end is leaving.
    pub leave_timeout: Duration,
}

/// State that a back end reported in a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendState {
    /// Its term and position.
    pub freshness: Freshness,
    /// The role it reports.
    pub role: BackendRole,
}

/// A request for a connection and a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionRequest {
    /// Its id.
    pub request: RequestId,
    /// The service that the work belongs to.
    pub service: ServiceName,
    /// The service's weight in fair sharing, at least 1.
    pub weight: u32,
    /// Whether the work may write.
    pub access: AccessClass,
    /// Minimum freshness of the back end, unless it is the primary of at least that term.
    pub floor: Option<Freshness>,
    /// Minimum term of the back end.
    pub expected_term: Term,
    /// Deadline of the request.
    pub deadline: Time,
    /// How long to wait for the back end to reach the floor.
    pub freshness_wait: Duration,
}

/// State in which a lent connection is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnedState {
    /// The back end reported it idle, and no session state was left on it.
    Idle,
    /// The back end reported it idle, but it must be reset before another session uses it.
    NeedsReset,
    /// Its state is unknown. The caller closes it and reports [`PoolEvent::ConnectionClosed`] once the
    /// back end has ended the session.
    InDoubt,
}

/// Input of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// A stream wants a connection and a slot.
    Requested(ConnectionRequest),
    /// A waiting request is cancelled. Has no effect if the request was admitted in the meantime.
    Cancelled(RequestId),
    /// A transaction that holds a connection requests a slot for its next batch.
    SlotWanted(RequestId),
    /// A batch has ended; its transaction continues without a slot.
    SlotReleased(RequestId),
    /// A stream has ended and returns its connection.
    Returned {
        /// The request it was lent to.
        request: RequestId,
        /// Its state.
        state: ReturnedState,
    },
    /// A connection was opened and has logged in.
    ConnectionOpened(ConnectionId),
    /// A connection could not be opened.
    OpeningFailed(ConnectionId),
    /// A connection was reset and is idle.
    ConnectionReset(ConnectionId),
    /// A connection was closed by either side.
    ConnectionClosed(ConnectionId),
    /// The back end answered a health probe.
    Probed(BackendState),
    /// The back end did not answer a health probe.
    ProbeFailed,
    /// The back end reports that another session holds the lease's lock: it is reachable, and another node serves it.
    LockHeldElsewhere,
    /// A known term of the group, from any source.
    NewestTerm(Term),
    /// The limits or the admin state have changed.
    SettingsChanged(PoolSettings),
    /// Whether the lease on the back end is held.
    LeaseHeld(bool),
    /// Whether this node's settings are too old to accept new work.
    ConfigurationTooOld(bool),
    /// The back end is handed over to another owner: new work is refused, and running work must end by this time.
    DrainUntil(Time),
    /// Time has passed; see [`super::BackendPool::next_wake`].
    Tick,
}

/// Action for the caller of a pool to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEffect {
    /// The request is admitted with a connection and a slot.
    Admit {
        /// The request.
        request: RequestId,
        /// The connection lent to it.
        connection: ConnectionId,
    },
    /// The transaction may send its next batch.
    GrantSlot(RequestId),
    /// The request is refused; no part of it ran.
    Refuse {
        /// The request.
        request: RequestId,
        /// Result code of the class [`OutcomeClass::NotRun`](stairward_types::OutcomeClass::NotRun).
        code: ResultCode,
        /// Delay after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// Open a connection.
    OpenConnection(ConnectionId),
    /// Reset a connection, which also checks that it still works.
    ResetConnection(ConnectionId),
    /// Close an idle connection.
    CloseConnection(ConnectionId),
    /// The stream's deadline has passed: end its transaction and return the connection.
    EndStream(RequestId),
    /// After [`PoolEvent::DrainUntil`], no connection exists any more.
    Drained,
}
