//! Membership datagrams on UDP.
//!
//! A datagram is a [`Datagram`] followed by a proof: the first [`DATAGRAM_PROOF_BYTES`] of an
//! HMAC-SHA-256 over the encoded datagram under the cluster key. [`seal`] and [`open`] are the only
//! ways in and out, so a packet without a valid proof is never decoded.

use std::net::{IpAddr, SocketAddr};

use deku::prelude::*;
use snafu::{Snafu, ensure};

use crate::ClusterKey;
use crate::field::Text;

/// Version of the datagrams; others are refused.
pub const DATAGRAM_VERSION: u16 = 1;
/// Largest datagram sent or accepted, in bytes, its proof included. It fits the smallest path MTU of
/// IPv6 (1,280 bytes, RFC 8200) with its headers.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_200;
/// Length of the shortened proof at the end of each datagram, in bytes (RFC 2104, section 5).
pub const DATAGRAM_PROOF_BYTES: usize = 16;
/// Parts of the hashed key space that views and terms are compared by.
pub const SYNC_BUCKETS: usize = 128;

const PROOF_PURPOSE: &str = "membership-datagram";

/// Why a datagram was refused. Nothing of it takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// It is too short, or longer than [`MAXIMUM_DATAGRAM_BYTES`].
    #[snafu(display("a datagram of {length} bytes"))]
    Length {
        /// Its length, in bytes.
        length: usize,
    },
    /// The sender does not know the cluster key, or the datagram was damaged.
    #[snafu(display("the datagram's proof is wrong"))]
    Proof,
    /// The proof is right, the content is not of this version of the protocol.
    #[snafu(display("the datagram cannot be read: {reason}"))]
    Content {
        /// What is wrong with it.
        reason: String,
    },
}

/// Which life of a process, and how often it has answered a suspicion in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireVersion {
    /// The life.
    pub incarnation: u64,
    /// Refutations in it.
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

/// What a datagram is for. Numbers are explained where they are used, in the membership crate.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireMessage {
    /// Asks the target for an [`WireMessage::Ack`].
    #[deku(id = "1")]
    Ping {
        /// Matches the answer to the question; never reused in one life of the sender.
        sequence: u64,
        /// The node that should answer; any other at the address stays silent.
        target: u64,
    },
    /// Answers a ping.
    #[deku(id = "2")]
    Ack {
        /// The ping's sequence.
        sequence: u64,
    },
    /// Asks a third node to ping the target on the sender's behalf.
    #[deku(id = "3")]
    IndirectPing {
        /// Sequence of the answer to the sender.
        sequence: u64,
        /// The node to ping.
        target: u64,
        /// Where it listens.
        address: WireAddress,
    },
    /// The third node is alive and has had no answer from the target.
    #[deku(id = "4")]
    Nack {
        /// The indirect ping's sequence.
        sequence: u64,
    },
    /// Asks whoever listens at an address for an ack; the updates hold the sender itself.
    #[deku(id = "5")]
    Introduce {
        /// Matches the answer to the question.
        sequence: u64,
    },
    /// Carries updates and rumours only.
    #[deku(id = "6")]
    Gossip,
    /// Asks for the members in those buckets whose digests differ.
    #[deku(id = "7")]
    CompareMembers {
        /// The sender's digests.
        digests: [u32; SYNC_BUCKETS],
    },
    /// The members of one bucket, in the updates.
    #[deku(id = "8")]
    Members {
        /// Which bucket.
        bucket: u8,
        /// 1 when it answers a comparison, and the receiver should send what the sender lacks.
        is_answer: u8,
    },
    /// Asks for the terms in those buckets whose digests differ.
    #[deku(id = "9")]
    CompareTerms {
        /// The sender's digests.
        digests: [u32; SYNC_BUCKETS],
    },
    /// The terms of one bucket, in the rumours.
    #[deku(id = "10")]
    Terms {
        /// Which bucket.
        bucket: u8,
        /// 1 when it answers a comparison, and the receiver should send what the sender lacks.
        is_answer: u8,
    },
}

/// What the sender holds, in short, so that others notice that they lack something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireDigest {
    /// Its newest settings revision.
    pub settings_revision: u64,
    /// Digest of the members it believes alive.
    pub members: u64,
    /// Digest of the newest terms it knows.
    pub terms: u64,
}

/// News of one member.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireUpdate {
    /// It is alive. Only the member itself starts this news.
    #[deku(id = "1")]
    Alive {
        /// The member.
        node: u64,
        /// In which version.
        version: WireVersion,
        /// 1 when it has announced a planned stop.
        leaving: u8,
        /// Where it listens, on TCP and on UDP.
        address: WireAddress,
        /// Its region.
        region: Text,
        /// Its zone.
        zone: Text,
    },
    /// It did not answer.
    #[deku(id = "2")]
    Suspect {
        /// The member.
        node: u64,
        /// In which version.
        version: WireVersion,
        /// How many accusers follow; must be their number.
        accuser_count: u8,
        /// The nodes that it did not answer.
        #[deku(count = "accuser_count")]
        accusers: Vec<u64>,
    },
    /// It did not refute a suspicion in time.
    #[deku(id = "3")]
    Failed {
        /// The member.
        node: u64,
        /// In which version.
        version: WireVersion,
    },
    /// It has stopped as planned.
    #[deku(id = "4")]
    Left {
        /// The member.
        node: u64,
        /// In which version.
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

/// One membership packet without its proof.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Datagram {
    /// [`DATAGRAM_VERSION`] of the sender.
    #[deku(assert_eq = "DATAGRAM_VERSION")]
    pub version: u16,
    /// The sender's place in the fleet.
    pub sender: u64,
    /// The sender's version.
    pub sender_version: WireVersion,
    /// What the sender holds.
    pub digest: WireDigest,
    /// What the datagram is for.
    pub message: WireMessage,
    #[deku(update = "self.updates.len()")]
    update_count: u8,
    /// News of members.
    #[deku(count = "update_count")]
    pub updates: Vec<WireUpdate>,
    #[deku(update = "self.terms.len()")]
    term_count: u8,
    /// News of terms.
    #[deku(count = "term_count")]
    pub terms: Vec<WireTerm>,
}

impl Datagram {
    /// Puts a datagram together. Of more than 255 updates or terms, the first 255 are kept.
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

/// Checks a received packet's proof and decodes it.
///
/// # Errors
/// [`DatagramError`] when it has no valid proof or is not of this version.
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
            reason: "bytes follow its end",
        }
        .fail(),
        Err(error) => ContentSnafu {
            reason: error.to_string(),
        }
        .fail(),
    }
}
