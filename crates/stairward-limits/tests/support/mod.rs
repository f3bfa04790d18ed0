//! A fleet of limiters on a virtual clock, with delayed, lost and duplicated messages, killed and
//! frozen nodes, network partitions, lagging views, and clocks of different speed. A checker counts
//! the operations admitted in every window.

#![allow(dead_code, reason = "each test file uses its own part")]

mod faults;
mod options;
mod views;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_limits::{
    Admission, Effect, Event, GrantRequest, GrantResponse, LimitOptions, Limiter,
};
use stairward_types::{Duration, NodeId, TenantName, Time};

pub use options::{InjectedBug, Scenario};

/// The windows in which operations are counted.
pub const WINDOWS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];
/// Time by which the first loans of a fleet are made.
const SETTLED_AT: Time = Time::from_millis(3_000);
/// Interval at which views are updated.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a node's announcement that it leaves until it stops.
const LEAVE_DURATION: Duration = Duration::from_millis(2_500);
/// Maximum deviation of the rate of a clock, in thousandths.
const MAX_CLOCK_DRIFT: u64 = 20;

struct Node {
    limiter: Limiter,
    incarnation: u64,
    is_running: bool,
    started: Time,
    frozen_until: Time,
    /// Messages that arrived while it was frozen.
    inbox: VecDeque<SimulationEvent>,
    wake_at: Time,
    /// Rate of its clock in thousandths; 1,000 is exact.
    clock_rate: u64,
    waiting: u32,
    side: u64,
    is_leaving: bool,
}

#[derive(Debug, Clone)]
enum SimulationEvent {
    RequestArrives(usize, usize, u64, GrantRequest),
    GrantArrives(usize, u64, usize, GrantResponse),
    Operation(usize),
    Wake(usize, u64),
    View,
    KillAll,
    Kill(usize),
    Leave(usize),
    Start(usize),
    Freeze(usize, Duration),
    Thaw(usize, u64),
    Partition(u64),
    Heal,
}

/// A run and its results.
pub struct Fleet {
    options: Scenario,
    random: ChaCha8Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), SimulationEvent>,
    scheduled: u64,
    incarnations: u64,
    nodes: Vec<Node>,
    tenant: TenantName,
    /// When operations were admitted.
    pub admitted: Vec<Time>,
    pub wanted: u64,
    pub denied: u64,
    /// Operations wanted and denied after the first loans were made.
    pub settled: (u64, u64),
    pub retries: Vec<Duration>,
    /// The recorded number of nodes.
    recorded: u32,
}

impl Fleet {
    pub fn run(options: Scenario) -> Self {
        let random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut fleet = Self {
            random,
            now: Time::from_millis(1),
            queue: BTreeMap::new(),
            scheduled: 0,
            incarnations: 0,
            nodes: Vec::new(),
            tenant: TenantName::new("tenant-1").unwrap(),
            admitted: Vec::new(),
            wanted: 0,
            denied: 0,
            settled: (0, 0),
            retries: Vec::new(),
            recorded: 0,
            options,
        };
        fleet.start();
        let end = fleet.now + fleet.options.length;
        while let Some(((at, _), event)) = fleet.queue.pop_first() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.dispatch(event);
        }
        fleet
    }

    /// The operations admitted by the first window over its limit, and the number it may admit.
    pub fn excess(&self) -> Option<(f64, f64)> {
        let counted = match self.options.window {
            Some(window) => vec![window.length],
            None => WINDOWS.to_vec(),
        };
        counted.into_iter().find_map(|window| {
            let (most, bound) = (self.most_in(window), self.bound(window));
            #[allow(clippy::cast_precision_loss, reason = "a count of a short run")]
            let most = most as f64;
            (most > bound).then_some((most, bound))
        })
    }

    /// The most operations admitted in any window.
    fn most_in(&self, window: Duration) -> usize {
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while *at >= self.admitted[first] + window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// The number of operations that any window may admit: the rate over the window and the life of
    /// a grant, plus the burst. Clocks run at most 2% fast.
    fn bound(&self, window: Duration) -> f64 {
        if let Some(window) = self.options.window {
            return window.allowed(self.options.limit);
        }
        let limit = self.options.limit;
        let seconds = window.as_secs_f64() + 0.5;
        limit.per_second() * seconds * 1.02 + limit.burst()
    }

    fn start(&mut self) {
        for index in 0..self.options.nodes {
            let clock_rate =
                1_000 - MAX_CLOCK_DRIFT + self.random.random_range(0..=2 * MAX_CLOCK_DRIFT);
            let node = self.new_node(usize::try_from(index).unwrap(), clock_rate);
            self.nodes.push(node);
        }
        for index in 0..self.nodes.len() {
            self.schedule_operation(index);
        }
        self.schedule(Duration::from_millis(50), SimulationEvent::View);
        for at in self.options.kill_all_at.clone() {
            self.schedule(at, SimulationEvent::KillAll);
        }
        if let Some((starts_at, ends_at)) = self.options.partition {
            self.schedule(starts_at, SimulationEvent::Partition(0b1010_1010_1010));
            self.schedule(ends_at, SimulationEvent::Heal);
        }
        if self.options.repeated_partitions {
            self.schedule_repeated_partitions();
        }
        if self.options.faults {
            self.schedule_faults();
        }
        if let Some(gap) = self.options.restart_interval {
            for node in 0..self.nodes.len() {
                let turn = u32::try_from(node).unwrap() + 2;
                self.schedule(gap * turn, SimulationEvent::Leave(node));
            }
        }
    }

    fn new_node(&mut self, index: usize, clock_rate: u64) -> Node {
        self.incarnations += 1;
        let id = NodeId(u64::try_from(index).unwrap());
        let started = local_time(self.now, clock_rate);
        let mut options = LimitOptions::new(id, self.incarnations);
        options.started = started;
        options.lends_shares = self.options.lends_shares;
        options.window = self.options.window;
        match self.options.bug {
            Some(InjectedBug::LoanOutlivesLender) if is_odd(id.0 + self.options.seed) => {
                options.loan *= 8
            }
            Some(InjectedBug::CountsOnlyVisibleNodes) => {
                options.node_retention = Duration::from_millis(100)
            }
            Some(InjectedBug::LoanOutlivesLender | InjectedBug::DuplicateLends) | None => {}
        }
        let mut limiter = Limiter::new(options);
        let limits = BTreeMap::from([(self.tenant.clone(), self.options.limit)]);
        limiter.handle(started, Event::Limits(limits));
        Node {
            limiter,
            incarnation: self.incarnations,
            is_running: true,
            started: self.now,
            frozen_until: Time::ZERO,
            inbox: VecDeque::new(),
            wake_at: Time::NEVER,
            clock_rate,
            waiting: 0,
            side: 0,
            is_leaving: false,
        }
    }

    fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }

    fn schedule_operation(&mut self, node: usize) {
        let rate = self.options.demand[node];
        if rate > 0.0 {
            let mean = 1.0 / rate;
            let pause = mean * 2.0 * self.random.random::<f64>();
            self.schedule(
                Duration::from_secs_f64(pause),
                SimulationEvent::Operation(node),
            );
        }
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrives(..) | SimulationEvent::GrantArrives(..) => {
                self.deliver(event)
            }
            SimulationEvent::Operation(node) => {
                self.schedule_operation(node);
                self.submit_operation(node);
            }
            SimulationEvent::Wake(node, incarnation) => self.wake(node, incarnation),
            SimulationEvent::View => {
                self.send_views();
                self.schedule(VIEW_INTERVAL, SimulationEvent::View);
            }
            SimulationEvent::KillAll => {
                for node in 0..self.nodes.len() {
                    self.kill(node);
                }
            }
            SimulationEvent::Kill(node) => self.kill(node),
            SimulationEvent::Leave(node) => self.leave(node),
            SimulationEvent::Start(node) => {
                let clock_rate = self.nodes[node].clock_rate;
                self.nodes[node] = self.new_node(node, clock_rate);
                self.send_recorded_size(node);
                self.send_view(node);
            }
            SimulationEvent::Freeze(node, pause) => {
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].frozen_until = self.now + pause;
                self.schedule(pause, SimulationEvent::Thaw(node, incarnation));
            }
            SimulationEvent::Thaw(node, incarnation) => self.thaw(node, incarnation),
            SimulationEvent::Partition(sides) => {
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    node.side = (sides >> (index % 64)) & 1;
                }
            }
            SimulationEvent::Heal => {
                for node in &mut self.nodes {
                    node.side = 0;
                }
            }
        }
    }

    fn is_frozen(&self, node: usize) -> bool {
        self.now < self.nodes[node].frozen_until
    }

    fn local_time(&self, node: usize) -> Time {
        local_time(self.now, self.nodes[node].clock_rate)
    }

    fn deliver(&mut self, event: SimulationEvent) {
        let to = match &event {
            SimulationEvent::RequestArrives(_, to, ..) | SimulationEvent::GrantArrives(to, ..) => {
                *to
            }
            _ => return,
        };
        if !self.nodes[to].is_running {
            return;
        }
        if self.is_frozen(to) {
            return self.nodes[to].inbox.push_back(event);
        }
        let now = self.local_time(to);
        match event {
            SimulationEvent::RequestArrives(from, to, incarnation, request) => {
                let asking = NodeId(u64::try_from(from).unwrap());
                let grant = self.nodes[to].limiter.answer(now, asking, &request);
                if self.options.bug == Some(InjectedBug::DuplicateLends) {
                    let other = NodeId(asking.0 + 1_000);
                    let copy = GrantRequest {
                        demands: Vec::new(),
                        ..request
                    };
                    self.nodes[to].limiter.answer(now, other, &copy);
                }
                self.send(
                    to,
                    from,
                    SimulationEvent::GrantArrives(from, incarnation, to, grant),
                );
            }
            SimulationEvent::GrantArrives(to, incarnation, from, grant)
                if self.nodes[to].incarnation == incarnation =>
            {
                let coordinator = NodeId(u64::try_from(from).unwrap());
                let event = Event::GrantReceived(coordinator, grant);
                self.nodes[to].limiter.handle(now, event);
                self.apply_effects(to);
            }
            _ => {}
        }
    }

    /// Sends a message, which is delayed and may be duplicated or lost.
    fn send(&mut self, from: usize, to: usize, message: SimulationEvent) {
        if self.nodes[from].side != self.nodes[to].side {
            return;
        }
        let times = match self.random.random_range(0..40) {
            0 if self.options.faults => 0,
            1 if self.options.faults => 2,
            _ => 1,
        };
        for _ in 0..times {
            let mut delay = Duration::from_millis(self.random.random_range(1..25));
            if self.options.faults && self.random.random_range(0..100) == 0 {
                delay *= 60;
            }
            self.schedule(delay, message.clone());
        }
    }

    fn submit_operation(&mut self, node: usize) {
        if !self.nodes[node].is_running || self.is_frozen(node) || self.nodes[node].is_leaving {
            return;
        }
        self.wanted += 1;
        self.settled.0 += u64::from(self.now >= SETTLED_AT);
        let now = self.local_time(node);
        let tenant = self.tenant.clone();
        match self.nodes[node].limiter.admit(now, &tenant) {
            Admission::Admitted => self.admitted.push(self.now),
            Admission::Denied(retry) => {
                self.record_denied(1);
                self.retries.push(retry);
            }
            Admission::Waiting => self.nodes[node].waiting += 1,
        }
        self.apply_effects(node);
    }

    fn record_denied(&mut self, operations: u32) {
        self.denied += u64::from(operations);
        if self.now >= SETTLED_AT {
            self.settled.1 += u64::from(operations);
        }
    }

    fn apply_effects(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let now = self.local_time(node);
        let tenant = self.tenant.clone();
        loop {
            let effects = self.nodes[node].limiter.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::RequestGrant(to, request) => {
                        let to = usize::try_from(to.0).unwrap();
                        self.send(
                            node,
                            to,
                            SimulationEvent::RequestArrives(node, to, incarnation, request),
                        );
                    }
                    Effect::Available(_) => {
                        while self.nodes[node].waiting > 0
                            && self.nodes[node].limiter.admit_waiting(now, &tenant)
                        {
                            self.nodes[node].waiting -= 1;
                            self.admitted.push(self.now);
                        }
                    }
                    Effect::Denied(..) => {
                        let waiting = std::mem::take(&mut self.nodes[node].waiting);
                        for _ in 0..waiting {
                            self.nodes[node].limiter.give_up(&tenant);
                        }
                        self.record_denied(waiting);
                    }
                    Effect::RecordFleetSize(nodes) => {
                        self.recorded = self.recorded.max(nodes);
                        self.send_recorded_size(node);
                    }
                    Effect::CoordinatorChanged { .. } => {}
                }
            }
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(at) = self.nodes[node].limiter.next_wake() {
            let pause = at.since(self.local_time(node)) + Duration::from_millis(1);
            let due = self.now + pause;
            let known = self.nodes[node].wake_at;
            if due < known || known <= self.now {
                self.nodes[node].wake_at = due;
                self.schedule(pause, SimulationEvent::Wake(node, incarnation));
            }
        }
    }

    fn wake(&mut self, node: usize, incarnation: u64) {
        let is_current = self.nodes[node].incarnation == incarnation && self.nodes[node].is_running;
        if !is_current || self.is_frozen(node) {
            return;
        }
        let now = self.local_time(node);
        self.nodes[node].limiter.handle(now, Event::Tick);
        self.apply_effects(node);
    }
}

fn node_ids(nodes: &[(usize, &Node)]) -> BTreeSet<NodeId> {
    let node_ids = nodes
        .iter()
        .map(|(index, _)| u64::try_from(*index).unwrap());
    node_ids.map(NodeId).collect()
}

fn is_odd(number: u64) -> bool {
    number % 2 == 1
}

fn local_time(now: Time, clock_rate: u64) -> Time {
    Time(now.0 / 1_000 * clock_rate)
}
