//! One TCP connection between two nodes: its writer, and dispatch of what arrives.

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

use super::handshake::shake_hands;
use super::message_reader::MessageReader;
use super::network::{
    ConnectionLostSnafu, PeerError, PeerService, SocketSnafu, UnexpectedNodeSnafu,
};
use super::stream::{EdgeStream, OwnerStream};
use crate::cluster::Identity;

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Frames written with one system call at most.
const WRITE_BATCH_FRAMES: usize = 256;

type Streams<M> = Mutex<HashMap<u64, mpsc::UnboundedSender<M>>>;

/// What a connection has open. Dropping the entries tells their users that the peer is lost.
#[derive(Default)]
struct OpenWork {
    /// Streams opened by this node's edge.
    edge_streams: Streams<OwnerMessage>,
    /// Streams opened by the peer's edge.
    owner_streams: Streams<EdgeMessage>,
    calls: Mutex<HashMap<u64, oneshot::Sender<CallReply>>>,
    next_number: AtomicU64,
    closed: CancellationToken,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OpenWork {
    fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
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

/// What waits to be written.
#[expect(clippy::large_enum_variant, reason = "almost every item is a message")]
enum Outgoing {
    Message(PeerMessage),
    /// Everything before this has been given to the system.
    Written(oneshot::Sender<()>),
}

/// A live connection to a peer. Cheap to clone.
#[derive(Clone)]
pub(super) struct Connection {
    outgoing: mpsc::UnboundedSender<Outgoing>,
    work: Arc<OpenWork>,
}

impl Connection {
    /// Exchanges [`Hello`] and [`Proof`], then starts the connection's tasks. With `expected`, the
    /// peer must be that node.
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
        let peer = shake_hands(&mut reader, &mut write_half, identity, key).await?;
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
            work: Arc::default(),
        };
        tokio::spawn(write_queue(write_half, queue, Arc::clone(&connection.work)));
        tokio::spawn(connection.clone().read_messages(reader, peer, service));
        Ok((peer, connection))
    }

    /// Whether the connection is lost.
    pub(super) fn is_closed(&self) -> bool {
        self.work.is_closed() || self.outgoing.is_closed()
    }

    /// Opens a stream to the peer as owner.
    pub(super) fn open_stream(&self) -> EdgeStream {
        let stream = self.work.number();
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.work.edge_streams).insert(stream, sender);
        if self.work.is_closed() {
            lock(&self.work.edge_streams).remove(&stream);
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

    /// Asks the peer and waits for its answer.
    pub(super) async fn call(&self, request: CallRequest) -> Result<CallReply, PeerError> {
        let call = self.work.number();
        let (sender, receiver) = oneshot::channel();
        lock(&self.work.calls).insert(call, sender);
        if !self.send(PeerMessage::Call { call, request }) {
            lock(&self.work.calls).remove(&call);
        }
        receiver.await.ok().context(ConnectionLostSnafu)
    }

    fn send(&self, message: PeerMessage) -> bool {
        !self.work.is_closed() && self.outgoing.send(Outgoing::Message(message)).is_ok()
    }

    /// Waits until everything sent so far has been given to the system, or the connection is lost.
    pub(super) async fn flush(&self) {
        let (written, done) = oneshot::channel();
        if self.outgoing.send(Outgoing::Written(written)).is_ok() {
            let _ = done.await;
        }
    }

    /// Gives the connection up: its streams and calls end as lost, its socket is closed.
    pub(super) fn close(&self) {
        self.work.close();
    }

    async fn read_messages(
        self,
        mut reader: MessageReader,
        peer: NodeId,
        service: Arc<dyn PeerService>,
    ) {
        let closed = self.work.closed.clone();
        while let Some(Ok(message)) = closed.run_until_cancelled(reader.next()).await {
            self.dispatch(message, peer, &service);
        }
        self.work.close();
        service.peer_connection_lost(peer);
    }

    fn dispatch(&self, message: PeerMessage, peer: NodeId, service: &Arc<dyn PeerService>) {
        match message {
            // Both belong to the handshake only; ignoring them later harms nobody.
            PeerMessage::Hello(_) | PeerMessage::Proof(_) => {}
            PeerMessage::ToEdge { stream, message } => {
                // A message for a stream that has ended is late and is dropped.
                if let Some(sender) = lock(&self.work.edge_streams).get(&stream) {
                    let _ = sender.send(message);
                }
            }
            PeerMessage::ToOwner {
                stream,
                message: open @ EdgeMessage::Open(_),
            } => {
                let accepted = self.accept_stream(stream, peer);
                if let Some(sender) = lock(&self.work.owner_streams).get(&stream) {
                    let _ = sender.send(open);
                }
                service.accept_stream(accepted);
            }
            PeerMessage::ToOwner { stream, message } => {
                if let Some(sender) = lock(&self.work.owner_streams).get(&stream) {
                    let _ = sender.send(message);
                }
            }
            PeerMessage::EndStream { stream } => {
                // What the owner sent before stays to be read; then the edge sees the end.
                lock(&self.work.edge_streams).remove(&stream);
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
                if let Some(waiting) = lock(&self.work.calls).remove(&call) {
                    let _ = waiting.send(reply);
                }
            }
        }
    }

    fn accept_stream(&self, stream: u64, peer: NodeId) -> OwnerStream {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.work.owner_streams).insert(stream, sender);
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

/// Forgets a stream when its end is dropped, so that late messages match nothing.
struct StreamGuard {
    connection: Connection,
    stream: u64,
    side: Side,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        match self.side {
            Side::Edge => {
                lock(&self.connection.work.edge_streams).remove(&self.stream);
                // The owner must not keep a connection for an edge that has let go.
                let message = EdgeMessage::Abandon;
                self.connection.send(PeerMessage::ToOwner {
                    stream: self.stream,
                    message,
                });
            }
            Side::Owner => {
                lock(&self.connection.work.owner_streams).remove(&self.stream);
                // An owner that let go without a last word must not leave the edge waiting.
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
    work: Arc<OpenWork>,
) {
    let mut waiting = Vec::with_capacity(WRITE_BATCH_FRAMES);
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let closed = work.closed.clone();
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
            Outgoing::Written(sender) => {
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
            // The one who waits may have given up.
            let _ = sender.send(());
        }
    }
    work.close();
}
