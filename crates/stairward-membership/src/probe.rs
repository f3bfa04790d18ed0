//! Probe order and pending probes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt as _};
use stairward_types::{NodeId, Time};

/// Maximum number of pending relays; further requests are ignored.
const MAXIMUM_RELAYS: usize = 256;

/// Iterates over all other members in shuffled order, which bounds the time between two probes of a
/// member (SWIM, section 4.3).
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeOrder {
    nodes: Vec<NodeId>,
    cursor: usize,
}

impl ProbeOrder {
    /// Adds a member at a random position.
    pub fn insert(&mut self, node: NodeId, rng: &mut dyn Rng) {
        let index = rng.random_range(0..=self.nodes.len());
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.nodes.swap(index, last);
    }

    pub fn remove(&mut self, node: NodeId) {
        if let Some(index) = self.nodes.iter().position(|other| *other == node) {
            self.nodes.swap_remove(index);
        }
    }

    /// The next member to probe. Shuffles the members at the end of each round.
    pub fn next(&mut self, rng: &mut dyn Rng) -> Option<NodeId> {
        if self.cursor >= self.nodes.len() {
            self.shuffle(rng);
            self.cursor = 0;
        }
        let node = self.nodes.get(self.cursor).copied();
        self.cursor += 1;
        node
    }

    /// Up to `count` distinct random members for which `matches` returns true.
    pub fn pick(
        &self,
        count: usize,
        rng: &mut dyn Rng,
        matches: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let length = self.nodes.len();
        let mut chosen = Vec::with_capacity(count);
        if length == 0 {
            return chosen;
        }
        // Enough draws to find `count` members in nearly all cases without scanning the list.
        for _ in 0..count * 4 {
            let node = self.nodes[rng.random_range(0..length)];
            if chosen.len() < count && !chosen.contains(&node) && matches(node) {
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

/// The stage of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Waiting for an answer to the direct ping.
    Direct,
    /// Waiting for an answer to the direct ping or to indirect pings.
    Indirect {
        /// Number of members that were sent an indirect ping.
        helper_count: usize,
        /// Whether a nack was received.
        received_nack: bool,
    },
}

/// A pending probe.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    /// The probed member.
    pub target: NodeId,
    /// The current stage.
    pub stage: ProbeStage,
    /// When the current stage ends.
    pub deadline: Time,
}

/// A ping on behalf of another node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Relay {
    /// The requesting node.
    pub requester: SocketAddr,
    /// The sequence number for the ack or nack.
    pub sequence: u64,
    /// When to send a nack.
    pub deadline: Time,
}

/// Pending pings by sequence number.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingProbes {
    /// This node's own probes.
    pub probes: BTreeMap<u64, Probe>,
    /// Pings on behalf of others.
    relays: BTreeMap<u64, Relay>,
}

impl PendingProbes {
    /// Whether a probe of the member is pending.
    pub fn is_probing(&self, node: NodeId) -> bool {
        self.probes.values().any(|probe| probe.target == node)
    }

    /// Adds a relay; returns false if too many are pending.
    pub fn add_relay(&mut self, sequence: u64, relay: Relay) -> bool {
        let has_room = self.relays.len() < MAXIMUM_RELAYS;
        if has_room {
            self.relays.insert(sequence, relay);
        }
        has_room
    }

    /// Removes the relay that an ack belongs to.
    pub fn take_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Removes and returns the relays whose deadline has passed.
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

    /// Removes and returns the probes whose stage has ended.
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

    /// Drops all pending probes and relays.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Time {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let relays = self.relays.values().map(|relay| relay.deadline);
        probes.chain(relays).min().unwrap_or(Time::NEVER)
    }
}
