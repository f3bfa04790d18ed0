//! Framed connections between nodes, and fetching a document from a peer over a separate connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_protocol::node_message::NodeMessage;
use stairward_protocol::{Text, decode_frame, encode_frame};
use stairward_types::LogEvent;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use crate::compression::decompress;
use crate::socket::Outgoing;

/// Timeout for connecting to a node.
const LINK_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for fetching a document from one peer.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Buffer space reserved before each read.
const READ_SIZE: usize = 8 * 1024;

/// Reads messages from a connection to another node.
pub(crate) struct MessageReader {
    reading: OwnedReadHalf,
    buffer: BytesMut,
    last_length: usize,
}

impl MessageReader {
    /// Wraps the reading half of a connection.
    pub(crate) fn new(reading: OwnedReadHalf) -> Self {
        Self {
            reading,
            buffer: BytesMut::new(),
            last_length: 0,
        }
    }

    /// Length in bytes of the last message.
    pub(crate) fn last_length(&self) -> usize {
        self.last_length
    }

    /// The next message; none at the end of the connection or after a protocol violation.
    pub(crate) async fn next(&mut self) -> Option<NodeMessage> {
        loop {
            let held = self.buffer.len();
            if let Some(message) = decode_frame(&mut self.buffer).ok()? {
                self.last_length = held - self.buffer.len();
                return Some(message);
            }
            self.buffer.reserve(READ_SIZE);
            if self.reading.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}

/// Encodes a message as a frame. A message that can't be encoded, for example because a session's values exceed the
/// size limit, is logged and gives an empty frame: its request ends at its deadline.
pub(crate) fn frame(message: &NodeMessage) -> BytesMut {
    let mut bytes = BytesMut::new();
    if let Err(error) = encode_frame(message, &mut bytes) {
        tracing::warn!(event = LogEvent::MessageUnencodable.number(), %error);
    }
    bytes
}

/// Connects to a node within [`LINK_TIMEOUT`].
pub(crate) async fn connect(address: SocketAddr) -> Option<(MessageReader, Rc<Outgoing>)> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(LINK_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    let (reading, outgoing) = Outgoing::split(stream);
    Some((MessageReader::new(reading), outgoing))
}

/// Fetches a document of the store from the first of these peers that has it, tried in order.
pub async fn fetch_document(peers: &[SocketAddr], name: &str) -> Option<Vec<u8>> {
    for peer in peers {
        let requesting = async {
            let (mut reader, outgoing) = connect(*peer).await?;
            let question = NodeMessage::QueryDocument {
                name: Text::new(name),
            };
            outgoing.send(&frame(&question)).ok()?;
            match reader.next().await? {
                NodeMessage::Document { content, .. } if !content.bytes.is_empty() => {
                    decompress(&content.bytes)
                }
                _ => None,
            }
        };
        let answer = tokio::time::timeout(DOCUMENT_TIMEOUT, requesting).await;
        if let Ok(Some(content)) = answer {
            return Some(content);
        }
    }
    None
}
