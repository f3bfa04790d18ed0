//! A back end that this node serves in one role: connects the pool and lease state machines to
//! sockets and the clock.

mod effects;
mod timer;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairward_pool::lease::{LeaseEvent, LeaseSettings};
use stairward_pool::pool::{
    BackendState, ConnectionId, ConnectionRequest, PoolEvent, PoolSettings, RequestId,
    ReturnedState,
};
use stairward_pool::{BackendPool, Lease, OwnerRole};
use stairward_protocol::stream::BackendHint;
use stairward_types::{
    AdminState, BackendId, BackendRole, GroupId, LogEvent, ResultCode, Term, Time,
};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::owner::connection::BackendConnection;
use crate::owner::context::OwnerContext;
use crate::owner::control::{ControlCommand, StatusReply, run_control};
use crate::owner::error::BackendError;
use crate::owner::fence::FenceDriver;
use crate::owner::login::Login;
use crate::owner::status::BackendStatus;

/// Extra time after the drain limit before the back end is released regardless of running work. The
/// successor terminates the remaining sessions.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// Poll interval, while the back end is released, for commits that still wait for the fence.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Name, group, role and login of a served back end.
pub(super) struct BackendIdentity {
    /// Its name.
    pub name: BackendId,
    /// Its group.
    pub group: GroupId,
    /// The role in which this node serves it.
    pub role: OwnerRole,
    /// The login of its working connections.
    pub login: Login,
}

/// A back end served by this node.
pub(super) struct Backend {
    /// Its name, group, role and login.
    pub identity: BackendIdentity,
    /// State shared by the node's owner side.
    pub context: Arc<OwnerContext>,
    /// Verifies commits before they are acknowledged.
    pub fence: FenceDriver,
    state: Mutex<State>,
    control: mpsc::UnboundedSender<ControlCommand>,
    timer: Notify,
    drained: watch::Sender<bool>,
    next_request: std::sync::atomic::AtomicU64,
    /// Cancelled when the back end is no longer served.
    pub ended: CancellationToken,
}

/// A connection granted to one stream.
pub(super) struct Grant {
    /// The request that holds the connection.
    pub request: RequestId,
    /// The connection.
    pub connection: BackendConnection,
    /// The back end's term according to the last probe before the grant.
    pub term: Term,
    /// Cancelled when the stream must end because the drain limit has passed.
    pub cancellation: CancellationToken,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    /// A result code of the class *not run*.
    pub code: ResultCode,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a retry delay.
    pub(super) const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }
}

/// Connection and request counts of one back end.
#[derive(Debug, Clone, Copy)]
pub(super) struct BackendLoad {
    /// Working connections in any state.
    pub connections: usize,
    /// Connections in use by streams.
    pub in_use: usize,
    /// Queued requests.
    pub queued: usize,
}

struct Waiter {
    request: ConnectionRequest,
    reply: oneshot::Sender<Result<Grant, Refusal>>,
}

struct State {
    pool: BackendPool,
    lease: Lease,
    /// The sockets of the pool's idle connections.
    idle: BTreeMap<ConnectionId, BackendConnection>,
    waiters: BTreeMap<RequestId, Waiter>,
    slot_waiters: BTreeMap<RequestId, oneshot::Sender<()>>,
    cancellations: BTreeMap<RequestId, CancellationToken>,
    in_use: BTreeMap<RequestId, ConnectionId>,
    timer_due: Option<Time>,
}

impl Backend {
    /// Starts serving a back end and requests its lease.
    pub(super) fn start(
        identity: BackendIdentity,
        context: Arc<OwnerContext>,
        settings: PoolSettings,
    ) -> Arc<Self> {
        let (control, commands) = mpsc::unbounded_channel();
        let state = State {
            pool: BackendPool::new(settings),
            lease: Lease::new(LeaseSettings::default()),
            idle: BTreeMap::new(),
            waiters: BTreeMap::new(),
            slot_waiters: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            in_use: BTreeMap::new(),
            timer_due: None,
        };
        let fence = FenceDriver::new(&identity.name, &identity.group, &context);
        let backend = Arc::new(Self {
            identity,
            context,
            fence,
            state: Mutex::new(state),
            control,
            timer: Notify::new(),
            drained: watch::Sender::new(false),
            next_request: std::sync::atomic::AtomicU64::new(1),
            ended: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&backend).run_timer());
        tokio::spawn(run_control(Arc::clone(&backend), commands));
        backend.lease_event(LeaseEvent::Wanted(true));
        backend
    }

    /// Sends a command to the control task.
    pub(super) fn command(&self, command: ControlCommand) {
        let _ = self.control.send(command);
    }

    /// Queries the back end's status on the control connection. Queries that arrive while one is in
    /// progress share the next one.
    pub(super) async fn query_status(&self) -> Result<BackendStatus, BackendError> {
        let (reply, answer) = oneshot::channel::<StatusReply>();
        self.command(ControlCommand::QueryStatus(reply));
        match answer.await {
            Ok(Some(status)) => Ok(status),
            Ok(None) | Err(_) => Err(BackendError::Closed),
        }
    }

    /// The result code for requests while the lease is not held.
    pub(super) fn refusal_without_lease(&self) -> ResultCode {
        self.lock().pool.refusal_without_lease()
    }

    /// Whether the lease is held now. Checked again just before the first byte is sent.
    pub(super) fn lease_is_held(&self) -> bool {
        self.lock().lease.is_held(self.now())
    }

    /// Whether an operator marked the back end as leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.lock().pool.settings().admin_state == AdminState::Leaving
    }

    /// The state found by the last successful probe.
    pub(super) fn state(&self) -> Option<BackendState> {
        self.lock().pool.state()
    }

    /// Whether the back end reported itself as primary in the last probe.
    pub(super) fn is_primary(&self) -> bool {
        self.state()
            .is_some_and(|state| state.role == BackendRole::Primary)
    }

    /// Current connection and request counts.
    pub(super) fn load(&self) -> BackendLoad {
        let state = self.lock();
        BackendLoad {
            connections: state.pool.connections(),
            in_use: state.pool.lent(),
            queued: state.pool.waiting(),
        }
    }

    /// The last probed state, as sent to edges.
    pub(super) fn hint(&self) -> BackendHint {
        let state = self.lock();
        let waiting = u16::try_from(state.pool.waiting()).unwrap_or(u16::MAX);
        let last = state.pool.state();
        BackendHint {
            freshness: last.map(|last| last.freshness).unwrap_or_default().into(),
            is_primary: u8::from(last.is_some_and(|last| last.role == BackendRole::Primary)),
            waiting,
        }
    }

    /// Allocates the id of a new request.
    pub(super) fn next_request(&self) -> RequestId {
        let number = &self.next_request;
        RequestId(number.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }

    /// Requests a connection and a slot. Dropping the receiver does not cancel the request; see
    /// [`Backend::cancel_request`].
    pub(super) fn request(
        self: &Arc<Self>,
        request: ConnectionRequest,
    ) -> oneshot::Receiver<Result<Grant, Refusal>> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.lock();
        let waiter = Waiter {
            request: request.clone(),
            reply,
        };
        state.waiters.insert(request.request, waiter);
        self.pool_event(&mut state, PoolEvent::Requested(request));
        answer
    }

    /// Cancels a queued request. A connection granted concurrently is returned to the pool.
    pub(super) fn cancel_request(
        self: &Arc<Self>,
        request: RequestId,
        answer: &mut oneshot::Receiver<Result<Grant, Refusal>>,
    ) {
        let mut state = self.lock();
        state.waiters.remove(&request);
        self.pool_event(&mut state, PoolEvent::Cancelled(request));
        drop(state);
        if let Ok(Ok(grant)) = answer.try_recv() {
            self.return_connection(grant, ReturnedState::Idle);
        }
    }

    /// Requests a slot for another batch of a stream that holds a connection.
    pub(super) fn request_slot(self: &Arc<Self>, request: RequestId) -> oneshot::Receiver<()> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.lock();
        state.slot_waiters.insert(request, reply);
        self.pool_event(&mut state, PoolEvent::SlotWanted(request));
        answer
    }

    /// Releases the slot while the stream's transaction stays open.
    pub(super) fn release_slot(self: &Arc<Self>, request: RequestId) {
        self.handle(PoolEvent::SlotReleased(request));
    }

    /// Returns a connection to the pool.
    pub(super) fn return_connection(self: &Arc<Self>, grant: Grant, returned: ReturnedState) {
        let mut state = self.lock();
        state.cancellations.remove(&grant.request);
        state.slot_waiters.remove(&grant.request);
        let Some(connection) = state.in_use.remove(&grant.request) else {
            return;
        };
        if returned == ReturnedState::InDoubt {
            tokio::spawn(Arc::clone(self).cancel_and_close(connection, grant.connection));
        } else {
            state.idle.insert(connection, grant.connection);
        }
        let event = PoolEvent::Returned {
            request: grant.request,
            state: returned,
        };
        self.pool_event(&mut state, event);
    }

    /// Releases the back end: admits no new work, lets running work finish within `limit`, then
    /// releases the lock and notifies the successor. Returns when nothing is held any more.
    pub(super) async fn stop(self: &Arc<Self>, limit: Duration) {
        let mut drained = self.drained.subscribe();
        self.handle(PoolEvent::DrainUntil(self.now() + limit));
        let empty = drained.wait_for(|drained| *drained);
        let is_empty = matches!(
            tokio::time::timeout(limit + STOP_GRACE, empty).await,
            Ok(Ok(_))
        );
        if !is_empty {
            tracing::warn!(
                event = LogEvent::OwnershipReleased.number(),
                backend = %self.identity.name,
                "work did not finish within the drain limit; its sessions will be terminated at the back end"
            );
        }
        while self.fence.is_busy() {
            tokio::time::sleep(FENCE_POLL_INTERVAL).await;
        }
        self.lease_event(LeaseEvent::Wanted(false));
        self.lease_event(LeaseEvent::ConnectionsClosed);
        let (reply, ended) = oneshot::channel();
        self.command(ControlCommand::Stop(reply));
        let _ = ended.await;
        self.ended.cancel();
    }

    /// Passes an event to the pool.
    pub(super) fn handle(self: &Arc<Self>, event: PoolEvent) {
        let mut state = self.lock();
        self.pool_event(&mut state, event);
    }

    /// Passes an event to the lease.
    pub(super) fn lease_event(self: &Arc<Self>, event: LeaseEvent) {
        let mut state = self.lock();
        self.lease_event_locked(&mut state, event);
        self.arm_timer(&mut state);
    }

    /// The current time of this node's clock.
    pub(super) fn now(&self) -> Time {
        self.context.cluster.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
