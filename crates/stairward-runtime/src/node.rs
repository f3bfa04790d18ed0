//! The node: owns the engine and the failover state machine and executes their effects.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use stairward_engine::{
    BackendCommand, BackendEvidence, ConnectionId, DiscoveryChange, Effect, Engine, EngineOptions,
    EngineStatistics, Event, LeadershipChange, LeavingChange, RoutingTable, SessionId,
    ZoneActivity,
};
use stairward_failover::{
    FailoverController, FailoverOptions, LastKnownPrimaries, LeaderEvidence, RecordVersion,
};
use stairward_limits::{GrantRequest, GrantResponse, LimitOptions};
use stairward_membership::Profile;
use stairward_protocol::node_message::NodeMessage;
use stairward_types::{
    BackendId, Freshness, LogEvent, NodeId, RegionName, ServiceName, Term, Time, ZoneName,
};
use tokio::sync::Notify;

use crate::backend_registry::BackendRegistry;
use crate::coordination::{Coordination, FleetSizeWrite};
use crate::failover_peers::LeaderUser;
use crate::feeds::Feeds;
use crate::health::Readiness;
use crate::holders::HolderAssignments;
use crate::limit_messages::encode_ask;
use crate::log::{DecisionLog, EvacuationLine, LeadLine};
use crate::member_requests::MemberConnections;
use crate::membership::PeerIdentity;
use crate::peers::{Link, RemoteSessions};
use crate::prometheus;
use crate::socket::Outgoing;
use crate::traffic::Traffic;
use crate::unsent::UnsentConnections;
use crate::wire::{EncodeError, Wire, log_unencodable};

/// When a planned stop no longer waits for answers to be written, as a percentage of the grace period. The rest is for
/// the end of the process.
const WRITING_END_PERCENT: u32 = 96;

/// Configuration and dependencies of a [`Node`].
pub struct NodeOptions {
    /// Options of the statement engine.
    pub engine: EngineOptions,
    /// Options of the failover state machine.
    pub failover: FailoverOptions,
    /// How long a leader stays confirmed after a replica was queried, and therefore how long a failover waits before
    /// it promotes another. None when a replaced leader accepts no more statements.
    pub leadership_lease: Option<Duration>,
    /// The metadata store and the promotion call.
    pub coordination: Rc<dyn Coordination>,
    /// The node's identity and address among its peers.
    pub peer: PeerIdentity,
    /// Updated whenever the node becomes ready or unready.
    pub readiness: Arc<Readiness>,
}

/// One node. Must be used within a `LocalSet`.
pub struct Node<W: Wire> {
    pub(crate) engine: RefCell<Engine>,
    pub(crate) failover: RefCell<FailoverController>,
    pub(crate) coordination: Rc<dyn Coordination>,
    readiness: Arc<Readiness>,
    started: Instant,
    pub(crate) sessions: RefCell<BTreeMap<SessionId, Rc<Outgoing>>>,
    pub(crate) connections: RefCell<BTreeMap<ConnectionId, Rc<Outgoing>>>,
    pub(crate) discovered: RefCell<BackendRegistry>,
    pub(crate) leader_memory: RefCell<LastKnownPrimaries>,
    pub(crate) peer: PeerIdentity,
    /// The members of the current membership view.
    pub(crate) members: RefCell<Vec<Profile>>,
    /// Which nodes hold connections to the back ends of each service.
    pub(crate) holders: RefCell<HolderAssignments>,
    pub(crate) links: RefCell<BTreeMap<NodeId, Link>>,
    pub(crate) remote_sessions: RefCell<RemoteSessions>,
    pub(crate) member_connections: Rc<MemberConnections>,
    /// Peers that relay member requests and receive reports of silent back ends.
    pub(crate) relay_peers: RefCell<Vec<NodeId>>,
    /// Other nodes that are members or were recently, and so may still use a leader.
    pub(crate) leader_users: RefCell<BTreeMap<NodeId, LeaderUser>>,
    /// Version of the fleet size record.
    fleet_version: Cell<RecordVersion>,
    /// Evacuated zones: their back ends receive no statements.
    pub(crate) evacuated: RefCell<BTreeSet<ZoneName>>,
    /// The region of each zone.
    pub(crate) zone_regions: BTreeMap<ZoneName, RegionName>,
    /// For each service, the weight of the work allowed in each region; empty for services without region limits.
    pub(crate) allowed_work: RefCell<BTreeMap<ServiceName, BTreeMap<RegionName, u64>>>,
    pub(crate) feeds: Feeds,
    pub(crate) log: Rc<DecisionLog>,
    /// Connections whose answers are not yet written.
    pub(crate) unsent: Rc<UnsentConnections>,
    /// How long a planned stop may take.
    stop_grace: Duration,
    stop_requested_at: Cell<Option<tokio::time::Instant>>,
    /// Traffic counters of the peer links, by message kind.
    pub(crate) traffic: Traffic,
    last_session: Cell<u64>,
    rescheduled: Notify,
    wake_at: Cell<Option<Time>>,
    stopped: Notify,
    is_stopped: Cell<bool>,
    wire: std::marker::PhantomData<W>,
}

/// Encoded output per connection, so that each connection is written to once per engine event.
#[derive(Default)]
struct PendingWrites {
    to_sessions: BTreeMap<SessionId, BytesMut>,
    to_connections: BTreeMap<ConnectionId, BytesMut>,
    /// Sessions and connections with a message that can't be encoded.
    failed_sessions: BTreeSet<SessionId>,
    failed_connections: BTreeSet<ConnectionId>,
}

impl PendingWrites {
    /// Encodes a message to a session. Nothing follows one that can't be encoded.
    fn encode_to_session(
        &mut self,
        session: SessionId,
        encode: impl FnOnce(&mut BytesMut) -> Result<(), EncodeError>,
    ) {
        if self.failed_sessions.contains(&session) {
            return;
        }
        if let Err(error) = encode(self.to_sessions.entry(session).or_default()) {
            log_unencodable(error);
            self.failed_sessions.insert(session);
        }
    }

    /// Encodes a command. If it can't be encoded, none of the commands with it is sent, since they depend on each
    /// other.
    fn encode_to_connection<W: Wire>(
        &mut self,
        connection: ConnectionId,
        command: &BackendCommand,
    ) {
        if self.failed_connections.contains(&connection) {
            return;
        }
        let out = self.to_connections.entry(connection).or_default();
        if let Err(error) = W::encode_command(command, out) {
            log_unencodable(error);
            self.to_connections.remove(&connection);
            self.failed_connections.insert(connection);
        }
    }
}

impl<W: Wire> Node<W> {
    /// Creates a node without configuration, back ends or peers.
    #[must_use]
    pub fn new(options: NodeOptions) -> Rc<Self> {
        let zone_regions = options.engine.regions.clone();
        let stop_grace = options.engine.stop_grace;
        let started = Instant::now();
        let log = Rc::new(DecisionLog::new(started));
        let engine = EngineOptions {
            leadership_lease: options.leadership_lease,
            compares_logs: true,
            consults_peers: true,
            limits: LimitOptions {
                window: options.engine.limits.window,
                ..LimitOptions::new(options.peer.node, rand::random())
            },
            ..options.engine
        };
        let failover_options = FailoverOptions {
            leadership_lease: options.leadership_lease,
            ..options.failover
        };
        Rc::new(Self {
            engine: RefCell::new(Engine::new(engine)),
            failover: RefCell::new(FailoverController::new(failover_options)),
            coordination: options.coordination,
            readiness: options.readiness,
            started,
            sessions: RefCell::default(),
            connections: RefCell::default(),
            discovered: RefCell::default(),
            leader_memory: RefCell::default(),
            peer: options.peer,
            members: RefCell::default(),
            holders: RefCell::default(),
            links: RefCell::default(),
            remote_sessions: RefCell::default(),
            member_connections: Rc::default(),
            relay_peers: RefCell::default(),
            leader_users: RefCell::default(),
            fleet_version: Cell::default(),
            evacuated: RefCell::default(),
            zone_regions,
            allowed_work: RefCell::default(),
            feeds: Feeds::default(),
            unsent: Rc::new(UnsentConnections::new(Rc::clone(&log))),
            log,
            stop_grace,
            stop_requested_at: Cell::new(None),
            traffic: Traffic::default(),
            last_session: Cell::new(0),
            rescheduled: Notify::new(),
            wake_at: Cell::new(None),
            stopped: Notify::new(),
            is_stopped: Cell::new(false),
            wire: std::marker::PhantomData,
        })
    }

    /// The current time of the node's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    /// Applies a configuration, unless the current one is as new or newer.
    pub fn apply_configuration(self: &Rc<Self>, table: RoutingTable) {
        let revision = table.revision;
        let known = self.routing_table().map(|known| known.revision);
        if known.is_some_and(|known| revision <= known) {
            return;
        }
        // Must precede the engine event, which opens connections that other nodes may be assigned to hold.
        self.set_services(&table);
        *self.allowed_work.borrow_mut() = table.allowed_work(self.zone_regions.values());
        self.handle(Event::ConfigurationChanged(Arc::new(table)));
        tracing::info!(
            event = LogEvent::ConfigurationApplied.number(),
            revision = revision.0,
            "configuration applied"
        );
        self.update_all_failover_groups();
    }

    /// Replaces the set of evacuated zones. The change happened after `since`, or at an unknown time if that is none.
    pub fn set_evacuated_zones(self: &Rc<Self>, zones: BTreeSet<ZoneName>, since: Option<Time>) {
        if *self.evacuated.borrow() == zones {
            return;
        }
        self.evacuated.borrow_mut().clone_from(&zones);
        self.handle(Event::EvacuatedZonesChanged { zones, since });
        self.update_all_failover_groups();
    }

    /// Applies a change of the discovered back ends. The change happened after `since`, or at an unknown time if that
    /// is none.
    pub fn apply_discovery(self: &Rc<Self>, change: DiscoveryChange, since: Option<Time>) {
        let touched = self.discovered.borrow_mut().apply(self.now(), &change);
        // Must precede the engine event, which opens connections: the number of holders depends on the back ends' slots.
        self.update_services(&touched);
        self.handle(Event::BackendsChanged { change, since });
        self.update_failover_groups(&touched);
    }

    /// Sets the fleet size recorded in the store; 0 if there is no record.
    pub fn apply_fleet_size(self: &Rc<Self>, version: RecordVersion, nodes: u32) {
        self.fleet_version.set(version);
        self.handle(Event::FleetSizeRecorded(nodes));
    }

    fn record_fleet(self: &Rc<Self>, nodes: u32) {
        let version = self.fleet_version.get();
        let writing = self.coordination.write_fleet_size(version, nodes);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            match writing.await {
                FleetSizeWrite::Known(version, nodes) => {
                    node.apply_fleet_size(version, nodes);
                }
                FleetSizeWrite::Failed => tracing::warn!(
                    event = LogEvent::StoreUnreachable.number(),
                    nodes,
                    "could not write the number of nodes to the store; the write is retried"
                ),
            }
        });
    }

    /// Sets how many nodes share the back ends.
    pub(crate) fn set_nodes(self: &Rc<Self>, nodes: u32) {
        self.handle(Event::NodeCountChanged(nodes));
        self.handle_failover_event(stairward_failover::Event::NodeCount(nodes));
    }

    /// Begins a graceful shutdown.
    pub fn stop(self: &Rc<Self>) {
        tracing::info!(
            event = LogEvent::DrainStarted.number(),
            "graceful shutdown started"
        );
        self.stop_requested_at
            .set(Some(tokio::time::Instant::now()));
        self.handle(Event::StopRequested);
    }

    /// Whether a graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_requested_at.get().is_some()
    }

    /// Waits until the graceful shutdown is complete: no request is in progress and all answers are written, or the
    /// grace period is nearly over. Returns the number of connections whose answers were not delivered.
    pub async fn stopped(&self) -> u64 {
        while !self.is_stopped.get() {
            self.stopped.notified().await;
        }
        if let Some(requested_at) = self.stop_requested_at.get() {
            let until = requested_at + self.stop_grace * WRITING_END_PERCENT / 100;
            let _ = tokio::time::timeout_at(until, self.unsent.written()).await;
        }
        self.unsent.undelivered()
    }

    /// The configuration in force.
    #[must_use]
    pub fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.engine.borrow().routing_table().cloned()
    }

    /// The newest proved log position of a service's leader, and the age of the proof.
    pub(crate) fn proved_position(&self, service: &ServiceName) -> Option<(Freshness, Duration)> {
        let now = self.now();
        self.engine.borrow().proved_position(now, service)
    }

    /// The newest term of a service that may have begun, and the age of that information.
    pub(crate) fn known_lead(&self, service: &ServiceName) -> Option<(Term, Duration)> {
        let now = self.now();
        self.engine.borrow().known_leadership(now, service)
    }

    /// The newest term of a service seen in any reply.
    pub(crate) fn newest_term(&self, service: &ServiceName) -> Term {
        self.engine.borrow().newest_term(service)
    }

    /// Grants tenant limits to another node, as their coordinator.
    pub(crate) fn grant_limit(&self, node: NodeId, ask: &GrantRequest) -> GrantResponse {
        let now = self.now();
        self.engine.borrow_mut().answer_limit(now, node, ask)
    }

    /// Counters of the engine, for metrics.
    #[must_use]
    pub fn statistics(&self) -> EngineStatistics {
        self.engine.borrow().statistics()
    }

    pub(crate) fn next_session(&self) -> SessionId {
        self.last_session.set(self.last_session.get() + 1);
        SessionId(self.last_session.get())
    }

    /// Passes an event to the engine and executes the resulting effects.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let (effects, wake_at, is_ready) = {
            let mut engine = self.engine.borrow_mut();
            let effects = engine.handle(now, event);
            (effects, engine.next_wake(), engine.is_ready())
        };
        self.readiness
            .set(is_ready && !self.discovered.borrow().is_empty());
        self.apply_effects(now, effects);
        self.reschedule(wake_at);
    }

    fn reschedule(&self, wake_at: Option<Time>) {
        let is_earlier = match (wake_at, self.wake_at.get()) {
            (Some(wanted), Some(known)) => wanted < known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_earlier {
            self.wake_at.set(wake_at);
            self.rescheduled.notify_one();
        }
    }

    /// Sends the engine a tick whenever one of its deadlines is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let wake_at = self.engine.borrow().next_wake();
            self.wake_at.set(wake_at);
            match wake_at {
                None => self.rescheduled.notified().await,
                Some(at) => {
                    let pause = at.since(self.now());
                    tokio::select! {
                        () = tokio::time::sleep(pause) => self.handle(Event::Tick),
                        () = self.rescheduled.notified() => {}
                    }
                }
            }
        }
    }

    fn apply_effects(self: &Rc<Self>, now: Time, effects: Vec<Effect>) {
        let mut writes = PendingWrites::default();
        for effect in effects {
            self.apply_effect(now, effect, &mut writes);
        }
        self.flush(&mut writes);
        for session in writes.failed_sessions {
            self.session_ended(session);
        }
        for connection in writes.failed_connections {
            self.commands_unsent(connection);
        }
    }

    fn apply_effect(self: &Rc<Self>, now: Time, effect: Effect, writes: &mut PendingWrites) {
        match effect {
            Effect::AcceptSession { session } => {
                writes.encode_to_session(session, W::encode_accept);
            }
            Effect::Forward {
                holder,
                session,
                request,
                forwarded,
            } => self.forward(holder, session, request, forwarded),
            Effect::PingHolder { holder } => {
                self.send_to_peer(holder, &NodeMessage::Ping);
            }
            Effect::HolderLivenessChanged { holder, is_silent } => {
                self.log.holder(now, holder, is_silent)
            }
            Effect::LeadershipObserved {
                service,
                leader,
                change,
                term,
                awaited,
                age,
            } => {
                let lead = LeadLine {
                    service: &service,
                    leader: &leader,
                    change,
                    term,
                    awaited,
                    age,
                };
                self.log.lead(now, &lead);
                let is_revoked = change == LeadershipChange::Revoked;
                self.handle_failover_event(stairward_failover::Event::LeadershipRevoked(
                    service, is_revoked,
                ));
            }
            Effect::QueryLeadership { holder, service } => self.query_lead(holder, &service),
            Effect::RequestLimitGrant(node, ask) => {
                let message = encode_ask(self.peer.node, ask);
                self.send_to_peer(node, &NodeMessage::RequestLimit(message));
            }
            Effect::RecordFleetSize(nodes) => self.record_fleet(nodes),
            Effect::CoordinatorChanged {
                shard,
                silent,
                now: coordinator,
            } => {
                self.log.coordinator(now, shard, silent, coordinator);
            }
            Effect::QueryPosition { service } => self.query_positions(&service),
            Effect::CloseForwardedSession { holder, session } => {
                self.close_forwarded(holder, session)
            }
            Effect::RefuseSession { session, code } => {
                self.log.session_refused(now, session, code);
                writes.encode_to_session(session, |out| W::encode_refusal(code, out));
                self.flush(writes);
                self.close_session(session);
            }
            Effect::Respond { session, response } => {
                if let Some(response) = self.answer_remote_session(session, response) {
                    writes.encode_to_session(session, |out| W::encode_response(&response, out));
                }
            }
            Effect::CloseSession { session } => {
                self.flush(writes);
                self.close_session(session);
                self.forget_remote_session(session);
            }
            Effect::Open { connection, target } => self.open(connection, target),
            Effect::Send {
                connection,
                command,
            } => writes.encode_to_connection::<W>(connection, &command),
            Effect::CloseConnection { connection } => {
                writes.to_connections.remove(&connection);
                if let Some(outgoing) = self.connections.borrow_mut().remove(&connection) {
                    outgoing.close();
                }
            }
            Effect::BackendObserved { backend, evidence } => {
                self.handle_evidence(now, backend, evidence)
            }
            Effect::EvacuationObserved { zone, is_evacuated } => {
                self.evacuation_observed(now, &zone, is_evacuated);
            }
            Effect::LeavingObserved { backend, change } => {
                if let LeavingChange::Expired { sent, .. } = change {
                    prometheus::count_sent_to_leaving(sent);
                }
                self.log.leaving(now, &backend, change);
            }
            Effect::RestartObserved { backend } => {
                if let Some(backend) = self.discovered.borrow().get(&backend) {
                    prometheus::count_backend_start(&backend.service);
                }
                let event = LogEvent::BackendStarted;
                self.log.backend(now, event, backend.as_str());
            }
            Effect::WarmUpObserved { backend, left } => {
                self.log.warm_up(now, &backend, left);
                let service = self
                    .discovered
                    .borrow()
                    .get(&backend)
                    .map(|b| b.service.clone());
                self.update_failover_groups(&service.into_iter().collect());
            }
            Effect::Record(record) => self.log.request(now, &record),
            Effect::ReplyDoubted(record) => {
                prometheus::count_doubted_reply(record.doubt);
                self.log.doubted_reply(now, &record);
            }
            Effect::Measured(measure) => prometheus::count_request(&measure),
            Effect::Stopped => {
                self.is_stopped.set(true);
                self.stopped.notify_waiters();
            }
        }
    }

    fn flush(self: &Rc<Self>, writes: &mut PendingWrites) {
        for (session, bytes) in std::mem::take(&mut writes.to_sessions) {
            let outgoing = self.sessions.borrow().get(&session).cloned();
            if let Some(outgoing) = outgoing
                && outgoing.send(&bytes).is_err()
            {
                self.defer_session_end(session);
            }
        }
        for (connection, bytes) in std::mem::take(&mut writes.to_connections) {
            let outgoing = self.connections.borrow().get(&connection).cloned();
            if let Some(outgoing) = outgoing
                && outgoing.send(&bytes).is_err()
            {
                self.defer_connection_end(connection);
            }
        }
    }

    /// Ends a session whose socket failed on write. Deferred to a new task, since effects are still being executed.
    fn defer_session_end(self: &Rc<Self>, session: SessionId) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move { node.session_ended(session) });
    }

    fn defer_connection_end(self: &Rc<Self>, connection: ConnectionId) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move { node.connection_ended(connection) });
    }

    fn close_session(&self, session: SessionId) {
        if let Some(outgoing) = self.sessions.borrow_mut().remove(&session) {
            outgoing.close();
        }
    }

    pub(crate) fn session_ended(self: &Rc<Self>, session: SessionId) {
        let removed = self.sessions.borrow_mut().remove(&session);
        if let Some(outgoing) = removed {
            outgoing.close();
            self.handle(Event::SessionClosed { session });
        }
    }

    /// Ends a connection for which a command can't be encoded.
    fn commands_unsent(self: &Rc<Self>, connection: ConnectionId) {
        let removed = self.connections.borrow_mut().remove(&connection);
        if let Some(outgoing) = removed {
            outgoing.close();
            self.handle(Event::CommandsUnsent { connection });
        }
    }

    pub(crate) fn connection_ended(self: &Rc<Self>, connection: ConnectionId) {
        let removed = self.connections.borrow_mut().remove(&connection);
        if let Some(outgoing) = removed {
            outgoing.close();
            self.handle(Event::ConnectionLost { connection });
        }
    }

    fn evacuation_observed(self: &Rc<Self>, now: Time, zone: &ZoneName, is_evacuated: bool) {
        let line = EvacuationLine {
            zone,
            is_evacuated,
            backends: self.discovered.borrow().count_in_zone(zone),
            is_known: self.zone_regions.contains_key(zone),
        };
        self.log.evacuation(now, &line);
        if !is_evacuated {
            prometheus::set_evacuated_zone_work(zone, ZoneActivity::default());
        }
    }

    fn handle_evidence(self: &Rc<Self>, now: Time, backend: BackendId, evidence: BackendEvidence) {
        let (event, evidence) = match evidence {
            BackendEvidence::Answered => {
                (LogEvent::BackendReachable, Some(LeaderEvidence::Answered))
            }
            BackendEvidence::Refused => {
                (LogEvent::BackendUnreachable, Some(LeaderEvidence::Refused))
            }
            BackendEvidence::Unresponsive => {
                (LogEvent::BackendUnreachable, Some(LeaderEvidence::Silent))
            }
            BackendEvidence::NotLeader => (LogEvent::LeadershipDenied, None),
            BackendEvidence::LostLog => (LogEvent::LogLost, Some(LeaderEvidence::LostLog)),
            BackendEvidence::ConnectionLimitReached => (LogEvent::BackendFull, None),
        };
        self.log.backend(now, event, backend.as_str());
        if let Some(evidence) = evidence {
            self.handle_failover_event(stairward_failover::Event::Evidence(backend, evidence));
        }
    }
    pub(crate) async fn pause(duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
