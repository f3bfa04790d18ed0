//! Connections between nodes: statement streams and calls, multiplexed over one TCP connection per
//! pair of nodes and direction.
//!
//! The edge and the owner of the same node use the same [`EdgeStream`] and [`OwnerStream`] types
//! without a socket.

mod connection;
mod handshake;
mod message_reader;
mod network;
mod open_connections;
mod stream;

pub use network::{CallFuture, PeerError, PeerNetwork, PeerService};
pub use stream::{EdgeStream, OwnerStream};
