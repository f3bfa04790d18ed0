//! Sending of packets. Updates are piggybacked on every packet and sent in gossip rounds while they
//! are new.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt as _;
use stairward_protocol::datagram::MAXIMUM_DATAGRAM_BYTES;
use stairward_types::{Duration, NodeId, Time};

use super::{Effect, Step, SwimMember};
use crate::broadcast::Broadcast;
use crate::member::{Status, Version};
use crate::packet::{Message, Packet, PacketDigest, TermUpdate, Update};
use crate::wire::{encoded_length, update_length};

/// Maximum random delay of a gossip round, during which further updates are collected.
const GOSSIP_JITTER: Duration = Duration::from_millis(10);
/// Number of members notified at once of a planned stop.
const ANNOUNCEMENT_FANOUT: usize = 8;

impl Broadcast for Update {
    type Key = NodeId;

    fn key(&self) -> NodeId {
        match self {
            Self::Alive(profile) => profile.node,
            Self::Suspect { node, .. } | Self::Failed { node, .. } | Self::Left { node, .. } => {
                *node
            }
        }
    }

    fn encoded_length(&self) -> usize {
        update_length(self)
    }
}

impl SwimMember {
    /// Sends a message with the given updates, and fills the packet with queued updates and terms.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        updates: Vec<Update>,
        step: &mut Step<'_>,
    ) {
        let mut packet = self.packet(message, updates, Vec::new());
        let mut room = MAXIMUM_DATAGRAM_BYTES.saturating_sub(encoded_length(&packet));
        let limit = self.config.retransmit_limit(self.table.live_count());
        packet
            .updates
            .extend(self.update_queue.take(&mut room, limit));
        let term_limit = limit * self.config.term_retransmit_factor;
        let terms = self.terms.queue.take(&mut room, term_limit);
        packet.terms.extend(terms);
        step.effects.push(Effect::Send { to, packet });
    }

    /// Sends a message with exactly these updates and terms.
    pub(super) fn send_exactly(
        &self,
        to: SocketAddr,
        message: Message,
        updates: Vec<Update>,
        terms: Vec<Arc<TermUpdate>>,
        step: &mut Step<'_>,
    ) {
        let packet = self.packet(message, updates, terms);
        step.effects.push(Effect::Send { to, packet });
    }

    fn packet(
        &self,
        message: Message,
        updates: Vec<Update>,
        terms: Vec<Arc<TermUpdate>>,
    ) -> Packet {
        Packet {
            sender: self.me.node,
            sender_version: self.me.version,
            digest: PacketDigest {
                settings_revision: self.settings_revision,
                members: self.table.digest(),
                terms: self.terms.digest(),
            },
            message,
            updates,
            terms,
        }
    }

    /// The update that a member must receive to refute its status, if it is not considered alive.
    pub(super) fn accusation(&self, node: NodeId, version: Version) -> Vec<Update> {
        let Some(record) = self.table.get(node) else {
            return Vec::new();
        };
        if record.version < version {
            return Vec::new();
        }
        let version = record.version;
        match record.status {
            Status::Alive => Vec::new(),
            Status::Suspect => {
                let accusers = self.suspicions.accusers(node);
                vec![Update::Suspect {
                    node,
                    version,
                    accusers,
                }]
            }
            Status::Failed => vec![Update::Failed { node, version }],
            Status::Left => vec![Update::Left { node, version }],
        }
    }

    /// Schedules a gossip round unless one is pending.
    pub(super) fn schedule_gossip(&mut self, step: &mut Step<'_>) {
        if self.next_gossip == Time::NEVER {
            let soon = step.now + GOSSIP_JITTER.mul_f64(step.rng.random::<f64>());
            self.next_gossip = soon.max(self.last_gossip + self.config.gossip_interval);
        }
    }

    pub(super) fn gossip_if_due(&mut self, step: &mut Step<'_>) {
        if self.next_gossip > step.now {
            return;
        }
        self.gossip(self.config.gossip_fanout, step);
    }

    /// Runs a gossip round at once, with a larger fanout.
    pub(super) fn gossip_now(&mut self, step: &mut Step<'_>) {
        self.gossip(ANNOUNCEMENT_FANOUT, step);
    }

    fn gossip(&mut self, fanout: usize, step: &mut Step<'_>) {
        for node in self.order.pick(fanout, step.rng, |_| true) {
            if self.has_nothing_to_send() {
                break;
            }
            if let Some(address) = self.address(node) {
                self.send(address, Message::Gossip, Vec::new(), step);
            }
        }
        self.last_gossip = step.now;
        self.next_gossip = if self.has_nothing_to_send() {
            Time::NEVER
        } else {
            step.now + self.config.gossip_interval
        };
    }

    fn has_nothing_to_send(&self) -> bool {
        self.update_queue.is_empty() && self.terms.queue.is_empty()
    }

    pub(super) fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.table.get(node).map(|record| record.profile.address)
    }

    /// Disseminates a newer term learnt by this node.
    pub(super) fn announce_term(&mut self, update: &Arc<TermUpdate>, step: &mut Step<'_>) {
        if self.terms.learn(update) {
            self.terms.queue.push(Arc::clone(update));
            self.schedule_gossip(step);
        }
    }

    /// Applies a term received from a peer and disseminates it if it arrived as gossip.
    pub(super) fn apply_term(
        &mut self,
        update: &Arc<TermUpdate>,
        is_fresh: bool,
        step: &mut Step<'_>,
    ) -> bool {
        if !self.terms.is_newer(update) {
            return false;
        }
        if is_fresh {
            self.announce_term(update, step);
        } else {
            self.terms.learn(update);
        }
        step.effects.push(Effect::TermReceived(Arc::clone(update)));
        true
    }
}
