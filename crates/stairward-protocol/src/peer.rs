//! The messages of a TCP connection between two nodes.

use deku::prelude::*;

use crate::authentication::{NONCE_BYTES, PROOF_BYTES};
use crate::call::{CallReply, CallRequest};
use crate::stream::{EdgeMessage, OwnerMessage};

/// First message in each direction: who speaks, in which version, and a challenge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// [`crate::PROTOCOL_VERSION`] of the speaker.
    pub version: u16,
    /// The speaker's place in the fleet.
    pub node: u64,
    /// The speaker's incarnation.
    pub incarnation: u64,
    /// The other side must prove that it knows the cluster key by signing this.
    pub nonce: [u8; NONCE_BYTES],
}

/// Second message in each direction: the answer to the other side's challenge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Proof {
    /// See [`crate::ClusterKey::sign`].
    pub proof: [u8; PROOF_BYTES],
}

/// Everything that travels on a connection between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big", id_type = "u8")]
pub enum PeerMessage {
    /// Opens the connection.
    #[deku(id = "1")]
    Hello(Hello),
    /// Proves knowledge of the cluster key.
    #[deku(id = "2")]
    Proof(Proof),
    /// A stream message from the edge to the owner.
    #[deku(id = "3")]
    ToOwner {
        /// The stream, chosen by the edge, never reused on a connection.
        stream: u64,
        /// What it says.
        message: EdgeMessage,
    },
    /// A stream message from the owner to the edge.
    #[deku(id = "4")]
    ToEdge {
        /// The stream it belongs to.
        stream: u64,
        /// What it says.
        message: OwnerMessage,
    },
    /// A short question.
    #[deku(id = "5")]
    Call {
        /// Matches the reply to the call, never reused on a connection.
        call: u64,
        /// What is asked.
        request: CallRequest,
    },
    /// Its answer.
    #[deku(id = "6")]
    Reply {
        /// The call that is answered.
        call: u64,
        /// The answer.
        reply: CallReply,
    },
    /// The owner has let go of a stream. What it sent before still counts; nothing follows.
    #[deku(id = "7")]
    EndStream {
        /// The stream.
        stream: u64,
    },
}
