//! Starts hollow nodes and measures them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use stairward_protocol::{ClusterKey, InvalidClusterKey};
use stairward_proxy::cluster::{Cluster, Identity};
use stairward_proxy::control::membership::{
    self, MembershipHandle, MembershipTraffic, rendezvous_rule,
};
use stairward_types::{Incarnation, InvalidName, NodeId, RegionName, ZoneName};
use tokio::net::UdpSocket;

use crate::process::Process;
use crate::simulated_network::UDP_HEADER_BYTES;

const KEY: &str = "the hollow nodes' key";
/// Nodes that all others are told of at the start.
const SEEDS: usize = 3;
const ZONES: usize = 7;
/// How long the nodes may take to find each other.
const JOIN_LIMIT: Duration = Duration::from_secs(180);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// After joining, until the traffic of joining has died down.
const SETTLING: Duration = Duration::from_secs(5);

/// Why nothing was measured.
#[derive(Debug, Snafu)]
pub enum HollowError {
    /// A socket could not be opened.
    #[snafu(display("a socket could not be opened: {source}"))]
    Socket {
        /// What the system said.
        source: std::io::Error,
    },
    /// The nodes did not find each other in time.
    #[snafu(display("{incomplete} nodes did not find all others"))]
    Incomplete {
        /// How many.
        incomplete: usize,
    },
    /// A place has a bad name.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// Which.
        source: InvalidName,
    },
    /// The key is too short.
    #[snafu(display("{source}"), context(false))]
    Key {
        /// Its length.
        source: InvalidClusterKey,
    },
    /// The system does not tell of this process.
    #[snafu(display("/proc does not tell of this process"))]
    NoProcess,
}

/// What control costs one node, averaged over all.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HollowMeasurement {
    /// Nodes in the process.
    pub nodes: usize,
    /// How long was measured.
    pub seconds: f64,
    /// From the start of the first node until each saw all.
    pub join_seconds: f64,
    /// Processor time a node used, in percent of one core.
    pub core_percent_per_node: f64,
    /// Resident memory a node added, in bytes.
    pub resident_bytes_per_node: u64,
    /// Sent and received, IPv4 and UDP headers included.
    pub bytes_per_node_per_second: f64,
    /// The part of it that was sent.
    pub sent_bytes_per_node_per_second: f64,
    /// Datagrams sent.
    pub datagrams_per_node_per_second: f64,
    /// Nodes that saw all others at the end.
    pub complete_views: usize,
}

struct HollowNode {
    cluster: Cluster,
    handle: MembershipHandle,
}

/// Starts the nodes, waits until they have found each other, and measures for a while.
///
/// # Errors
/// [`HollowError`].
pub async fn measure(nodes: usize, time: Duration) -> Result<HollowMeasurement, HollowError> {
    let process = Process::this();
    let memory_before = process.resident_bytes().context(NoProcessSnafu)?;
    let started = Instant::now();
    let fleet = start(nodes).await?;
    join(&fleet).await?;
    let join_seconds = started.elapsed().as_secs_f64();
    tokio::time::sleep(SETTLING).await;

    let processor_before = process.processor_time().context(NoProcessSnafu)?;
    let traffic_before = total(&fleet);
    let began = Instant::now();
    tokio::time::sleep(time).await;
    let seconds = began.elapsed().as_secs_f64();
    let traffic = total(&fleet);
    let processor = process.processor_time().context(NoProcessSnafu)? - processor_before;
    let memory = process.resident_bytes().context(NoProcessSnafu)?;

    let node_seconds = count(nodes as u64) * seconds;
    let sent = sent_on_wire(traffic) - sent_on_wire(traffic_before);
    let received = received_on_wire(traffic) - received_on_wire(traffic_before);
    let datagrams = traffic.sent_datagrams - traffic_before.sent_datagrams;
    Ok(HollowMeasurement {
        nodes,
        seconds,
        join_seconds,
        core_percent_per_node: 100.0 * processor.as_secs_f64() / node_seconds,
        resident_bytes_per_node: memory.saturating_sub(memory_before) / nodes as u64,
        bytes_per_node_per_second: count(sent + received) / node_seconds,
        sent_bytes_per_node_per_second: count(sent) / node_seconds,
        datagrams_per_node_per_second: count(datagrams) / node_seconds,
        complete_views: nodes - incomplete(&fleet),
    })
}

async fn start(nodes: usize) -> Result<Vec<HollowNode>, HollowError> {
    let mut seeds: Vec<SocketAddr> = Vec::new();
    let mut fleet = Vec::new();
    for number in 0..nodes {
        let socket = UdpSocket::bind("127.0.0.1:0").await.context(SocketSnafu)?;
        let address = socket.local_addr().context(SocketSnafu)?;
        let cluster = Cluster::new(identity(number)?, rendezvous_rule());
        let key = ClusterKey::new(KEY)?;
        let handle =
            membership::run(cluster.clone(), socket, key, seeds.clone()).context(SocketSnafu)?;
        if seeds.len() < SEEDS {
            seeds.push(address);
        }
        fleet.push(HollowNode { cluster, handle });
    }
    Ok(fleet)
}

fn identity(number: usize) -> Result<Identity, InvalidName> {
    let zone = number % ZONES;
    let region = if zone.is_multiple_of(2) {
        "east"
    } else {
        "west"
    };
    Ok(Identity {
        node: NodeId(number as u64 + 1),
        incarnation: Incarnation(1),
        region: RegionName::new(region)?,
        zone: ZoneName::new(format!("{region}-{zone}"))?,
    })
}

async fn join(fleet: &[HollowNode]) -> Result<(), HollowError> {
    let limit = Instant::now() + JOIN_LIMIT;
    while incomplete(fleet) > 0 && Instant::now() < limit {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let incomplete = incomplete(fleet);
    ensure!(incomplete == 0, IncompleteSnafu { incomplete });
    Ok(())
}

/// Nodes that do not see all others.
fn incomplete(fleet: &[HollowNode]) -> usize {
    fleet
        .iter()
        .filter(|node| node.cluster.members().members.len() != fleet.len())
        .count()
}

fn total(fleet: &[HollowNode]) -> MembershipTraffic {
    let mut total = MembershipTraffic::default();
    for node in fleet {
        let traffic = node.handle.traffic();
        total.sent_datagrams += traffic.sent_datagrams;
        total.sent_bytes += traffic.sent_bytes;
        total.received_datagrams += traffic.received_datagrams;
        total.received_bytes += traffic.received_bytes;
    }
    total
}

fn sent_on_wire(traffic: MembershipTraffic) -> u64 {
    traffic.sent_bytes + traffic.sent_datagrams * UDP_HEADER_BYTES as u64
}

fn received_on_wire(traffic: MembershipTraffic) -> u64 {
    traffic.received_bytes + traffic.received_datagrams * UDP_HEADER_BYTES as u64
}

#[allow(clippy::cast_precision_loss)]
fn count(number: u64) -> f64 {
    number as f64
}
