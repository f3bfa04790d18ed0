//! Messages between stairward processes, and their framing.
//!
//! Two transports use these messages. TCP connections carry length-prefixed messages: [`PeerMessage`]s
//! for multiplexed statement streams between an edge and an owner and for request-reply calls, and
//! [`node_message::NodeMessage`]s. UDP datagrams carry membership (see [`datagram`]). All fields are
//! big-endian; every message is encoded by `deku`.
//!
//! This crate only encodes and decodes; it opens no sockets.

#![forbid(unsafe_code)]

mod authentication;
pub mod call;
pub mod datagram;
mod field;
mod frame;
pub mod node_message;
mod peer;
pub mod settings;
pub mod stream;

pub use authentication::{ClusterKey, InvalidClusterKey, NONCE_BYTES, PROOF_BYTES};
pub use field::{ByteString, OptionalFreshness, Text, WireFreshness};
pub use frame::{FrameError, MAXIMUM_FRAME_BYTES, decode_frame, encode_frame};
pub use peer::{Hello, PeerMessage, Proof};

/// Version of the internal protocol, checked in the first message of each connection.
pub const PROTOCOL_VERSION: u16 = 1;
