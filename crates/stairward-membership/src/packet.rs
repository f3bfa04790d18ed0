//! Membership messages as the state machine sees them; `wire` turns them into bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_protocol::datagram::SYNC_BUCKETS;
use stairward_types::{BackendId, GroupId, NodeId, Revision, Term};

use crate::member::{Profile, Version};

/// One digest per bucket of the hashed key space.
pub(crate) type BucketDigests = [u32; SYNC_BUCKETS];

/// What the sender of a packet holds, in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PacketDigest {
    /// Its newest settings revision.
    pub settings_revision: Revision,
    /// Digest of the members it believes alive.
    pub members: u64,
    /// Digest of the newest terms it knows.
    pub terms: u64,
}

/// What a packet is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks the target for an ack.
    Ping {
        /// Returned in the ack.
        sequence: u64,
        /// Who should answer.
        target: NodeId,
    },
    /// Answers a ping, an introduction or, through a third node, an indirect ping.
    Ack {
        /// Of the question.
        sequence: u64,
    },
    /// Asks a third node to ping the target.
    IndirectPing {
        /// Returned in the ack or nack.
        sequence: u64,
        /// Who should be pinged.
        target: NodeId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// The third node has had no answer from the target yet.
    Nack {
        /// Of the indirect ping.
        sequence: u64,
    },
    /// Asks whoever listens at an address for an ack.
    Introduce {
        /// Returned in the ack.
        sequence: u64,
    },
    /// Carries only updates and terms.
    Gossip,
    /// Asks for the members in buckets that differ.
    CompareMembers {
        /// The sender's digests.
        digests: Box<BucketDigests>,
    },
    /// Members of one bucket.
    Members {
        /// Which bucket.
        bucket: u8,
        /// Whether the receiver should send what the sender lacks.
        is_answer: bool,
    },
    /// Asks for the terms in buckets that differ.
    CompareTerms {
        /// The sender's digests.
        digests: Box<BucketDigests>,
    },
    /// Terms of one bucket.
    Terms {
        /// Which bucket.
        bucket: u8,
        /// Whether the receiver should send what the sender lacks.
        is_answer: bool,
    },
}

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// It is alive, in its own words.
    Alive(Arc<Profile>),
    /// It did not answer these nodes.
    Suspect {
        /// The member.
        node: NodeId,
        /// In which version.
        version: Version,
        /// Whom it did not answer, ordered, without repeats.
        accusers: Vec<NodeId>,
    },
    /// It did not refute a suspicion in time.
    Failed {
        /// The member.
        node: NodeId,
        /// In which version.
        version: Version,
    },
    /// It has stopped as planned.
    Left {
        /// The member.
        node: NodeId,
        /// In which version.
        version: Version,
    },
}

/// A group's newest term and its primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermUpdate {
    /// The group.
    pub group: GroupId,
    /// Its newest term.
    pub term: Term,
    /// The primary of that term.
    pub primary: BackendId,
}

/// One membership packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Who sent it.
    pub sender: NodeId,
    /// The sender's version.
    pub sender_version: Version,
    /// What the sender holds.
    pub digest: PacketDigest,
    /// What it is for.
    pub message: Message,
    /// News of members.
    pub updates: Vec<Update>,
    /// News of terms.
    pub terms: Vec<Arc<TermUpdate>>,
}
