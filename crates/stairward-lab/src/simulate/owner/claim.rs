//! One role at one back end: lease, pool, fence and connections.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_pool::fence::{
    AcknowledgementFence, CommitId, FenceSettings, InjectedFenceFault, QuestionId,
};
use stairward_pool::lease::{LeaseEffect, LeaseEvent, LeaseSettings};
use stairward_pool::pool::{ConnectionId, PoolEvent, PoolSettings, RequestId};
use stairward_pool::{BackendPool, ConnectionShares, Lease, OwnerRole};
use stairward_routing::Observation;
use stairward_settings::{BackendSettings, GroupSettings};
use stairward_standins::ConnectionNumber;
use stairward_types::{AdminState, BackendId, GroupId, ServiceName, Term, Time};

use super::commit::WaitingReply;
use super::control_connection::{
    ControlConnection, Job, JobEnded, PROBE_INTERVAL, Status, WAITING_PROBE_INTERVAL,
};
use super::stream::OwnerStream;
use super::work::WorkConnection;
use super::{ClaimKey, earliest, observation};
use crate::simulate::database::{DatabaseReply, DatabaseRequest};
use crate::simulate::message::{CallReply, PeerMessage, StreamKey};
use crate::simulate::outbox::{Outbox, ProxyTimer};
use crate::simulate::variant::BrokenVariant;

/// How long what is in flight may take when a role is given up.
const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Pause before a member whose answer was not enough for a fence is asked again.
const FENCE_RETRY: Duration = Duration::from_millis(5);
/// Least time between two wake-ups.
const SHORTEST_SLEEP: Duration = Duration::from_micros(200);
/// Commits that may wait for their proof.
const FENCE_LIMIT: usize = 1_000;

/// What a claim needs to know of the settings.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::simulate) struct ClaimSettings {
    key: ClaimKey,
    pub(super) group: GroupId,
    pub(super) service: ServiceName,
    pub(super) pool: PoolSettings,
    fence: FenceSettings,
    pub(super) fence_timeout: Duration,
    pub(super) broken: Option<BrokenVariant>,
}

impl ClaimSettings {
    /// Of a role at a back end.
    pub(super) fn new(
        group: &GroupSettings,
        backend: &BackendSettings,
        role: OwnerRole,
        broken: Option<BrokenVariant>,
    ) -> Self {
        let shares = ConnectionShares::divide(backend.connection_limit);
        let ignores_leaving = broken == Some(BrokenVariant::Leaving);
        let admin_state = match backend.admin_state {
            AdminState::Leaving if ignores_leaving => AdminState::Active,
            state => state,
        };
        let injected_fault =
            (broken == Some(BrokenVariant::Fence)).then_some(InjectedFenceFault::ProvesUnasked);
        Self {
            key: (backend.backend.clone(), role),
            group: group.group.clone(),
            service: group.service.clone(),
            pool: PoolSettings {
                admin_state,
                connections: shares.working(role),
                slots: backend.slots,
                opening_limit: backend.opening_limit,
                queue_limit: group.admission_queue_requests,
                leave_timeout: group.leave_timeout,
            },
            fence: FenceSettings {
                strength: group.fence,
                members: group.backends.keys().cloned().collect::<BTreeSet<_>>(),
                primary: backend.backend.clone(),
                retry_interval: FENCE_RETRY,
                waiting_limit: FENCE_LIMIT,
                injected_fault,
            },
            fence_timeout: group.fence_timeout,
            broken,
        }
    }
}

/// What a claim wants of its proxy.
#[derive(Debug)]
pub(in crate::simulate) enum ClaimRequest {
    /// A connection now belongs to the claim.
    Connected(ConnectionNumber),
    /// It no longer does.
    Disconnected(ConnectionNumber),
    /// A stream has ended.
    StreamEnded(StreamKey),
    /// Ask a member for a fence.
    AskMember(QuestionId, BackendId),
    /// The back end said this of itself.
    Observed(GroupId, Observation),
    /// Tell the successor that the role is free.
    HandOver,
}

/// One role at one back end.
#[derive(Debug)]
pub(in crate::simulate) struct Claim {
    pub(super) backend: BackendId,
    pub(super) role: OwnerRole,
    pub(super) settings: ClaimSettings,
    lease: Lease,
    pub(super) pool: BackendPool,
    control: ControlConnection,
    next_probe: Time,
    pub(super) work: BTreeMap<ConnectionNumber, WorkConnection>,
    pub(super) numbers: BTreeMap<ConnectionId, ConnectionNumber>,
    pub(super) streams: BTreeMap<RequestId, OwnerStream>,
    pub(super) by_key: BTreeMap<StreamKey, RequestId>,
    pub(super) next_request: u64,
    pub(super) next_batch: u64,
    pub(super) fence: AcknowledgementFence,
    pub(super) commits: BTreeMap<CommitId, WaitingReply>,
    pub(super) next_commit: u64,
    pub(super) requests: Vec<ClaimRequest>,
    newest_term: Term,
    too_old: bool,
    woken_for: Time,
}

impl Claim {
    /// A role that is not wanted yet.
    pub(super) fn new(settings: ClaimSettings) -> Self {
        Self {
            backend: settings.key.0.clone(),
            role: settings.key.1,
            lease: Lease::new(LeaseSettings::default()),
            pool: BackendPool::new(settings.pool.clone()),
            control: ControlConnection::default(),
            next_probe: Time::ZERO,
            work: BTreeMap::new(),
            numbers: BTreeMap::new(),
            streams: BTreeMap::new(),
            by_key: BTreeMap::new(),
            next_request: 0,
            next_batch: 0,
            fence: AcknowledgementFence::new(settings.fence.clone()),
            commits: BTreeMap::new(),
            next_commit: 0,
            requests: Vec::new(),
            newest_term: Term::default(),
            too_old: false,
            woken_for: Time::NEVER,
            settings,
        }
    }

    /// What the claim wants of its proxy since last asked.
    pub(super) fn take_requests(&mut self) -> Vec<ClaimRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Whether nothing of the role is held.
    pub(in crate::simulate) fn is_released(&self) -> bool {
        !self.lease.is_locked() && self.streams.is_empty() && self.commits.is_empty()
    }

    /// To be called before anything else: a lapse counts before all that is heard after a pause.
    pub(super) fn before(&mut self, out: &mut Outbox<'_>) {
        self.feed_lease(LeaseEvent::Tick, out);
    }

    /// To be called after anything else: begins jobs that are due and asks to be woken.
    pub(super) fn after(&mut self, out: &mut Outbox<'_>) {
        if self.pool.waiting() > 0 {
            self.next_probe = self
                .next_probe
                .min(self.control.begun_at + WAITING_PROBE_INTERVAL);
        }
        let is_due = self.lease.is_locked() && out.now >= self.next_probe;
        if self.control.is_ready() && self.control.is_idle() && is_due
            || self.control.is_ready() && self.control.wants_probe()
        {
            self.next_probe = out.now + PROBE_INTERVAL;
            self.control.run(Job::Probe, &self.backend, self.role, out);
        }
        let probe = self.control.is_ready().then_some(self.next_probe);
        let probe = probe.filter(|_| self.control.is_idle());
        let next = earliest([
            self.lease.next_wake(),
            self.pool.next_wake(),
            self.fence.next_wake(),
            self.control.job_deadline(),
            self.next_stream_deadline(),
            probe,
        ]);
        if next < self.woken_for {
            self.woken_for = next.max(out.now + SHORTEST_SLEEP);
            let timer = ProxyTimer::Claim(self.backend.clone(), self.role);
            out.wake(self.woken_for, timer);
        }
    }

    /// Time has passed. Does nothing when the wake-up was replaced by a later one.
    pub(super) fn woken(&mut self, out: &mut Outbox<'_>) {
        if self.woken_for > out.now {
            return;
        }
        self.woken_for = Time::NEVER;
        if self.control.job_deadline().is_some_and(|at| at <= out.now) {
            self.control_lost(out);
        }
        self.feed_pool(PoolEvent::Tick, out);
        self.feed_fence(stairward_pool::fence::FenceEvent::Tick, out);
        self.end_overdue_streams(out);
    }

    /// Whether the proxy should hold the role.
    pub(super) fn want(&mut self, wanted: bool, out: &mut Outbox<'_>) {
        self.feed_lease(LeaseEvent::Wanted(wanted), out);
    }

    /// Puts changed settings in force.
    pub(super) fn change_settings(&mut self, changed: ClaimSettings, out: &mut Outbox<'_>) {
        if changed == self.settings {
            return;
        }
        self.feed_pool(PoolEvent::SettingsChanged(changed.pool.clone()), out);
        let fence = stairward_pool::fence::FenceEvent::SettingsChanged(changed.fence.clone());
        self.feed_fence(fence, out);
        self.settings = changed;
    }

    /// Whether the settings known here are too old to take work by them.
    pub(super) fn settings_too_old(&mut self, too_old: bool, out: &mut Outbox<'_>) {
        if too_old != self.too_old {
            self.too_old = too_old;
            out.log(|| format!("{} settings too old: {too_old}", self.backend));
            self.feed_pool(PoolEvent::ConfigurationTooOld(too_old), out);
        }
    }

    /// A group has a newer term.
    pub(super) fn newest_term(&mut self, group: &GroupId, term: Term, out: &mut Outbox<'_>) {
        if *group == self.settings.group && term > self.newest_term {
            self.newest_term = term;
            self.feed_pool(PoolEvent::NewestTerm(term), out);
        }
    }

    /// The earlier holder has let go.
    pub(super) fn handed_over(&mut self, out: &mut Outbox<'_>) {
        self.feed_lease(LeaseEvent::ReleasedByPredecessor, out);
    }

    /// Whether the back end can be asked for its state.
    pub(super) const fn can_ask(&self) -> bool {
        self.control.is_ready()
    }

    /// A node wants to know the back end's state.
    pub(super) fn ask(&mut self, from: stairward_types::NodeId, call: u64, out: &mut Outbox<'_>) {
        self.control.ask(from, call);
        out.log(|| format!("{} asked by {from}", self.backend));
    }

    /// The database answers on a connection of this claim.
    pub(super) fn database_reply(
        &mut self,
        connection: ConnectionNumber,
        reply: DatabaseReply,
        out: &mut Outbox<'_>,
    ) {
        if self.control.connection == Some(connection) {
            self.control_reply(reply, out);
        } else {
            self.work_reply(connection, reply, out);
        }
    }

    fn control_reply(&mut self, reply: DatabaseReply, out: &mut Outbox<'_>) {
        match reply {
            DatabaseReply::Opened => {
                if self.control.opened() {
                    self.control.run(Job::Lock, &self.backend, self.role, out);
                }
            }
            DatabaseReply::Ran {
                batch,
                answers,
                error,
                ..
            } => {
                let sent_at = self.control.begun_at;
                match self.control.ran(batch, &answers, error.is_some()) {
                    Some(JobEnded::Locked(true)) => {
                        self.feed_lease(LeaseEvent::LockAcquired { sent_at }, out);
                    }
                    Some(JobEnded::Locked(false)) => {
                        self.close_control(out);
                        self.feed_lease(LeaseEvent::LockNotAcquired, out);
                    }
                    Some(JobEnded::LeftoversEnded) => {
                        self.feed_lease(LeaseEvent::StaleSessionsEnded, out);
                    }
                    Some(JobEnded::Probed(status)) => self.probed(sent_at, status, out),
                    None => {}
                }
            }
            DatabaseReply::Closed => self.control_lost(out),
        }
    }

    fn probed(&mut self, sent_at: Time, status: Option<Status>, out: &mut Outbox<'_>) {
        self.feed_lease(LeaseEvent::Renewed { sent_at }, out);
        let answering = self.control.take_answering();
        let Some(status) = status else {
            self.refuse_askers(answering, out);
            self.feed_pool(PoolEvent::ProbeFailed, out);
            return;
        };
        for (node, call) in answering {
            let reply = CallReply::Backend {
                freshness: status.received,
                is_primary: status.is_primary,
            };
            out.peer(node, PeerMessage::Reply(call, reply));
        }
        let observed = observation(status.freshness, status.is_primary, self.pool.waiting());
        let group = self.settings.group.clone();
        self.requests.push(ClaimRequest::Observed(group, observed));
        let state = stairward_pool::pool::BackendState {
            freshness: status.freshness,
            role: observed.role,
        };
        self.feed_pool(PoolEvent::Probed(state), out);
    }

    fn refuse_askers(&self, askers: Vec<(stairward_types::NodeId, u64)>, out: &mut Outbox<'_>) {
        for (node, call) in askers {
            out.peer(node, PeerMessage::Reply(call, CallReply::Refused));
        }
    }

    fn control_lost(&mut self, out: &mut Outbox<'_>) {
        out.log(|| format!("{} {} control lost", self.backend, self.role.name()));
        self.close_control(out);
        self.feed_pool(PoolEvent::ProbeFailed, out);
        self.feed_lease(LeaseEvent::ControlConnectionLost, out);
    }

    fn close_control(&mut self, out: &mut Outbox<'_>) {
        let (connection, waiting) = self.control.close();
        if let Some(connection) = connection {
            out.database(&self.backend, connection, DatabaseRequest::Close);
            self.requests.push(ClaimRequest::Disconnected(connection));
        }
        self.refuse_askers(waiting, out);
    }

    pub(super) fn feed_lease(&mut self, event: LeaseEvent, out: &mut Outbox<'_>) {
        for effect in self.lease.handle(out.now, event) {
            self.lease_effect(effect, out);
        }
    }

    fn lease_effect(&mut self, effect: LeaseEffect, out: &mut Outbox<'_>) {
        out.log(|| format!("{} {} lease {effect:?}", self.backend, self.role.name()));
        match effect {
            LeaseEffect::AcquireLock => {
                let connection = self.control.open(&self.backend, self.role, out);
                self.requests.push(ClaimRequest::Connected(connection));
            }
            LeaseEffect::EndStaleSessions => {
                self.control
                    .run(Job::EndLeftovers, &self.backend, self.role, out);
            }
            LeaseEffect::StartUse => self.feed_pool(PoolEvent::LeaseHeld(true), out),
            LeaseEffect::StopUse => self.feed_pool(PoolEvent::LeaseHeld(false), out),
            LeaseEffect::CloseConnections => {
                self.feed_pool(PoolEvent::DrainUntil(out.now + DRAIN_TIME), out);
            }
            LeaseEffect::ReleaseLock => {
                self.close_control(out);
                self.renew_pool();
                self.requests.push(ClaimRequest::HandOver);
            }
        }
    }

    /// A drained pool takes no work again; a later holding of the role begins with a new one.
    fn renew_pool(&mut self) {
        let mut pool = BackendPool::new(self.settings.pool.clone());
        let newest = PoolEvent::NewestTerm(self.newest_term);
        pool.handle(Time::ZERO, newest);
        pool.handle(Time::ZERO, PoolEvent::ConfigurationTooOld(self.too_old));
        self.pool = pool;
        self.numbers.clear();
        for (connection, _) in std::mem::take(&mut self.work) {
            self.requests.push(ClaimRequest::Disconnected(connection));
        }
    }
}
