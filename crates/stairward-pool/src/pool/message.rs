//! What goes into a [`super::BackendPool`] and what comes out.

use std::time::Duration;

use stairward_types::{
    AccessClass, AdminState, BackendRole, Freshness, ResultCode, ServiceName, Term, Time,
};

/// One request for a connection, unique within a pool's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One connection, unique within a pool's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The limits in force for one back end at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// What operators have said about the back end.
    pub admin_state: AdminState,
    /// Connections this node may hold for work, in any state.
    pub connections: u32,
    /// Statements that may run at once before new work waits. Further batches of open transactions
    /// don't wait, so up to `connections` statements can run.
    pub slots: u32,
    /// Connections that may be opened at once.
    pub opening_limit: u32,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// How long transactions may go on once the back end is leaving.
    pub leave_timeout: Duration,
}

/// What a back end said of itself when last asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendState {
    /// Its term and position.
    pub freshness: Freshness,
    /// The role it believes to have.
    pub role: BackendRole,
}

/// A request for a connection and a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionRequest {
    /// Its number.
    pub request: RequestId,
    /// Whom the work is for.
    pub service: ServiceName,
    /// The service's weight in fair sharing, at least 1.
    pub weight: u32,
    /// Whether the work may write.
    pub access: AccessClass,
    /// What the copy must hold, unless it is the primary of at least the floor's term.
    pub floor: Option<Freshness>,
    /// The least term of the back end.
    pub expected_term: Term,
    /// When the caller gives up.
    pub deadline: Time,
    /// How long the back end may be waited for to reach the floor.
    pub freshness_wait: Duration,
}

/// In which state a lent connection comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnedState {
    /// The back end reported it idle, and no session state was left on it.
    Idle,
    /// The back end reported it idle, but it must be reset before another session uses it.
    NeedsReset,
    /// Its state is in doubt: the driver closes it, and reports
    /// [`PoolEvent::ConnectionClosed`] once the back end has let go.
    InDoubt,
}

/// What a pool hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// A stream wants a connection and a slot.
    Requested(ConnectionRequest),
    /// A waiting request is given up. A request that was admitted meanwhile is unaffected.
    Cancelled(RequestId),
    /// A transaction that holds a connection wants a slot for its next batch.
    SlotWanted(RequestId),
    /// A batch has ended; its transaction goes on without a slot.
    SlotReleased(RequestId),
    /// A stream has ended and gives its connection back.
    Returned {
        /// The request it was lent to.
        request: RequestId,
        /// Its state.
        state: ReturnedState,
    },
    /// A connection that was to be opened is logged in.
    ConnectionOpened(ConnectionId),
    /// A connection could not be opened.
    OpeningFailed(ConnectionId),
    /// A connection that was to be reset is idle and clean.
    ConnectionReset(ConnectionId),
    /// A connection has ended, whoever closed it.
    ConnectionClosed(ConnectionId),
    /// The back end answered a health probe.
    Probed(BackendState),
    /// The back end did not answer a health probe.
    ProbeFailed,
    /// The back end answered that another session holds the lease's lock: it lives, and another node serves it.
    LockHeldElsewhere,
    /// The newest term known of the group, from whatever source.
    NewestTerm(Term),
    /// The limits or the admin state have changed.
    SettingsChanged(PoolSettings),
    /// Whether the lease on the back end is held.
    LeaseHeld(bool),
    /// Whether the settings known to this node are too old to take new work by them.
    ConfigurationTooOld(bool),
    /// The back end is handed over: no new work, and what runs has until this moment.
    DrainUntil(Time),
    /// Time has passed; see [`super::BackendPool::next_wake`].
    Tick,
}

/// What a pool wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEffect {
    /// The request has a connection and a slot.
    Admit {
        /// The request.
        request: RequestId,
        /// The connection lent to it.
        connection: ConnectionId,
    },
    /// The transaction may send its next batch.
    GrantSlot(RequestId),
    /// The request is refused; nothing of it ran.
    Refuse {
        /// The request.
        request: RequestId,
        /// A code of the class *not run*.
        code: ResultCode,
        /// When it may be worth asking again.
        retry_after: Option<Duration>,
    },
    /// Open a connection.
    OpenConnection(ConnectionId),
    /// Reset an idle connection, which also proves that it still works.
    ResetConnection(ConnectionId),
    /// Close an idle connection.
    CloseConnection(ConnectionId),
    /// The stream's time is over: end its transaction and give the connection back.
    EndStream(RequestId),
    /// Nothing is lent or waiting any more after [`PoolEvent::DrainUntil`].
    Drained,
}
