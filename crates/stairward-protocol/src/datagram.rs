//! Membership datagrams on UDP.
//!
//! A packet is an encoded [`Datagram`] followed by a proof: the first [`DATAGRAM_PROOF_BYTES`] of an
//! HMAC-SHA-256 over the encoded datagram under the cluster key. Packets are written by [`seal`] and
//! read by [`open`] only, so a packet without a valid proof is never decoded.

use std::net::{IpAddr, SocketAddr};

use deku::prelude::*;
use snafu::{Snafu, ensure};

use crate::ClusterKey;
use crate::field::Text;

/// Version of the datagram format; datagrams of other versions are refused.
pub const DATAGRAM_VERSION: u16 = 1;
/// Largest datagram sent or accepted, in bytes, its proof included. It fits the smallest path MTU of
/// IPv6 (1,280 bytes, RFC 8200) with its headers.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_200;
/// Length of the truncated HMAC at the end of each datagram, in bytes (RFC 2104, section 5).
pub const DATAGRAM_PROOF_BYTES: usize = 16;
/// Number of buckets of the hashed key space, by whose digests nodes compare members and terms.
pub const SYNC_BUCKETS: usize = 128;

const PROOF_PURPOSE: &str = "membership-datagram";

/// Why a datagram was refused. A refused datagram has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// The datagram is shorter than a proof or longer than [`MAXIMUM_DATAGRAM_BYTES`].
    #[snafu(display("invalid datagram length of {length} bytes"))]
    Length {
        /// Length of the datagram, in bytes.
        length: usize,
    },
    /// The sender does not know the cluster key, or the datagram was corrupted.
    #[snafu(display("the datagram's HMAC does not verify"))]
    Proof,
    /// The proof is valid, but the content does not decode in this version of the protocol.
    #[snafu(display("the datagram cannot be decoded: {reason}"))]
    Content {
        /// The decoding error.
        reason: String,
    },
}

/// Version of a member's state, ordered by incarnation and then by refutation, as in SWIM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireVersion {
    /// The incarnation of the member's process.
    pub incarnation: u64,
    /// Incremented when the member refutes a suspicion or announces that it leaves.
    pub refutation: u32,
}

/// An IP address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireAddress {
    /// IPv4.
    #[deku(id = "4")]
    V4 {
        /// The address.
        octets: [u8; 4],
        /// The port.
        port: u16,
    },
    /// IPv6.
    #[deku(id = "6")]
    V6 {
        /// The address.
        octets: [u8; 16],
        /// The port.
        port: u16,
    },
}

impl From<SocketAddr> for WireAddress {
    fn from(address: SocketAddr) -> Self {
        let port = address.port();
        match address.ip() {
            IpAddr::V4(ip) => Self::V4 {
                octets: ip.octets(),
                port,
            },
            IpAddr::V6(ip) => Self::V6 {
                octets: ip.octets(),
                port,
            },
        }
    }
}

impl From<WireAddress> for SocketAddr {
    fn from(address: WireAddress) -> Self {
        match address {
            WireAddress::V4 { octets, port } => Self::new(IpAddr::from(octets), port),
            WireAddress::V6 { octets, port } => Self::new(IpAddr::from(octets), port),
        }
    }
}

/// The purpose of a datagram. The membership crate documents how each message is used.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireMessage {
    /// Asks the target for an [`WireMessage::Ack`].
    #[deku(id = "1")]
    Ping {
        /// Correlates the ack with the ping; never reused within one incarnation of the sender.
        sequence: u64,
        /// The node that should answer; any other node at the address ignores the ping.
        target: u64,
    },
    /// Acknowledges a ping.
    #[deku(id = "2")]
    Ack {
        /// The ping's sequence.
        sequence: u64,
    },
    /// Asks a third node to ping the target on the sender's behalf.
    #[deku(id = "3")]
    IndirectPing {
        /// Sequence number of the ack or nack to the sender.
        sequence: u64,
        /// The node to ping.
        target: u64,
        /// The target's listening address.
        address: WireAddress,
    },
    /// Reports that the third node is alive but has had no answer from the target.
    #[deku(id = "4")]
    Nack {
        /// The indirect ping's sequence.
        sequence: u64,
    },
    /// Asks the node that listens at an address, whichever it is, for an ack; the updates contain the
    /// sender itself.
    #[deku(id = "5")]
    Introduce {
        /// Correlates the ack with this message.
        sequence: u64,
    },
    /// Carries member updates and terms only.
    #[deku(id = "6")]
    Gossip,
    /// Anti-entropy request: asks for the members of the buckets whose digests differ.
    #[deku(id = "7")]
    CompareMembers {
        /// The sender's digests.
        digests: [u32; SYNC_BUCKETS],
    },
    /// The members of one bucket, carried in the updates.
    #[deku(id = "8")]
    Members {
        /// Index of the bucket.
        bucket: u8,
        /// 1 when it answers a comparison, and the receiver should send what the sender lacks; else 0.
        is_answer: u8,
    },
    /// Anti-entropy request: asks for the terms of the buckets whose digests differ.
    #[deku(id = "9")]
    CompareTerms {
        /// The sender's digests.
        digests: [u32; SYNC_BUCKETS],
    },
    /// The terms of one bucket, carried in the datagram's terms.
    #[deku(id = "10")]
    Terms {
        /// Index of the bucket.
        bucket: u8,
        /// 1 when it answers a comparison, and the receiver should send what the sender lacks; else 0.
        is_answer: u8,
    },
}

/// Summary of the sender's state, by which a receiver notices that it lacks something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireDigest {
    /// The sender's newest settings revision.
    pub settings_revision: u64,
    /// Digest of the members that the sender considers alive.
    pub members: u64,
    /// Digest of the newest terms that the sender knows.
    pub terms: u64,
}

/// A change of one member's state, spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireUpdate {
    /// The member is alive. Only the member itself originates this update.
    #[deku(id = "1")]
    Alive {
        /// The member.
        node: u64,
        /// The version of the member's state.
        version: WireVersion,
        /// 1 when it has announced a planned stop, else 0.
        leaving: u8,
        /// Its listening address, for both TCP and UDP.
        address: WireAddress,
        /// Its region.
        region: Text,
        /// Its zone.
        zone: Text,
    },
    /// The member did not answer a ping.
    #[deku(id = "2")]
    Suspect {
        /// The member.
        node: u64,
        /// The version of the member's state.
        version: WireVersion,
        /// Number of accusers that follow; must equal the length of `accusers`.
        accuser_count: u8,
        /// The nodes whose pings it did not answer.
        #[deku(count = "accuser_count")]
        accusers: Vec<u64>,
    },
    /// The member did not refute a suspicion in time.
    #[deku(id = "3")]
    Failed {
        /// The member.
        node: u64,
        /// The version of the member's state.
        version: WireVersion,
    },
    /// The member has stopped as planned.
    #[deku(id = "4")]
    Left {
        /// The member.
        node: u64,
        /// The version of the member's state.
        version: WireVersion,
    },
}

/// A group's newest term and its primary.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireTerm {
    /// The group.
    pub group: Text,
    /// Its newest term.
    pub term: u64,
    /// The primary of that term.
    pub primary: Text,
}

/// The content of a membership packet, without its proof.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Datagram {
    /// [`DATAGRAM_VERSION`] of the sender.
    #[deku(assert_eq = "DATAGRAM_VERSION")]
    pub version: u16,
    /// The sender's node id.
    pub sender: u64,
    /// The version of the sender's own state.
    pub sender_version: WireVersion,
    /// Summary of the sender's state.
    pub digest: WireDigest,
    /// The purpose of the datagram.
    pub message: WireMessage,
    #[deku(update = "self.updates.len()")]
    update_count: u8,
    /// Updates of members.
    #[deku(count = "update_count")]
    pub updates: Vec<WireUpdate>,
    #[deku(update = "self.terms.len()")]
    term_count: u8,
    /// Newest terms of groups.
    #[deku(count = "term_count")]
    pub terms: Vec<WireTerm>,
}

impl Datagram {
    /// Creates a datagram of the current version. Of more than 255 updates or terms, the first 255 are
    /// kept, since their counts are encoded in one byte.
    #[must_use]
    pub fn new(
        sender: u64,
        sender_version: WireVersion,
        digest: WireDigest,
        message: WireMessage,
        mut updates: Vec<WireUpdate>,
        mut terms: Vec<WireTerm>,
    ) -> Self {
        updates.truncate(usize::from(u8::MAX));
        terms.truncate(usize::from(u8::MAX));
        Self {
            version: DATAGRAM_VERSION,
            sender,
            sender_version,
            digest,
            message,
            update_count: u8::try_from(updates.len()).unwrap_or(u8::MAX),
            updates,
            term_count: u8::try_from(terms.len()).unwrap_or(u8::MAX),
            terms,
        }
    }
}

/// Encodes a datagram and appends its proof.
///
/// # Errors
/// [`DatagramError::Length`] when it would be longer than [`MAXIMUM_DATAGRAM_BYTES`].
pub fn seal(datagram: &Datagram, key: &ClusterKey) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = datagram.to_bytes().map_err(|error| {
        let reason = error.to_string();
        DatagramError::Content { reason }
    })?;
    let proof = key.sign(PROOF_PURPOSE, &[&bytes]);
    bytes.extend_from_slice(&proof[..DATAGRAM_PROOF_BYTES]);
    let length = bytes.len();
    ensure!(length <= MAXIMUM_DATAGRAM_BYTES, LengthSnafu { length });
    Ok(bytes)
}

/// Verifies the proof of a received packet and decodes its content.
///
/// # Errors
/// [`DatagramError`] when the packet has no valid proof or is not of this version.
pub fn open(packet: &[u8], key: &ClusterKey) -> Result<Datagram, DatagramError> {
    let length = packet.len();
    ensure!(length <= MAXIMUM_DATAGRAM_BYTES, LengthSnafu { length });
    let Some(content_length) = length.checked_sub(DATAGRAM_PROOF_BYTES) else {
        return LengthSnafu { length }.fail();
    };
    let (content, proof) = packet.split_at(content_length);
    ensure!(key.verify(PROOF_PURPOSE, &[content], proof), ProofSnafu);
    decode(content)
}

fn decode(content: &[u8]) -> Result<Datagram, DatagramError> {
    match Datagram::from_bytes((content, 0)) {
        Ok((([], _), datagram)) => Ok(datagram),
        Ok(_) => ContentSnafu {
            reason: "trailing bytes follow the content",
        }
        .fail(),
        Err(error) => ContentSnafu {
            reason: error.to_string(),
        }
        .fail(),
    }
}
