//! One back end that this node serves in one role: carries out what the pool and the lease decide.

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
use crate::owner::control::{AskReply, ControlCommand, run_control};
use crate::owner::error::BackendError;
use crate::owner::fence::FenceDriver;
use crate::owner::login::Login;
use crate::owner::status::BackendStatus;

/// How much longer than allowed work may take to end before the back end is given up regardless. The
/// successor ends the sessions that are left.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// Pause between looks at whether commits still wait for their proof when the back end is given up.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Who a back end is and how it is reached.
pub(super) struct BackendIdentity {
    /// Its name.
    pub name: BackendId,
    /// Its group.
    pub group: GroupId,
    /// In which role this node serves it.
    pub role: OwnerRole,
    /// How its working connections log in.
    pub login: Login,
}

/// A back end served by this node.
pub(super) struct Backend {
    /// Who it is.
    pub identity: BackendIdentity,
    /// What the node's owner side shares.
    pub context: Arc<OwnerContext>,
    /// Proves its commits.
    pub fence: FenceDriver,
    state: Mutex<State>,
    control: mpsc::UnboundedSender<ControlCommand>,
    timer: Notify,
    drained: watch::Sender<bool>,
    next_request: std::sync::atomic::AtomicU64,
    /// Fires when the back end is served no longer.
    pub ended: CancellationToken,
}

/// A connection lent to one stream.
pub(super) struct Grant {
    /// The request it was lent for.
    pub request: RequestId,
    /// The connection.
    pub connection: BackendConnection,
    /// The back end's term when it was last asked before the grant.
    pub term: Term,
    /// Fires when the stream's time is over.
    pub ending: CancellationToken,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    /// A code of the class *not run*.
    pub code: ResultCode,
    /// When it may be worth asking again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without advice on when to ask again.
    pub(super) const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }
}

/// What is held and what waits at one back end.
#[derive(Debug, Clone, Copy)]
pub(super) struct BackendLoad {
    /// Connections for work, in any state.
    pub connections: usize,
    /// Connections lent to streams.
    pub lent: usize,
    /// Requests that wait.
    pub waiting: usize,
}

struct Waiter {
    request: ConnectionRequest,
    reply: oneshot::Sender<Result<Grant, Refusal>>,
}

struct State {
    pool: BackendPool,
    lease: Lease,
    /// Idle connections, held for the pool.
    idle: BTreeMap<ConnectionId, BackendConnection>,
    waiters: BTreeMap<RequestId, Waiter>,
    slot_waiters: BTreeMap<RequestId, oneshot::Sender<()>>,
    endings: BTreeMap<RequestId, CancellationToken>,
    lent: BTreeMap<RequestId, ConnectionId>,
    timer_due: Option<Time>,
}

impl Backend {
    /// Starts to serve a back end. The lease is wanted at once.
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
            endings: BTreeMap::new(),
            lent: BTreeMap::new(),
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

    /// Sends a command to the task that holds the control connection.
    pub(super) fn command(&self, command: ControlCommand) {
        let _ = self.control.send(command);
    }

    /// Asks the back end now, on the control connection. Questions that arrive while one is under
    /// way are answered together by the next.
    pub(super) async fn ask(&self) -> Result<BackendStatus, BackendError> {
        let (reply, answer) = oneshot::channel::<AskReply>();
        self.command(ControlCommand::Ask(reply));
        match answer.await {
            Ok(Some(status)) => Ok(status),
            Ok(None) | Err(_) => Err(BackendError::Closed),
        }
    }

    /// The refusal for a request that finds no lease held.
    pub(super) fn refusal_without_lease(&self) -> ResultCode {
        self.lock().pool.refusal_without_lease()
    }

    /// Whether the lease is held at this moment. Asked again just before the first byte is sent.
    pub(super) fn lease_is_held(&self) -> bool {
        self.lock().lease.is_held(self.now())
    }

    /// Whether operators marked the back end as leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.lock().pool.settings().admin_state == AdminState::Leaving
    }

    /// What the back end last said.
    pub(super) fn state(&self) -> Option<BackendState> {
        self.lock().pool.state()
    }

    /// Whether the back end believed to be the primary when last asked.
    pub(super) fn is_primary(&self) -> bool {
        self.state()
            .is_some_and(|state| state.role == BackendRole::Primary)
    }

    /// What is held and what waits.
    pub(super) fn load(&self) -> BackendLoad {
        let state = self.lock();
        BackendLoad {
            connections: state.pool.connections(),
            lent: state.pool.lent(),
            waiting: state.pool.waiting(),
        }
    }

    /// The state when last asked, for the edge.
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

    /// A number for a new request.
    pub(super) fn next_request(&self) -> RequestId {
        let number = &self.next_request;
        RequestId(number.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }

    /// Asks for a connection and a slot. Dropping the receiver does not withdraw the request; see
    /// [`Backend::withdraw`].
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

    /// Gives a waiting request up. A grant that crossed the withdrawal is taken back.
    pub(super) fn withdraw(
        self: &Arc<Self>,
        request: RequestId,
        answer: &mut oneshot::Receiver<Result<Grant, Refusal>>,
    ) {
        let mut state = self.lock();
        state.waiters.remove(&request);
        self.pool_event(&mut state, PoolEvent::Cancelled(request));
        drop(state);
        if let Ok(Ok(grant)) = answer.try_recv() {
            self.give_back(grant, ReturnedState::Idle);
        }
    }

    /// Asks for a slot for a further batch of a stream that holds a connection.
    pub(super) fn want_slot(self: &Arc<Self>, request: RequestId) -> oneshot::Receiver<()> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.lock();
        state.slot_waiters.insert(request, reply);
        self.pool_event(&mut state, PoolEvent::SlotWanted(request));
        answer
    }

    /// Gives the slot back while the stream's transaction goes on.
    pub(super) fn release_slot(self: &Arc<Self>, request: RequestId) {
        self.handle(PoolEvent::SlotReleased(request));
    }

    /// Takes a lent connection back.
    pub(super) fn give_back(self: &Arc<Self>, grant: Grant, returned: ReturnedState) {
        let mut state = self.lock();
        state.endings.remove(&grant.request);
        state.slot_waiters.remove(&grant.request);
        let Some(connection) = state.lent.remove(&grant.request) else {
            return;
        };
        if returned == ReturnedState::InDoubt {
            tokio::spawn(Arc::clone(self).dispose(connection, grant.connection));
        } else {
            state.idle.insert(connection, grant.connection);
        }
        let event = PoolEvent::Returned {
            request: grant.request,
            state: returned,
        };
        self.pool_event(&mut state, event);
    }

    /// Gives the back end up: takes no new work, lets what runs go on until the limit, then frees the
    /// lock and tells the successor. Returns once nothing is held any more.
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
                "work did not end in time; the back end will end it"
            );
        }
        while self.fence.is_busy() {
            tokio::time::sleep(FENCE_POLL_INTERVAL).await;
        }
        self.lease_event(LeaseEvent::Wanted(false));
        self.lease_event(LeaseEvent::ConnectionsClosed);
        let (reply, ended) = oneshot::channel();
        self.command(ControlCommand::End(reply));
        let _ = ended.await;
        self.ended.cancel();
    }

    /// Tells the pool something.
    pub(super) fn handle(self: &Arc<Self>, event: PoolEvent) {
        let mut state = self.lock();
        self.pool_event(&mut state, event);
    }

    /// Tells the lease something.
    pub(super) fn lease_event(self: &Arc<Self>, event: LeaseEvent) {
        let mut state = self.lock();
        self.lease_event_locked(&mut state, event);
        self.arm_timer(&mut state);
    }

    /// This node's clock.
    pub(super) fn now(&self) -> Time {
        self.context.cluster.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
