//! The world: everything that happens, in order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_engine::{
    BackendCommand, ConnectionId, Effect, Event, Evidence, OpenFailure, Response, SessionId,
};
use stairward_failover::{
    Effect as DutyEffect, Event as DutyEvent, LeaderEvidence, MemberStatus, PromotionOutcome,
    RecordVersion,
};
use stairward_types::{BackendId, BackendRole, GroupId, Time};

use crate::callers::{Caller, DATABASES, Step};
use crate::checker::{Checker, Invariant, Violation};
use crate::database::Link;
use crate::group::Group;
use crate::nodes::{CONNECTION_LIMIT, Node, STALENESS, content_of, node_name, routing_table};
use crate::options::{BrokenVariant, Options};
use crate::queue::Queue;
use crate::store::Store;

/// One way between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(3);
/// One way between a node and the store.
const STORE_DELAY: Duration = Duration::from_millis(3);
/// One way between a node and a database of its own zone, and of another.
const NEAR_DELAY: Duration = Duration::from_millis(1);
const FAR_DELAY: Duration = Duration::from_millis(8);
/// How often replicas receive and apply.
const REPLICATION_TICK: Duration = Duration::from_millis(4);
/// How late a replica applies when nothing is wrong.
const USUAL_LAG: Duration = Duration::from_millis(8);
/// A promotion's time.
const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// How often a node looks at the store again.
const STORE_POLL: Duration = Duration::from_millis(1_000);
/// How long a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(5);
/// After the callers' time the run goes on for so long.
const SETTLING: Duration = Duration::from_secs(4);
/// A configuration is in force on a node in touch within this time.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// A node is in touch when nothing has been wrong with it for this long.
const CONTACT: Duration = Duration::from_secs(5);
/// A back end that has been leaving for this long gets nothing new.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(7);
/// One in so many statements of a transaction is sent to another connection by a broken node.
const MULTIPLEX_ONE_IN: u32 = 12;

/// A question of the duty to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Question {
    Status,
    Hold,
    Resume,
}

/// Something that happens.
#[derive(Debug)]
pub(crate) enum Happening {
    Engine(usize, u64, Box<Event>),
    Duty(usize, u64, Box<DutyEvent>),
    EngineTimer(usize, u64),
    DutyTimer(usize, u64),
    PollStore(usize, u64),
    ShowStore(usize, u64),
    OpenAt(usize, u64, ConnectionId, BackendId),
    CommandAt(usize, Link, BackendId, BackendCommand),
    CloseAt(Link, BackendId),
    RecordAt(usize, u64, RecordVersion, stairward_failover::DutyRecord),
    AwaitReplicas(Link, crate::database::Entry, Duration, Box<Happening>),
    AskPeerAt(usize, u64, usize, Time),
    AskAt(usize, u64, BackendId, Question),
    PromoteAt(
        usize,
        u64,
        BackendId,
        stairward_failover::FencingToken,
        bool,
    ),
    Leads(BackendId),
    Replicate,
    CallerActs(usize),
    CallerHears(usize, u64, Box<Response>),
    CallerCut(usize, u64),
    CallerTimesOut(usize, u64, u64),
    StartNode(usize),
    Strike,
    FaultEnds(crate::faults::Ending),
    CheckConfiguration(u64, Time),
    End,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// What was violated.
    pub violations: Vec<Violation>,
    /// How often each invariant was checked.
    pub checked: BTreeMap<Invariant, u64>,
    /// Statements that succeeded.
    pub succeeded: u64,
    /// Statements that did not.
    pub failed: u64,
    /// Promotions carried out.
    pub promotions: u64,
    /// What struck.
    pub strikes: Vec<String>,
    /// A number that any difference between two runs would change.
    pub fingerprint: u64,
}

pub(crate) struct World {
    pub options: Options,
    pub random: ChaCha8Rng,
    pub queue: Queue<Happening>,
    pub nodes: Vec<Node>,
    pub group: Group,
    pub store: Store,
    pub checker: Checker,
    pub callers: Vec<Caller>,
    /// Pairs of node and database that don't reach each other.
    pub cuts: BTreeSet<(usize, BackendId)>,
    /// Connections that say nothing any more.
    pub stalled: BTreeSet<Link>,
    pub answer_loss_percent: u32,
    pub promotions_are_late: bool,
    pub strikes: Vec<String>,
    pub strikes_left: u32,
    pub lives: u64,
    numbers: u64,
    sessions: u64,
    succeeded: u64,
    failed: u64,
    promotions: u64,
    fingerprint: u64,
    is_over: bool,
}

/// Runs a simulation to its end.
#[must_use]
pub fn simulate(options: &Options) -> Report {
    let mut world = World::new(options.clone());
    world.begin();
    while let Some(happening) = world.queue.next() {
        if world.is_over {
            break;
        }
        world.happen(happening);
    }
    world.report()
}

impl World {
    fn new(options: Options) -> Self {
        let limit = usize::try_from(CONNECTION_LIMIT).unwrap_or(usize::MAX);
        let callers = (0..options.sessions).map(|number| Caller::new(u64::from(number)));
        Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            queue: Queue::new(),
            nodes: Vec::new(),
            group: Group::new(limit),
            store: Store {
                configuration: 1,
                ..Store::default()
            },
            checker: Checker::new(STALENESS),
            callers: callers.collect(),
            cuts: BTreeSet::new(),
            stalled: BTreeSet::new(),
            answer_loss_percent: 0,
            promotions_are_late: false,
            strikes: Vec::new(),
            strikes_left: options.strikes,
            lives: 0,
            numbers: 0,
            sessions: 0,
            succeeded: 0,
            failed: 0,
            promotions: 0,
            fingerprint: 0,
            is_over: false,
            options,
        }
    }

    fn begin(&mut self) {
        for index in 0..usize::try_from(self.options.nodes).unwrap_or(1) {
            self.lives += 1;
            self.nodes
                .push(Node::start(index, self.lives, self.queue.now()));
            self.queue
                .plan(STORE_DELAY, Happening::PollStore(index, self.lives));
        }
        self.queue.plan(REPLICATION_TICK, Happening::Replicate);
        for index in 0..self.callers.len() {
            let pause = self.between(200, 600);
            self.queue.plan(pause, Happening::CallerActs(index));
        }
        let first = self.between(1_000, 3_000);
        self.queue.plan(first, Happening::Strike);
        let end = self.options.length + SETTLING;
        self.queue.plan(end, Happening::End);
    }

    pub fn between(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }

    pub fn now(&self) -> Time {
        self.queue.now()
    }

    fn report(mut self) -> Report {
        let now = self.now();
        self.checker.check_promises(now);
        Report {
            violations: self.checker.violations,
            checked: self.checker.checked,
            succeeded: self.succeeded,
            failed: self.failed,
            promotions: self.promotions,
            strikes: self.strikes,
            fingerprint: self.fingerprint,
        }
    }

    fn happen(&mut self, happening: Happening) {
        self.fingerprint = self
            .fingerprint
            .wrapping_mul(0x0100_0000_01b3)
            .wrapping_add(self.now().0);
        let Some(happening) = self.postpone_for_frozen(happening) else {
            return;
        };
        match happening {
            Happening::Engine(node, life, event) => self.tell_engine(node, life, *event),
            Happening::Duty(node, life, event) => self.tell_duty(node, life, *event),
            Happening::EngineTimer(node, life) => self.tell_engine(node, life, Event::Tick),
            Happening::DutyTimer(node, life) => {
                if self.is_running(node, life) {
                    self.nodes[node].duty_timer_at = Time::NEVER;
                }
                self.tell_duty(node, life, DutyEvent::Tick);
            }
            Happening::PollStore(node, life) => self.poll_store(node, life),
            Happening::ShowStore(node, life) => self.show_store(node, life),
            Happening::OpenAt(node, life, connection, backend) => {
                self.open_at(node, life, connection, &backend);
            }
            Happening::CommandAt(node, link, backend, command) => {
                self.command_at(node, link, &backend, &command);
            }
            Happening::CloseAt(link, backend) => {
                if let Some(database) = self.group.databases.get_mut(&backend) {
                    database.connections.remove(&link);
                }
            }
            Happening::RecordAt(node, life, version, record) => {
                self.record_at(node, life, version, record);
            }
            Happening::AwaitReplicas(link, entry, delay, reply) => {
                self.wait_for_replicas(link, entry, delay, *reply);
            }
            Happening::AskPeerAt(node, life, peer, asked_at) => {
                self.ask_peer_at(node, life, peer, asked_at);
            }
            Happening::AskAt(node, life, backend, question) => {
                self.ask_at(node, life, &backend, question);
            }
            Happening::PromoteAt(node, life, backend, token, is_answered) => {
                self.promote_at(node, life, &backend, token, is_answered);
            }
            Happening::Leads(backend) => self.leads(&backend),
            Happening::Replicate => self.replicate(),
            Happening::CallerActs(caller) => self.caller_acts(caller),
            Happening::CallerHears(caller, session, response) => {
                self.caller_hears(caller, session, &response);
            }
            Happening::CallerCut(caller, session) => self.caller_cut(caller, session),
            Happening::CallerTimesOut(caller, session, number) => {
                if self.numbers_of(caller) == (session, number) {
                    self.leave(caller);
                }
            }
            Happening::StartNode(node) => self.start_node(node),
            Happening::Strike => self.strike(),
            Happening::FaultEnds(ending) => self.fault_ends(ending),
            Happening::CheckConfiguration(revision, since) => {
                self.check_configuration(revision, since);
            }
            Happening::End => self.is_over = true,
        }
    }

    /// What happens to a frozen node happens when it thaws.
    fn postpone_for_frozen(&mut self, happening: Happening) -> Option<Happening> {
        let node = match &happening {
            Happening::Engine(node, ..)
            | Happening::Duty(node, ..)
            | Happening::EngineTimer(node, _)
            | Happening::DutyTimer(node, _)
            | Happening::PollStore(node, _)
            | Happening::ShowStore(node, _) => *node,
            _ => return Some(happening),
        };
        let until = self.nodes[node].frozen_until;
        if self.now() >= until {
            return Some(happening);
        }
        self.queue.plan_at(until, happening);
        None
    }

    pub fn is_running(&self, node: usize, life: u64) -> bool {
        self.nodes[node].is_running && self.nodes[node].life == life
    }

    // --- the node ---

    fn tell_engine(&mut self, index: usize, life: u64, event: Event) {
        if !self.is_running(index, life) {
            return;
        }
        let now = self.now();
        let event = self.damage_event(event);
        let node = &mut self.nodes[index];
        let effects = node.engine.handle(now, event);
        if let Some(wake) = node.engine.next_wake()
            && (node.timer_at <= now || wake < node.timer_at)
        {
            node.timer_at = wake;
            self.queue
                .plan_at(wake, Happening::EngineTimer(index, life));
        }
        self.note_configuration(index);
        for effect in effects {
            self.carry_out(index, life, effect);
        }
    }

    /// A broken node does not know that back ends leave.
    fn damage_event(&self, mut event: Event) -> Event {
        if self.options.broken == Some(BrokenVariant::Drain)
            && let Event::Backends(list) = &mut event
        {
            for description in list {
                description.is_leaving = false;
            }
        }
        event
    }

    fn note_configuration(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        let Some(table) = node.engine.routing_table() else {
            return;
        };
        let content = content_of(table);
        self.checker.count(Invariant::Configuration);
        if content < node.newest_content {
            let text = format!(
                "node {index} went back from {} to {content}",
                node.newest_content
            );
            self.checker.violate(now, Invariant::Configuration, text);
        }
        node.newest_content = content;
    }

    fn carry_out(&mut self, index: usize, life: u64, effect: Effect) {
        match effect {
            Effect::AcceptSession { .. }
            | Effect::Record(_)
            | Effect::Measured(_)
            | Effect::Forward { .. }
            | Effect::CloseForwarded { .. }
            | Effect::Stopped => {}
            Effect::AskPosition { .. } => {
                let asked_at = self.now();
                let peer = (index + 1) % self.nodes.len();
                let ask = Happening::AskPeerAt(index, life, peer, asked_at);
                self.queue.plan(FAR_DELAY, ask);
            }
            Effect::RefuseSession { session, .. } | Effect::CloseSession { session } => {
                if let Some(caller) = self.caller_of(session) {
                    let cut = Happening::CallerCut(caller, session.0);
                    self.queue.plan(CALLER_DELAY, cut);
                }
            }
            Effect::Respond { session, response } => {
                if let Some(caller) = self.caller_of(session) {
                    let response = self.damage_response(response);
                    let hears = Happening::CallerHears(caller, session.0, Box::new(response));
                    self.queue.plan(CALLER_DELAY, hears);
                }
            }
            Effect::Open { connection, target } => {
                let delay = self.delay(index, &target.backend) * 2;
                self.nodes[index]
                    .connections
                    .insert(connection, target.backend.clone());
                let open = Happening::OpenAt(index, life, connection, target.backend);
                self.queue.plan(delay, open);
            }
            Effect::Send {
                connection,
                command,
            } => self.send(index, life, connection, command),
            Effect::CloseConnection { connection } => {
                if let Some(backend) = self.nodes[index].connections.remove(&connection) {
                    let delay = self.delay(index, &backend);
                    let link = Link { life, connection };
                    self.queue.plan(delay, Happening::CloseAt(link, backend));
                }
            }
            Effect::Observed { backend, evidence } => {
                let evidence = match evidence {
                    Evidence::Answered => LeaderEvidence::Answered,
                    Evidence::Refused => LeaderEvidence::Refused,
                    Evidence::Silent => LeaderEvidence::Silent,
                    Evidence::NotLeader => return,
                };
                self.tell_duty(index, life, DutyEvent::Evidence(backend, evidence));
            }
        }
    }

    fn damage_response(&mut self, mut response: Response) -> Response {
        if self.options.broken == Some(BrokenVariant::Promise)
            && let stairward_engine::ResponseResult::Refused { code, .. } = &mut response.result
            && code.class() == stairward_types::OutcomeClass::OutcomeUnknown
        {
            *code = stairward_types::ResultCode::BackendUnavailable;
        }
        response
    }

    fn send(&mut self, index: usize, life: u64, connection: ConnectionId, command: BackendCommand) {
        let Some(backend) = self.nodes[index].connections.get(&connection).cloned() else {
            return;
        };
        let (connection, command) = self.damage_command(index, &backend, connection, command);
        let delay = self.delay(index, &backend);
        let link = Link { life, connection };
        if self.options.broken == Some(BrokenVariant::Resend)
            && matches!(&command, BackendCommand::Run { text, .. } if text.starts_with("WRITE"))
        {
            let again = Happening::CommandAt(index, link, backend.clone(), command.clone());
            self.queue.plan(delay, again);
        }
        self.queue
            .plan(delay, Happening::CommandAt(index, link, backend, command));
    }

    fn damage_command(
        &mut self,
        index: usize,
        backend: &BackendId,
        connection: ConnectionId,
        mut command: BackendCommand,
    ) -> (ConnectionId, BackendCommand) {
        match (self.options.broken, &mut command) {
            (
                Some(BrokenVariant::Floor),
                BackendCommand::Run { floor, .. }
                | BackendCommand::Execute { floor, .. }
                | BackendCommand::Begin { floor, .. },
            ) => *floor = None,
            (Some(BrokenVariant::LeaderProof), BackendCommand::Begin { read_only, .. }) => {
                // A transaction that any copy accepts proves nothing.
                *read_only = true;
            }
            (Some(BrokenVariant::Reset), BackendCommand::Reset) => {
                command = BackendCommand::Rollback;
            }
            (Some(BrokenVariant::Multiplex), BackendCommand::Run { .. })
                if self.random.random_range(0..MULTIPLEX_ONE_IN) == 0 =>
            {
                let others = self.nodes[index].connections.iter();
                let other = others
                    .filter(|(other, of)| **other != connection && *of == backend)
                    .map(|(other, _)| *other)
                    .next();
                return (other.unwrap_or(connection), command);
            }
            _ => {}
        }
        (connection, command)
    }

    fn delay(&self, node: usize, backend: &BackendId) -> Duration {
        let zone = usize::from(backend.as_str().as_bytes()[3] - b'0');
        if node % 3 + 1 == zone {
            NEAR_DELAY
        } else {
            FAR_DELAY
        }
    }

    // --- databases ---

    fn reaches(&self, node: usize, backend: &BackendId) -> bool {
        let is_cut = self.cuts.contains(&(node, backend.clone()));
        let is_silent = self
            .group
            .databases
            .get(backend)
            .is_none_or(|database| database.is_silent);
        !is_cut && !is_silent
    }

    fn open_at(&mut self, node: usize, life: u64, connection: ConnectionId, backend: &BackendId) {
        if !self.is_running(node, life) {
            return;
        }
        let delay = self.delay(node, backend);
        let link = Link { life, connection };
        if !self.reaches(node, backend) {
            let failed = Event::OpenFailed {
                connection,
                failure: OpenFailure::Silent,
            };
            let failed = Happening::Engine(node, life, Box::new(failed));
            return self.queue.plan(Duration::from_secs(1), failed);
        }
        let Some(database) = self.group.databases.get_mut(backend) else {
            return;
        };
        let event = if !database.is_alive {
            Event::OpenFailed {
                connection,
                failure: OpenFailure::Refused,
            }
        } else if database.connections.len() >= database.connection_limit {
            Event::OpenFailed {
                connection,
                failure: OpenFailure::ConnectionLimit,
            }
        } else {
            database.connections.insert(link, Default::default());
            Event::ConnectionOpened {
                connection,
                position: Some(database.position()),
            }
        };
        self.queue
            .plan(delay, Happening::Engine(node, life, Box::new(event)));
    }

    fn command_at(
        &mut self,
        node: usize,
        link: Link,
        backend: &BackendId,
        command: &BackendCommand,
    ) {
        if !self.reaches(node, backend) {
            self.stalled.insert(link);
        }
        if self.stalled.contains(&link) {
            return;
        }
        self.check_leaving(node, backend, command);
        let now = self.now();
        let Some(database) = self.group.databases.get_mut(backend) else {
            return;
        };
        if !database.is_alive || !database.connections.contains_key(&link) {
            return;
        }
        let outcome = database.run(link, command);
        if let Some(entry) = &outcome.committed {
            self.checker.committed(now, entry);
        }
        if let Some(ran) = &outcome.ran {
            self.checker.ran(now, database, ran);
        }
        let is_lost =
            outcome.ran.is_some() && self.random.random_range(0..100) < self.answer_loss_percent;
        if is_lost {
            self.stalled.insert(link);
            return;
        }
        // Answers of one connection keep their order: those that take no slot are as slow as the rest.
        let work = if outcome.ran.is_some() { 8 } else { 0 };
        let delay = self.delay(node, backend) + Duration::from_millis(work);
        let reply = Event::Reply {
            connection: link.connection,
            reply: outcome.reply,
        };
        let reply = Happening::Engine(node, link.life, Box::new(reply));
        match outcome.committed {
            Some(entry) if self.options.synchronous_replicas > 0 => {
                self.wait_for_replicas(link, entry, delay, reply);
            }
            _ => self.queue.plan(delay, reply),
        }
    }

    /// The answer to a commit comes once enough replicas have received it. Until then the connection says
    /// nothing, and if the commit is lost it never does.
    fn wait_for_replicas(
        &mut self,
        link: Link,
        entry: crate::database::Entry,
        delay: Duration,
        reply: Happening,
    ) {
        let replicas = self.options.synchronous_replicas;
        if self.group.is_received(&entry, replicas) {
            return self.queue.plan(delay, reply);
        }
        let is_over = self.stalled.contains(&link)
            || !self
                .group
                .databases
                .values()
                .any(|database| database.log.contains(&entry));
        if is_over {
            self.stalled.insert(link);
            return;
        }
        let waits = Happening::AwaitReplicas(link, entry, delay, Box::new(reply));
        self.queue.plan(REPLICATION_TICK, waits);
    }

    /// A single statement, or the first of a transaction, must not reach a back end that has been leaving
    /// for long.
    fn check_leaving(&mut self, node: usize, backend: &BackendId, command: &BackendCommand) {
        let is_new = matches!(
            command,
            BackendCommand::Run { .. }
                | BackendCommand::Execute { .. }
                | BackendCommand::Begin { .. }
        );
        let now = self.now();
        let is_in_touch = now >= self.nodes[node].in_touch_since + CONTACT;
        let leaving_since = self
            .group
            .databases
            .get(backend)
            .and_then(|database| database.leaving_since);
        if let Some(since) = leaving_since
            && is_new
            && is_in_touch
        {
            self.checker.count(Invariant::Leaving);
            if now > since + DRAIN_LIMIT {
                let text = format!("{backend}, leaving since {since:?}, got work of node {node}");
                self.checker.violate(now, Invariant::Leaving, text);
            }
        }
    }

    fn replicate(&mut self) {
        let now = self.now();
        self.queue.plan(REPLICATION_TICK, Happening::Replicate);
        self.group.replicate(now, USUAL_LAG);
    }

    fn ask_at(&mut self, node: usize, life: u64, backend: &BackendId, question: Question) {
        if !self.is_running(node, life) {
            return;
        }
        let reaches = self.reaches(node, backend);
        if let Some(database) = self.group.databases.get_mut(backend)
            && reaches
            && database.is_alive
            && question != Question::Status
        {
            database.is_held = question == Question::Hold && database.role == BackendRole::Replica;
        }
        if question == Question::Resume {
            return;
        }
        let status = self
            .group
            .databases
            .get(backend)
            .filter(|database| database.is_alive && reaches)
            .map(|database| MemberStatus {
                role: database.role,
                received: database.received(),
            });
        let delay = if reaches {
            self.delay(node, backend)
        } else {
            Duration::from_millis(800)
        };
        let event = DutyEvent::Status(backend.clone(), status);
        self.queue
            .plan(delay, Happening::Duty(node, life, Box::new(event)));
    }

    /// A peer says what it knows of the leader's position, and how old that is by its own clock.
    fn ask_peer_at(&mut self, node: usize, life: u64, peer: usize, asked_at: Time) {
        let now = self.now();
        let asked = &self.nodes[peer];
        if !asked.is_running || now < asked.frozen_until {
            return;
        }
        let service = crate::group::service();
        if let Some((freshness, age)) = asked.engine.proved_position(now, &service) {
            let event = Event::PeerPosition {
                service,
                freshness,
                asked_at,
                age,
            };
            let event = Happening::Engine(node, life, Box::new(event));
            self.queue.plan(FAR_DELAY, event);
        }
    }

    fn leads(&mut self, backend: &BackendId) {
        let is_alive = self
            .group
            .databases
            .get(backend)
            .is_some_and(|database| database.is_alive);
        let leads_already = self.group.primary() == Some(backend);
        if !is_alive || leads_already {
            return;
        }
        self.promotions += 1;
        let rolled_back = self.group.promote(backend);
        if self.options.synchronous_replicas > 0 {
            let now = self.now();
            self.checker.check_kept(now, &rolled_back);
        }
        self.checker.rolled_back(&rolled_back);
        let ids: Vec<_> = self.group.databases.keys().cloned().collect();
        for id in ids {
            if self.group.listed.contains_key(&id) {
                self.group.announce(&id);
            }
        }
        self.push_to_all();
    }

    // --- the store and the promotion call ---

    fn store_reaches(&self, node: usize) -> bool {
        !self.store.is_down && !self.nodes[node].is_cut_from_store
    }

    /// Changes in the store are shown to every node that watches.
    pub fn push_to_all(&mut self) {
        for index in 0..self.nodes.len() {
            let life = self.nodes[index].life;
            self.queue
                .plan(STORE_DELAY, Happening::ShowStore(index, life));
        }
    }

    fn poll_store(&mut self, node: usize, life: u64) {
        if !self.is_running(node, life) {
            return;
        }
        self.show_store(node, life);
        self.queue
            .plan(STORE_POLL, Happening::PollStore(node, life));
    }

    fn show_store(&mut self, node: usize, life: u64) {
        if !self.is_running(node, life) || !self.store_reaches(node) {
            return;
        }
        let revision = self.store.configuration;
        let is_broken = self.options.broken == Some(BrokenVariant::Configuration);
        let content = if is_broken && revision.is_multiple_of(2) {
            revision.saturating_sub(3)
        } else {
            revision
        };
        let table = routing_table(revision, content, self.options.synchronous_replicas);
        self.tell_engine(node, life, Event::Configured(table));
        let list: Vec<_> = self.group.listed.values().cloned().collect();
        self.tell_engine(node, life, Event::Backends(list.clone()));
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(1);
        self.tell_engine(node, life, Event::Nodes(nodes));
        let groups = self.nodes[node].groups(&list, self.options.synchronous_replicas);
        self.tell_duty(node, life, DutyEvent::Nodes(nodes));
        self.tell_duty(node, life, DutyEvent::Groups(groups));
        let own = node_name(node);
        let mut others = self.store.reports.clone();
        others.remove(&own);
        self.tell_duty(node, life, DutyEvent::Suspicions(others));
        let version = RecordVersion(self.store.record_version);
        let record = self.store.record.clone();
        self.tell_duty(node, life, DutyEvent::Record(version, record));
    }

    fn tell_duty(&mut self, index: usize, life: u64, event: DutyEvent) {
        if !self.is_running(index, life) {
            return;
        }
        let now = self.now();
        let effects = self.nodes[index].duty.handle(now, event);
        for effect in effects {
            self.carry_out_duty(index, life, effect);
        }
        let node = &mut self.nodes[index];
        let wake = node.duty.next_wake(now);
        if let Some(wake) = wake
            && (node.duty_timer_at <= now || wake < node.duty_timer_at)
        {
            node.duty_timer_at = wake;
            self.queue.plan_at(wake, Happening::DutyTimer(index, life));
        }
    }

    fn carry_out_duty(&mut self, index: usize, life: u64, effect: DutyEffect) {
        match effect {
            DutyEffect::WriteRecord(version, record) => {
                let write = Happening::RecordAt(index, life, version, record);
                self.queue.plan(STORE_DELAY, write);
            }
            DutyEffect::Report(silent) => {
                if self.store_reaches(index) {
                    self.store.reports.insert(node_name(index), silent);
                    self.push_to_all();
                }
            }
            DutyEffect::Ask(backend) => {
                let delay = self.delay(index, &backend) * 3;
                let ask = Happening::AskAt(index, life, backend, Question::Status);
                self.queue.plan(delay, ask);
            }
            DutyEffect::Hold(backend, _) => {
                let is_broken = self.options.broken == Some(BrokenVariant::Hold);
                let question = if is_broken {
                    Question::Status
                } else {
                    Question::Hold
                };
                let delay = self.delay(index, &backend) * 3;
                let ask = Happening::AskAt(index, life, backend, question);
                self.queue.plan(delay, ask);
            }
            DutyEffect::Resume(backend) => {
                let resume = Happening::AskAt(index, life, backend, Question::Resume);
                self.queue.plan(STORE_DELAY, resume);
            }
            DutyEffect::Promote(_, backend, token) => self.promote(index, life, backend, token),
            DutyEffect::Log(..) => {}
        }
    }

    fn record_at(
        &mut self,
        node: usize,
        life: u64,
        version: RecordVersion,
        record: stairward_failover::DutyRecord,
    ) {
        if !self.store_reaches(node) {
            let failed = Happening::Duty(node, life, Box::new(DutyEvent::RecordFailed));
            return self.queue.plan(Duration::from_millis(1_500), failed);
        }
        let written = self.store.write_record(version, record);
        self.push_to_all();
        if self.store.loses_answers && self.random.random_range(0..2) == 0 {
            let failed = Happening::Duty(node, life, Box::new(DutyEvent::RecordFailed));
            return self.queue.plan(Duration::from_millis(1_500), failed);
        }
        let events = match written {
            Some(version) => vec![DutyEvent::RecordWritten(RecordVersion(version))],
            None => vec![
                DutyEvent::Record(
                    RecordVersion(self.store.record_version),
                    self.store.record.clone(),
                ),
                DutyEvent::RecordFailed,
            ],
        };
        for event in events {
            self.queue
                .plan(STORE_DELAY, Happening::Duty(node, life, Box::new(event)));
        }
    }

    fn promote(
        &mut self,
        index: usize,
        life: u64,
        backend: BackendId,
        token: stairward_failover::FencingToken,
    ) {
        let token = if self.options.broken == Some(BrokenVariant::Token) {
            stairward_failover::FencingToken(1)
        } else {
            token
        };
        let decision = format!("{} of life {life} promotes {backend}", node_name(index));
        let now = self.now();
        self.checker.decided(now, token.0, decision);
        let is_late = self.promotions_are_late && self.random.random_range(0..2) == 0;
        let delay = if is_late {
            self.between(2_000, 9_000)
        } else {
            STORE_DELAY
        };
        let promote = Happening::PromoteAt(index, life, backend, token, !is_late);
        self.queue.plan(delay, promote);
        if is_late {
            let unknown =
                DutyEvent::Promotion(crate::group::service(), token, PromotionOutcome::Unknown);
            let unknown = Happening::Duty(index, life, Box::new(unknown));
            self.queue.plan(Duration::from_millis(2_200), unknown);
        }
    }

    fn promote_at(
        &mut self,
        node: usize,
        life: u64,
        backend: &BackendId,
        token: stairward_failover::FencingToken,
        is_answered: bool,
    ) {
        let is_alive = self
            .group
            .databases
            .get(backend)
            .is_some_and(|database| database.is_alive);
        let outcome = if token.0 < self.group.fence || !is_alive {
            PromotionOutcome::Refused
        } else {
            self.group.fence = token.0;
            if self.group.primary() != Some(backend) {
                self.queue
                    .plan(PROMOTION_TIME, Happening::Leads(backend.clone()));
            }
            PromotionOutcome::Accepted
        };
        if is_answered {
            let event = DutyEvent::Promotion(crate::group::service(), token, outcome);
            self.queue
                .plan(STORE_DELAY, Happening::Duty(node, life, Box::new(event)));
        }
    }

    // --- callers ---

    fn caller_of(&self, session: SessionId) -> Option<usize> {
        self.callers
            .iter()
            .position(|caller| caller.session == session.0 && caller.node.is_some())
    }

    fn numbers_of(&self, caller: usize) -> (u64, u64) {
        let number = if self.callers[caller].is_waiting() {
            self.callers[caller].asked_number()
        } else {
            0
        };
        (self.callers[caller].session, number)
    }

    fn caller_acts(&mut self, index: usize) {
        let now = self.now();
        if now >= Time::ZERO + self.options.length || self.callers[index].is_waiting() {
            return;
        }
        let Some((node, life)) = self.callers[index].node else {
            return self.connect(index);
        };
        if !self.is_running(node, life) {
            return self.caller_cut(index, self.callers[index].session);
        }
        let caller = &mut self.callers[index];
        let step = caller.step(
            &mut self.random,
            now,
            self.options.writes_in_twenty,
            &mut self.numbers,
            &mut self.checker,
        );
        let session = SessionId(caller.session);
        match step {
            Step::Leave => self.leave(index),
            Step::Send(statement) => {
                let event = Event::Statement { session, statement };
                let event = Happening::Engine(node, life, Box::new(event));
                self.queue.plan(CALLER_DELAY, event);
                let (session, number) = self.numbers_of(index);
                let patience = Happening::CallerTimesOut(index, session, number);
                self.queue.plan(CALLER_PATIENCE, patience);
            }
        }
    }

    fn connect(&mut self, index: usize) {
        let running: Vec<_> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_running && node.engine.is_ready())
            .map(|(index, node)| (index, node.life))
            .collect();
        let pause = self.between(20, 120);
        self.queue.plan(pause, Happening::CallerActs(index));
        if running.is_empty() {
            return;
        }
        let node = running[self.random.random_range(0..running.len())];
        let database = self.random.random_range(0..DATABASES.len());
        self.sessions += 1;
        self.callers[index].connected(self.sessions, node, database);
        let event = Event::SessionOpened {
            session: SessionId(self.sessions),
            database: GroupId::new(DATABASES[database].0).expect("a name"),
        };
        let event = Happening::Engine(node.0, node.1, Box::new(event));
        self.queue.plan(CALLER_DELAY, event);
    }

    /// A caller closes its session.
    fn leave(&mut self, index: usize) {
        let session = SessionId(self.callers[index].session);
        if let Some((node, life)) = self.callers[index].node.take() {
            let event = Event::SessionClosed { session };
            let event = Happening::Engine(node, life, Box::new(event));
            self.queue.plan(CALLER_DELAY, event);
        }
        let number = self.callers[index].number;
        self.callers[index] = Caller::new(number);
        let pause = self.between(20, 200);
        self.queue.plan(pause, Happening::CallerActs(index));
    }

    fn caller_cut(&mut self, index: usize, session: u64) {
        if self.callers[index].session != session {
            return;
        }
        let number = self.callers[index].number;
        self.callers[index] = Caller::new(number);
        let pause = self.between(20, 200);
        self.queue.plan(pause, Happening::CallerActs(index));
    }

    fn caller_hears(&mut self, index: usize, session: u64, response: &Response) {
        if self.callers[index].session != session {
            return;
        }
        let is_success = matches!(
            response.result,
            stairward_engine::ResponseResult::Completed { .. }
        );
        if is_success {
            self.succeeded += 1;
        } else {
            self.failed += 1;
        }
        let now = self.now();
        let goes_on = self.callers[index].hear(now, response, &mut self.checker);
        if !goes_on {
            return self.leave(index);
        }
        let pause = self.between(1, 40);
        self.queue.plan(pause, Happening::CallerActs(index));
    }

    /// A node's process ends.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].is_running = false;
        let life = self.nodes[index].life;
        for database in self.group.databases.values_mut() {
            database.connections.retain(|link, _| link.life != life);
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].node == Some((index, life)) {
                let session = self.callers[caller].session;
                self.queue
                    .plan(CALLER_DELAY, Happening::CallerCut(caller, session));
            }
        }
    }

    fn start_node(&mut self, index: usize) {
        self.lives += 1;
        let now = self.now();
        let cut = self.nodes[index].is_cut_from_store;
        self.nodes[index] = Node::start(index, self.lives, now);
        self.nodes[index].is_cut_from_store = cut;
        self.queue
            .plan(STORE_DELAY, Happening::PollStore(index, self.lives));
    }

    /// A database's process ends: its connections end with it.
    pub fn stop_database(&mut self, id: &BackendId) {
        let Some(database) = self.group.databases.get_mut(id) else {
            return;
        };
        database.is_alive = false;
        for link in database.drop_connections() {
            let node = self.nodes.iter().position(|node| node.life == link.life);
            if let Some(node) = node {
                let lost = Event::ConnectionLost {
                    connection: link.connection,
                };
                let delay = self.delay(node, id);
                let lost = Happening::Engine(node, link.life, Box::new(lost));
                self.queue.plan(delay, lost);
            }
        }
    }

    /// A database's process starts again, with its log.
    pub fn start_database(&mut self, id: &BackendId) {
        let newest = self.group.databases.values().map(|d| d.term).max();
        let Some(database) = self.group.databases.get_mut(id) else {
            return;
        };
        database.is_alive = true;
        database.is_silent = false;
        database.is_held = false;
        database.leaving_since = None;
        if Some(database.term) < newest {
            database.role = BackendRole::Replica;
        }
        self.group.announce(id);
        self.push_to_all();
    }

    fn check_configuration(&mut self, revision: u64, since: Time) {
        let now = self.now();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_in_touch = node.is_running
                && now >= node.in_touch_since + CONTACT
                && !self.store.is_down
                && node.in_touch_since <= since;
            if is_in_touch && node.newest_content < revision {
                let text = format!("node {index} has not {revision} in force");
                self.checker.violate(now, Invariant::Configuration, text);
            }
        }
    }

    /// The operator changes the configuration.
    pub fn change_configuration(&mut self) {
        self.store.configuration += 1;
        let (revision, now) = (self.store.configuration, self.now());
        self.push_to_all();
        let check = Happening::CheckConfiguration(revision, now);
        self.queue.plan(CONFIGURATION_LIMIT, check);
    }
}
