//! The world: everything that happens, in order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_engine::{BackendCommand, ConnectionId, Event, Response};
use stairward_failover::{Event as DutyEvent, FailoverRecord, RecordVersion, Via};
use stairward_limits::GrantRequest;
use stairward_types::{BackendId, Freshness, NodeId, TenantName, Term, Time};

use crate::callers::Caller;
use crate::checker::{Checker, Invariant, Violation};
use crate::database::ConnectionKey;
use crate::group::Group;
use crate::nodes::{CONNECTION_LIMIT, Node, STALENESS};
use crate::options::Options;
use crate::queue::Queue;
use crate::store::Store;
use crate::tenants::TenantHistory;

/// One way between a caller and a node.
pub(crate) const CALLER_DELAY: Duration = Duration::from_millis(3);
/// One way between a node and the store.
pub(crate) const STORE_DELAY: Duration = Duration::from_millis(3);
/// One way between a node and a database of its own zone, and of another.
pub(crate) const NEAR_DELAY: Duration = Duration::from_millis(1);
pub(crate) const FAR_DELAY: Duration = Duration::from_millis(8);
/// How often replicas receive and apply.
pub(crate) const REPLICATION_TICK: Duration = Duration::from_millis(4);
/// How late a replica applies when nothing is wrong.
pub(crate) const USUAL_LAG: Duration = Duration::from_millis(8);
/// A promotion's time.
pub(crate) const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// How often a node looks at the store again.
pub(crate) const STORE_POLL: Duration = Duration::from_millis(1_000);
/// How long a caller waits for an answer.
pub(crate) const CALLER_PATIENCE: Duration = Duration::from_secs(5);
/// After the callers' time the run goes on for so long.
pub(crate) const SETTLING: Duration = Duration::from_secs(4);
/// A configuration is in force on a node in touch within this time.
pub(crate) const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// A node is in touch when nothing has been wrong with it for this long.
pub(crate) const CONTACT: Duration = Duration::from_secs(5);
/// One in so many statements of a transaction is sent to another connection by a broken node.
pub(crate) const MULTIPLEX_ONE_IN: u32 = 12;

/// A question of the duty to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Question {
    Status,
    Received(Freshness),
    Hold(Term),
    StepDown(Term),
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
    OpenAt(usize, u64, ConnectionId, BackendId, Option<TenantName>),
    CommandAt(usize, ConnectionKey, BackendId, BackendCommand),
    CloseAt(ConnectionKey, BackendId),
    RecordAt(usize, u64, RecordVersion, FailoverRecord),
    AwaitReplicas(
        ConnectionKey,
        crate::database::LogEntry,
        Duration,
        Box<Happening>,
    ),
    AskPeerAt(usize, u64, usize, Time),
    /// A node finds that its link to another has ended.
    LinkLost(usize, u64, NodeId),
    AskAt(usize, u64, BackendId, Question),
    /// A node looks at a back end that another finds silent.
    VerifyAt(usize, u64, BackendId, NodeId),
    /// A node asks a member to step down or to hold, by a way.
    ReachAt(usize, u64, BackendId, Question, Via),
    AskLeadAt(usize, u64, usize, Time),
    /// A node asks another for operations of tenants with a limit.
    AskLimitAt(usize, u64, usize, Box<GrantRequest>),
    RevokeAt(usize, u64, NodeId, Term),
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
    /// Acknowledged commits that promotions rolled back.
    pub acknowledged_then_lost: u64,
    /// What struck.
    pub faults: Vec<String>,
    /// Steps of the failover duty, and promotions that took effect.
    pub decisions: Vec<String>,
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
    pub tenants: TenantHistory,
    pub checker: Checker,
    pub callers: Vec<Caller>,
    pub guests: crate::guests::Guests,
    /// Pairs of node and database that don't reach each other.
    pub cuts: BTreeSet<(usize, BackendId)>,
    /// Connections that say nothing any more.
    pub stalled: BTreeSet<ConnectionKey>,
    pub answer_loss_percent: u32,
    pub promotions_are_late: bool,
    pub faults: Vec<String>,
    pub decisions: Vec<String>,
    /// Who last wrote the service's record, and when, whatever the store has lost since.
    pub(crate) last_holder: Option<(Time, String)>,
    pub strikes_left: u32,
    pub last_incarnation: u64,
    pub(crate) numbers: u64,
    pub(crate) sessions: u64,
    pub(crate) succeeded: u64,
    pub(crate) failed: u64,
    pub(crate) promotions: u64,
    pub(crate) fingerprint: u64,
    pub(crate) is_over: bool,
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
        let mut group = Group::new(limit);
        group.old_primaries_keep_running = options.old_primaries_keep_running;
        Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            queue: Queue::new(),
            nodes: Vec::new(),
            group,
            store: Store {
                configuration: 1,
                written_configuration: 1,
                ..Store::default()
            },
            checker: Checker::new(STALENESS),
            tenants: TenantHistory::default(),
            callers: callers.collect(),
            guests: crate::guests::Guests::default(),
            cuts: BTreeSet::new(),
            stalled: BTreeSet::new(),
            answer_loss_percent: 0,
            promotions_are_late: false,
            last_holder: None,
            faults: Vec::new(),
            decisions: Vec::new(),
            strikes_left: options.fault_count,
            last_incarnation: 0,
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
            self.last_incarnation += 1;
            self.nodes.push(Node::start(
                index,
                self.last_incarnation,
                self.queue.now(),
                &self.options,
            ));
            self.queue.plan(
                STORE_DELAY,
                Happening::PollStore(index, self.last_incarnation),
            );
        }
        self.queue.plan(REPLICATION_TICK, Happening::Replicate);
        for index in 0..self.callers.len() {
            let pause = self.between(200, 600);
            self.queue.plan(pause, Happening::CallerActs(index));
        }
        let first = self.between(1_000, 3_000);
        self.queue.plan(first, Happening::Strike);
        let end = self.options.duration + SETTLING;
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
        self.checker.check_not_run_guarantees(now);
        Report {
            violations: self.checker.violations,
            checked: self.checker.checked,
            succeeded: self.succeeded,
            failed: self.failed,
            promotions: self.promotions,
            acknowledged_then_lost: self.checker.acknowledged_then_lost,
            faults: self.faults,
            decisions: self.decisions,
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
            Happening::Engine(node, incarnation, event) => {
                self.tell_engine(node, incarnation, *event)
            }
            Happening::Duty(node, incarnation, event) => self.tell_duty(node, incarnation, *event),
            Happening::EngineTimer(node, incarnation) => {
                self.tell_engine(node, incarnation, Event::Tick)
            }
            Happening::DutyTimer(node, incarnation) => {
                if self.is_running(node, incarnation) {
                    self.nodes[node].duty_timer_at = Time::NEVER;
                }
                self.tell_duty(node, incarnation, DutyEvent::Tick);
            }
            Happening::PollStore(node, incarnation) => self.poll_store(node, incarnation),
            Happening::ShowStore(node, incarnation) => self.show_store(node, incarnation),
            Happening::OpenAt(node, incarnation, connection, backend, tenant) => {
                self.open_at(node, incarnation, connection, &backend, tenant);
            }
            Happening::CommandAt(node, connection_key, backend, command) => {
                self.command_at(node, connection_key, &backend, &command);
            }
            Happening::CloseAt(connection_key, backend) => {
                if let Some(database) = self.group.databases.get_mut(&backend) {
                    database.connections.remove(&connection_key);
                }
            }
            Happening::RecordAt(node, incarnation, version, record) => {
                self.record_at(node, incarnation, version, record);
            }
            Happening::AwaitReplicas(connection_key, entry, delay, reply) => {
                self.wait_for_replicas(connection_key, entry, delay, *reply);
            }
            Happening::AskPeerAt(node, incarnation, peer, asked_at) => {
                self.ask_peer_at(node, incarnation, peer, asked_at);
            }
            Happening::LinkLost(node, incarnation, holder) => {
                self.link_lost(node, incarnation, holder)
            }
            Happening::VerifyAt(node, incarnation, backend, asker) => {
                self.verify_at(node, incarnation, &backend, asker);
            }
            Happening::AskAt(node, incarnation, backend, question) => {
                self.ask_at(node, incarnation, &backend, question);
            }
            Happening::ReachAt(node, incarnation, backend, question, via) => {
                self.reach_at(node, incarnation, &backend, question, &via);
            }
            Happening::RevokeAt(node, incarnation, user, term) => {
                self.revoke_at(node, incarnation, user, term);
            }
            Happening::AskLimitAt(node, incarnation, peer, ask) => {
                self.ask_limit(node, incarnation, peer, &ask);
            }
            Happening::AskLeadAt(node, incarnation, peer, asked_at) => {
                self.ask_lead_at(node, incarnation, peer, asked_at);
            }
            Happening::PromoteAt(node, incarnation, backend, token, is_answered) => {
                self.promote_at(node, incarnation, &backend, token, is_answered);
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
            Happening::End => {
                self.check_limits();
                self.is_over = true;
            }
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

    pub fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].is_running && self.nodes[node].incarnation == incarnation
    }
}
