//! Conversion between packets and datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_protocol::datagram::{
    DATAGRAM_PROOF_BYTES, Datagram, DatagramError, SYNC_BUCKETS, WireDigest, WireMessage, WireTerm,
    WireUpdate, WireVersion, open, seal,
};
use stairward_protocol::{ClusterKey, Text};
use stairward_types::{
    BackendId, GroupId, Incarnation, InvalidName, NodeId, RegionName, Revision, Term, ZoneName,
};

use crate::member::{Profile, Version};
use crate::packet::{Message, Packet, PacketDigest, TermUpdate, Update};

/// Protocol version, sender, sender version, digest and the two counts, in bytes.
const HEADER_BYTES: usize = 2 + 8 + VERSION_BYTES + 24 + 1 + 1;
const VERSION_BYTES: usize = 12;
const NODE_BYTES: usize = 8;
const TAG_BYTES: usize = 1;
const COUNT_BYTES: usize = 1;
const SEQUENCE_BYTES: usize = 8;
const TEXT_LENGTH_BYTES: usize = 2;
const PORT_BYTES: usize = 2;

/// Encodes a packet with its proof.
///
/// # Errors
/// [`DatagramError::Length`] if it is too long. The state machine never creates such packets.
pub fn encode(packet: &Packet, key: &ClusterKey) -> Result<Vec<u8>, DatagramError> {
    seal(&to_datagram(packet), key)
}

/// Verifies the proof of received bytes and decodes them.
///
/// # Errors
/// [`DatagramError`] if the proof is wrong or the content violates the protocol.
pub fn decode(bytes: &[u8], key: &ClusterKey) -> Result<Packet, DatagramError> {
    from_datagram(open(bytes, key)?).map_err(|error| DatagramError::Content {
        reason: error.to_string(),
    })
}

/// Exact length of [`encode`]'s result, in bytes.
#[must_use]
pub fn encoded_length(packet: &Packet) -> usize {
    let updates: usize = packet.updates.iter().map(update_length).sum();
    let terms: usize = packet.terms.iter().map(|update| term_length(update)).sum();
    HEADER_BYTES + message_length(&packet.message) + updates + terms + DATAGRAM_PROOF_BYTES
}

pub(crate) fn update_length(update: &Update) -> usize {
    let payload = match update {
        Update::Alive(profile) => {
            1 + address_length(profile.address)
                + text_length(profile.region.as_str())
                + text_length(profile.zone.as_str())
        }
        Update::Suspect { accusers, .. } => COUNT_BYTES + NODE_BYTES * accusers.len(),
        Update::Failed { .. } | Update::Left { .. } => 0,
    };
    TAG_BYTES + NODE_BYTES + VERSION_BYTES + payload
}

pub(crate) fn term_length(update: &TermUpdate) -> usize {
    text_length(update.group.as_str()) + 8 + text_length(update.primary.as_str())
}

fn message_length(message: &Message) -> usize {
    let payload = match message {
        Message::Ping { .. } => SEQUENCE_BYTES + NODE_BYTES,
        Message::Ack { .. } | Message::Nack { .. } | Message::Introduce { .. } => SEQUENCE_BYTES,
        Message::IndirectPing { address, .. } => {
            SEQUENCE_BYTES + NODE_BYTES + address_length(*address)
        }
        Message::Gossip => 0,
        Message::CompareMembers { .. } | Message::CompareTerms { .. } => 4 * SYNC_BUCKETS,
        Message::Members { .. } | Message::Terms { .. } => 2,
    };
    TAG_BYTES + payload
}

fn text_length(text: &str) -> usize {
    TEXT_LENGTH_BYTES + text.len()
}

fn address_length(address: SocketAddr) -> usize {
    let octets = if address.is_ipv4() { 4 } else { 16 };
    TAG_BYTES + octets + PORT_BYTES
}

fn to_datagram(packet: &Packet) -> Datagram {
    Datagram::new(
        packet.sender.0,
        to_wire_version(packet.sender_version),
        WireDigest {
            settings_revision: packet.digest.settings_revision.0,
            members: packet.digest.members,
            terms: packet.digest.terms,
        },
        to_wire_message(&packet.message),
        packet.updates.iter().map(to_wire_update).collect(),
        packet
            .terms
            .iter()
            .map(|update| to_wire_term(update))
            .collect(),
    )
}

fn to_wire_version(version: Version) -> WireVersion {
    WireVersion {
        incarnation: version.incarnation.0,
        refutation: version.refutation,
    }
}

fn to_wire_message(message: &Message) -> WireMessage {
    match *message {
        Message::Ping { sequence, target } => WireMessage::Ping {
            sequence,
            target: target.0,
        },
        Message::Ack { sequence } => WireMessage::Ack { sequence },
        Message::IndirectPing {
            sequence,
            target,
            address,
        } => WireMessage::IndirectPing {
            sequence,
            target: target.0,
            address: address.into(),
        },
        Message::Nack { sequence } => WireMessage::Nack { sequence },
        Message::Introduce { sequence } => WireMessage::Introduce { sequence },
        Message::Gossip => WireMessage::Gossip,
        Message::CompareMembers { ref digests } => {
            WireMessage::CompareMembers { digests: **digests }
        }
        Message::Members { bucket, is_answer } => WireMessage::Members {
            bucket,
            is_answer: u8::from(is_answer),
        },
        Message::CompareTerms { ref digests } => WireMessage::CompareTerms { digests: **digests },
        Message::Terms { bucket, is_answer } => WireMessage::Terms {
            bucket,
            is_answer: u8::from(is_answer),
        },
    }
}

fn to_wire_update(update: &Update) -> WireUpdate {
    match update {
        Update::Alive(profile) => WireUpdate::Alive {
            node: profile.node.0,
            version: to_wire_version(profile.version),
            leaving: u8::from(profile.leaving),
            address: profile.address.into(),
            region: Text::new(profile.region.as_str()),
            zone: Text::new(profile.zone.as_str()),
        },
        Update::Suspect {
            node,
            version,
            accusers,
        } => WireUpdate::Suspect {
            node: node.0,
            version: to_wire_version(*version),
            accuser_count: u8::try_from(accusers.len()).unwrap_or(u8::MAX),
            accusers: accusers.iter().map(|accuser| accuser.0).collect(),
        },
        Update::Failed { node, version } => WireUpdate::Failed {
            node: node.0,
            version: to_wire_version(*version),
        },
        Update::Left { node, version } => WireUpdate::Left {
            node: node.0,
            version: to_wire_version(*version),
        },
    }
}

fn to_wire_term(update: &TermUpdate) -> WireTerm {
    WireTerm {
        group: Text::new(update.group.as_str()),
        term: update.term.0,
        primary: Text::new(update.primary.as_str()),
    }
}

fn from_datagram(datagram: Datagram) -> Result<Packet, InvalidName> {
    let updates: Result<Vec<_>, _> = datagram.updates.into_iter().map(from_wire_update).collect();
    let terms: Result<Vec<_>, _> = datagram.terms.iter().map(from_wire_term).collect();
    Ok(Packet {
        sender: NodeId(datagram.sender),
        sender_version: from_wire_version(datagram.sender_version),
        digest: PacketDigest {
            settings_revision: Revision(datagram.digest.settings_revision),
            members: datagram.digest.members,
            terms: datagram.digest.terms,
        },
        message: from_wire_message(datagram.message),
        updates: updates?,
        terms: terms?,
    })
}

fn from_wire_version(version: WireVersion) -> Version {
    Version {
        incarnation: Incarnation(version.incarnation),
        refutation: version.refutation,
    }
}

fn from_wire_message(message: WireMessage) -> Message {
    match message {
        WireMessage::Ping { sequence, target } => Message::Ping {
            sequence,
            target: NodeId(target),
        },
        WireMessage::Ack { sequence } => Message::Ack { sequence },
        WireMessage::IndirectPing {
            sequence,
            target,
            address,
        } => Message::IndirectPing {
            sequence,
            target: NodeId(target),
            address: address.into(),
        },
        WireMessage::Nack { sequence } => Message::Nack { sequence },
        WireMessage::Introduce { sequence } => Message::Introduce { sequence },
        WireMessage::Gossip => Message::Gossip,
        WireMessage::CompareMembers { digests } => Message::CompareMembers {
            digests: Box::new(digests),
        },
        WireMessage::Members { bucket, is_answer } => Message::Members {
            bucket,
            is_answer: is_answer != 0,
        },
        WireMessage::CompareTerms { digests } => Message::CompareTerms {
            digests: Box::new(digests),
        },
        WireMessage::Terms { bucket, is_answer } => Message::Terms {
            bucket,
            is_answer: is_answer != 0,
        },
    }
}

fn from_wire_update(update: WireUpdate) -> Result<Update, InvalidName> {
    Ok(match update {
        WireUpdate::Alive {
            node,
            version,
            leaving,
            address,
            region,
            zone,
        } => Update::Alive(Arc::new(Profile {
            node: NodeId(node),
            version: from_wire_version(version),
            address: address.into(),
            region: RegionName::new(region.as_str())?,
            zone: ZoneName::new(zone.as_str())?,
            leaving: leaving != 0,
        })),
        WireUpdate::Suspect {
            node,
            version,
            accusers,
            ..
        } => Update::Suspect {
            node: NodeId(node),
            version: from_wire_version(version),
            accusers: accusers.into_iter().map(NodeId).collect(),
        },
        WireUpdate::Failed { node, version } => Update::Failed {
            node: NodeId(node),
            version: from_wire_version(version),
        },
        WireUpdate::Left { node, version } => Update::Left {
            node: NodeId(node),
            version: from_wire_version(version),
        },
    })
}

fn from_wire_term(update: &WireTerm) -> Result<Arc<TermUpdate>, InvalidName> {
    Ok(Arc::new(TermUpdate {
        group: GroupId::new(update.group.as_str())?,
        term: Term(update.term),
        primary: BackendId::new(update.primary.as_str())?,
    }))
}
