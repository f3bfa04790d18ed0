//! Establishing and caching connections to other nodes.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::stream::{EdgeMessage, Open};
use stairward_protocol::{ClusterKey, FrameError};
use stairward_types::NodeId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use super::connection::Connection;
use super::open_connections::OpenConnections;
use super::stream::{EdgeStream, OwnerStream, local_pair};
use crate::cluster::Cluster;

/// Minimum time between a failed connection attempt and the next one. Without it, requests that
/// wait for the same connection would each run into the connect timeout in turn.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Time limit for connecting to a peer, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request to a peer failed. Only after [`PeerError::ConnectionLost`] or
/// [`PeerError::Timeout`] may part of the request have been sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PeerError {
    /// The node is not in the membership view.
    #[snafu(display("node {node} is not a member"))]
    UnknownNode {
        /// The requested node.
        node: NodeId,
    },
    /// The socket failed.
    #[snafu(display("the connection to the peer failed"))]
    Socket {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the connection to the peer was lost"))]
    ConnectionLost,
    /// The peer sent bytes that are not a valid frame.
    #[snafu(display("the peer sent an invalid frame"), context(false))]
    Frame {
        /// The decoding error.
        source: FrameError,
    },
    /// The handshake failed.
    #[snafu(display("the handshake with the peer failed: {reason}"))]
    Handshake {
        /// The reason.
        reason: &'static str,
    },
    /// A different node answered at the address.
    #[snafu(display("expected node {expected}, connected to node {found}"))]
    UnexpectedNode {
        /// The requested node.
        expected: NodeId,
        /// The node that answered.
        found: NodeId,
    },
    /// The peer did not respond in time.
    #[snafu(display("the peer did not respond in time"))]
    Timeout,
}

/// The future of a reply to a call.
pub type CallFuture = Pin<Box<dyn Future<Output = CallReply> + Send>>;

/// Handles the streams and calls of peers.
pub trait PeerService: Send + Sync + 'static {
    /// Serves a stream opened by an edge. Its first message is always [`EdgeMessage::Open`].
    fn accept_stream(&self, stream: OwnerStream);

    /// Handles a call.
    fn answer_call(&self, from: NodeId, request: CallRequest) -> CallFuture;

    /// Called when a connection to a peer was lost, which hints that the peer may have failed.
    fn peer_connection_lost(&self, _peer: NodeId) {}
}

/// A node's connections to its peers. Cheap to clone.
#[derive(Clone)]
pub struct PeerNetwork {
    inner: Arc<Inner>,
}

/// The cached outgoing connection to one peer.
#[derive(Default)]
struct PeerSlot {
    connection: Option<Connection>,
    /// When the last attempt to connect failed.
    failed_at: Option<Instant>,
}

impl PeerSlot {
    fn failed_recently(&self) -> bool {
        self.failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < RECONNECT_DELAY)
    }
}

struct Inner {
    cluster: Cluster,
    key: ClusterKey,
    service: OnceLock<Arc<dyn PeerService>>,
    /// The outgoing connections, used by this node's edge and its calls.
    connections: Mutex<HashMap<NodeId, Arc<Mutex<PeerSlot>>>>,
    /// All open connections, including those opened by peers.
    open_connections: OpenConnections,
}

impl PeerNetwork {
    /// Creates a network without connections. [`PeerNetwork::serve`] or
    /// [`PeerNetwork::set_service`] must be called before streams to the node itself are opened.
    #[must_use]
    pub fn new(cluster: Cluster, key: ClusterKey) -> Self {
        let inner = Inner {
            cluster,
            key,
            service: OnceLock::new(),
            connections: Mutex::default(),
            open_connections: OpenConnections::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Serves peers that connect to `listener`, and this node itself, with `service`. Runs until
    /// the listener fails.
    ///
    /// # Errors
    /// [`PeerError::Socket`] from the listener.
    pub async fn serve(
        &self,
        listener: TcpListener,
        service: Arc<dyn PeerService>,
    ) -> Result<(), PeerError> {
        self.set_service(service);
        tokio::spawn(self.clone().close_connections_to_lost_members());
        loop {
            let (socket, _) = listener.accept().await.context(SocketSnafu)?;
            let network = self.clone();
            tokio::spawn(async move {
                if let Err(error) = network.accept(socket).await {
                    tracing::warn!(
                        event = stairward_types::LogEvent::PeerRefused.number(),
                        %error,
                        "rejected a peer connection"
                    );
                }
            });
        }
    }

    /// Closes connections to nodes that left the membership view or restarted.
    async fn close_connections_to_lost_members(self) {
        let mut members = self.inner.cluster.watch_members();
        let mut before = Arc::clone(&members.borrow_and_update());
        while members.changed().await.is_ok() {
            let after = Arc::clone(&members.borrow_and_update());
            self.inner.open_connections.close_lost(&before, &after);
            before = after;
        }
    }

    /// Waits until everything sent so far has been written to the sockets, for a planned stop.
    pub async fn flush(&self) {
        for connection in self.inner.open_connections.all() {
            connection.flush().await;
        }
    }

    /// Sets the service in advance when the listener starts later. Only the first call has an
    /// effect.
    pub fn set_service(&self, service: Arc<dyn PeerService>) {
        let _ = self.inner.service.set(service);
    }

    /// Opens a stream to an owner and sends its first message.
    ///
    /// # Errors
    /// [`PeerError`]; nothing was sent in that case.
    pub async fn open_stream(&self, owner: NodeId, open: Open) -> Result<EdgeStream, PeerError> {
        if owner == self.inner.cluster.identity.node {
            return self.open_local_stream(open);
        }
        let connection = self.connection(owner).await?;
        let stream = connection.open_stream();
        if !stream.send(EdgeMessage::Open(open)) {
            return ConnectionLostSnafu.fail();
        }
        Ok(stream)
    }

    /// Sends a call to a node and waits for its reply.
    ///
    /// # Errors
    /// [`PeerError`]; after `ConnectionLost` or `Timeout` the peer may have executed the call.
    pub async fn call(
        &self,
        node: NodeId,
        request: CallRequest,
        timeout: Duration,
    ) -> Result<CallReply, PeerError> {
        let answer = async {
            if node == self.inner.cluster.identity.node {
                let service = self.service()?;
                return Ok(service.answer_call(node, request).await);
            }
            self.connection(node).await?.call(request).await
        };
        tokio::time::timeout(timeout, answer)
            .await
            .ok()
            .context(TimeoutSnafu)?
    }

    fn service(&self) -> Result<&Arc<dyn PeerService>, PeerError> {
        let node = self.inner.cluster.identity.node;
        self.inner.service.get().context(UnknownNodeSnafu { node })
    }

    fn open_local_stream(&self, open: Open) -> Result<EdgeStream, PeerError> {
        let service = self.service()?;
        let (edge, owner) = local_pair(self.inner.cluster.identity.node);
        edge.send(EdgeMessage::Open(open));
        service.accept_stream(owner);
        Ok(edge)
    }

    async fn accept(&self, socket: TcpStream) -> Result<(), PeerError> {
        let service = Arc::clone(self.service()?);
        let identity = &self.inner.cluster.identity;
        let established = Connection::establish(socket, identity, &self.inner.key, None, service);
        let (peer, connection) = tokio::time::timeout(CONNECT_TIMEOUT, established)
            .await
            .ok()
            .context(TimeoutSnafu)??;
        self.inner.open_connections.add(peer, connection);
        Ok(())
    }

    async fn connection(&self, node: NodeId) -> Result<Connection, PeerError> {
        let slot = {
            let mut connections = self.inner.connections.lock().await;
            Arc::clone(connections.entry(node).or_default())
        };
        // Locked while connecting, so that concurrent requests share one connection attempt.
        let mut slot = slot.lock_owned().await;
        let established = slot
            .connection
            .as_ref()
            .filter(|connection| !connection.is_closed());
        if let Some(connection) = established {
            return Ok(connection.clone());
        }
        ensure!(!slot.failed_recently(), ConnectionLostSnafu);
        let network = self.clone();
        // In a separate task, so that the attempt continues for other callers when this one is
        // cancelled.
        let connecting = tokio::spawn(async move {
            let connected = network.connect(node).await;
            slot.failed_at = connected.is_err().then(Instant::now);
            slot.connection = connected.as_ref().ok().cloned();
            connected
        });
        connecting.await.ok().context(ConnectionLostSnafu)?
    }

    async fn connect(&self, node: NodeId) -> Result<Connection, PeerError> {
        let members = self.inner.cluster.members();
        let member = members.member(node).context(UnknownNodeSnafu { node })?;
        let address = member.peer_address;
        let service = Arc::clone(self.service()?);
        let connected = async {
            let socket = TcpStream::connect(address).await.context(SocketSnafu)?;
            let identity = &self.inner.cluster.identity;
            Connection::establish(socket, identity, &self.inner.key, Some(node), service).await
        };
        let (_, connection) = tokio::time::timeout(CONNECT_TIMEOUT, connected)
            .await
            .ok()
            .context(TimeoutSnafu)??;
        self.inner.open_connections.add(node, connection.clone());
        tracing::debug!(
            event = stairward_types::LogEvent::PeerConnected.number(),
            peer = node.0,
            "connected to a peer"
        );
        Ok(connection)
    }
}
