//! Membership packets as used by the state machine; `wire` converts them to and from bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_protocol::datagram::SYNC_BUCKETS;
use stairward_types::{BackendId, GroupId, NodeId, Revision, Term};

use crate::member::{Profile, Version};

/// One digest per bucket of the hashed key space.
pub(crate) type BucketDigests = [u32; SYNC_BUCKETS];

/// Digest of the state held by the sender of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PacketDigest {
    /// The newest settings revision.
    pub settings_revision: Revision,
    /// Digest of the live members.
    pub members: u64,
    /// Digest of the newest known terms.
    pub terms: u64,
}

/// The purpose of a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests an ack from the target.
    Ping {
        /// Returned in the ack.
        sequence: u64,
        /// The node that should answer.
        target: NodeId,
    },
    /// Answers a ping or an introduction, or relays the answer to an indirect ping.
    Ack {
        /// The sequence number of the request.
        sequence: u64,
    },
    /// Asks another node to ping the target.
    IndirectPing {
        /// Returned in the ack or nack.
        sequence: u64,
        /// The node to ping.
        target: NodeId,
        /// The target's address.
        address: SocketAddr,
    },
    /// The relaying node has not received an answer from the target yet.
    Nack {
        /// The sequence number of the indirect ping.
        sequence: u64,
    },
    /// Requests an ack from whichever node listens at an address.
    Introduce {
        /// Returned in the ack.
        sequence: u64,
    },
    /// Carries updates and terms only.
    Gossip,
    /// Requests the members in differing buckets.
    CompareMembers {
        /// The sender's digests.
        digests: Box<BucketDigests>,
    },
    /// The members of one bucket.
    Members {
        /// The bucket number.
        bucket: u8,
        /// Whether the receiver should return the records missing in this bucket.
        is_answer: bool,
    },
    /// Requests the terms in differing buckets.
    CompareTerms {
        /// The sender's digests.
        digests: Box<BucketDigests>,
    },
    /// The terms of one bucket.
    Terms {
        /// The bucket number.
        bucket: u8,
        /// Whether the receiver should return the terms missing in this bucket.
        is_answer: bool,
    },
}

/// An update on one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// It is alive; announced by the member itself.
    Alive(Arc<Profile>),
    /// It did not answer probes by the accusers.
    Suspect {
        /// The member.
        node: NodeId,
        /// The suspected version.
        version: Version,
        /// The members whose probes it did not answer, in order and without duplicates.
        accusers: Vec<NodeId>,
    },
    /// It did not refute a suspicion in time.
    Failed {
        /// The member.
        node: NodeId,
        /// The failed version.
        version: Version,
    },
    /// It completed a planned stop.
    Left {
        /// The member.
        node: NodeId,
        /// The version that left.
        version: Version,
    },
}

/// The newest term of a group, with its primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermUpdate {
    /// The group.
    pub group: GroupId,
    /// The newest term.
    pub term: Term,
    /// The primary of that term.
    pub primary: BackendId,
}

/// A membership packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The sending node.
    pub sender: NodeId,
    /// The sender's version.
    pub sender_version: Version,
    /// Digest of the sender's state.
    pub digest: PacketDigest,
    /// The purpose of the packet.
    pub message: Message,
    /// Updates on members.
    pub updates: Vec<Update>,
    /// Updates on terms.
    pub terms: Vec<Arc<TermUpdate>>,
}
