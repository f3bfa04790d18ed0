//! Drives the membership protocol over a UDP socket and keeps the cluster's view.

mod driver;
mod handle;
mod ownership;
mod traffic;

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_membership::SwimConfig;
use stairward_protocol::ClusterKey;
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc};

pub use handle::{MembershipHandle, PeerDigest};
pub use ownership::rendezvous_rule;
pub use traffic::MembershipTraffic;

use crate::cluster::Cluster;
use driver::Driver;
use traffic::TrafficCounters;

/// Requests to the driver that may wait.
const REQUEST_QUEUE: usize = 1_024;
/// Peer digests that a slow listener may fall behind before it misses some.
const PEER_DIGEST_QUEUE: usize = 1_024;

/// What a node needs besides its socket to take part.
#[derive(Debug, Clone)]
pub struct MembershipOptions {
    /// Addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// The address others reach this node at, when it differs from the socket's own.
    pub advertised_address: Option<SocketAddr>,
    /// Times and sizes of the protocol.
    pub config: SwimConfig,
}

impl MembershipOptions {
    /// The usual times, with these seeds.
    #[must_use]
    pub fn with_seeds(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            advertised_address: None,
            config: SwimConfig::default(),
        }
    }
}

/// Takes part in the membership protocol until the handle's [`MembershipHandle::depart`] or until
/// all handles are dropped. Must be called within a tokio runtime.
///
/// # Errors
/// From the socket, when it cannot name its address.
pub fn run(
    cluster: Cluster,
    socket: UdpSocket,
    key: ClusterKey,
    seeds: Vec<SocketAddr>,
) -> std::io::Result<MembershipHandle> {
    run_with_options(cluster, socket, key, &MembershipOptions::with_seeds(seeds))
}

/// The same with all options.
///
/// # Errors
/// From the socket, when it cannot name its address.
pub fn run_with_options(
    cluster: Cluster,
    socket: UdpSocket,
    key: ClusterKey,
    options: &MembershipOptions,
) -> std::io::Result<MembershipHandle> {
    let (requests, inbox) = mpsc::channel(REQUEST_QUEUE);
    let (digests, _) = broadcast::channel(PEER_DIGEST_QUEUE);
    let traffic = Arc::new(TrafficCounters::default());
    let counters = Arc::clone(&traffic);
    let driver = Driver::new(
        cluster,
        socket,
        key,
        options,
        inbox,
        digests.clone(),
        counters,
    )?;
    tokio::spawn(driver.run());
    Ok(MembershipHandle::new(requests, digests, traffic))
}
