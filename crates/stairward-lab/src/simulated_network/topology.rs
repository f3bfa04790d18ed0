//! Where simulated nodes stand and how far apart they are.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use stairward_types::{Duration, RegionName, ZoneName};

use super::NodeIndex;

/// Port of every simulated node.
const PORT: u16 = 7_400;
/// First octet of every simulated node's address.
const NETWORK: u32 = 10 << 24;

/// One-way latencies.
#[derive(Debug, Clone, Copy)]
pub struct Latencies {
    /// Within a zone.
    pub within_zone: Duration,
    /// Between two zones of a region.
    pub between_zones: Duration,
    /// Between two regions.
    pub between_regions: Duration,
}

impl Latencies {
    /// The longest of the brief's places: 1.5 ms between zones and 20 ms between regions. Within a
    /// zone a tenth of a millisecond and more is usual; a quarter is taken.
    #[must_use]
    pub const fn lintas() -> Self {
        Self {
            within_zone: Duration::from_micros(250),
            between_zones: Duration::from_micros(1_500),
            between_regions: Duration::from_millis(20),
        }
    }
}

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// The places of all nodes. Nodes go round the zones, so that zones have equal sizes.
#[derive(Debug, Clone)]
pub struct Topology {
    nodes: usize,
    places: Vec<Place>,
    latencies: Latencies,
}

impl Topology {
    /// Seven zones, four in one region and three in the other.
    ///
    /// # Panics
    /// Never: the names are valid.
    #[must_use]
    pub fn two_regions(nodes: usize, latencies: Latencies) -> Self {
        let zones = [
            ("east", "east-a"),
            ("west", "west-a"),
            ("east", "east-b"),
            ("west", "west-b"),
            ("east", "east-c"),
            ("west", "west-c"),
            ("east", "east-d"),
        ];
        let places = zones
            .into_iter()
            .map(|(region, zone)| Place {
                region: RegionName::new(region).expect("a valid name"),
                zone: ZoneName::new(zone).expect("a valid name"),
            })
            .collect();
        Self {
            nodes,
            places,
            latencies,
        }
    }

    /// How many nodes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes
    }

    /// Whether there are no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes == 0
    }

    /// How many zones there are.
    #[must_use]
    pub fn zones(&self) -> usize {
        self.places.len()
    }

    /// Which zone a node stands in, from zero.
    #[must_use]
    pub fn zone_index(&self, node: NodeIndex) -> usize {
        node % self.places.len()
    }

    /// Where a node stands.
    #[must_use]
    pub fn place(&self, node: NodeIndex) -> &Place {
        &self.places[self.zone_index(node)]
    }

    /// Whether a node stands in the first region.
    #[must_use]
    pub fn is_in_first_region(&self, node: NodeIndex) -> bool {
        self.place(node).region == self.places[0].region
    }

    /// A node's address.
    #[must_use]
    pub fn address(&self, node: NodeIndex) -> SocketAddr {
        let number = u32::try_from(node).unwrap_or(u32::MAX) + 1;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::from(NETWORK + number)), PORT)
    }

    /// The node at an address.
    #[must_use]
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeIndex> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let number = u32::from(ip).checked_sub(NETWORK + 1)?;
        let node = usize::try_from(number).ok()?;
        (node < self.nodes).then_some(node)
    }

    /// One-way latency between two nodes, without jitter.
    #[must_use]
    pub fn latency(&self, one: NodeIndex, other: NodeIndex) -> Duration {
        let (one, other) = (self.place(one), self.place(other));
        match () {
            () if one.region != other.region => self.latencies.between_regions,
            () if one.zone != other.zone => self.latencies.between_zones,
            () => self.latencies.within_zone,
        }
    }
}
