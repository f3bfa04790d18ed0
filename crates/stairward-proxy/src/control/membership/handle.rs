//! The handle through which the rest of a node uses the membership driver.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_types::{NodeId, Revision};
use tokio::sync::{broadcast, mpsc, oneshot};

use super::traffic::{MembershipTraffic, TrafficCounters};

/// Reports that a peer's settings revision differs from this node's.
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
    SetMachineAddresses(Vec<SocketAddr>),
    /// See [`MembershipHandle::report_connection_lost`].
    ConnectionLost(NodeId),
    /// See [`MembershipHandle::announce_leaving`].
    AnnounceLeaving,
    /// See [`MembershipHandle::depart`].
    Depart(oneshot::Sender<()>),
}

/// A handle to the running membership driver. Cheap to clone.
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

    /// Datagrams and bytes sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> MembershipTraffic {
        self.traffic.read()
    }

    /// Subscribes to reports of peers whose settings are newer or older. Each packet from such a
    /// peer is reported; a receiver that falls behind misses some, and later packets repeat them.
    #[must_use]
    pub fn peer_digests(&self) -> broadcast::Receiver<PeerDigest> {
        self.digests.subscribe()
    }

    /// Replaces the machine addresses from the platform's list. They only serve as discovery seeds.
    pub async fn set_machine_addresses(&self, addresses: Vec<SocketAddr>) {
        self.request(Request::SetMachineAddresses(addresses)).await;
    }

    /// Reports that a connection to a peer was lost, so that the peer is probed immediately. It is
    /// only a hint and is dropped when the request queue is full.
    pub fn report_connection_lost(&self, peer: NodeId) {
        let _ = self.requests.try_send(Request::ConnectionLost(peer));
    }

    /// Announces a planned stop: this node receives no new ownership but remains a member.
    pub async fn announce_leaving(&self) {
        self.request(Request::AnnounceLeaving).await;
    }

    /// Completes a planned stop: announces that the process exits and stops the driver. Returns
    /// once the announcement has had time to spread.
    pub async fn depart(&self) {
        let (done, finished) = oneshot::channel();
        self.request(Request::Depart(done)).await;
        let _ = finished.await;
    }

    /// Sends a request. The driver stops only with the node, so a failed send is ignored.
    async fn request(&self, request: Request) {
        let _ = self.requests.send(request).await;
    }
}
