//! Members on a simulated network with a virtual clock, optionally with a protocol rule disabled.

use std::collections::BTreeMap;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_membership::{Effect, Event, Message, Packet, SwimConfig, SwimMember, Update};
use stairward_types::{Duration, NodeId, Time};

use super::{address, profile};

const LATENCY: Duration = Duration::from_millis(5);

/// A protocol rule disabled on purpose, to verify that the tests detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledRule {
    /// All rules are in force.
    Nothing,
    /// Accused members never refute.
    Refutation,
    /// Views are never compared.
    Comparison,
}

/// Members numbered from 1 on one network.
pub struct Network {
    disabled: DisabledRule,
    now: Time,
    members: BTreeMap<u64, SwimMember>,
    incarnations: BTreeMap<u64, u64>,
    /// The side of the partition each member is on; members reach only those on the same side.
    sides: BTreeMap<u64, u8>,
    /// Packet loss in percent.
    pub loss: u8,
    queue: BTreeMap<(Time, u64), (u64, u64, Packet)>,
    next_order: u64,
    rng: ChaCha8Rng,
}

impl Network {
    /// Starts members that initially know only each other's addresses.
    pub fn start(count: u64, seed: u64, disabled: DisabledRule) -> Self {
        let mut network = Self {
            disabled,
            now: Time::from_millis(1_000),
            members: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            sides: (1..=count).map(|node| (node, 0)).collect(),
            loss: 0,
            queue: BTreeMap::new(),
            next_order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 1..=count {
            network.start_member(node);
        }
        network
    }

    /// Starts a member with a new incarnation.
    pub fn start_member(&mut self, node: u64) {
        let incarnation = self.incarnations.entry(node).or_default();
        *incarnation += 1;
        let me = profile(node, *incarnation);
        let seeds: Vec<_> = self.sides.keys().copied().map(address).collect();
        let config = SwimConfig::default();
        let member = SwimMember::new(me, &seeds, config, self.now, &mut self.rng);
        self.members.insert(node, member);
    }

    /// Stops a member without notice.
    pub fn kill(&mut self, node: u64) {
        self.members.remove(&node);
    }

    /// Moves a member to one side of the partition.
    pub fn set_side(&mut self, node: u64, side: u8) {
        self.sides.insert(node, side);
    }

    /// Removes partition and packet loss.
    pub fn heal(&mut self) {
        self.loss = 0;
        self.sides.values_mut().for_each(|side| *side = 0);
    }

    /// Whether every running member's view consists of exactly the running members.
    pub fn has_converged(&self) -> bool {
        let running: Vec<NodeId> = self.members.keys().map(|node| NodeId(*node)).collect();
        self.members.values().all(|member| {
            member
                .view()
                .map(|profile| profile.node)
                .eq(running.clone())
        })
    }

    /// Runs the simulation for a period.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let tick = self.next_tick();
            let packet = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = packet.unwrap_or(Time::NEVER).min(tick.0);
            if next > end {
                break;
            }
            self.now = next.max(self.now);
            if packet == Some(next) {
                self.deliver();
            } else {
                self.handle_event(tick.1, Event::Tick);
            }
        }
        self.now = end;
    }

    fn next_tick(&self) -> (Time, u64) {
        self.members
            .iter()
            .map(|(node, member)| (member.next_deadline(), *node))
            .min()
            .unwrap_or((Time::NEVER, 0))
    }

    fn deliver(&mut self) {
        if let Some((_, (from, to, packet))) = self.queue.pop_first() {
            let from = address(from);
            self.handle_event(to, Event::Received { from, packet });
        }
    }

    fn handle_event(&mut self, node: u64, event: Event) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        for effect in member.handle(self.now, event, &mut self.rng) {
            if let Effect::Send { to, packet } = effect {
                let to = (1..=9).find(|other| address(*other) == to).unwrap();
                self.send(node, to, packet);
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, mut packet: Packet) {
        let is_lost = self.rng.random_range(0..100) < self.loss;
        if is_lost || self.sides[&from] != self.sides[&to] || self.is_suppressed(&mut packet) {
            return;
        }
        let at = self.now + LATENCY;
        self.queue.insert((at, self.next_order), (from, to, packet));
        self.next_order += 1;
    }

    /// Removes from a packet what a member with the disabled rule would not send. Returns whether
    /// the whole packet is dropped.
    fn is_suppressed(&self, packet: &mut Packet) -> bool {
        match self.disabled {
            DisabledRule::Nothing => false,
            DisabledRule::Comparison => matches!(packet.message, Message::CompareMembers { .. }),
            DisabledRule::Refutation => {
                packet.updates.retain(|update| {
                    !matches!(update, Update::Alive(profile) if profile.version.refutation > 0)
                });
                false
            }
        }
    }
}
