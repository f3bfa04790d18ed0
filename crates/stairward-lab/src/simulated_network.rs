//! A network on a virtual clock: latencies by place, loss, partitions, lost and paused nodes.
//!
//! Everything that happens comes out of [`SimulatedNetwork::next`] in order of time, and for equal
//! times in the order in which it was asked for, so one seed gives one run.

mod topology;

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_types::{Duration, Time};

pub use topology::{Latencies, Place, Topology};

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const UDP_HEADER_BYTES: usize = 28;
/// Datagrams that wait at a paused node; further ones are lost, as in a full socket buffer.
const PAUSED_INBOX: usize = 256;
/// Latency varies by up to this share of itself.
const JITTER: f64 = 0.25;

/// A node's place in the simulation, from zero.
pub type NodeIndex = usize;

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Occurrence<M> {
    /// A message arrives.
    Delivered {
        /// Who sent it.
        from: NodeIndex,
        /// Who gets it.
        to: NodeIndex,
        /// What it says.
        message: M,
    },
    /// A timer that was set by [`SimulatedNetwork::set_timer`].
    Timer {
        /// Whose timer.
        node: NodeIndex,
        /// In which life of the node it was set.
        life: u32,
    },
    /// A point in time asked for by [`SimulatedNetwork::schedule`].
    Scheduled {
        /// The number that was given.
        tag: u64,
    },
}

struct Entry<M> {
    at: Time,
    order: u64,
    /// Boxed, since the queue moves its entries often.
    occurrence: Box<Occurrence<M>>,
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<M> Eq for Entry<M> {}

impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Entry<M> {
    /// Reversed, so that the heap gives the earliest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// What befalls one node.
#[derive(Debug, Clone, Copy, Default)]
struct NodeCondition {
    is_down: bool,
    paused_until: Time,
    waiting: usize,
    /// Nodes reach only those with the same number.
    side: u8,
    life: u32,
}

/// Bytes and messages sent so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, headers included.
    pub sent_bytes: u64,
    /// Bytes that arrived, headers included.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
}

/// A network on a virtual clock.
pub struct SimulatedNetwork<M> {
    topology: Topology,
    now: Time,
    queue: BinaryHeap<Entry<M>>,
    next_order: u64,
    conditions: Vec<NodeCondition>,
    loss: f64,
    traffic: Traffic,
    rng: ChaCha8Rng,
}

impl<M> SimulatedNetwork<M> {
    /// A network without faults at time zero.
    #[must_use]
    pub fn new(topology: Topology, seed: u64) -> Self {
        Self {
            conditions: vec![NodeCondition::default(); topology.len()],
            topology,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            next_order: 0,
            loss: 0.0,
            traffic: Traffic::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The virtual time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.now
    }

    /// Where the nodes stand.
    #[must_use]
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// What was sent so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Sends a message whose encoding has `bytes` bytes, without headers. A message of a node that
    /// is down is not sent.
    pub fn send(&mut self, from: NodeIndex, to: NodeIndex, bytes: usize, message: M) {
        if self.conditions[from].is_down {
            return;
        }
        let bytes = (bytes + UDP_HEADER_BYTES) as u64;
        self.traffic.sent_bytes += bytes;
        self.traffic.sent_messages += 1;
        let is_cut = self.conditions[from].side != self.conditions[to].side;
        let is_lost = self.loss > 0.0 && self.rng.random::<f64>() < self.loss;
        if is_cut || is_lost {
            return;
        }
        self.traffic.received_bytes += bytes;
        let latency = self.latency(from, to);
        let at = self.now + latency;
        self.push(at, Occurrence::Delivered { from, to, message });
    }

    /// Asks for a [`Occurrence::Timer`] of a node. Timers are lost when the node goes down.
    pub fn set_timer(&mut self, node: NodeIndex, at: Time) {
        let life = self.conditions[node].life;
        self.push(at.max(self.now), Occurrence::Timer { node, life });
    }

    /// Asks for a [`Occurrence::Scheduled`] with this number.
    pub fn schedule(&mut self, at: Time, tag: u64) {
        self.push(at.max(self.now), Occurrence::Scheduled { tag });
    }

    /// The next thing that happens, and moves the clock to it. Messages and timers of nodes that
    /// are down are dropped; those of paused nodes come when the pause ends.
    pub fn next_occurrence(&mut self) -> Option<Occurrence<M>> {
        while let Some(entry) = self.queue.pop() {
            self.now = entry.at;
            if let Some(occurrence) = self.admit(*entry.occurrence) {
                return Some(occurrence);
            }
        }
        None
    }

    /// The share of messages that are lost, from 0 to 1.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Nodes reach only those on the same side; all begin on side 0.
    pub fn set_side(&mut self, node: NodeIndex, side: u8) {
        self.conditions[node].side = side;
    }

    /// Whether messages between two nodes are not cut off.
    #[must_use]
    pub fn are_connected(&self, one: NodeIndex, other: NodeIndex) -> bool {
        self.conditions[one].side == self.conditions[other].side
    }

    /// Ends a node's process.
    pub fn take_down(&mut self, node: NodeIndex) {
        let condition = &mut self.conditions[node];
        condition.is_down = true;
        condition.life += 1;
    }

    /// Lets a process start in a node's place.
    pub fn bring_up(&mut self, node: NodeIndex) {
        self.conditions[node].is_down = false;
    }

    /// Whether the node's process is gone.
    #[must_use]
    pub fn is_down(&self, node: NodeIndex) -> bool {
        self.conditions[node].is_down
    }

    /// Stops a node's process from running for a while.
    pub fn pause(&mut self, node: NodeIndex, until: Time) {
        let condition = &mut self.conditions[node];
        condition.paused_until = condition.paused_until.max(until);
        condition.waiting = 0;
    }

    /// Whether the node's process is not being run.
    #[must_use]
    pub fn is_paused(&self, node: NodeIndex) -> bool {
        self.conditions[node].paused_until > self.now
    }

    fn admit(&mut self, occurrence: Occurrence<M>) -> Option<Occurrence<M>> {
        let node = match &occurrence {
            Occurrence::Delivered { to, .. } => *to,
            Occurrence::Timer { node, .. } => *node,
            Occurrence::Scheduled { .. } => return Some(occurrence),
        };
        let condition = self.conditions[node];
        let is_of_earlier_life = match occurrence {
            Occurrence::Timer { life, .. } => life != condition.life,
            _ => false,
        };
        if condition.is_down || is_of_earlier_life {
            return None;
        }
        if condition.paused_until > self.now {
            self.hold_back(node, occurrence);
            return None;
        }
        Some(occurrence)
    }

    fn hold_back(&mut self, node: NodeIndex, occurrence: Occurrence<M>) {
        let condition = &mut self.conditions[node];
        let is_message = matches!(occurrence, Occurrence::Delivered { .. });
        if is_message && condition.waiting >= PAUSED_INBOX {
            return;
        }
        condition.waiting += usize::from(is_message);
        let at = condition.paused_until;
        self.push(at, occurrence);
    }

    fn latency(&mut self, from: NodeIndex, to: NodeIndex) -> Duration {
        let latency = self.topology.latency(from, to);
        latency.mul_f64(1.0 + JITTER * self.rng.random::<f64>())
    }

    fn push(&mut self, at: Time, occurrence: Occurrence<M>) {
        let order = self.next_order;
        self.next_order += 1;
        self.queue.push(Entry {
            at,
            order,
            occurrence: Box::new(occurrence),
        });
    }
}
