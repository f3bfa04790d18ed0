//! The simulated world: all state, and the events in the order of their time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_engine::{BackendCommand, ConnectionId, Event, Response};
use stairward_failover::{
    Event as FailoverEvent, FailoverRecord, InSyncRecord, RecordVersion, ReviewCall, Via,
};
use stairward_limits::GrantRequest;
use stairward_types::{BackendId, Freshness, NodeId, TenantName, Term, Time};

use crate::callers::Caller;
use crate::checker::{Checker, Invariant, Violation};
use crate::database::{ConnectionKey, LogEntry};
use crate::disturbance::Disturbance;
use crate::group::Group;
use crate::nodes::{CONNECTION_LIMIT, Node, STALENESS};
use crate::options::{Options, PlannedFaultKind};
use crate::queue::Queue;
use crate::replies::ReplyInTransit;
use crate::store::Store;
use crate::tenants::TenantHistory;

/// One-way delay between a caller and a node.
pub(crate) const CALLER_DELAY: Duration = Duration::from_millis(3);
/// One-way delay between a node and the metadata store.
pub(crate) const STORE_DELAY: Duration = Duration::from_millis(3);
/// One-way delay between a node and a database of its own zone, and of another zone.
pub(crate) const NEAR_DELAY: Duration = Duration::from_millis(1);
pub(crate) const FAR_DELAY: Duration = Duration::from_millis(8);
/// How often replicas receive and apply the log.
pub(crate) const REPLICATION_TICK: Duration = Duration::from_millis(4);
/// Apply delay of a replica without faults.
pub(crate) const NORMAL_LAG: Duration = Duration::from_millis(8);
/// How long a promotion takes.
pub(crate) const PROMOTION_TIME: Duration = Duration::from_millis(600);
/// How often a node polls the metadata store.
pub(crate) const STORE_POLL: Duration = Duration::from_millis(1_000);
/// How long a caller waits for a response.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the run continues after callers have stopped.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(4);
/// A connected node must have a configuration in force within this time.
pub(crate) const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// A node counts as connected when it has had no fault for this long.
pub(crate) const MIN_CONNECTED_TIME: Duration = Duration::from_secs(5);
/// The wrong-connection variant sends one in this many statements to another connection.
pub(crate) const WRONG_CONNECTION_ONE_IN: u32 = 12;

/// A query of the failover controller to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberQuery {
    Status,
    /// Ask repeatedly until the member has received everything up to a position.
    Received(Freshness),
    /// Put the member on hold for terms below this one.
    Hold(Term),
    /// Step down in favor of this term.
    StepDown(Term),
    /// End a hold.
    Resume,
}

/// A commit whose response waits until enough replicas have received it.
#[derive(Debug)]
pub(crate) struct AwaitedCommit {
    pub connection: ConnectionKey,
    /// The database that committed it.
    pub committer: BackendId,
    pub entry: LogEntry,
    /// Delay of the response from then on.
    pub delay: Duration,
}

/// An event of the simulation. The first number is usually the node, the second its incarnation.
#[derive(Debug)]
pub(crate) enum SimulationEvent {
    /// An event for a node's engine.
    Engine(usize, u64, Box<Event>),
    /// An event for a node's failover controller.
    Failover(usize, u64, Box<FailoverEvent>),
    /// An event for a node's failover controller, sent by another node. A paused node misses it.
    Notify(usize, u64, Box<FailoverEvent>),
    /// A node asks a peer which promotions it knows of.
    QueryPeerPromotions(usize, u64, NodeId),
    EngineTimer(usize, u64),
    FailoverTimer(usize, u64),
    PollStore(usize, u64),
    DeliverStoreState(usize, u64),
    OpenConnection(usize, u64, ConnectionId, BackendId, Option<TenantName>),
    RunCommand(usize, ConnectionKey, BackendId, BackendCommand),
    CloseConnection(ConnectionKey, BackendId),
    WriteRecord(usize, u64, RecordVersion, FailoverRecord),
    WriteInSyncRecord(usize, u64, RecordVersion, InSyncRecord),
    /// A node queries a member for a review of missing members.
    ReviewMember(usize, u64, ReviewCall),
    /// Checks again whether enough replicas have received a commit whose response is outstanding.
    AwaitReplicas(AwaitedCommit, Box<ReplyInTransit>),
    /// A database sends a reply again that it has sent before.
    RepeatReply(Box<ReplyInTransit>),
    /// A node asks a peer for the leader position that it knows.
    QueryPeerPosition(usize, u64, usize, Time),
    /// A node detects that its connection to another node has ended.
    PeerDisconnected(usize, u64, NodeId),
    QueryMember(usize, u64, BackendId, MemberQuery),
    /// A node checks a back end that another node reports as unresponsive.
    VerifyBackend(usize, u64, BackendId, NodeId),
    /// A node asks a member to step down or to hold, directly or through a peer.
    CallMember(usize, u64, BackendId, MemberQuery, Via),
    /// A node asks a peer what it knows of the service's leadership.
    QueryPeerLeadership(usize, u64, usize, Time),
    /// A node asks a coordinator to grant operations of tenants with a rate limit.
    RequestLimitGrant(usize, u64, usize, Box<GrantRequest>),
    /// A promoting node tells another one that a new term may begin.
    RevokeLeadership(usize, u64, NodeId, Term),
    /// A node requests a promotion; the flag says whether it receives the response.
    Promote(
        usize,
        u64,
        BackendId,
        stairward_failover::FencingToken,
        bool,
    ),
    /// An accepted promotion takes effect.
    PromotionCompletes(BackendId),
    Replicate,
    CallerTurn(usize),
    CallerResponse(usize, u64, Box<Response>),
    CallerDisconnected(usize, u64),
    /// A caller closes its session if this request is still outstanding.
    CallerTimeout(usize, u64, u64),
    /// A node's process is killed.
    KillNode(usize),
    StartNode(usize),
    InjectFault,
    PlannedFault(PlannedFaultKind),
    FaultEnds(crate::faults::FaultEnd),
    /// Checks that connected nodes have a configuration in force that was written at this time.
    CheckConfiguration(u64, Time),
    End,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The violations of invariants.
    pub violations: Vec<Violation>,
    /// How often each invariant was checked.
    pub checked: BTreeMap<Invariant, u64>,
    /// Statements that succeeded.
    pub succeeded: u64,
    /// Statements that did not succeed.
    pub failed: u64,
    /// Promotions that took effect.
    pub promotions: u64,
    /// Replies that databases sent again.
    pub repeated_replies: u64,
    /// Acknowledged commits that promotions rolled back.
    pub acknowledged_then_lost: u64,
    /// When reads at the leader succeeded.
    pub leader_reads: Vec<Time>,
    /// When commits with writes were acknowledged.
    pub commits: Vec<Time>,
    /// The injected faults.
    pub faults: Vec<String>,
    /// Steps of the failover controllers, and promotions that took effect.
    pub decisions: Vec<String>,
    /// A hash of the event times, which differs when two runs differ in them.
    pub fingerprint: u64,
}

pub(crate) struct World {
    pub options: Options,
    pub random: ChaCha8Rng,
    pub queue: Queue<SimulationEvent>,
    pub nodes: Vec<Node>,
    pub group: Group,
    pub store: Store,
    pub tenants: TenantHistory,
    pub checker: Checker,
    pub callers: Vec<Caller>,
    pub forwarded_sessions: crate::forwarding::ForwardedSessions,
    /// Pairs of node and database that cannot reach each other.
    pub partitions: BTreeSet<(usize, BackendId)>,
    /// Connections on which no more responses arrive.
    pub stalled: BTreeSet<ConnectionKey>,
    pub response_loss_percent: u32,
    /// Whether promotions may be delayed and their responses lost.
    pub delays_promotions: bool,
    pub faults: Vec<String>,
    pub decisions: Vec<String>,
    /// Who last wrote the service's record, and when. A restore of the store does not reset it.
    pub(crate) last_record_writer: Option<(Time, String)>,
    pub disturbance: Disturbance,
    /// Number of faults that are still to be injected.
    pub remaining_faults: u32,
    /// The last incarnation given to a node.
    pub last_incarnation: u64,
    pub(crate) last_statement_number: u64,
    /// Number of the last session.
    pub(crate) sessions: u64,
    pub(crate) succeeded: u64,
    pub(crate) failed: u64,
    pub(crate) promotions: u64,
    pub(crate) repeated_replies: u64,
    pub(crate) leader_reads: Vec<Time>,
    pub(crate) commits: Vec<Time>,
    pub(crate) fingerprint: u64,
    /// Whether the run has reached its end.
    pub(crate) is_over: bool,
}

/// Runs a simulation to its end.
#[must_use]
pub fn simulate(options: &Options) -> Report {
    let mut world = World::new(options.clone());
    world.schedule_initial_events();
    while let Some(event) = world.queue.next() {
        if world.is_over {
            break;
        }
        world.handle_event(event);
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
                operator_configuration: 1,
                ..Store::default()
            },
            checker: Checker::new(STALENESS),
            tenants: TenantHistory::default(),
            callers: callers.collect(),
            forwarded_sessions: crate::forwarding::ForwardedSessions::default(),
            partitions: BTreeSet::new(),
            stalled: BTreeSet::new(),
            response_loss_percent: 0,
            delays_promotions: false,
            last_record_writer: None,
            faults: Vec::new(),
            decisions: Vec::new(),
            disturbance: Disturbance::default(),
            remaining_faults: options.fault_count,
            last_incarnation: 0,
            last_statement_number: 0,
            sessions: 0,
            succeeded: 0,
            failed: 0,
            promotions: 0,
            repeated_replies: 0,
            leader_reads: Vec::new(),
            commits: Vec::new(),
            fingerprint: 0,
            is_over: false,
            options,
        }
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..usize::try_from(self.options.nodes).unwrap_or(1) {
            self.last_incarnation += 1;
            self.nodes.push(Node::start(
                index,
                self.last_incarnation,
                self.queue.now(),
                &self.options,
            ));
            self.queue.schedule(
                STORE_DELAY,
                SimulationEvent::PollStore(index, self.last_incarnation),
            );
        }
        self.queue
            .schedule(REPLICATION_TICK, SimulationEvent::Replicate);
        for index in 0..self.callers.len() {
            let pause = self.random_duration(200, 600);
            self.queue
                .schedule(pause, SimulationEvent::CallerTurn(index));
        }
        let first = self.random_duration(1_000, 3_000);
        self.queue.schedule(first, SimulationEvent::InjectFault);
        for planned in self.options.planned_faults.clone() {
            let start = SimulationEvent::PlannedFault(planned.kind);
            self.queue.schedule(planned.at, start);
        }
        let end = self.options.duration + SETTLE_TIME;
        self.queue.schedule(end, SimulationEvent::End);
    }

    pub fn random_duration(&mut self, min_ms: u64, max_count: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min_ms..max_count))
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
            repeated_replies: self.repeated_replies,
            acknowledged_then_lost: self.checker.acknowledged_then_lost,
            leader_reads: self.leader_reads,
            commits: self.commits,
            faults: self.faults,
            decisions: self.decisions,
            fingerprint: self.fingerprint,
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        self.fingerprint = self
            .fingerprint
            .wrapping_mul(0x0100_0000_01b3)
            .wrapping_add(self.now().0);
        let Some(event) = self.postpone_if_paused(event) else {
            return;
        };
        match event {
            SimulationEvent::Engine(node, incarnation, event) => {
                self.handle_engine_event(node, incarnation, *event)
            }
            SimulationEvent::Failover(node, incarnation, event) => {
                self.handle_failover_event(node, incarnation, *event)
            }
            SimulationEvent::Notify(node, incarnation, event) => {
                self.notify(node, incarnation, *event);
            }
            SimulationEvent::QueryPeerPromotions(node, incarnation, peer) => {
                self.query_peer_promotions(node, incarnation, peer);
            }
            SimulationEvent::EngineTimer(node, incarnation) => {
                self.handle_engine_event(node, incarnation, Event::Tick)
            }
            SimulationEvent::FailoverTimer(node, incarnation) => {
                if self.is_running(node, incarnation) {
                    self.nodes[node].failover_timer_at = Time::NEVER;
                }
                self.handle_failover_event(node, incarnation, FailoverEvent::Tick);
            }
            SimulationEvent::PollStore(node, incarnation) => self.poll_store(node, incarnation),
            SimulationEvent::DeliverStoreState(node, incarnation) => {
                self.deliver_store_state(node, incarnation)
            }
            SimulationEvent::OpenConnection(node, incarnation, connection, backend, tenant) => {
                self.open_connection(node, incarnation, connection, &backend, tenant);
            }
            SimulationEvent::RunCommand(node, connection_key, backend, command) => {
                self.run_command(node, connection_key, &backend, &command);
            }
            SimulationEvent::CloseConnection(connection_key, backend) => {
                if let Some(database) = self.group.databases.get_mut(&backend) {
                    database.connections.remove(&connection_key);
                }
            }
            SimulationEvent::WriteRecord(node, incarnation, version, record) => {
                self.write_record_from(node, incarnation, version, record);
            }
            SimulationEvent::WriteInSyncRecord(node, incarnation, version, record) => {
                self.write_in_sync_record_from(node, incarnation, version, record);
            }
            SimulationEvent::ReviewMember(node, incarnation, call) => {
                self.review_member(node, incarnation, call);
            }
            SimulationEvent::AwaitReplicas(commit, reply) => {
                self.wait_for_replicas(commit, *reply);
            }
            SimulationEvent::RepeatReply(reply) => self.repeat_reply(*reply),
            SimulationEvent::QueryPeerPosition(node, incarnation, peer, asked_at) => {
                self.query_peer_position(node, incarnation, peer, asked_at);
            }
            SimulationEvent::PeerDisconnected(node, incarnation, holder) => {
                self.peer_disconnected(node, incarnation, holder)
            }
            SimulationEvent::VerifyBackend(node, incarnation, backend, asker) => {
                self.verify_backend(node, incarnation, &backend, asker);
            }
            SimulationEvent::QueryMember(node, incarnation, backend, query) => {
                self.query_member(node, incarnation, &backend, query);
            }
            SimulationEvent::CallMember(node, incarnation, backend, query, via) => {
                self.call_member(node, incarnation, &backend, query, &via);
            }
            SimulationEvent::RevokeLeadership(node, incarnation, user, term) => {
                self.revoke_leadership(node, incarnation, user, term);
            }
            SimulationEvent::RequestLimitGrant(node, incarnation, peer, ask) => {
                self.request_limit_grant(node, incarnation, peer, &ask);
            }
            SimulationEvent::QueryPeerLeadership(node, incarnation, peer, asked_at) => {
                self.query_peer_leadership(node, incarnation, peer, asked_at);
            }
            SimulationEvent::Promote(node, incarnation, backend, token, is_answered) => {
                self.run_promotion(node, incarnation, &backend, token, is_answered);
            }
            SimulationEvent::PromotionCompletes(backend) => self.complete_promotion(&backend),
            SimulationEvent::Replicate => self.replicate(),
            SimulationEvent::CallerTurn(caller) => self.caller_turn(caller),
            SimulationEvent::CallerResponse(caller, session, response) => {
                self.caller_receives_response(caller, session, &response);
            }
            SimulationEvent::CallerDisconnected(caller, session) => {
                self.caller_disconnected(caller, session)
            }
            SimulationEvent::CallerTimeout(caller, session, number) => {
                if self.pending_request(caller) == (session, number) {
                    self.close_session(caller);
                }
            }
            SimulationEvent::KillNode(node) => self.kill_node(node),
            SimulationEvent::StartNode(node) => {
                self.disturbance.record(self.queue.now());
                self.start_node(node);
            }
            SimulationEvent::InjectFault => self.inject_fault(),
            SimulationEvent::PlannedFault(kind) => self.start_planned_fault(kind),
            SimulationEvent::FaultEnds(ending) => self.end_fault(ending),
            SimulationEvent::CheckConfiguration(revision, since) => {
                self.check_configuration(revision, since);
            }
            SimulationEvent::End => {
                self.check_limits();
                self.is_over = true;
            }
        }
    }

    /// Postpones events of a paused node until the pause ends.
    fn postpone_if_paused(&mut self, event: SimulationEvent) -> Option<SimulationEvent> {
        let node = match &event {
            SimulationEvent::Engine(node, ..)
            | SimulationEvent::Failover(node, ..)
            | SimulationEvent::EngineTimer(node, _)
            | SimulationEvent::FailoverTimer(node, _)
            | SimulationEvent::PollStore(node, _)
            | SimulationEvent::DeliverStoreState(node, _) => *node,
            _ => return Some(event),
        };
        let until = self.nodes[node].paused_until;
        if self.now() >= until {
            return Some(event);
        }
        self.queue.schedule_at(until, event);
        None
    }

    pub fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].is_running && self.nodes[node].incarnation == incarnation
    }
}
