//! The engine's state, and the dispatch of events and timers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairward_limits::{Event as LimitEvent, Limiter};
use stairward_types::{BackendId, NodeId, RegionName, ServiceName, TenantName, Time};

use crate::backend::Backend;
use crate::connection::Connection;
use crate::evacuation::Evacuations;
use crate::event::{BackendEvidence, Effect, Event};
use crate::group::Group;
use crate::holder_directory::HolderDirectory;
use crate::holder_sizing::{HolderSizing, connections_per_holder};
use crate::holder_watch::HolderWatch;
use crate::identifiers::{ConnectionId, RequestNumber, SessionId};
use crate::node_count::NodeCount;
use crate::pending::PendingSession;
use crate::session::{Request, Session};
use crate::settings::{EngineOptions, RoutingTable};
use crate::stopping::Stop;
use crate::tenants::TenantDirectory;
use crate::timers::{Timer, Timers};

/// Connections idle for this long are closed, except one per back end. After a power loss a node's successor
/// can't use the connections that the node held needlessly.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// A tenant's connection is kept longer: it serves no other tenant, and most tenants send requests rarely. If
/// room is needed, the least recently used one is closed.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections per back end reserved for nodes that are not counted yet.
const RESERVED_CONNECTIONS: u32 = 1;

/// Engine metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineStatistics {
    /// Open sessions.
    pub sessions: usize,
    /// Connections to back ends, open or being opened.
    pub connections: usize,
    /// Requests in the waiting queues.
    pub waiting: usize,
}

/// Sort key of a waiting request, in serving order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingKey {
    pub priority: u8,
    pub received: Time,
    pub session: SessionId,
}

impl WaitingKey {
    /// The key of a session's request.
    pub fn of(session: SessionId, request: &Request) -> Self {
        Self {
            priority: request.route.priority,
            received: request.received,
            session,
        }
    }
}

/// The engine of one node.
#[derive(Debug)]
pub struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    /// Sessions received before the first configuration.
    pub(crate) pending: BTreeMap<SessionId, PendingSession>,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) backends: BTreeMap<BackendId, Box<Backend>>,
    pub(crate) groups: BTreeMap<ServiceName, Group>,
    pub(crate) timers: Timers,
    pub(crate) waiting: BTreeMap<ServiceName, BTreeSet<WaitingKey>>,
    pub(crate) changed: BTreeSet<ServiceName>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) nodes: NodeCount,
    pub(crate) holders: HolderDirectory,
    pub(crate) holder_watches: BTreeMap<NodeId, HolderWatch>,
    /// The region of each node.
    pub(crate) node_regions: BTreeMap<NodeId, RegionName>,
    pub(crate) evacuations: Evacuations,
    pub(crate) stop: Option<Stop>,
    pub(crate) limits: Limiter,
    /// Requests waiting for a grant under their tenant's limit.
    pub(crate) admissions: BTreeMap<TenantName, BTreeSet<WaitingKey>>,
    pub(crate) is_reviewing: bool,
    /// Whether this node may have missed announcements of promotions that its peers know of.
    pub(crate) awaits_peers: bool,
    last_connection: u64,
    last_request: u64,
}

impl Engine {
    /// Creates an engine without a configuration or back ends.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        let limits = Limiter::new(options.limits.clone());
        Self {
            awaits_peers: options.consults_peers,
            options,
            table: None,
            sessions: BTreeMap::new(),
            pending: BTreeMap::new(),
            connections: BTreeMap::new(),
            backends: BTreeMap::new(),
            groups: BTreeMap::new(),
            timers: Timers::default(),
            waiting: BTreeMap::new(),
            changed: BTreeSet::new(),
            effects: Vec::new(),
            nodes: NodeCount::default(),
            holders: HolderDirectory::default(),
            holder_watches: BTreeMap::new(),
            node_regions: BTreeMap::new(),
            evacuations: Evacuations::default(),
            stop: None,
            limits,
            admissions: BTreeMap::new(),
            is_reviewing: false,
            last_connection: 0,
            last_request: 0,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.run_timers(now);
        if self.limits.next_wake().is_some_and(|at| at <= now) {
            self.handle_limit_event(now, LimitEvent::Tick);
        }
        self.apply(now, event);
        self.apply_limit_effects(now);
        self.serve_waiting(now);
        std::mem::take(&mut self.effects)
    }

    /// The latest time at which the engine needs an [`Event::Tick`].
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let limits = self.limits.next_wake();
        self.timers.next().into_iter().chain(limits).min()
    }

    /// Whether sessions can be served: a configuration is known and no stop is in progress.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.stop.is_none()
    }

    /// The configuration in force.
    #[must_use]
    pub fn routing_table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// Current metrics.
    #[must_use]
    pub fn statistics(&self) -> EngineStatistics {
        EngineStatistics {
            sessions: self.sessions.len(),
            connections: self.connections.len(),
            waiting: self.waiting.values().map(BTreeSet::len).sum(),
        }
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::SessionOpened {
                session,
                database,
                key,
            } => self.accept_or_defer_session(now, session, database, key),
            Event::Statement { session, statement } => {
                self.enqueue_statement(now, session, Some(statement));
            }
            Event::InvalidStatement { session } => self.enqueue_statement(now, session, None),
            Event::SessionClosed { session } => self.session_closed(now, session),
            Event::ConnectionOpened {
                connection,
                position,
            } => self.connection_opened(now, connection, position),
            Event::OpenFailed {
                connection,
                failure,
            } => self.open_failed(now, connection, failure),
            Event::Reply { connection, reply } => self.handle_reply(now, connection, reply),
            Event::CommandsUnsent { connection } => self.commands_unsent(now, connection),
            Event::ConnectionLost { connection } => self.connection_lost(now, connection),
            Event::ConfigurationChanged(table) => self.configure(now, table),
            Event::BackendsListed { list, since } => self.apply_backend_list(now, list, since),
            Event::BackendsChanged { change, since } => {
                self.apply_discovery_change(now, change, since)
            }
            Event::NodeCountChanged(nodes) => self.record_node_count(now, nodes),
            Event::HoldersChanged(holders) => self.apply_holder_change(holders),
            Event::NodeRegions(regions) => self.node_regions = regions,
            Event::EvacuatedZonesChanged { zones, since } => self.set_evacuated(now, &zones, since),
            Event::ForwardedRequest { session, forwarded } => {
                self.handle_forwarded(now, session, *forwarded);
            }
            Event::ForwardAnswered {
                holder,
                session,
                request,
                response,
            } => self.forward_answered(now, holder, session, request, response),
            Event::PeerPosition {
                service,
                freshness,
                asked_at,
                age,
            } => self.apply_peer_position(&service, freshness, asked_at, age),
            Event::LeadershipRevoked(service, term) => self.revoke_leadership(now, &service, term),
            Event::PromotionRecorded {
                service,
                leader,
                term,
                is_pending,
            } => self.apply_recorded_promotion(now, &service, leader, term, is_pending),
            Event::ConsultationNeeded => self.awaits_peers = true,
            Event::PeersConsulted => self.peers_consulted(now),
            Event::PromotionEnded(service) => self.promotion_ended(now, &service),
            Event::LeadershipQueried(service) => self.leadership_queried(now, &service),
            Event::PeerLeadership {
                service,
                possible_term,
                asked_at,
                age,
            } => self.apply_peer_leadership(now, &service, possible_term, asked_at, age),
            Event::HolderAlive(holder) => self.holder_alive(now, holder),
            Event::HolderLost(holder) => {
                self.holder_lost(now, holder);
                self.handle_limit_event(now, LimitEvent::PeerLost(holder));
            }
            Event::HolderUnreachable(holder) => {
                self.holder_unreachable(now, holder);
                self.handle_limit_event(now, LimitEvent::PeerLost(holder));
            }
            Event::Members { live, leaving } => {
                self.handle_limit_event(now, LimitEvent::Members { live, leaving });
            }
            Event::FleetSizeRecorded(nodes) => {
                self.handle_limit_event(now, LimitEvent::RecordedFleetSize(nodes))
            }
            Event::LimitGranted(node, grant) => {
                self.handle_limit_event(now, LimitEvent::GrantReceived(node, grant));
            }
            Event::StopRequested => self.begin_stop(now),
            Event::Tick => {}
        }
    }

    fn run_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::HoldEnds(session, number) => self.hold_ended(now, session, number),
                Timer::Hedge(session, number) => self.hedge(now, session, number),
                Timer::Deadline(session, number) => self.deadline_passed(now, session, number),
                Timer::TransactionIdle(session, number) => {
                    self.transaction_idle_expired(now, session, number);
                }
                Timer::ReplyCheck(connection) => self.check_replies(now, connection),
                Timer::HolderCheck(holder) => self.check_holder(now, holder),
                Timer::RetryWaiting(service) => {
                    self.changed.insert(service);
                }
                Timer::PendingSession(session) => self.pending_session_due(session),
                Timer::LeadershipCheck(service) => self.leadership_check_due(now, &service),
                Timer::WarmUpCheck(backend) => self.warm_up_check_due(now, &backend),
                Timer::Evacuation => self.end_work_in_evacuated_zones(now),
                Timer::BackendReview => self.review_backends(now),
                Timer::Stop => self.continue_stop(now),
            }
        }
    }

    pub(crate) fn next_connection(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }

    pub(crate) fn next_request(&mut self) -> RequestNumber {
        self.last_request += 1;
        RequestNumber(self.last_request)
    }

    pub(crate) fn observe(&mut self, backend: &BackendId, evidence: BackendEvidence) {
        self.effects.push(Effect::BackendObserved {
            backend: backend.clone(),
            evidence,
        });
    }

    fn configure(&mut self, now: Time, table: Arc<RoutingTable>) {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|known| table.revision > known.revision);
        if !is_newer {
            return;
        }
        let limits = table.tenants.as_ref().map(TenantDirectory::limits);
        self.table = Some(table);
        self.handle_limit_event(now, LimitEvent::Limits(limits.unwrap_or_default()));
        let queued: Vec<TenantName> = self.admissions.keys().cloned().collect();
        for tenant in queued {
            self.admit_waiting(now, &tenant);
        }
        self.changed.extend(self.groups.keys().cloned());
        self.end_revoked_sessions(now);
        self.open_pending_sessions();
        self.open_initial_connections(now);
    }

    pub(crate) fn idle_connections_of(
        &self,
        connections: &BTreeSet<ConnectionId>,
    ) -> Vec<ConnectionId> {
        let is_idle = |connection: &&ConnectionId| {
            self.connections
                .get(connection)
                .is_some_and(Connection::is_idle)
        };
        connections.iter().filter(is_idle).copied().collect()
    }

    /// Closes idle connections that are no longer needed, except one to each back end of the services that
    /// this node holds. Connections that it opened before it knew the other holders must be closed too: 72
    /// nodes that keep one connection each would leave the holders none of 36.
    pub(crate) fn close_unneeded_connections(&mut self, now: Time) {
        let mut unused = Vec::new();
        for backend in self.backends.values() {
            let mut idle = self.idle_connections_of(&backend.connections);
            let is_any_in_use = idle.len() < backend.connections.len();
            let is_held_here = !self.holders.is_held_by_others(&backend.description.service);
            if is_held_here && !is_any_in_use && !idle.is_empty() {
                idle.remove(0);
            }
            unused.extend(idle.into_iter().filter(|id| {
                let connection = self.connections.get(id);
                connection.is_some_and(|connection| {
                    let limit = match connection.tenant {
                        Some(_) if is_held_here => TENANT_IDLE_TIMEOUT,
                        _ => IDLE_TIMEOUT,
                    };
                    now.since(connection.idle_since) >= limit
                })
            }));
        }
        for connection in unused {
            self.close_connection(connection);
        }
    }

    fn record_node_count(&mut self, now: Time, nodes: u32) {
        let is_first = !self.nodes.is_known();
        self.nodes.record(now, nodes);
        if is_first {
            self.open_initial_connections(now);
        }
    }

    /// The connections that this node may hold to a back end. It is one until the node has seen the others,
    /// because hundreds of nodes that start together would fill all slots with openings.
    pub(crate) fn connection_share(&self, id: &BackendId) -> usize {
        let service = self
            .backends
            .get(id)
            .map(|backend| &backend.description.service);
        let Some(service) = service.filter(|_| self.nodes.is_known()) else {
            return 1;
        };
        let limits = self
            .table
            .as_ref()
            .and_then(|table| table.services.get(service));
        let limit = limits.map_or(1, |limits| limits.connections);
        let available = limit.saturating_sub(RESERVED_CONNECTIONS);
        if let Some(share) = self.same_zone_share(id, available) {
            return usize::try_from(share).unwrap_or(1);
        }
        let (nodes, holders) = (
            self.nodes.max_recent(),
            self.holder_sizing(service).holder_count(),
        );
        let share = if nodes <= holders {
            (available / nodes).max(1)
        } else {
            connections_per_holder(available, holders)
        };
        usize::try_from(share).unwrap_or(1)
    }

    /// The inputs that determine how many nodes hold connections to a service's back ends.
    fn holder_sizing(&self, service: &ServiceName) -> HolderSizing {
        let limits = self
            .table
            .as_ref()
            .and_then(|table| table.services.get(service));
        let members = self
            .groups
            .get(service)
            .into_iter()
            .flat_map(|group| &group.members);
        let slots = members.filter_map(|id| self.backends.get(id)?.description.slots);
        HolderSizing {
            connections: limits.map_or(1, |limits| limits.connections),
            slots: slots.max(),
            zones: self.options.zone_count(),
        }
    }

    /// Opens a first connection to each back end of the routed services that this node holds, so that the
    /// first requests find one. It waits until the other nodes are known, since most back ends may be theirs
    /// to hold.
    pub(crate) fn open_initial_connections(&mut self, now: Time) {
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        self.open_initial_connections_of(now, &services);
    }

    /// As [`Self::open_initial_connections`], for these services only.
    pub(crate) fn open_initial_connections_of(&mut self, now: Time, services: &[ServiceName]) {
        if !self.nodes.is_known() {
            return;
        }
        let is_held_here = |service: &&ServiceName| !self.holders.is_held_by_others(service);
        let held: Vec<&ServiceName> = services.iter().filter(is_held_here).collect();
        let Some(table) = self.table.as_ref().filter(|_| !held.is_empty()) else {
            return;
        };
        let routed: BTreeSet<&ServiceName> =
            table.routes.values().map(|route| &route.service).collect();
        let groups = held
            .into_iter()
            .filter(|service| routed.contains(service))
            .filter_map(|service| self.groups.get(service));
        let is_unconnected = |id: &&BackendId| {
            let backend = self.backends.get(*id);
            backend.is_some_and(|backend| backend.connections.is_empty() && !backend.is_draining())
        };
        let members = groups.flat_map(|group| &group.members);
        let unconnected: Vec<BackendId> = members.filter(is_unconnected).cloned().collect();
        for id in unconnected {
            self.open_connection(now, &id, None);
        }
    }
}
