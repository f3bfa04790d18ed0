//! Connections between nodes, message by message, and asking a peer for a document over one of its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_protocol::node_message::NodeMessage;
use stairward_protocol::{Text, decode_frame, encode_frame};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use crate::compression::decompress;
use crate::socket::Outgoing;

/// How long a link may take to be made.
const LINK_PATIENCE: Duration = Duration::from_millis(500);
/// How long a peer may take to answer with a document.
const DOCUMENT_PATIENCE: Duration = Duration::from_millis(800);
/// Room made for reading at once.
const READ_SIZE: usize = 8 * 1024;

/// A connection from or to another node, read message by message.
pub(crate) struct MessageReader {
    reading: OwnedReadHalf,
    buffer: BytesMut,
    last_length: usize,
}

impl MessageReader {
    /// Reads from a connection that another node made.
    pub(crate) fn new(reading: OwnedReadHalf) -> Self {
        Self {
            reading,
            buffer: BytesMut::new(),
            last_length: 0,
        }
    }

    /// The bytes of the message that came last.
    pub(crate) fn last_length(&self) -> usize {
        self.last_length
    }

    /// The next message; none when the connection has ended or breaks the protocol.
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

/// A message as bytes.
pub(crate) fn frame(message: &NodeMessage) -> BytesMut {
    let mut bytes = BytesMut::new();
    // Only a message over the limit can't be encoded, and none is made that long.
    let _ = encode_frame(message, &mut bytes);
    bytes
}

/// Connects to a node.
pub(crate) async fn connect(address: SocketAddr) -> Option<(MessageReader, Rc<Outgoing>)> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(LINK_PATIENCE, connecting)
        .await
        .ok()?
        .ok()?;
    let (reading, outgoing) = Outgoing::split(stream);
    Some((MessageReader::new(reading), outgoing))
}

/// Asks peers, one after the other, for a document that the store holds.
pub async fn fetch_document(peers: &[SocketAddr], name: &str) -> Option<Vec<u8>> {
    for peer in peers {
        let asking = async {
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
        let answer = tokio::time::timeout(DOCUMENT_PATIENCE, asking).await;
        if let Ok(Some(content)) = answer {
            return Some(content);
        }
    }
    None
}
