//! The node: engine and duty, and the carrying out of what they decide.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use stairward_engine::{
    BackendEvidence, ConnectionId, DiscoveryChange, Effect, Engine, EngineOptions,
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
use crate::feeds::Feeds;
use crate::health::Readiness;
use crate::holders::HolderAssignments;
use crate::limit_messages::ask_message;
use crate::log::{DecisionLog, EvacuationLine, LeadLine};
use crate::members::KeptConnections;
use crate::membership::PeerIdentity;
use crate::neighbours::{Guests, Link};
use crate::prometheus;
use crate::relayed_questions::User;
use crate::socket::Outgoing;
use crate::traffic::Traffic;
use crate::wire::Wire;

/// How a node is set up.
pub struct NodeOptions {
    /// For the engine.
    pub engine: EngineOptions,
    /// For the failover duty.
    pub failover: FailoverOptions,
    /// How long a leader counts as confirmed after a replica was asked, and how long whoever replaces it waits
    /// therefore. None where a leader that was replaced accepts nothing any more.
    pub leadership_lease: Option<Duration>,
    /// The store and the promotion call.
    pub coordination: Rc<dyn Coordination>,
    /// Who the node is among its peers.
    pub peer: PeerIdentity,
    /// Told whether the node is ready.
    pub readiness: Arc<Readiness>,
}

/// One node. Use it within a `LocalSet`.
pub struct Node<W: Wire> {
    pub(crate) engine: RefCell<Engine>,
    pub(crate) duty: RefCell<FailoverController>,
    pub(crate) coordination: Rc<dyn Coordination>,
    readiness: Arc<Readiness>,
    started: Instant,
    pub(crate) sessions: RefCell<BTreeMap<SessionId, Rc<Outgoing>>>,
    pub(crate) connections: RefCell<BTreeMap<ConnectionId, Rc<Outgoing>>>,
    pub(crate) discovered: RefCell<BackendRegistry>,
    pub(crate) leader_memory: RefCell<LastKnownPrimaries>,
    pub(crate) peer: PeerIdentity,
    /// The membership view.
    pub(crate) members: RefCell<Vec<Profile>>,
    /// Which nodes hold connections to which services.
    pub(crate) holders: RefCell<HolderAssignments>,
    pub(crate) links: RefCell<BTreeMap<NodeId, Link>>,
    pub(crate) guests: RefCell<Guests>,
    pub(crate) kept: RefCell<KeptConnections>,
    /// The peers that pass questions on, and hear of silent back ends.
    pub(crate) question_peers: RefCell<Vec<NodeId>>,
    /// Other nodes that live or lived a while ago.
    pub(crate) users: RefCell<BTreeMap<NodeId, User>>,
    /// The version of the record of the number of nodes.
    fleet_version: Cell<RecordVersion>,
    /// The zones to whose back ends nothing is to be sent.
    pub(crate) evacuated: RefCell<BTreeSet<ZoneName>>,
    /// The region of each zone.
    pub(crate) zone_regions: BTreeMap<ZoneName, RegionName>,
    /// The weight of each service's work that is allowed in each region; empty where none is bound to regions.
    pub(crate) allowed_work: RefCell<BTreeMap<ServiceName, BTreeMap<RegionName, u64>>>,
    pub(crate) feeds: Feeds,
    pub(crate) log: DecisionLog,
    /// What the links carry, by kind.
    pub(crate) traffic: Traffic,
    last_session: Cell<u64>,
    rescheduled: Notify,
    wake_at: Cell<Option<Time>>,
    stopped: Notify,
    is_stop_requested: Cell<bool>,
    is_stopped: Cell<bool>,
    wire: std::marker::PhantomData<W>,
}

/// Bytes on their way out, by where they go, so that each connection is written to once a turn.
#[derive(Default)]
struct Turn {
    to_sessions: BTreeMap<SessionId, BytesMut>,
    to_connections: BTreeMap<ConnectionId, BytesMut>,
}

impl<W: Wire> Node<W> {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(options: NodeOptions) -> Rc<Self> {
        let zone_regions = options.engine.regions.clone();
        let engine = EngineOptions {
            leadership_lease: options.leadership_lease,
            limits: LimitOptions {
                window: options.engine.limits.window,
                ..LimitOptions::new(options.peer.node, rand::random())
            },
            ..options.engine
        };
        let failover = FailoverOptions {
            leadership_lease: options.leadership_lease,
            ..options.failover
        };
        Rc::new(Self {
            engine: RefCell::new(Engine::new(engine)),
            duty: RefCell::new(FailoverController::new(failover)),
            coordination: options.coordination,
            readiness: options.readiness,
            started: Instant::now(),
            sessions: RefCell::default(),
            connections: RefCell::default(),
            discovered: RefCell::default(),
            leader_memory: RefCell::default(),
            peer: options.peer,
            members: RefCell::default(),
            holders: RefCell::default(),
            links: RefCell::default(),
            guests: RefCell::default(),
            kept: RefCell::default(),
            question_peers: RefCell::default(),
            users: RefCell::default(),
            fleet_version: Cell::default(),
            evacuated: RefCell::default(),
            zone_regions,
            allowed_work: RefCell::default(),
            feeds: Feeds::default(),
            log: DecisionLog::default(),
            traffic: Traffic::default(),
            last_session: Cell::new(0),
            rescheduled: Notify::new(),
            wake_at: Cell::new(None),
            stopped: Notify::new(),
            is_stop_requested: Cell::new(false),
            is_stopped: Cell::new(false),
            wire: std::marker::PhantomData,
        })
    }

    /// The present moment on the node's own steady clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn apply_configuration(self: &Rc<Self>, table: RoutingTable) {
        let revision = table.revision;
        let known = self.routing_table().map(|known| known.revision);
        if known.is_some_and(|known| revision <= known) {
            return;
        }
        // Before the engine opens connections: other nodes may hold them.
        self.set_services(&table);
        *self.allowed_work.borrow_mut() = table.allowed_work(self.zone_regions.values());
        self.handle(Event::ConfigurationChanged(Arc::new(table)));
        tracing::info!(
            event = LogEvent::ConfigurationApplied.number(),
            revision = revision.0,
            "a configuration is known"
        );
        self.tell_duty_of_groups();
    }

    /// Takes in the zones to whose back ends nothing is to be sent, whole. What is new in them came about after
    /// `since`, or at any time where that is not known.
    pub fn set_evacuated_zones(self: &Rc<Self>, zones: BTreeSet<ZoneName>, since: Option<Time>) {
        if *self.evacuated.borrow() == zones {
            return;
        }
        self.evacuated.borrow_mut().clone_from(&zones);
        self.handle(Event::EvacuatedZonesChanged { zones, since });
        self.tell_duty_of_groups();
    }

    /// Takes in what differs in discovery's list. It came about after `since`, or at any time where that is not known.
    pub fn apply_discovery(self: &Rc<Self>, change: DiscoveryChange, since: Option<Time>) {
        let touched = self.discovered.borrow_mut().apply(self.now(), &change);
        // Before the engine opens connections: how many nodes hold them follows from what the back ends can use.
        self.update_services(&touched);
        self.handle(Event::BackendsChanged { change, since });
        self.tell_duty_of(&touched);
    }

    /// The number of nodes on record, as the store shows it; 0 where it shows no record.
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
                    "the number of nodes could not be recorded; it is tried again"
                ),
            }
        });
    }

    /// How many nodes share the back ends.
    pub(crate) fn set_nodes(self: &Rc<Self>, nodes: u32) {
        self.handle(Event::NodeCountChanged(nodes));
        self.tell_duty(stairward_failover::Event::NodeCount(nodes));
    }

    /// Begins a planned stop.
    pub fn stop(self: &Rc<Self>) {
        tracing::info!(
            event = LogEvent::DrainStarted.number(),
            "a planned stop begins"
        );
        self.is_stop_requested.set(true);
        self.handle(Event::StopRequested);
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stop_requested.get()
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(&self) {
        while !self.is_stopped.get() {
            self.stopped.notified().await;
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.engine.borrow().routing_table().cloned()
    }

    /// The newest proved position of a service's leader, and its age.
    pub(crate) fn proved_position(&self, service: &ServiceName) -> Option<(Freshness, Duration)> {
        let now = self.now();
        self.engine.borrow().proved_position(now, service)
    }

    /// What is known of a service's lead: the newest term that may have begun, and the age of that.
    pub(crate) fn known_lead(&self, service: &ServiceName) -> Option<(Term, Duration)> {
        let now = self.now();
        self.engine.borrow().known_leadership(now, service)
    }

    /// The newest term of a service that was seen in any answer.
    pub(crate) fn newest_term(&self, service: &ServiceName) -> Term {
        self.engine.borrow().newest_term(service)
    }

    /// Answers another node's question about tenants' limits.
    pub(crate) fn grant_limit(&self, node: NodeId, ask: &GrantRequest) -> GrantResponse {
        let now = self.now();
        self.engine.borrow_mut().answer_limit(now, node, ask)
    }

    /// Figures for metrics.
    #[must_use]
    pub fn statistics(&self) -> EngineStatistics {
        self.engine.borrow().statistics()
    }

    pub(crate) fn next_session(&self) -> SessionId {
        self.last_session.set(self.last_session.get() + 1);
        SessionId(self.last_session.get())
    }

    /// Gives the engine an event and carries out what it decides.
    pub(crate) fn handle(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let (effects, wake_at, is_ready) = {
            let mut engine = self.engine.borrow_mut();
            let effects = engine.handle(now, event);
            (effects, engine.next_wake(), engine.is_ready())
        };
        self.readiness
            .set(is_ready && !self.discovered.borrow().is_empty());
        self.carry_out(now, effects);
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

    /// Wakes the engine when something is due. Runs for ever.
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

    fn carry_out(self: &Rc<Self>, now: Time, effects: Vec<Effect>) {
        let mut turn = Turn::default();
        for effect in effects {
            self.carry_out_one(now, effect, &mut turn);
        }
        self.flush(turn);
    }

    fn carry_out_one(self: &Rc<Self>, now: Time, effect: Effect, turn: &mut Turn) {
        match effect {
            Effect::AcceptSession { session } => {
                W::encode_accept(turn.to_sessions.entry(session).or_default());
            }
            Effect::Forward {
                holder,
                session,
                request,
                forwarded,
            } => self.forward(holder, session, request, forwarded),
            Effect::PingHolder { holder } => {
                self.tell_neighbour(holder, &NodeMessage::Ping);
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
                self.tell_duty(stairward_failover::Event::LeadershipRevoked(
                    service, is_revoked,
                ));
            }
            Effect::QueryLeadership { holder, service } => self.ask_lead(holder, &service),
            Effect::RequestLimitGrant(node, ask) => {
                let message = ask_message(self.peer.node, ask);
                self.tell_neighbour(node, &NodeMessage::RequestLimit(message));
            }
            Effect::RecordFleetSize(nodes) => self.record_fleet(nodes),
            Effect::CoordinatorChanged {
                shard,
                silent,
                now: coordinator,
            } => {
                self.log.coordinator(now, shard, silent, coordinator);
            }
            Effect::QueryPosition { service } => self.ask_peers_for_position(&service),
            Effect::CloseForwardedSession { holder, session } => {
                self.close_forwarded(holder, session)
            }
            Effect::RefuseSession { session, code } => {
                self.log.session_refused(now, session, code);
                W::encode_refusal(code, turn.to_sessions.entry(session).or_default());
                self.flush(std::mem::take(turn));
                self.close_session(session);
            }
            Effect::Respond { session, response } => {
                if let Some(response) = self.answer_guest(session, response) {
                    W::encode_response(&response, turn.to_sessions.entry(session).or_default());
                }
            }
            Effect::CloseSession { session } => {
                self.flush(std::mem::take(turn));
                self.close_session(session);
                self.forget_guest(session);
            }
            Effect::Open { connection, target } => self.open(connection, target),
            Effect::Send {
                connection,
                command,
            } => W::encode_command(&command, turn.to_connections.entry(connection).or_default()),
            Effect::CloseConnection { connection } => {
                turn.to_connections.remove(&connection);
                if let Some(outgoing) = self.connections.borrow_mut().remove(&connection) {
                    outgoing.close();
                }
            }
            Effect::BackendObserved { backend, evidence } => self.observed(now, backend, evidence),
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
                self.tell_duty_of(&service.into_iter().collect());
            }
            Effect::Record(record) => self.log.request(now, &record),
            Effect::Measured(measure) => prometheus::count_request(&measure),
            Effect::Stopped => {
                self.is_stopped.set(true);
                self.stopped.notify_waiters();
            }
        }
    }

    fn flush(self: &Rc<Self>, turn: Turn) {
        for (session, bytes) in turn.to_sessions {
            let outgoing = self.sessions.borrow().get(&session).cloned();
            if let Some(outgoing) = outgoing
                && outgoing.send(&bytes).is_err()
            {
                self.lose_session(session);
            }
        }
        for (connection, bytes) in turn.to_connections {
            let outgoing = self.connections.borrow().get(&connection).cloned();
            if let Some(outgoing) = outgoing
                && outgoing.send(&bytes).is_err()
            {
                self.lose_connection(connection);
            }
        }
    }

    /// A session's socket failed while it was written to: the engine hears of it in a turn of its own.
    fn lose_session(self: &Rc<Self>, session: SessionId) {
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move { node.session_ended(session) });
    }

    fn lose_connection(self: &Rc<Self>, connection: ConnectionId) {
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
            backends: self.discovered.borrow().count_in(zone),
            is_known: self.zone_regions.contains_key(zone),
        };
        self.log.evacuation(now, &line);
        if !is_evacuated {
            prometheus::set_evacuated_zone_work(zone, ZoneActivity::default());
        }
    }

    fn observed(self: &Rc<Self>, now: Time, backend: BackendId, evidence: BackendEvidence) {
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
            self.tell_duty(stairward_failover::Event::Evidence(backend, evidence));
        }
    }

    /// A pause for tasks that wait for something to change.
    pub(crate) async fn pause(duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
