//! The messages of a TCP connection between two nodes.

use deku::prelude::*;

use crate::authentication::{NONCE_BYTES, PROOF_BYTES};
use crate::call::{CallReply, CallRequest};
use crate::stream::{EdgeMessage, OwnerMessage};

/// First message in each direction: the sender's identity, its protocol version, and a challenge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// [`crate::PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// The sender's node id.
    pub node: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The challenge: the other side proves that it knows the cluster key by signing this nonce.
    pub nonce: [u8; NONCE_BYTES],
}

/// Second message in each direction: the response to the other side's challenge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Proof {
    /// The HMAC computed by [`crate::ClusterKey::sign`].
    pub proof: [u8; PROOF_BYTES],
}

/// A message on a TCP connection between two nodes.
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
        /// The stream id, chosen by the edge and never reused on a connection.
        stream: u64,
        /// The message.
        message: EdgeMessage,
    },
    /// A stream message from the owner to the edge.
    #[deku(id = "4")]
    ToEdge {
        /// The stream id.
        stream: u64,
        /// The message.
        message: OwnerMessage,
    },
    /// A request of a request-reply call.
    #[deku(id = "5")]
    Call {
        /// The call id, which correlates the reply; never reused on a connection.
        call: u64,
        /// The request.
        request: CallRequest,
    },
    /// The reply to a call.
    #[deku(id = "6")]
    Reply {
        /// The id of the call.
        call: u64,
        /// The reply.
        reply: CallReply,
    },
    /// The owner has released a stream. Its earlier messages remain valid; no further ones follow.
    #[deku(id = "7")]
    EndStream {
        /// The stream id.
        stream: u64,
    },
}
