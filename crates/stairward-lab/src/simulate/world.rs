//! One run: the virtual clock, everything that lives on it, and the event loop.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_checker::{HistoryEvent, Recorder, RequestId};
use stairward_settings::ResolvedSettings;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, Time};

use super::caller::CallerSession;
use super::database::{DatabaseGroup, DatabaseRequest};
use super::fault::PlannedFault;
use super::layout::{Layout, LayoutError};
use super::message::{CallerConnection, ProxyMessage, StoreRead};
use super::metrics::Metrics;
use super::network::Network;
use super::options::Options;
use super::process::{DatabaseLink, ProxySlot};
use super::proxy::ProxyInput;
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
    pub(super) group_due: Vec<Time>,
    pub(super) links: BTreeMap<ConnectionNumber, (BackendId, DatabaseLink)>,
    pub(super) next_connection: u64,
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
    pub(super) log: Option<Vec<String>>,
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
}
