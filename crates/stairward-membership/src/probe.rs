//! Whom to probe next, and the probes that are under way.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt as _};
use stairward_types::{NodeId, Time};

/// Pings on behalf of others that may be under way; further ones are not taken on.
const MAXIMUM_RELAYS: usize = 256;

/// Goes round all other members in a shuffled order, so that the time between two probes of a
/// member is bounded (SWIM, section 4.3).
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeOrder {
    nodes: Vec<NodeId>,
    cursor: usize,
}

impl ProbeOrder {
    /// Adds a member at a random place.
    pub fn insert(&mut self, node: NodeId, rng: &mut dyn Rng) {
        let place = rng.random_range(0..=self.nodes.len());
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.nodes.swap(place, last);
    }

    /// Removes a member.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(place) = self.nodes.iter().position(|other| *other == node) {
            self.nodes.swap_remove(place);
        }
    }

    /// The next member to probe; shuffles at the end of each round.
    pub fn next(&mut self, rng: &mut dyn Rng) -> Option<NodeId> {
        if self.cursor >= self.nodes.len() {
            self.shuffle(rng);
            self.cursor = 0;
        }
        let node = self.nodes.get(self.cursor).copied();
        self.cursor += 1;
        node
    }

    /// Up to `count` different members for which `is_wanted` holds, at random.
    pub fn pick(
        &self,
        count: usize,
        rng: &mut dyn Rng,
        is_wanted: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let length = self.nodes.len();
        let mut chosen = Vec::with_capacity(count);
        if length == 0 {
            return chosen;
        }
        // Enough draws to nearly always find `count`, without walking the whole list.
        for _ in 0..count * 4 {
            let node = self.nodes[rng.random_range(0..length)];
            if chosen.len() < count && !chosen.contains(&node) && is_wanted(node) {
                chosen.push(node);
            }
        }
        chosen
    }

    fn shuffle(&mut self, rng: &mut dyn Rng) {
        for upper in (1..self.nodes.len()).rev() {
            let other = rng.random_range(0..=upper);
            self.nodes.swap(upper, other);
        }
    }
}

/// How far a probe has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Waiting for the member's own answer.
    Direct,
    /// Others were asked too; whether one of them has answered at all.
    Indirect {
        /// How many were asked.
        asked: usize,
        /// Whether a nack came back.
        heard_nack: bool,
    },
}

/// A probe under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    /// Who is probed.
    pub target: NodeId,
    /// How far it has got.
    pub stage: ProbeStage,
    /// When this stage ends.
    pub deadline: Time,
}

/// A ping on behalf of another node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Relay {
    /// Who asked.
    pub requester: SocketAddr,
    /// The sequence to answer with.
    pub sequence: u64,
    /// When to answer with a nack.
    pub deadline: Time,
}

/// The pings under way, by sequence.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outstanding {
    /// This node's own probes.
    pub probes: BTreeMap<u64, Probe>,
    /// Pings on behalf of others.
    relays: BTreeMap<u64, Relay>,
}

impl Outstanding {
    /// Whether a member is being probed.
    pub fn is_probing(&self, node: NodeId) -> bool {
        self.probes.values().any(|probe| probe.target == node)
    }

    /// Remembers a ping on behalf of another; false when there are too many.
    pub fn add_relay(&mut self, sequence: u64, relay: Relay) -> bool {
        let has_room = self.relays.len() < MAXIMUM_RELAYS;
        if has_room {
            self.relays.insert(sequence, relay);
        }
        has_room
    }

    /// Takes the relay that an ack belongs to.
    pub fn take_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Takes the relays whose time is up.
    pub fn take_due_relays(&mut self, now: Time) -> Vec<Relay> {
        let due: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.deadline <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        due.iter()
            .filter_map(|sequence| self.relays.remove(sequence))
            .collect()
    }

    /// Takes the probes whose stage has ended.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<(u64, Probe)> {
        let due: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        due.iter()
            .filter_map(|sequence| Some((*sequence, self.probes.remove(sequence)?)))
            .collect()
    }

    /// Forgets everything under way.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// When something is next due.
    pub fn next_deadline(&self) -> Time {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let relays = self.relays.values().map(|relay| relay.deadline);
        probes.chain(relays).min().unwrap_or(Time::NEVER)
    }
}
