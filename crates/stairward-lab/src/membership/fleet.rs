//! A simulated fleet: one state machine per node, and the network between them.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_membership::{
    Effect, Event, MemberChange, Packet, Profile, SwimConfig, SwimMember, TermUpdate, Version,
    encoded_length,
};
use stairward_types::{Duration, Incarnation, NodeId, Time};

use super::fault::Action;
use super::observation::Observations;
use crate::simulated_network::{
    Latencies, NodeIndex, Occurrence, SimulatedNetwork, Topology, Traffic,
};

/// Addresses that a starting node knows.
const SEEDS: usize = 5;
/// A node that was paused may still be taken as failed for so long after, since the suspicion began
/// while it was silent.
const PAUSE_AFTERMATH: Duration = Duration::from_secs(3);

/// How large the fleet is and how it behaves.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// How many nodes.
    pub nodes: usize,
    /// Of the network and of every node.
    pub seed: u64,
    /// Times and sizes of the protocol.
    pub config: SwimConfig,
}

struct Node {
    swim: SwimMember,
    rng: ChaCha8Rng,
    /// The earliest timer that is set.
    wake: Time,
    incarnation: u64,
    paused_until: Time,
}

/// A term that reached a node.
#[derive(Debug, Clone)]
pub struct TermArrival {
    /// The node.
    pub node: NodeIndex,
    /// When.
    pub at: Time,
    /// What it learnt.
    pub news: Arc<TermUpdate>,
}

/// A simulated fleet.
pub struct Fleet {
    network: SimulatedNetwork<Packet>,
    nodes: Vec<Node>,
    config: SwimConfig,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
    /// What was seen so far.
    pub observations: Observations,
    /// Terms that arrived since this was last taken.
    pub arrivals: Vec<TermArrival>,
}

impl Fleet {
    /// A fleet whose nodes all know each other.
    #[must_use]
    pub fn formed(options: &FleetOptions) -> Self {
        let topology = Topology::two_regions(options.nodes, Latencies::lintas());
        let network = SimulatedNetwork::new(topology, options.seed);
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(1));
        let profiles: Vec<Arc<Profile>> = (0..options.nodes)
            .map(|node| Arc::new(profile(network.topology(), node, 1)))
            .collect();
        let nodes = profiles
            .iter()
            .map(|profile| formed_node(profile, &profiles, &options.config, &mut rng))
            .collect();
        let mut fleet = Self {
            network,
            nodes,
            config: options.config.clone(),
            rng,
            actions: Vec::new(),
            observations: Observations::default(),
            arrivals: Vec::new(),
        };
        for node in 0..options.nodes {
            fleet.set_timer(node);
        }
        fleet
    }

    /// Where the nodes stand.
    #[must_use]
    pub fn topology(&self) -> &Topology {
        self.network.topology()
    }

    /// What was sent so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.network.traffic()
    }

    /// The virtual time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.network.now()
    }

    /// The nodes whose process runs.
    #[must_use]
    pub fn up(&self) -> Vec<NodeIndex> {
        (0..self.nodes.len())
            .filter(|node| !self.network.is_down(*node))
            .collect()
    }

    /// Whether every running node sees exactly the running nodes.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let up = self.up();
        let Some(first) = up.first().map(|node| &self.nodes[*node].swim) else {
            return true;
        };
        let digest = first.view_digest();
        let agree = up
            .iter()
            .all(|node| self.nodes[*node].swim.view_digest() == digest);
        agree && first.view().map(|profile| index_of(profile.node)).eq(up)
    }

    /// Lets something befall the fleet at a point in time.
    pub fn plan(&mut self, at: Time, action: Action) {
        let tag = self.actions.len() as u64;
        self.actions.push(action);
        self.network.schedule(at, tag);
    }

    /// Lets the fleet run up to a point in time.
    pub fn run_until(&mut self, end: Time) {
        // The mark comes out of the network as anything else does, and ends the loop.
        let mark = u64::MAX;
        self.network.schedule(end, mark);
        while let Some(occurrence) = self.network.next_occurrence() {
            match occurrence {
                Occurrence::Scheduled { tag } if tag == mark => return,
                Occurrence::Scheduled { tag } => self.act(tag),
                Occurrence::Delivered { from, to, message } => {
                    let from = self.topology().address(from);
                    let packet = message;
                    self.feed(to, Event::Received { from, packet });
                }
                Occurrence::Timer { node, .. } => self.wake(node),
            }
        }
    }

    /// Lets a node learn of a newer term by itself.
    pub fn learn_term(&mut self, node: NodeIndex, news: TermUpdate) {
        self.feed(node, Event::TermLearnt(news));
    }

    fn wake(&mut self, node: NodeIndex) {
        // Timers that were overtaken by an earlier one are ignored.
        if self.nodes[node].wake <= self.network.now() {
            self.nodes[node].wake = Time::NEVER;
            self.feed(node, Event::Tick);
        }
    }

    fn feed(&mut self, node: NodeIndex, event: Event) {
        let now = self.network.now();
        let state = &mut self.nodes[node];
        let effects = state.swim.handle(now, event, &mut state.rng);
        for effect in effects {
            self.carry_out(node, effect);
        }
        self.set_timer(node);
    }

    fn set_timer(&mut self, node: NodeIndex) {
        let state = &mut self.nodes[node];
        let deadline = state.swim.next_deadline();
        if deadline < state.wake {
            state.wake = deadline;
            self.network.set_timer(node, deadline);
        }
    }

    fn carry_out(&mut self, node: NodeIndex, effect: Effect) {
        match effect {
            Effect::Send { to, packet } => {
                if let Some(to) = self.topology().node_at(to) {
                    let length = encoded_length(&packet);
                    self.network.send(node, to, length, packet);
                }
            }
            Effect::MemberChanged {
                node: member,
                change,
            } => self.observe(node, index_of(member), change),
            Effect::TermReceived(news) => {
                let at = self.network.now();
                self.arrivals.push(TermArrival { node, at, news });
            }
            Effect::ViewChanged | Effect::PeerDigest { .. } => {}
        }
    }

    fn observe(&mut self, observer: NodeIndex, member: NodeIndex, change: MemberChange) {
        match change {
            MemberChange::Suspected => self.observations.suspicions += 1,
            MemberChange::Failed | MemberChange::Left => self.observe_end(observer, member),
            MemberChange::Joined | MemberChange::Refuted | MemberChange::Leaving => {}
        }
    }

    fn observe_end(&mut self, observer: NodeIndex, member: NodeIndex) {
        let now = self.network.now();
        if self.network.is_down(member) {
            self.observations.noticed(member, observer, now);
            return;
        }
        if now < self.nodes[member].paused_until + PAUSE_AFTERMATH {
            self.observations.paused_taken_as_failed.insert(member);
            return;
        }
        let version = self.nodes[observer].swim.version(node_id(member));
        let is_this_life =
            version.is_some_and(|version| version.incarnation.0 == self.nodes[member].incarnation);
        if is_this_life && self.network.are_connected(observer, member) {
            self.observations.false_positives += 1;
        }
    }

    fn act(&mut self, tag: u64) {
        let Some(action) = usize::try_from(tag)
            .ok()
            .and_then(|tag| self.actions.get(tag))
        else {
            return;
        };
        match *action {
            Action::Kill(node) => self.kill(node),
            Action::Restart(node) => self.restart(node),
            Action::Pause(node, length) => self.pause(node, length),
            Action::Part => self.part(),
            Action::Heal => self.heal(),
            Action::Lose(share) => self.network.set_loss(share),
        }
    }

    fn kill(&mut self, node: NodeIndex) {
        self.network.take_down(node);
        self.observations.lost(node, self.network.now());
    }

    fn restart(&mut self, node: NodeIndex) {
        let now = self.network.now();
        let incarnation = self.nodes[node].incarnation + 1;
        let seeds = self.choose_seeds(node);
        let profile = profile(self.topology(), node, incarnation);
        let state = &mut self.nodes[node];
        let config = self.config.clone();
        state.swim = SwimMember::new(profile, &seeds, config, now, &mut state.rng);
        state.incarnation = incarnation;
        state.wake = Time::NEVER;
        self.network.bring_up(node);
        self.observations.losses.remove(&node);
        self.set_timer(node);
    }

    fn choose_seeds(&mut self, node: NodeIndex) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        while seeds.len() < SEEDS.min(self.nodes.len() - 1) {
            let seed = self.rng.random_range(0..self.nodes.len());
            let address = self.topology().address(seed);
            if seed != node && !seeds.contains(&address) {
                seeds.push(address);
            }
        }
        seeds
    }

    fn pause(&mut self, node: NodeIndex, length: Duration) {
        let until = self.network.now() + length;
        self.nodes[node].paused_until = until;
        self.network.pause(node, until);
    }

    fn part(&mut self) {
        for node in 0..self.nodes.len() {
            let side = u8::from(!self.topology().is_in_first_region(node));
            self.network.set_side(node, side);
        }
    }

    fn heal(&mut self) {
        for node in 0..self.nodes.len() {
            self.network.set_side(node, 0);
        }
    }
}

fn formed_node(
    profile: &Arc<Profile>,
    all: &[Arc<Profile>],
    config: &SwimConfig,
    rng: &mut ChaCha8Rng,
) -> Node {
    let mut rng = ChaCha8Rng::seed_from_u64(rng.random());
    let now = Time::ZERO;
    let me = (**profile).clone();
    let mut swim = SwimMember::new(me, &[], config.clone(), now, &mut rng);
    swim.preload(all, now, &mut rng);
    Node {
        swim,
        rng,
        wake: Time::NEVER,
        incarnation: 1,
        paused_until: Time::ZERO,
    }
}

fn profile(topology: &Topology, node: NodeIndex, incarnation: u64) -> Profile {
    let place = topology.place(node);
    Profile {
        node: node_id(node),
        version: Version::first(Incarnation(incarnation)),
        address: topology.address(node),
        region: place.region.clone(),
        zone: place.zone.clone(),
        leaving: false,
    }
}

fn node_id(node: NodeIndex) -> NodeId {
    NodeId(node as u64)
}

fn index_of(node: NodeId) -> NodeIndex {
    usize::try_from(node.0).unwrap_or(NodeIndex::MAX)
}
