//! The simulated fleet: nodes, network, store and operators on one clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_membership::configuration::{
    Effect, Event, ExchangeAnswer, ExchangeId, ExchangeRequest, OutgoingUpdate, PeerLocation,
    Readiness, SettingsDigest, StoreAnswer, Update,
};
use stairward_types::{Duration, NodeId, Revision, Time};

use super::library::Library;
use super::node::{Message, Node};
use super::observation::Observations;
use super::schedule::{Action, Actions};
use super::store::SimulatedStore;
use super::traffic::{TCP_HEADER_BYTES, answer_bytes, request_bytes};
use super::tree::TreeMaker;
use crate::simulated_network::{
    Latencies, NodeIndex, Occurrence, SimulatedNetwork, Topology, UDP_HEADER_BYTES,
};

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// Longest time in which a starting node gets its first view.
const JOIN_TIME: Duration = Duration::from_millis(1_000);
/// Shortest and longest time in which the others notice that a node has failed.
const DETECTION_TIME: std::ops::Range<f64> = 1.5..3.0;
/// How long the store may keep a read waiting beyond its wait before the reader gives up.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// How a node takes settings in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NodeVariant {
    /// As it should.
    #[default]
    Correct,
    /// Puts every revision in force that it is told of. Shows that the check for reverts can fail.
    AppliesAnyRevision,
}

/// How large the fleet is and how it behaves.
#[derive(Debug, Clone, Copy)]
pub struct FleetOptions {
    /// How many nodes.
    pub nodes: usize,
    /// Of everything that is left to chance.
    pub seed: u64,
    /// Half of the replies to edits are lost.
    pub lose_edit_replies: bool,
    /// Groups of each of the 20 services in the settings tree.
    pub groups_per_service: usize,
    /// How nodes take settings in.
    pub variant: NodeVariant,
}

/// A simulated fleet.
pub struct Fleet {
    pub(super) options: FleetOptions,
    pub(super) network: SimulatedNetwork<Message>,
    pub(super) nodes: Vec<Node>,
    pub(super) library: Library,
    pub(super) trees: TreeMaker,
    pub(super) store: SimulatedStore,
    pub(super) rng: ChaCha8Rng,
    pub(super) observations: Observations,
    /// When each node went down for the last time; none while it is up.
    pub(super) down_since: Vec<Option<Time>>,
    /// When the regions lost each other, while they are apart.
    pub(super) apart_since: Option<Time>,
    /// When they will meet again.
    pub(super) apart_until: Time,
    pub(super) refused_edits: u64,
    pub(super) lost_replies: u64,
    actions: Actions,
    views: BTreeMap<(Time, bool), Arc<[PeerLocation]>>,
    is_over: bool,
}

impl Fleet {
    /// A fleet whose nodes all start at time zero.
    #[must_use]
    pub fn new(options: FleetOptions) -> Self {
        let topology = Topology::two_regions(options.nodes, Latencies::lintas());
        let (tree, trees) = TreeMaker::build(options.groups_per_service);
        let nodes = (0..options.nodes)
            .map(|index| {
                let region = topology.place(index).region.clone();
                Node::start(Time::ZERO, node_id(index), region, 0, options.seed)
            })
            .collect();
        let mut fleet = Self {
            network: SimulatedNetwork::new(topology, options.seed),
            nodes,
            library: Library::new(tree),
            trees,
            store: SimulatedStore::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ 1),
            observations: Observations::new(options.nodes),
            down_since: vec![None; options.nodes],
            apart_since: None,
            apart_until: Time::ZERO,
            refused_edits: 0,
            lost_replies: 0,
            actions: Actions::default(),
            views: BTreeMap::new(),
            is_over: false,
            options,
        };
        for index in 0..options.nodes {
            fleet.start_clock(index);
        }
        fleet
    }

    /// Runs until [`Action::End`].
    pub(super) fn run(&mut self) {
        while !self.is_over {
            match self.network.next_occurrence() {
                Some(Occurrence::Delivered { from, to, message }) => {
                    self.delivered(from, to, message);
                }
                Some(Occurrence::Timer { node, .. }) => self.tick(node),
                Some(Occurrence::Scheduled { tag }) => {
                    if let Some(action) = self.actions.take(tag) {
                        self.act(action);
                    }
                }
                None => break,
            }
        }
    }

    /// Asks for an action at a time.
    pub(super) fn schedule(&mut self, at: Time, action: Action) {
        let tag = self.actions.add(action);
        self.network.schedule(at, tag);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::ReadArrives { read, after } => self.read_arrives(read, after),
            Action::ReadWaitOver { read } => self.read_wait_over(read),
            Action::ReadAnswered { read, answer } => self.read_answered(read, answer),
            Action::EditBegins { more } => self.edit_begins(more),
            Action::EditArrives { node, edit, more } => self.edit_arrives(node, edit, more),
            Action::EditAccepted {
                node,
                life,
                revision,
                more,
            } => self.edit_accepted(node, life, revision, more),
            Action::ViewChanges { node, as_of } => self.view_changes(node, as_of),
            Action::StoreBecomes(condition) => self.store.condition = condition,
            Action::RegionsApart(apart) => self.regions_apart(apart),
            Action::NodesFail(count) => self.nodes_fail(count),
            Action::NodeRestarts => self.node_restarts(),
            Action::NodeStarts { node } => self.node_starts(node),
            Action::MeasureTraffic => self.observations.mark_traffic(),
            Action::End => self.is_over = true,
        }
    }

    pub(super) fn start_clock(&mut self, index: NodeIndex) {
        let now = self.network.now();
        let phase = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.network.set_timer(index, now + phase);
        let joined = now + JOIN_TIME.mul_f64(self.rng.random_range(0.1..1.0));
        let action = Action::ViewChanges {
            node: index,
            as_of: now,
        };
        self.schedule(joined, action);
    }

    fn tick(&mut self, index: NodeIndex) {
        let now = self.network.now();
        self.network.set_timer(index, now + TICK);
        for exchange in self.nodes[index].take_expired(now) {
            self.handle(index, Event::ExchangeFailed { exchange });
        }
        if self.nodes[index].take_expired_read(now) {
            self.handle(index, Event::StoreAnswered(StoreAnswer::Failed));
        }
        self.handle(index, Event::Tick);
        self.observe(index);
    }

    fn delivered(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        if self.options.variant == NodeVariant::AppliesAnyRevision {
            self.apply_blindly(to, &message);
        }
        match message {
            Message::Ask { exchange, request } => {
                // The asking side matches the answer; the call tells both apart for this node.
                let call = (from as u64) << 32 | exchange.0;
                let from = node_id(from);
                self.handle(
                    to,
                    Event::ExchangeRequested {
                        from,
                        call,
                        request,
                    },
                );
            }
            Message::Answer { exchange, answer } => {
                if self.nodes[to].open.remove(&exchange).is_some() {
                    self.handle(to, Event::ExchangeAnswered { exchange, answer });
                }
            }
        }
    }

    /// Lets a node handle an event and everything that follows from it at once.
    pub(super) fn handle(&mut self, index: NodeIndex, event: Event) {
        let now = self.network.now();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let node = &mut self.nodes[index];
            let effects = node.spreader.handle(now, event, &mut node.rng);
            for effect in effects {
                events.extend(self.carry_out(index, effect));
            }
        }
    }

    fn carry_out(&mut self, index: NodeIndex, effect: Effect) -> Option<Event> {
        match effect {
            Effect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => self.ask(index, exchange, node_index(to), digest, update),
            Effect::AnswerExchange {
                call,
                digest,
                update,
            } => self.answer(index, call, digest, update),
            Effect::Apply(update) => return self.apply(index, &update),
            Effect::ReadStore { after, wait } => self.read_store(index, after, wait),
            Effect::ReadinessChanged(Readiness::Ready) => self.ready(index),
            Effect::ReadinessChanged(_) | Effect::WatcherStarted | Effect::WatcherStopped => {}
        }
        None
    }

    fn ask(
        &mut self,
        index: NodeIndex,
        exchange: ExchangeId,
        to: NodeIndex,
        digest: SettingsDigest,
        update: OutgoingUpdate,
    ) {
        let now = self.network.now();
        self.nodes[index].opened(now, exchange);
        let update = self.library.encode(self.nodes[index].in_force, update);
        let bytes = request_bytes(&digest, update.as_ref());
        let request = ExchangeRequest { digest, update };
        self.send(index, to, bytes, Message::Ask { exchange, request });
    }

    fn answer(
        &mut self,
        index: NodeIndex,
        call: u64,
        digest: SettingsDigest,
        update: OutgoingUpdate,
    ) {
        let to = usize::try_from(call >> 32).unwrap_or(usize::MAX);
        let exchange = ExchangeId(call & u64::from(u32::MAX));
        let update = self.library.encode(self.nodes[index].in_force, update);
        let bytes = answer_bytes(&digest, update.as_ref());
        let answer = ExchangeAnswer { digest, update };
        self.send(index, to, bytes, Message::Answer { exchange, answer });
    }

    fn send(&mut self, from: NodeIndex, to: NodeIndex, frame_bytes: usize, message: Message) {
        let bytes = frame_bytes + TCP_HEADER_BYTES;
        self.observations.sent_bytes[from] += bytes as u64;
        self.network
            .send(from, to, bytes - UDP_HEADER_BYTES, message);
    }

    fn apply(&mut self, index: NodeIndex, update: &Update) -> Option<Event> {
        if update.revision <= self.nodes[index].in_force {
            return None;
        }
        Some(self.put_in_force(index, update.revision))
    }

    /// Puts a revision in force; the event tells the spreader.
    pub(super) fn put_in_force(&mut self, index: NodeIndex, revision: Revision) -> Event {
        let now = self.network.now();
        let node = &mut self.nodes[index];
        node.in_force = revision;
        self.observations.in_force(now, index, node.life, revision);
        if node.spreader.readiness() == Readiness::Ready {
            self.observations.served(index, revision);
        }
        let newest = self.library.newest();
        let oldest_edit = newest.history().next().map(|applied| applied.revision);
        Event::Applied {
            revision,
            history_from: oldest_edit.map_or(revision, |oldest| Revision(oldest.0 - 1)),
        }
    }

    fn apply_blindly(&mut self, index: NodeIndex, message: &Message) {
        let update = match message {
            Message::Ask { request, .. } => &request.update,
            Message::Answer { answer, .. } => &answer.update,
        };
        if let Some(update) = update {
            let applied = self.put_in_force(index, update.revision);
            self.handle(index, applied);
        }
    }

    fn ready(&mut self, index: NodeIndex) {
        let node = &self.nodes[index];
        self.observations.served(index, node.in_force);
    }

    fn observe(&mut self, index: NodeIndex) {
        let now = self.network.now();
        let node = &self.nodes[index];
        if node.spreader.readiness() != Readiness::Ready {
            return;
        }
        let is_trusted = node.spreader.trusted_until(now) >= now;
        if !is_trusted {
            self.observations.untrusted += TICK;
        } else if node.in_force < self.library.newest().revision() {
            self.observations.trusts_old(now, node.in_force);
        }
    }

    /// How long a change takes to show in a node's view.
    pub(super) fn detection_time(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(DETECTION_TIME))
    }

    fn view_changes(&mut self, index: NodeIndex, as_of: Time) {
        if self.network.is_down(index) {
            return;
        }
        let view = self.view(index, as_of);
        self.handle(index, Event::MembersChanged(view));
    }

    /// Who is alive by all changes up to a moment, as seen from a node's region.
    fn view(&mut self, index: NodeIndex, as_of: Time) -> Arc<[PeerLocation]> {
        let is_first = self.network.topology().is_in_first_region(index);
        if let Some(view) = self.views.get(&(as_of, is_first)) {
            return Arc::clone(view);
        }
        let is_apart = self.apart_since.is_some_and(|since| since <= as_of);
        let topology = self.network.topology();
        let view: Arc<[PeerLocation]> = (0..self.nodes.len())
            .filter(|other| self.down_since[*other].is_none_or(|since| since > as_of))
            .filter(|other| !is_apart || topology.is_in_first_region(*other) == is_first)
            .map(|other| PeerLocation {
                node: node_id(other),
                region: topology.place(other).region.clone(),
                leaving: false,
            })
            .collect();
        self.views.insert((as_of, is_first), Arc::clone(&view));
        view
    }

    /// Bytes of the whole tree as it is sent.
    pub(super) fn whole_tree_bytes(&mut self) -> usize {
        let newest = self.library.newest().revision();
        let whole = self.library.encode(newest, OutgoingUpdate::WholeTree);
        whole.map_or(0, |update| update.document.len())
    }

    /// When a read started now is given up.
    pub(super) fn read_deadline(&self, wait: Duration) -> Time {
        self.network.now() + wait + READ_MARGIN
    }
}

/// A node's number: its index, from one.
pub(super) fn node_id(index: NodeIndex) -> NodeId {
    NodeId(index as u64 + 1)
}

fn node_index(node: NodeId) -> NodeIndex {
    usize::try_from(node.0).map_or(usize::MAX, |number| number - 1)
}
