//! Reads messages of the peer protocol from a socket.

use bytes::BytesMut;
use snafu::{ResultExt, ensure};
use stairward_protocol::{PeerMessage, decode_frame};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

use super::network::{ConnectionLostSnafu, PeerError, SocketSnafu};

/// Reads messages from a peer.
pub(super) struct MessageReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
}

impl MessageReader {
    /// Creates a reader with the given initial buffer capacity.
    pub(super) fn new(half: OwnedReadHalf, capacity_bytes: usize) -> Self {
        Self {
            half,
            buffer: BytesMut::with_capacity(capacity_bytes),
        }
    }

    /// Reads the next message; fails when the peer has closed the connection.
    pub(super) async fn next(&mut self) -> Result<PeerMessage, PeerError> {
        loop {
            if let Some(message) = decode_frame(&mut self.buffer).map_err(PeerError::from)? {
                return Ok(message);
            }
            let count = self
                .half
                .read_buf(&mut self.buffer)
                .await
                .context(SocketSnafu)?;
            ensure!(count > 0, ConnectionLostSnafu);
        }
    }
}
