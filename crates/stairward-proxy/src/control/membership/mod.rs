//! Runs the membership protocol over a UDP socket and publishes the membership view.

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

/// Capacity of the driver's request queue.
const REQUEST_QUEUE_LENGTH: usize = 1_024;
/// Number of peer digests by which a slow receiver may lag before it misses some.
const PEER_DIGEST_QUEUE_LENGTH: usize = 1_024;

/// Options of the membership protocol.
#[derive(Debug, Clone)]
pub struct MembershipOptions {
    /// Addresses used to discover other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The address at which others reach this node, if it differs from the socket's local address.
    pub advertised_address: Option<SocketAddr>,
    /// Timings and sizes of the protocol.
    pub config: SwimConfig,
}

impl MembershipOptions {
    /// Default options with the given seeds.
    #[must_use]
    pub fn with_seeds(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            advertised_address: None,
            config: SwimConfig::default(),
        }
    }
}

/// Starts the membership driver, which runs until [`MembershipHandle::depart`] or until all handles
/// are dropped. Must be called within a tokio runtime.
///
/// # Errors
/// When the socket's local address cannot be determined.
pub fn run(
    cluster: Cluster,
    socket: UdpSocket,
    key: ClusterKey,
    seeds: Vec<SocketAddr>,
) -> std::io::Result<MembershipHandle> {
    run_with_options(cluster, socket, key, &MembershipOptions::with_seeds(seeds))
}

/// Like [`run`], with explicit options.
///
/// # Errors
/// When the socket's local address cannot be determined.
pub fn run_with_options(
    cluster: Cluster,
    socket: UdpSocket,
    key: ClusterKey,
    options: &MembershipOptions,
) -> std::io::Result<MembershipHandle> {
    let (requests, inbox) = mpsc::channel(REQUEST_QUEUE_LENGTH);
    let (digests, _) = broadcast::channel(PEER_DIGEST_QUEUE_LENGTH);
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
