//! What each node believes of the others, and which back ends it therefore wants.

use std::collections::{BTreeMap, BTreeSet};

use stairward_membership::{Candidate, rank_owners};
use stairward_pool::OwnerRole;
use stairward_types::{BackendId, NodeId};

use crate::simulated_network::{NodeIndex, Topology};

/// Which nodes stand before a node in the ranking for a back end.
type Predecessors = Vec<NodeIndex>;

/// Every node's membership view, and the ranking by it.
#[derive(Debug)]
pub(super) struct Views {
    believed_failed: Vec<BTreeSet<NodeIndex>>,
    /// By node: the back ends it may come to want.
    contended: Vec<BTreeMap<usize, Predecessors>>,
}

impl Views {
    /// Ranks the fleet for every back end. `subsets` are the sets of nodes that anybody may come to
    /// believe alive; only nodes that rank first or second in one of them can want the back end.
    pub(super) fn new(
        topology: &Topology,
        backends: usize,
        subsets: &[BTreeSet<NodeIndex>],
    ) -> Self {
        let mut contended = vec![BTreeMap::new(); topology.len()];
        for backend in 0..backends {
            let mut contenders = BTreeSet::new();
            for subset in subsets {
                contenders.extend(first_two(topology, backend, subset.iter().copied()));
            }
            for node in contenders {
                let others = (0..topology.len()).filter(|other| *other != node);
                let before = others.filter(|other| ranks_before(topology, backend, *other, node));
                contended[node].insert(backend, before.collect());
            }
        }
        Self {
            believed_failed: vec![BTreeSet::new(); topology.len()],
            contended,
        }
    }

    /// The node learns that another has failed or is alive.
    pub(super) fn learn(&mut self, node: NodeIndex, other: NodeIndex, failed: bool) {
        if failed {
            self.believed_failed[node].insert(other);
        } else {
            self.believed_failed[node].remove(&other);
        }
    }

    /// The back ends a node may come to want.
    pub(super) fn contended_by(&self, node: NodeIndex) -> Vec<usize> {
        self.contended[node].keys().copied().collect()
    }

    /// The role a node wants at a back end by its present view.
    pub(super) fn wanted(&self, node: NodeIndex, backend: usize) -> Option<OwnerRole> {
        let before = self.contended[node].get(&backend)?;
        let failed = &self.believed_failed[node];
        let mut alive = before.iter().filter(|other| !failed.contains(other));
        match (alive.next(), alive.next()) {
            (None, _) => Some(OwnerRole::Owner),
            (Some(_), None) => Some(OwnerRole::Standby),
            (Some(_), Some(_)) => None,
        }
    }
}

/// Zone of a back end: they go round the zones as nodes do.
pub(super) fn zone_of(topology: &Topology, backend: usize) -> usize {
    backend % topology.zones()
}

fn first_two(
    topology: &Topology,
    backend: usize,
    nodes: impl Iterator<Item = NodeIndex>,
) -> Vec<NodeIndex> {
    let ranking = rank(topology, backend, nodes);
    ranking.map_or_else(Vec::new, |ranking| {
        let nodes = std::iter::once(ranking.owner).chain(ranking.standby);
        nodes.map(index_of).collect()
    })
}

fn ranks_before(topology: &Topology, backend: usize, one: NodeIndex, other: NodeIndex) -> bool {
    let ranking = rank(topology, backend, [one, other].into_iter());
    ranking.is_some_and(|ranking| index_of(ranking.owner) == one)
}

fn rank(
    topology: &Topology,
    backend: usize,
    nodes: impl Iterator<Item = NodeIndex>,
) -> Option<stairward_membership::Ranking> {
    let candidates = nodes.map(|node| {
        let place = topology.place(node);
        Candidate {
            node: NodeId(node as u64),
            region: &place.region,
            zone: &place.zone,
            leaving: false,
        }
    });
    let name = BackendId::new(format!("backend-{backend}")).expect("a valid name");
    let place = topology.place(zone_of(topology, backend));
    rank_owners(candidates, &name, &place.region, &place.zone)
}

fn index_of(node: NodeId) -> NodeIndex {
    usize::try_from(node.0).unwrap_or(usize::MAX)
}
