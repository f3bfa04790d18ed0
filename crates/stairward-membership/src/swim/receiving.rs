//! Handling of received packets.

use std::net::SocketAddr;

use stairward_types::NodeId;

use super::updates::Source;
use super::{Effect, Step, SwimMember};
use crate::member::Version;
use crate::packet::{Message, Packet, PacketDigest, Update};
use crate::probe::{ProbeStage, Relay};

impl SwimMember {
    pub(super) fn receive(&mut self, from: SocketAddr, packet: Packet, step: &mut Step<'_>) {
        let sender = packet.sender;
        if sender == self.me.node {
            // The node's own packet, or one from another process with the same number.
            return;
        }
        let is_comparison = matches!(
            packet.message,
            Message::Members { .. } | Message::Terms { .. }
        );
        let source = if is_comparison {
            Source::Comparison
        } else {
            Source::Gossip
        };
        let has_new_members = self.apply_updates(&packet.updates, source, step);
        if is_comparison {
            self.probe_disputed_failure(&packet.updates, step);
        }
        let has_new_terms = packet.terms.iter().fold(false, |any, update| {
            self.apply_term(update, !is_comparison, step) | any
        });
        self.reschedule_comparison(&packet.message, has_new_members, has_new_terms, step.now);
        self.report_settings_difference(sender, packet.digest, step);
        self.handle_message(from, &packet, step);
        self.compare_digests(from, packet.digest, step);
    }

    fn apply_updates(&mut self, updates: &[Update], source: Source, step: &mut Step<'_>) -> bool {
        updates
            .iter()
            .fold(false, |any, update| self.apply(update, source, step) | any)
    }

    fn report_settings_difference(&self, node: NodeId, digest: PacketDigest, step: &mut Step<'_>) {
        let settings_revision = digest.settings_revision;
        if settings_revision != self.settings_revision {
            step.effects.push(Effect::PeerDigest {
                node,
                settings_revision,
            });
        }
    }

    fn handle_message(&mut self, from: SocketAddr, packet: &Packet, step: &mut Step<'_>) {
        let (sender, version) = (packet.sender, packet.sender_version);
        match &packet.message {
            Message::Ping { sequence, target } => {
                self.handle_ping(from, sender, version, *sequence, *target, step);
            }
            Message::Introduce { sequence } => {
                self.send_ack(from, sender, version, *sequence, step);
            }
            Message::Ack { sequence } => self.handle_ack(*sequence, step),
            Message::Nack { sequence } => self.handle_nack(*sequence),
            Message::IndirectPing {
                sequence,
                target,
                address,
            } => self.relay_ping(from, *sequence, *target, *address, step),
            Message::Gossip => {}
            Message::CompareMembers { digests } => self.answer_members(from, digests, step),
            Message::Members { bucket, is_answer } => {
                if *is_answer {
                    self.return_members(from, *bucket, &packet.updates, step);
                }
            }
            Message::CompareTerms { digests } => self.answer_terms(from, digests, step),
            Message::Terms { bucket, is_answer } => {
                if *is_answer {
                    self.return_terms(from, *bucket, &packet.terms, step);
                }
            }
        }
    }

    fn handle_ping(
        &mut self,
        from: SocketAddr,
        sender: NodeId,
        version: Version,
        sequence: u64,
        target: NodeId,
        step: &mut Step<'_>,
    ) {
        if self.has_departed {
            return;
        }
        if target == self.me.node {
            self.send_ack(from, sender, version, sequence, step);
        } else {
            // The pinged process no longer runs at this address. Inform the sender of this one.
            let own_profile = Update::Alive(self.me.clone());
            self.send(from, Message::Gossip, vec![own_profile], step);
        }
    }

    fn send_ack(
        &mut self,
        to: SocketAddr,
        node: NodeId,
        version: Version,
        sequence: u64,
        step: &mut Step<'_>,
    ) {
        let accusation = self.accusation(node, version);
        self.send(to, Message::Ack { sequence }, accusation, step);
    }

    fn handle_ack(&mut self, sequence: u64, step: &mut Step<'_>) {
        if self.pending_probes.probes.remove(&sequence).is_some() {
            self.health.improve();
            return;
        }
        if let Some(relay) = self.pending_probes.take_relay(sequence) {
            let sequence = relay.sequence;
            self.send(relay.requester, Message::Ack { sequence }, Vec::new(), step);
        }
    }

    fn handle_nack(&mut self, sequence: u64) {
        if let Some(probe) = self.pending_probes.probes.get_mut(&sequence)
            && let ProbeStage::Indirect { received_nack, .. } = &mut probe.stage
        {
            *received_nack = true;
        }
    }

    fn relay_ping(
        &mut self,
        requester: SocketAddr,
        original_sequence: u64,
        target: NodeId,
        address: SocketAddr,
        step: &mut Step<'_>,
    ) {
        let sequence = self.next_sequence();
        let relay = Relay {
            requester,
            sequence: original_sequence,
            deadline: step.now + self.config.direct_timeout,
        };
        if !self.has_departed && self.pending_probes.add_relay(sequence, relay) {
            let accusation = self.accusation(target, Version::default());
            let message = Message::Ping { sequence, target };
            self.send(address, message, accusation, step);
        }
    }
}
