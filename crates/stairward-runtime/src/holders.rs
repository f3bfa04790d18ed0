//! Assigns, for each service, the nodes that hold connections to its back ends, from this node's membership view.
//! Only services whose holders change with the view are recomputed.

use std::collections::{BTreeMap, BTreeSet};

use stairward_engine::{Holder, ServiceHolders};
use stairward_membership::{Candidate, HolderRanking, Profile};
use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};

/// Identity and location of this node.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// Node id.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// Network distance of a node from this one, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Elsewhere,
}

impl LocalNode {
    fn distance(&self, member: &Profile) -> Distance {
        if member.zone == self.zone {
            Distance::Zone
        } else if member.region == self.region {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }
}

/// Recomputed holders, by service.
type Changes = BTreeMap<ServiceName, ServiceHolders>;

/// Computes the holders of every service. Results are returned when they change and are not stored.
#[derive(Debug, Default)]
pub struct HolderAssignments {
    ranking: HolderRanking,
    counts: BTreeMap<ServiceName, usize>,
    /// Number of members in the last view.
    members: usize,
}

impl HolderAssignments {
    /// Replaces the services, each with its maximum number of holders. Returns what changed; a removed service is
    /// returned without holders.
    pub fn set_services(
        &mut self,
        own: &LocalNode,
        members: &[Profile],
        counts: BTreeMap<ServiceName, usize>,
    ) -> Changes {
        let changed = self.ranking.set_services(&counts);
        let is_gone = |service: &&ServiceName| !counts.contains_key(*service);
        let gone = self.counts.keys().filter(is_gone);
        let gone = gone.map(|service| (service.clone(), ServiceHolders::default()));
        let mut changes: Changes = gone.collect();
        self.counts = counts;
        changes.extend(self.compute(own, members, changed));
        changes
    }

    /// Updates the maximum number of holders of some services. Returns what changed.
    pub fn update_holder_counts(
        &mut self,
        own: &LocalNode,
        members: &[Profile],
        counts: impl IntoIterator<Item = (ServiceName, usize)>,
    ) -> Changes {
        let mut changed = BTreeSet::new();
        for (service, count) in counts {
            if self.ranking.set_service(&service, count) {
                self.counts.insert(service.clone(), count);
                changed.insert(service);
            }
        }
        self.compute(own, members, changed)
    }

    /// Replaces the membership view. Returns what changed.
    pub fn set_members(&mut self, own: &LocalNode, members: &[Profile]) -> Changes {
        let mut changed = self.ranking.set_members(members.iter().map(candidate));
        let before = std::mem::replace(&mut self.members, members.len());
        // While a service's maximum is not below the number of nodes, every node is a holder.
        let crosses_threshold = |count: usize| (before > count) != (members.len() > count);
        let crossing = self
            .counts
            .iter()
            .filter(|(_, count)| crosses_threshold(**count));
        changed.extend(crossing.map(|(service, _)| service.clone()));
        self.compute(own, members, changed)
    }

    fn compute(
        &self,
        own: &LocalNode,
        members: &[Profile],
        services: BTreeSet<ServiceName>,
    ) -> Changes {
        if services.is_empty() {
            return Changes::new();
        }
        let by_node: BTreeMap<NodeId, &Profile> =
            members.iter().map(|member| (member.node, member)).collect();
        let computed = services.into_iter().map(|service| {
            let holders = self.compute_service(own, &by_node, &service);
            (service, holders)
        });
        computed.collect()
    }

    fn compute_service(
        &self,
        own: &LocalNode,
        members: &BTreeMap<NodeId, &Profile>,
        service: &ServiceName,
    ) -> ServiceHolders {
        let holders = self.ranking.holders(service);
        let count = self.counts.get(service).copied().unwrap_or(1);
        let of_holder = |node: &NodeId| members.get(node).copied();
        let holders: Vec<&Profile> = holders.iter().filter_map(of_holder).collect();
        let is_same_region = |holder: &Profile| own.distance(holder) < Distance::Elsewhere;
        let source = holders.iter().find(|holder| is_same_region(holder));
        let mut found = ServiceHolders {
            first_ranked: holders.first().map(|first| first.node),
            leadership_source: source
                .map(|source| source.node)
                .filter(|source| *source != own.node),
            ..ServiceHolders::default()
        };
        if members.len() <= count {
            return found;
        }
        let place = |holder: &&Profile| Holder {
            node: holder.node,
            is_same_region: is_same_region(holder),
            zone: holder.zone.clone(),
        };
        found.holders = holders.iter().map(place).collect();
        if !holders.iter().any(|holder| holder.node == own.node) {
            found.forward_targets = by_distance(own, &holders);
        }
        found
    }
}

/// Orders holders by distance: own zone, own region, others. Holders at the same distance are ordered by XOR with the
/// own node id, so that the nodes spread their load over them.
fn by_distance(own: &LocalNode, holders: &[&Profile]) -> Vec<NodeId> {
    let rank = |holder: &&Profile| {
        (
            own.distance(holder),
            holder.node.0 ^ own.node.0,
            holder.node,
        )
    };
    let mut ranked: Vec<_> = holders.iter().map(rank).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, node)| node).collect()
}

fn candidate(member: &Profile) -> Candidate<'_> {
    Candidate {
        node: member.node,
        region: &member.region,
        zone: &member.zone,
        leaving: member.leaving,
    }
}
