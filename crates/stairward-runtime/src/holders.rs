//! Which nodes hold the connections to each service's back ends, as this node sees it. Only services whose holders
//! change with the membership view are worked out anew.

use std::collections::{BTreeMap, BTreeSet};

use stairward_engine::{Holder, ServiceHolders};
use stairward_membership::{Candidate, HolderRanking, Profile};
use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};

/// This node and where it is.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// Its number.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// How far a node is from this one.
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

/// What is worked out anew of some services.
type Changes = BTreeMap<ServiceName, ServiceHolders>;

/// Works out the holders of every service. What follows for a service is handed on when it changes, and not kept.
#[derive(Debug, Default)]
pub struct HolderAssignments {
    ranking: HolderRanking,
    counts: BTreeMap<ServiceName, usize>,
    /// How many members the view last had.
    members: usize,
}

impl HolderAssignments {
    /// Takes the services in, each with the number of nodes that hold connections to it at most. Returns what has
    /// changed; a service that is gone has no holders.
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

    /// Takes in how many nodes hold connections to these services at most. Returns what has changed.
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

    /// Takes the membership view in. Returns what has changed.
    pub fn set_members(&mut self, own: &LocalNode, members: &[Profile]) -> Changes {
        let mut changed = self.ranking.set_members(members.iter().map(candidate));
        let before = std::mem::replace(&mut self.members, members.len());
        // Where there are no more nodes than may hold connections, all do.
        let crosses_threshold = |count: usize| (before > count) != (members.len() > count);
        let turned = self
            .counts
            .iter()
            .filter(|(_, count)| crosses_threshold(**count));
        changed.extend(turned.map(|(service, _)| service.clone()));
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
        let is_near = |holder: &Profile| own.distance(holder) < Distance::Elsewhere;
        let source = holders.iter().find(|holder| is_near(holder));
        let mut found = ServiceHolders {
            first: holders.first().map(|first| first.node),
            lead_source: source
                .map(|source| source.node)
                .filter(|source| *source != own.node),
            ..ServiceHolders::default()
        };
        if members.len() <= count {
            return found;
        }
        let place = |holder: &&Profile| Holder {
            node: holder.node,
            is_near: is_near(holder),
            zone: holder.zone.clone(),
        };
        found.places = holders.iter().map(place).collect();
        if !holders.iter().any(|holder| holder.node == own.node) {
            found.elsewhere = by_nearness(own, &holders);
        }
        found
    }
}

/// Holders of the own zone first, then of the own region; each node begins elsewhere among them.
fn by_nearness(own: &LocalNode, holders: &[&Profile]) -> Vec<NodeId> {
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
