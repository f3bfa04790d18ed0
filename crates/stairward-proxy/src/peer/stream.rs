//! The two ends of a statement stream.

use stairward_protocol::stream::{EdgeMessage, OwnerMessage};
use stairward_types::NodeId;
use tokio::sync::mpsc;

/// Sends one kind of message towards the other end.
pub(super) type MessageSender<M> = Box<dyn Fn(M) -> bool + Send + Sync>;

/// The edge's end of a stream.
pub struct EdgeStream {
    pub(super) sender: MessageSender<EdgeMessage>,
    pub(super) receiver: mpsc::UnboundedReceiver<OwnerMessage>,
}

impl EdgeStream {
    /// Sends a message to the owner. Returns false when the connection to it is lost.
    pub fn send(&self, message: EdgeMessage) -> bool {
        (self.sender)(message)
    }

    /// Receives the owner's next message; `None` once the stream has ended or the connection is
    /// lost.
    ///
    /// Unread messages are bounded by the credit that the edge has granted. Cancel safe.
    pub async fn receive(&mut self) -> Option<OwnerMessage> {
        self.receiver.recv().await
    }
}

/// The owner's end of a stream.
pub struct OwnerStream {
    /// The edge that opened the stream.
    pub edge: NodeId,
    pub(super) sender: MessageSender<OwnerMessage>,
    pub(super) receiver: mpsc::UnboundedReceiver<EdgeMessage>,
}

impl OwnerStream {
    /// Sends a message to the edge. Returns false when the connection to it is lost.
    pub fn send(&self, message: OwnerMessage) -> bool {
        (self.sender)(message)
    }

    /// Receives the edge's next message; `None` once the edge or the connection to it is lost.
    ///
    /// Cancel safe.
    pub async fn receive(&mut self) -> Option<EdgeMessage> {
        self.receiver.recv().await
    }
}

/// Creates both ends of a stream within one process.
pub(super) fn local_pair(edge: NodeId) -> (EdgeStream, OwnerStream) {
    let (to_owner, from_edge) = mpsc::unbounded_channel();
    let (to_edge, from_owner) = mpsc::unbounded_channel();
    let edge_end = EdgeStream {
        sender: Box::new(move |message| to_owner.send(message).is_ok()),
        receiver: from_owner,
    };
    let owner_end = OwnerStream {
        edge,
        sender: Box::new(move |message| to_edge.send(message).is_ok()),
        receiver: from_edge,
    };
    (edge_end, owner_end)
}
