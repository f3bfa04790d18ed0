//! One run: the virtual clock, everything that lives on it, and the messages between.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use stairward_checker::{HistoryEvent, Recorder, RequestId};
use stairward_settings::ResolvedSettings;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, GroupId, NodeId, Time};

use super::caller::CallerSession;
use super::control::address_of;
use super::database::{DatabaseGroup, DatabaseReply, DatabaseRequest, GroupOutput};
use super::fault::PlannedFault;
use super::layout::{Layout, LayoutError};
use super::message::{
    CallerConnection, CallerMessage, PeerMessage, ProxyMessage, StoreAnswered, StoreRead,
};
use super::metrics::Metrics;
use super::network::{End, Network};
use super::options::Options;
use super::outbox::{Action, Outbox, ProxyTimer};
use super::proxy::{ProxyInput, ProxyState};
use super::queue::EventQueue;
use super::random::Random;
use super::store::{OperatorTask, Reader, Store};
use crate::load::schedule::{PlannedRequest, Schedule};
use crate::site::Site;

/// Callers send nothing before this, so that the fleet can settle.
pub(super) const LOAD_BEGINS: Duration = Duration::from_millis(1_500);
/// The run ends at the latest so long after its last request.
const LONGEST_END: Duration = Duration::from_secs(30);
/// Events of one run, far above what any run needs: a run beyond them is caught in a loop.
const MAXIMUM_EVENTS: u64 = 5_000_000;
/// Lines of the event log that are kept.
const LOG_LINES: usize = 400;
/// A proxy's clock starts at up to this moment, so that no two clocks agree.
const MAXIMUM_CLOCK_OFFSET: Duration = Duration::from_secs(1_000);

/// Something that happens at a moment.
#[derive(Debug)]
pub(super) enum WorldEvent {
    /// A planned request arrives at its caller.
    Arrival(Box<PlannedRequest>),
    /// A life of a proxy's process hears something.
    Proxy(usize, u64, Box<ProxyInput>),
    /// A caller hears something.
    Caller(CallerConnection, Option<RequestId>, Box<ProxyMessage>),
    /// A database hears something on a connection.
    Database(BackendId, ConnectionNumber, Box<DatabaseRequest>),
    /// A database group has something to do.
    GroupDue(usize),
    /// The store hears a read.
    StoreRead(Reader, StoreRead),
    /// Reads of the store may have waited long enough.
    StoreDue,
    /// An operator goes on.
    Operator(Box<OperatorTask>),
    /// A proxy that was stopped as planned comes back.
    ProxyReturns(usize),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// A proxy and its process.
pub(super) struct ProxySlot {
    /// Its number in the fleet.
    pub node: NodeId,
    /// Counts the lives of its process.
    pub life: u64,
    /// The process; none while it is dead.
    pub state: Option<ProxyState>,
    /// What its clock shows at the start of the run.
    pub clock_offset: Duration,
    /// Until when it is paused.
    pub paused_until: Time,
    /// When a stopped or killed process comes back.
    pub returns_at: Time,
}

/// A connection between a proxy and a database.
#[derive(Debug, Clone, Copy)]
pub(super) struct DatabaseLink {
    pub proxy: usize,
    pub life: u64,
}

/// One run.
pub(super) struct World<'site> {
    pub(super) site: &'site Site,
    pub(super) options: &'site Options,
    pub(super) layout: Layout,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) random: Random,
    pub(super) network: Network<'site>,
    pub(super) proxies: Vec<ProxySlot>,
    pub(super) groups: Vec<DatabaseGroup>,
    group_due: Vec<Time>,
    pub(super) links: BTreeMap<ConnectionNumber, (BackendId, DatabaseLink)>,
    next_connection: u64,
    pub(super) store: Store,
    pub(super) callers: Vec<CallerSession>,
    pub(super) faults: Vec<PlannedFault>,
    /// The databases that faults have struck.
    pub(super) struck: BTreeMap<usize, BackendId>,
    /// The newest settings.
    pub(super) resolved: ResolvedSettings,
    pub(super) next_change: u64,
    pub(super) recorder: Recorder,
    pub(super) metrics: Metrics,
    pub(super) open_requests: u64,
    pub(super) arrivals_over: bool,
    log: Option<Vec<String>>,
}

impl<'site> World<'site> {
    /// Prepares a run.
    pub(super) fn new(
        site: &'site Site,
        options: &'site Options,
        seed: u64,
        keep_log: bool,
    ) -> Result<Self, LayoutError> {
        let layout = Layout::new(site)?;
        let recorder = Recorder::new();
        let store = Store::new(layout.document(site)?);
        let groups = (0..layout.groups.len()).map(|group| {
            let config = layout.group_config(site, group, options.replication_lag);
            let seed = seed.wrapping_mul(31).wrapping_add(group as u64);
            DatabaseGroup::new(
                layout.groups[group].clone(),
                &config,
                seed,
                recorder.clone(),
            )
        });
        let groups: Vec<_> = groups.collect();
        let mut random = Random::new(seed, 0);
        let proxies = layout.proxies.iter().map(|(identity, _)| ProxySlot {
            node: identity.node,
            life: 0,
            state: None,
            clock_offset: random.between(Duration::ZERO, MAXIMUM_CLOCK_OFFSET),
            paused_until: Time::ZERO,
            returns_at: Time::NEVER,
        });
        let proxies = proxies.collect();
        let faults = super::fault::plan(&options.faults, &mut Random::new(seed, 1));
        let callers = (0..site.traffic.sessions).map(|session| {
            let group = session as usize % layout.groups.len();
            CallerSession::new(stairward_checker::SessionId(u64::from(session)), group)
        });
        Ok(Self {
            network: Network::new(site, &layout),
            callers: callers.collect(),
            site,
            options,
            layout,
            queue: EventQueue::default(),
            random,
            proxies,
            group_due: vec![Time::NEVER; groups.len()],
            groups,
            links: BTreeMap::new(),
            next_connection: 0,
            store,
            faults,
            struck: BTreeMap::new(),
            resolved: ResolvedSettings::default(),
            next_change: 0,
            recorder,
            metrics: Metrics::default(),
            open_requests: 0,
            arrivals_over: false,
            log: keep_log.then(Vec::new),
        })
    }

    /// Runs to the end.
    pub(super) fn run(&mut self, seed: u64) {
        self.fill_tables();
        self.settings_accepted();
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy);
        }
        self.plan_edits();
        for (number, fault) in self.faults.clone().iter().enumerate() {
            self.queue.at(fault.begins, WorldEvent::FaultBegins(number));
            self.queue.at(fault.ends, WorldEvent::FaultEnds(number));
        }
        let site = self.site;
        let mut schedule = Schedule::new(site, seed);
        self.plan_arrival(&mut schedule);
        let load_ends = Time::ZERO + LOAD_BEGINS + self.options.load_time;
        while let Some(event) = self.queue.next() {
            self.metrics.events += 1;
            assert!(
                self.metrics.events < MAXIMUM_EVENTS,
                "seed {seed} does not come to an end; at {} us: {event:?}",
                self.queue.now().0
            );
            if let WorldEvent::Arrival(plan) = event {
                self.plan_arrival(&mut schedule);
                self.arrival(*plan);
            } else {
                self.handle(event);
            }
            let now = self.queue.now();
            let is_over = self.arrivals_over && self.open_requests == 0;
            if is_over && now > load_ends || now > load_ends + LONGEST_END {
                return;
            }
        }
    }

    fn plan_arrival(&mut self, schedule: &mut Schedule<'_>) {
        let Some(plan) = schedule.next() else {
            return;
        };
        if plan.at > self.options.load_time {
            self.arrivals_over = true;
            return;
        }
        let at = Time::ZERO + LOAD_BEGINS + plan.at;
        self.queue.at(at, WorldEvent::Arrival(Box::new(plan)));
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival(plan) => self.arrival(*plan),
            WorldEvent::Proxy(proxy, life, input) => self.proxy_input(proxy, life, *input),
            WorldEvent::Caller(connection, request, message) => {
                self.caller_hears(connection, request, *message);
            }
            WorldEvent::Database(backend, connection, request) => {
                self.database_hears(&backend, connection, *request);
            }
            WorldEvent::GroupDue(group) => self.group_is_due(group),
            WorldEvent::StoreRead(reader, read) => self.store_hears(reader, &read),
            WorldEvent::StoreDue => self.store_due(),
            WorldEvent::Operator(task) => self.operator_goes_on(*task),
            WorldEvent::ProxyReturns(proxy) => self.restart_proxy(proxy),
            WorldEvent::FaultBegins(number) => self.fault_begins(number),
            WorldEvent::FaultEnds(number) => self.fault_ends(number),
        }
    }

    /// Adds to the history.
    pub(super) fn record(&self, event: HistoryEvent) {
        self.recorder.record(self.queue.now(), event);
    }

    /// Adds to the event log, if it is kept.
    pub(super) fn log(&mut self, line: impl FnOnce() -> String) {
        let now = self.queue.now();
        if let Some(log) = &mut self.log {
            log.push(format!("{:>12} us  {}", now.0, line()));
        }
    }

    /// The last lines of the event log.
    pub(super) fn take_log(&mut self) -> Vec<String> {
        let log = self.log.take().unwrap_or_default();
        let skipped = log.len().saturating_sub(LOG_LINES);
        log.into_iter().skip(skipped).collect()
    }

    /// The whole event log.
    pub(super) fn take_whole_log(&mut self) -> Vec<String> {
        self.log.take().unwrap_or_default()
    }

    /// Starts a new life of a proxy's process.
    pub(super) fn start_proxy(&mut self, proxy: usize) {
        let seeds: Vec<SocketAddr> = self
            .proxies
            .iter()
            .map(|other| address_of(other.node))
            .collect();
        let now = self.queue.now();
        let identity = self.layout.proxies[proxy].0.clone();
        let node = identity.node;
        let slot = &mut self.proxies[proxy];
        slot.life += 1;
        slot.returns_at = Time::NEVER;
        let state = ProxyState::new(
            identity,
            slot.life,
            &seeds,
            self.options.policy,
            self.options.broken,
            now + slot.clock_offset,
            &mut self.random,
        );
        slot.state = Some(state);
        let life = slot.life;
        self.record(HistoryEvent::ProxyStarted { proxy: node });
        self.log(|| format!("proxy {node} starts, life {life}"));
        self.proxy_input(proxy, life, ProxyInput::Start);
    }

    /// A proxy's process is gone: its connections end.
    pub(super) fn end_proxy(&mut self, proxy: usize) {
        let slot = &mut self.proxies[proxy];
        if slot.state.take().is_none() {
            return;
        }
        let (life, node) = (slot.life, slot.node);
        let lost: Vec<(ConnectionNumber, BackendId)> = self
            .links
            .iter()
            .filter(|(_, (_, link))| link.proxy == proxy && link.life == life)
            .map(|(connection, (backend, _))| (*connection, backend.clone()))
            .collect();
        for (connection, backend) in lost {
            self.send_database(proxy, &backend, connection, DatabaseRequest::Close);
        }
        for other in 0..self.proxies.len() {
            if other != proxy {
                self.send_peer(proxy, self.proxies[other].node, PeerMessage::Closed);
            }
        }
        let sessions: Vec<CallerConnection> = self
            .callers
            .iter()
            .filter(|caller| caller.proxy == Some(proxy))
            .map(CallerSession::caller_connection)
            .collect();
        for connection in sessions {
            self.send_caller(proxy, connection, None, ProxyMessage::Lost);
        }
        self.log(|| format!("proxy {node} is gone"));
    }

    fn proxy_input(&mut self, proxy: usize, life: u64, input: ProxyInput) {
        let now = self.queue.now();
        let slot = &mut self.proxies[proxy];
        if slot.life != life {
            return self.input_to_the_dead(proxy, input);
        }
        if slot.paused_until > now {
            let event = WorldEvent::Proxy(proxy, life, Box::new(input));
            return self.queue.at(self.proxies[proxy].paused_until, event);
        }
        if slot.state.is_none() {
            return self.input_to_the_dead(proxy, input);
        }
        if let ProxyInput::Caller(connection, _, message) = &input {
            self.note_servable(proxy, *connection, message);
        }
        let slot = &mut self.proxies[proxy];
        let Some(mut state) = slot.state.take() else {
            return;
        };
        let mut out = Outbox {
            now: now + slot.clock_offset,
            random: &mut self.random,
            next_connection: &mut self.next_connection,
            actions: Vec::new(),
            log: self.log.as_ref().map(|_| Vec::new()),
        };
        state.handle(input, &mut out);
        let Outbox { actions, log, .. } = out;
        self.proxies[proxy].state = Some(state);
        let node = self.proxies[proxy].node;
        for line in log.unwrap_or_default() {
            self.log(|| format!("proxy {node} {line}"));
        }
        for action in actions {
            self.act(proxy, life, action);
        }
    }

    /// What a dead process would have heard bounces.
    fn input_to_the_dead(&mut self, proxy: usize, input: ProxyInput) {
        match input {
            ProxyInput::Caller(connection, _, CallerMessage::Connect { .. }) => {
                self.send_caller(proxy, connection, None, ProxyMessage::Refused);
            }
            ProxyInput::Caller(connection, _, _) => {
                self.send_caller(proxy, connection, None, ProxyMessage::Lost);
            }
            ProxyInput::Peer(from, message)
                if !matches!(message, PeerMessage::Membership(_) | PeerMessage::Closed) =>
            {
                self.send_peer(proxy, from, PeerMessage::Closed);
            }
            _ => {}
        }
    }

    fn act(&mut self, proxy: usize, life: u64, action: Action) {
        match action {
            Action::Peer(to, message) => self.send_peer(proxy, to, message),
            Action::Database(backend, connection, request) => {
                if let DatabaseRequest::Open { .. } = request {
                    let link = DatabaseLink { proxy, life };
                    self.links.insert(connection, (backend.clone(), link));
                }
                self.send_database(proxy, &backend, connection, request);
            }
            Action::Caller(to, request, message) => {
                self.send_caller(proxy, to, request, message);
            }
            Action::Store(read, request) => {
                let reader = Reader { proxy, life, read };
                self.send_store(reader, request);
            }
            Action::Wake(at, timer) => {
                let at = at - self.proxies[proxy].clock_offset;
                self.wake_proxy(proxy, life, at, timer);
            }
            Action::Record(event) => self.record(event),
            Action::Exit => self.proxy_exits(proxy),
        }
    }

    fn wake_proxy(&mut self, proxy: usize, life: u64, at: Time, timer: ProxyTimer) {
        let input = ProxyInput::Timer(timer);
        self.queue
            .at(at, WorldEvent::Proxy(proxy, life, Box::new(input)));
    }

    /// The place of a proxy by its number.
    pub(super) fn proxy_at(&self, node: NodeId) -> Option<usize> {
        self.proxies.iter().position(|slot| slot.node == node)
    }

    fn send_peer(&mut self, from: usize, to: NodeId, message: PeerMessage) {
        let Some(to) = self.proxy_at(to) else {
            return;
        };
        let (source, target) = (End::Proxy(from), End::Proxy(to));
        if !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let is_ordered =
            !matches!(message, PeerMessage::Membership(_)) && !self.network.is_unsteady;
        let life = self.proxies[to].life;
        let node = self.proxies[from].node;
        if source != target && self.network.is_doubled(&mut self.random) {
            let network = &self.network;
            let again = network.unordered_arrival(now, source, target, &mut self.random);
            let input = ProxyInput::Peer(node, message.clone());
            self.queue
                .at(again, WorldEvent::Proxy(to, life, Box::new(input)));
        }
        let arrives = if is_ordered {
            self.network.arrival(now, source, target, &mut self.random)
        } else {
            let network = &self.network;
            network.unordered_arrival(now, source, target, &mut self.random)
        };
        let input = ProxyInput::Peer(node, message);
        self.queue
            .at(arrives, WorldEvent::Proxy(to, life, Box::new(input)));
    }

    fn send_database(
        &mut self,
        proxy: usize,
        backend: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) {
        let Some(target) = Network::database_end(&self.layout, backend) else {
            return;
        };
        let source = End::Proxy(proxy);
        let is_close = matches!(request, DatabaseRequest::Close);
        // The end of a connection arrives in the end, also across a cut.
        if !is_close && !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let event = WorldEvent::Database(backend.clone(), connection, Box::new(request));
        self.queue.at(arrives, event);
    }

    fn database_hears(
        &mut self,
        backend: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) {
        let Some(group) = self.layout.databases.get(backend).map(|place| place.group) else {
            return;
        };
        let is_close = matches!(request, DatabaseRequest::Close);
        let now = self.queue.now();
        let outputs = self.groups[group].request(now, backend, connection, request);
        self.group_outputs(group, outputs);
        if is_close {
            self.send_database_reply(backend.clone(), connection, DatabaseReply::Closed);
            self.links.remove(&connection);
        }
    }

    /// A group's moment has come, unless it was due earlier and has run since.
    fn group_is_due(&mut self, group: usize) {
        let now = self.queue.now();
        if self.group_due[group] > now {
            return;
        }
        self.group_due[group] = Time::NEVER;
        let outputs = self.groups[group].wake(now);
        self.group_outputs(group, outputs);
    }

    /// Carries out what a group says, and notes when it is due next.
    pub(super) fn group_outputs(&mut self, group: usize, outputs: Vec<GroupOutput>) {
        for output in outputs {
            match output {
                GroupOutput::Reply {
                    member,
                    connection,
                    reply,
                } => self.send_database_reply(member, connection, reply),
                GroupOutput::Elected { term } => {
                    let id = self.groups[group].id.clone();
                    let now = self.queue.now();
                    self.metrics.failovers.elected(now, &id, term);
                    self.log(|| format!("group {id} elected a primary in term {term}"));
                }
            }
        }
        if let Some(due) = self.groups[group].wake_at()
            && due < self.group_due[group]
        {
            self.group_due[group] = due;
            self.queue.at(due, WorldEvent::GroupDue(group));
        }
    }

    fn send_database_reply(
        &mut self,
        backend: BackendId,
        connection: ConnectionNumber,
        reply: DatabaseReply,
    ) {
        let Some((_, link)) = self.links.get(&connection).cloned() else {
            return;
        };
        let Some(source) = Network::database_end(&self.layout, &backend) else {
            return;
        };
        let target = End::Proxy(link.proxy);
        let is_closed = matches!(reply, DatabaseReply::Closed);
        if !is_closed && !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let input = ProxyInput::Database(connection, reply);
        let event = WorldEvent::Proxy(link.proxy, link.life, Box::new(input));
        self.queue.at(arrives, event);
    }

    fn send_caller(
        &mut self,
        proxy: usize,
        connection: CallerConnection,
        request: Option<RequestId>,
        message: ProxyMessage,
    ) {
        let source = End::Proxy(proxy);
        let target = End::Caller(connection.session.0);
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let event = WorldEvent::Caller(connection, request, Box::new(message));
        self.queue.at(arrives, event);
    }

    /// Sends a caller's message to a proxy.
    pub(super) fn send_from_caller(
        &mut self,
        proxy: usize,
        connection: CallerConnection,
        group: GroupId,
        message: CallerMessage,
    ) {
        let source = End::Caller(connection.session.0);
        let target = End::Proxy(proxy);
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let life = self.proxies[proxy].life;
        let input = ProxyInput::Caller(connection, group, message);
        let event = WorldEvent::Proxy(proxy, life, Box::new(input));
        self.queue.at(arrives, event);
    }

    /// Sends the store's answer to a reader.
    pub(super) fn send_store_answer(&mut self, reader: Reader, answer: StoreAnswered) {
        let target = End::Proxy(reader.proxy);
        if !self.network.connected(End::Store, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self
            .network
            .arrival(now, End::Store, target, &mut self.random);
        let input = ProxyInput::Store(reader.read, answer);
        let event = WorldEvent::Proxy(reader.proxy, reader.life, Box::new(input));
        self.queue.at(arrives, event);
    }

    fn send_store(&mut self, reader: Reader, request: StoreRead) {
        let source = End::Proxy(reader.proxy);
        if !self.network.connected(source, End::Store) {
            return;
        }
        let now = self.queue.now();
        let arrives = self
            .network
            .arrival(now, source, End::Store, &mut self.random);
        self.queue
            .at(arrives, WorldEvent::StoreRead(reader, request));
    }

    /// The number of the next unused connection to a database.
    pub(super) fn new_connection(&mut self) -> ConnectionNumber {
        self.next_connection += 1;
        ConnectionNumber(self.next_connection)
    }
}
