//! The neighbour graph used for settings dissemination.
//!
//! Members are placed on several hash rings, in a different order on each. A node's neighbours are
//! its predecessor and successor on each ring. The relation is symmetric, nodes with equal views
//! derive the same graph, and a joining or leaving member changes the neighbours of only a few
//! nodes. The union of a few random rings is an expander with high probability (Law and Siu,
//! "Distributed Construction of Random Expander Networks", 2003): any two nodes are a few hops
//! apart, along disjoint paths.

use std::collections::BTreeSet;

use stairward_types::NodeId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The neighbours of `node` among `members` on `rings` rings: at most two per ring.
#[must_use]
pub fn neighbours(node: NodeId, members: &[NodeId], rings: u64) -> BTreeSet<NodeId> {
    (0..rings)
        .flat_map(|ring| ring_neighbours(node, members, ring))
        .flatten()
        .collect()
}

/// A position on a ring; the node number breaks ties.
type RingPosition = (u64, NodeId);

fn position(node: NodeId, ring: u64) -> RingPosition {
    (xxh3_64_with_seed(&node.0.to_be_bytes(), ring), node)
}

fn ring_neighbours(node: NodeId, members: &[NodeId], ring: u64) -> [Option<NodeId>; 2] {
    let own = position(node, ring);
    let mut bounds = RingBounds::default();
    let mut predecessor: Option<RingPosition> = None;
    let mut successor: Option<RingPosition> = None;
    for member in members.iter().copied().filter(|member| *member != node) {
        let candidate = position(member, ring);
        bounds.extend(candidate);
        if candidate < own {
            predecessor = predecessor.max(Some(candidate));
        } else {
            successor = Some(successor.map_or(candidate, |known| known.min(candidate)));
        }
    }
    let before = predecessor.or(bounds.highest);
    let after = successor.or(bounds.lowest);
    [before, after].map(|position| position.map(|(_, member)| member))
}

/// The lowest and highest positions of a ring, which are adjacent.
#[derive(Default)]
struct RingBounds {
    lowest: Option<RingPosition>,
    highest: Option<RingPosition>,
}

impl RingBounds {
    fn extend(&mut self, candidate: RingPosition) {
        self.lowest = Some(self.lowest.map_or(candidate, |known| known.min(candidate)));
        self.highest = self.highest.max(Some(candidate));
    }
}
