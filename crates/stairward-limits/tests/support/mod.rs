//! A fleet of limiters on a virtual clock: delayed, lost and doubled messages, killed and frozen nodes, network
//! partitions, views that lag, clocks of different speed. A checker counts what was admitted in every window.

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

pub use options::{Broken, Options};

/// The windows in which operations are counted.
pub const WINDOWS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];
/// The first loans of a fleet are made by then.
const SETTLED: Time = Time::from_millis(3_000);
/// How often views are renewed.
const VIEW_PAUSE: Duration = Duration::from_millis(500);
/// From a node's word that it leaves to its end.
const LEAVES_FOR: Duration = Duration::from_millis(2_500);
/// How far a clock's speed may be off, in thousandths.
const DRIFT: u64 = 20;

struct Node {
    limiter: Limiter,
    incarnation: u64,
    runs: bool,
    started: Time,
    frozen_until: Time,
    /// Messages that came while it stood still.
    inbox: VecDeque<Happening>,
    wake_at: Time,
    /// Thousandths that its clock runs fast, around 1,000.
    speed: u64,
    waiting: u32,
    side: u64,
    leaves: bool,
}

#[derive(Debug, Clone)]
enum Happening {
    Asked(usize, usize, u64, GrantRequest),
    Granted(usize, u64, usize, GrantResponse),
    Operation(usize),
    Wake(usize, u64),
    View,
    KillAll,
    Kill(usize),
    Leave(usize),
    Start(usize),
    Freeze(usize, Duration),
    Thaw(usize, u64),
    Cut(u64),
    Heal,
}

/// A run and what came of it.
pub struct Fleet {
    options: Options,
    random: ChaCha8Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), Happening>,
    planned: u64,
    incarnations: u64,
    nodes: Vec<Node>,
    tenant: TenantName,
    /// When operations were admitted.
    pub admitted: Vec<Time>,
    pub wanted: u64,
    pub denied: u64,
    /// What was wanted and denied once the fleet's first loans were made.
    pub settled: (u64, u64),
    pub retries: Vec<Duration>,
    /// The number of nodes on record.
    recorded: u32,
}

impl Fleet {
    pub fn run(options: Options) -> Self {
        let random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut fleet = Self {
            random,
            now: Time::from_millis(1),
            queue: BTreeMap::new(),
            planned: 0,
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
        fleet.begin();
        let end = fleet.now + fleet.options.length;
        while let Some(((at, _), happening)) = fleet.queue.pop_first() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.happen(happening);
        }
        fleet
    }

    /// What the first window that admits too much admits, and what it may.
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

    /// What may be admitted in any window: the rate for the window and for the life of a grant, and the burst.
    /// Clocks run at most 2% fast.
    fn bound(&self, window: Duration) -> f64 {
        if let Some(window) = self.options.window {
            return window.allowed(self.options.limit);
        }
        let limit = self.options.limit;
        let seconds = window.as_secs_f64() + 0.5;
        limit.per_second() * seconds * 1.02 + limit.burst()
    }

    fn begin(&mut self) {
        for index in 0..self.options.nodes {
            let speed = 1_000 - DRIFT + self.random.random_range(0..=2 * DRIFT);
            let node = self.new_node(usize::try_from(index).unwrap(), speed);
            self.nodes.push(node);
        }
        for index in 0..self.nodes.len() {
            self.plan_operation(index);
        }
        self.plan(Duration::from_millis(50), Happening::View);
        for at in self.options.killed_all.clone() {
            self.plan(at, Happening::KillAll);
        }
        if let Some((begins, ends)) = self.options.cut {
            self.plan(begins, Happening::Cut(0b1010_1010_1010));
            self.plan(ends, Happening::Heal);
        }
        if self.options.flips {
            self.plan_flips();
        }
        if self.options.faults {
            self.plan_faults();
        }
        if let Some(gap) = self.options.rolled {
            for node in 0..self.nodes.len() {
                let turn = u32::try_from(node).unwrap() + 2;
                self.plan(gap * turn, Happening::Leave(node));
            }
        }
    }

    fn new_node(&mut self, index: usize, speed: u64) -> Node {
        self.incarnations += 1;
        let id = NodeId(u64::try_from(index).unwrap());
        let started = local(self.now, speed);
        let mut options = LimitOptions::new(id, self.incarnations);
        options.started = started;
        options.lends_shares = self.options.lends_shares;
        options.window = self.options.window;
        match self.options.broken {
            Some(Broken::LoanOutlived) if is_odd(id.0 + self.options.seed) => options.loan *= 8,
            Some(Broken::PresentView) => options.node_retention = Duration::from_millis(100),
            Some(Broken::LoanOutlived | Broken::LendsTwice) | None => {}
        }
        let mut limiter = Limiter::new(options);
        let limits = BTreeMap::from([(self.tenant.clone(), self.options.limit)]);
        limiter.handle(started, Event::Limits(limits));
        Node {
            limiter,
            incarnation: self.incarnations,
            runs: true,
            started: self.now,
            frozen_until: Time::ZERO,
            inbox: VecDeque::new(),
            wake_at: Time::NEVER,
            speed,
            waiting: 0,
            side: 0,
            leaves: false,
        }
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.planned += 1;
        self.queue
            .insert((self.now + after, self.planned), happening);
    }

    fn plan_operation(&mut self, node: usize) {
        let rate = self.options.demand[node];
        if rate > 0.0 {
            let mean = 1.0 / rate;
            let pause = mean * 2.0 * self.random.random::<f64>();
            self.plan(Duration::from_secs_f64(pause), Happening::Operation(node));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Asked(..) | Happening::Granted(..) => self.deliver(happening),
            Happening::Operation(node) => {
                self.plan_operation(node);
                self.operate(node);
            }
            Happening::Wake(node, incarnation) => self.wake(node, incarnation),
            Happening::View => {
                self.show_views();
                self.plan(VIEW_PAUSE, Happening::View);
            }
            Happening::KillAll => {
                for node in 0..self.nodes.len() {
                    self.kill(node);
                }
            }
            Happening::Kill(node) => self.kill(node),
            Happening::Leave(node) => self.leave(node),
            Happening::Start(node) => {
                let speed = self.nodes[node].speed;
                self.nodes[node] = self.new_node(node, speed);
                self.tell_recorded(node);
                self.show_view(node);
            }
            Happening::Freeze(node, pause) => {
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].frozen_until = self.now + pause;
                self.plan(pause, Happening::Thaw(node, incarnation));
            }
            Happening::Thaw(node, incarnation) => self.thaw(node, incarnation),
            Happening::Cut(sides) => {
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    node.side = (sides >> (index % 64)) & 1;
                }
            }
            Happening::Heal => {
                for node in &mut self.nodes {
                    node.side = 0;
                }
            }
        }
    }

    fn is_frozen(&self, node: usize) -> bool {
        self.now < self.nodes[node].frozen_until
    }

    fn local(&self, node: usize) -> Time {
        local(self.now, self.nodes[node].speed)
    }

    fn deliver(&mut self, happening: Happening) {
        let to = match &happening {
            Happening::Asked(_, to, ..) | Happening::Granted(to, ..) => *to,
            _ => return,
        };
        if !self.nodes[to].runs {
            return;
        }
        if self.is_frozen(to) {
            return self.nodes[to].inbox.push_back(happening);
        }
        let now = self.local(to);
        match happening {
            Happening::Asked(from, to, incarnation, request) => {
                let asking = NodeId(u64::try_from(from).unwrap());
                let grant = self.nodes[to].limiter.answer(now, asking, &request);
                if self.options.broken == Some(Broken::LendsTwice) {
                    let other = NodeId(asking.0 + 1_000);
                    let copy = GrantRequest {
                        demands: Vec::new(),
                        ..request
                    };
                    self.nodes[to].limiter.answer(now, other, &copy);
                }
                self.send(to, from, Happening::Granted(from, incarnation, to, grant));
            }
            Happening::Granted(to, incarnation, from, grant)
                if self.nodes[to].incarnation == incarnation =>
            {
                let coordinator = NodeId(u64::try_from(from).unwrap());
                let event = Event::GrantReceived(coordinator, grant);
                self.nodes[to].limiter.handle(now, event);
                self.carry_out(to);
            }
            _ => {}
        }
    }

    /// Sends a message: late, sometimes twice, sometimes not at all.
    fn send(&mut self, from: usize, to: usize, message: Happening) {
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
            self.plan(delay, message.clone());
        }
    }

    fn operate(&mut self, node: usize) {
        if !self.nodes[node].runs || self.is_frozen(node) || self.nodes[node].leaves {
            return;
        }
        self.wanted += 1;
        self.settled.0 += u64::from(self.now >= SETTLED);
        let now = self.local(node);
        let tenant = self.tenant.clone();
        match self.nodes[node].limiter.admit(now, &tenant) {
            Admission::Admitted => self.admitted.push(self.now),
            Admission::Denied(retry) => {
                self.note_denied(1);
                self.retries.push(retry);
            }
            Admission::Waiting => self.nodes[node].waiting += 1,
        }
        self.carry_out(node);
    }

    fn note_denied(&mut self, operations: u32) {
        self.denied += u64::from(operations);
        if self.now >= SETTLED {
            self.settled.1 += u64::from(operations);
        }
    }

    fn carry_out(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let now = self.local(node);
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
                        self.send(node, to, Happening::Asked(node, to, incarnation, request));
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
                        self.note_denied(waiting);
                    }
                    Effect::RecordFleetSize(nodes) => {
                        self.recorded = self.recorded.max(nodes);
                        self.tell_recorded(node);
                    }
                    Effect::CoordinatorChanged { .. } => {}
                }
            }
        }
        self.plan_wake(node);
    }

    fn plan_wake(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(at) = self.nodes[node].limiter.next_wake() {
            let pause = at.since(self.local(node)) + Duration::from_millis(1);
            let due = self.now + pause;
            let known = self.nodes[node].wake_at;
            if due < known || known <= self.now {
                self.nodes[node].wake_at = due;
                self.plan(pause, Happening::Wake(node, incarnation));
            }
        }
    }

    fn wake(&mut self, node: usize, incarnation: u64) {
        let is_current = self.nodes[node].incarnation == incarnation && self.nodes[node].runs;
        if !is_current || self.is_frozen(node) {
            return;
        }
        let now = self.local(node);
        self.nodes[node].limiter.handle(now, Event::Tick);
        self.carry_out(node);
    }
}

fn numbers(nodes: &[(usize, &Node)]) -> BTreeSet<NodeId> {
    let numbers = nodes
        .iter()
        .map(|(index, _)| u64::try_from(*index).unwrap());
    numbers.map(NodeId).collect()
}

fn is_odd(number: u64) -> bool {
    number % 2 == 1
}

fn local(now: Time, speed: u64) -> Time {
    Time(now.0 / 1_000 * speed)
}
