//! What the other parts of a node ask of its membership.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_types::{NodeId, Revision};
use tokio::sync::{broadcast, mpsc, oneshot};

use super::traffic::{MembershipTraffic, TrafficCounters};

/// A peer holds other settings than this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerDigest {
    /// The peer.
    pub node: NodeId,
    /// Its newest settings revision.
    pub settings_revision: Revision,
}

/// A request to the driver.
#[derive(Debug)]
pub(super) enum Request {
    /// See [`MembershipHandle::set_machine_addresses`].
    ListMachines(Vec<SocketAddr>),
    /// See [`MembershipHandle::report_connection_lost`].
    PeerLost(NodeId),
    /// See [`MembershipHandle::announce_leaving`].
    AnnounceLeaving,
    /// See [`MembershipHandle::depart`].
    Depart(oneshot::Sender<()>),
}

/// Speaks to the running membership. Cheap to clone.
#[derive(Debug, Clone)]
pub struct MembershipHandle {
    requests: mpsc::Sender<Request>,
    digests: broadcast::Sender<PeerDigest>,
    traffic: Arc<TrafficCounters>,
}

impl MembershipHandle {
    pub(super) fn new(
        requests: mpsc::Sender<Request>,
        digests: broadcast::Sender<PeerDigest>,
        traffic: Arc<TrafficCounters>,
    ) -> Self {
        Self {
            requests,
            digests,
            traffic,
        }
    }

    /// What this node's membership has sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> MembershipTraffic {
        self.traffic.read()
    }

    /// Follows which peers hold newer or older settings. Each packet from such a peer is reported
    /// once; a listener that falls behind misses some, which later packets make good.
    #[must_use]
    pub fn peer_digests(&self) -> broadcast::Receiver<PeerDigest> {
        self.digests.subscribe()
    }

    /// Gives the addresses on the platform's list of machines, in place of those given before. They
    /// are only places to look for nodes at.
    pub async fn set_machine_addresses(&self, addresses: Vec<SocketAddr>) {
        self.request(Request::ListMachines(addresses)).await;
    }

    /// Tells that a connection to a peer was lost, so that it is probed at once. Dropped when the
    /// driver is busy, since it is only a hint.
    pub fn report_connection_lost(&self, peer: NodeId) {
        let _ = self.requests.try_send(Request::PeerLost(peer));
    }

    /// Begins a planned stop: all nodes learn that this one gets no new ownership. It goes on taking
    /// part.
    pub async fn announce_leaving(&self) {
        self.request(Request::AnnounceLeaving).await;
    }

    /// Ends a planned stop: tells the others that the process exits, and stops taking part. Returns
    /// when they were told.
    pub async fn depart(&self) {
        let (done, finished) = oneshot::channel();
        self.request(Request::Depart(done)).await;
        let _ = finished.await;
    }

    /// The driver stops only when the node does, so a request that finds it gone has no effect.
    async fn request(&self, request: Request) {
        let _ = self.requests.send(request).await;
    }
}
