//! A TCP connection between two nodes: its write queue and the dispatch of received messages.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::BytesMut;
use snafu::{OptionExt, ResultExt, ensure};
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::stream::{EdgeMessage, OwnerMessage};
use stairward_protocol::{ClusterKey, PeerMessage, encode_frame};
use stairward_types::NodeId;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::handshake::perform_handshake;
use super::message_reader::MessageReader;
use super::network::{
    ConnectionLostSnafu, PeerError, PeerService, SocketSnafu, UnexpectedNodeSnafu,
};
use super::stream::{EdgeStream, OwnerStream};
use crate::cluster::Identity;

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of frames written with one system call.
const WRITE_BATCH_FRAMES: usize = 256;

type Streams<M> = Mutex<HashMap<u64, mpsc::UnboundedSender<M>>>;

/// The open streams and calls of a connection. Dropping an entry signals its user that the
/// connection is lost.
#[derive(Default)]
struct ConnectionState {
    /// Streams opened by this node's edge.
    edge_streams: Streams<OwnerMessage>,
    /// Streams opened by the peer's edge.
    owner_streams: Streams<EdgeMessage>,
    calls: Mutex<HashMap<u64, oneshot::Sender<CallReply>>>,
    next_id: AtomicU64,
    closed: CancellationToken,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionState {
    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    fn close(&self) {
        self.closed.cancel();
        lock(&self.edge_streams).clear();
        lock(&self.owner_streams).clear();
        lock(&self.calls).clear();
    }
}

/// An item of the write queue.
#[expect(clippy::large_enum_variant, reason = "almost every item is a message")]
enum Outgoing {
    Message(PeerMessage),
    /// Signals that everything queued before has been written to the socket.
    Flush(oneshot::Sender<()>),
}

/// An established connection to a peer. Cheap to clone.
#[derive(Clone)]
pub(super) struct Connection {
    outgoing: mpsc::UnboundedSender<Outgoing>,
    state: Arc<ConnectionState>,
}

impl Connection {
    /// Performs the handshake, then starts the connection's tasks. With `expected`, the peer must
    /// be that node.
    pub(super) async fn establish(
        socket: TcpStream,
        identity: &Identity,
        key: &ClusterKey,
        expected: Option<NodeId>,
        service: Arc<dyn PeerService>,
    ) -> Result<(NodeId, Self), PeerError> {
        socket.set_nodelay(true).context(SocketSnafu)?;
        let (read_half, mut write_half) = socket.into_split();
        let mut reader = MessageReader::new(read_half, READ_BUFFER_BYTES);
        let peer = perform_handshake(&mut reader, &mut write_half, identity, key).await?;
        if let Some(expected) = expected {
            ensure!(
                peer == expected,
                UnexpectedNodeSnafu {
                    expected,
                    found: peer
                }
            );
        }
        let (outgoing, queue) = mpsc::unbounded_channel();
        let connection = Self {
            outgoing,
            state: Arc::default(),
        };
        tokio::spawn(write_queue(
            write_half,
            queue,
            Arc::clone(&connection.state),
        ));
        tokio::spawn(connection.clone().read_messages(reader, peer, service));
        Ok((peer, connection))
    }

    /// Whether the connection is lost.
    pub(super) fn is_closed(&self) -> bool {
        self.state.is_closed() || self.outgoing.is_closed()
    }

    /// Opens a stream to the peer's owner side.
    pub(super) fn open_stream(&self) -> EdgeStream {
        let stream = self.state.next_id();
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.state.edge_streams).insert(stream, sender);
        if self.state.is_closed() {
            lock(&self.state.edge_streams).remove(&stream);
        }
        let guard = StreamGuard {
            connection: self.clone(),
            stream,
            side: Side::Edge,
        };
        EdgeStream {
            sender: Box::new(move |message| {
                guard.connection.send(PeerMessage::ToOwner {
                    stream: guard.stream,
                    message,
                })
            }),
            receiver,
        }
    }

    /// Sends a call to the peer and waits for its reply.
    pub(super) async fn call(&self, request: CallRequest) -> Result<CallReply, PeerError> {
        let call = self.state.next_id();
        let (sender, receiver) = oneshot::channel();
        lock(&self.state.calls).insert(call, sender);
        if !self.send(PeerMessage::Call { call, request }) {
            lock(&self.state.calls).remove(&call);
        }
        receiver.await.ok().context(ConnectionLostSnafu)
    }

    fn send(&self, message: PeerMessage) -> bool {
        !self.state.is_closed() && self.outgoing.send(Outgoing::Message(message)).is_ok()
    }

    /// Waits until everything sent so far has been written to the socket, or the connection is
    /// lost.
    pub(super) async fn flush(&self) {
        let (written, done) = oneshot::channel();
        if self.outgoing.send(Outgoing::Flush(written)).is_ok() {
            let _ = done.await;
        }
    }

    /// Closes the connection: its streams and calls end as lost and its socket is closed.
    pub(super) fn close(&self) {
        self.state.close();
    }

    async fn read_messages(
        self,
        mut reader: MessageReader,
        peer: NodeId,
        service: Arc<dyn PeerService>,
    ) {
        let closed = self.state.closed.clone();
        while let Some(Ok(message)) = closed.run_until_cancelled(reader.next()).await {
            self.dispatch(message, peer, &service);
        }
        self.state.close();
        service.peer_connection_lost(peer);
    }

    fn dispatch(&self, message: PeerMessage, peer: NodeId, service: &Arc<dyn PeerService>) {
        match message {
            // These belong to the handshake; later ones are ignored.
            PeerMessage::Hello(_) | PeerMessage::Proof(_) => {}
            PeerMessage::ToEdge { stream, message } => {
                // A late message for a stream that has ended is dropped.
                if let Some(sender) = lock(&self.state.edge_streams).get(&stream) {
                    let _ = sender.send(message);
                }
            }
            PeerMessage::ToOwner {
                stream,
                message: open @ EdgeMessage::Open(_),
            } => {
                let accepted = self.accept_stream(stream, peer);
                if let Some(sender) = lock(&self.state.owner_streams).get(&stream) {
                    let _ = sender.send(open);
                }
                service.accept_stream(accepted);
            }
            PeerMessage::ToOwner { stream, message } => {
                if let Some(sender) = lock(&self.state.owner_streams).get(&stream) {
                    let _ = sender.send(message);
                }
            }
            PeerMessage::EndStream { stream } => {
                // Messages already queued can still be read; then the edge sees the end of the
                // stream.
                lock(&self.state.edge_streams).remove(&stream);
            }
            PeerMessage::Call { call, request } => {
                let connection = self.clone();
                let service = Arc::clone(service);
                tokio::spawn(async move {
                    let reply = service.answer_call(peer, request).await;
                    connection.send(PeerMessage::Reply { call, reply });
                });
            }
            PeerMessage::Reply { call, reply } => {
                if let Some(waiting) = lock(&self.state.calls).remove(&call) {
                    let _ = waiting.send(reply);
                }
            }
        }
    }

    fn accept_stream(&self, stream: u64, peer: NodeId) -> OwnerStream {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.state.owner_streams).insert(stream, sender);
        let guard = StreamGuard {
            connection: self.clone(),
            stream,
            side: Side::Owner,
        };
        OwnerStream {
            edge: peer,
            sender: Box::new(move |message| {
                guard.connection.send(PeerMessage::ToEdge {
                    stream: guard.stream,
                    message,
                })
            }),
            receiver,
        }
    }
}

enum Side {
    Edge,
    Owner,
}

/// Deregisters a stream when its local end is dropped, so that late messages are ignored.
struct StreamGuard {
    connection: Connection,
    stream: u64,
    side: Side,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        match self.side {
            Side::Edge => {
                lock(&self.connection.state.edge_streams).remove(&self.stream);
                // Without this message the owner would keep its back-end connection reserved.
                let message = EdgeMessage::Abandon;
                self.connection.send(PeerMessage::ToOwner {
                    stream: self.stream,
                    message,
                });
            }
            Side::Owner => {
                lock(&self.connection.state.owner_streams).remove(&self.stream);
                // Without this message an edge would wait forever for an owner that dropped the
                // stream without a final message.
                self.connection.send(PeerMessage::EndStream {
                    stream: self.stream,
                });
            }
        }
    }
}

async fn write_queue(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    state: Arc<ConnectionState>,
) {
    let mut waiting = Vec::with_capacity(WRITE_BATCH_FRAMES);
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let closed = state.closed.clone();
    loop {
        let received = queue.recv_many(&mut waiting, WRITE_BATCH_FRAMES);
        if closed
            .run_until_cancelled(received)
            .await
            .unwrap_or_default()
            == 0
        {
            break;
        }
        let mut written = Vec::new();
        let encoded = waiting.drain(..).try_for_each(|item| match item {
            Outgoing::Message(message) => encode_frame(&message, &mut buffer),
            Outgoing::Flush(sender) => {
                written.push(sender);
                Ok(())
            }
        });
        let sent = closed.run_until_cancelled(writer.write_all(&buffer)).await;
        if encoded.is_err() || !matches!(sent, Some(Ok(()))) {
            break;
        }
        buffer.clear();
        for sender in written {
            // The caller of `flush` may have stopped waiting.
            let _ = sender.send(());
        }
    }
    state.close();
}
