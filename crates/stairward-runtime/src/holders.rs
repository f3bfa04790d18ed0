//! Which nodes hold the connections to each service's back ends, as this node sees it. Only services whose holders
//! change with the membership view are worked out anew.

use std::collections::{BTreeMap, BTreeSet};

use stairward_engine::Holder;
use stairward_membership::{Candidate, HolderRanking, Profile};
use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};

/// This node and where it is.
#[derive(Debug, Clone)]
pub struct OwnPlace {
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

impl OwnPlace {
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

/// The holders of every service.
#[derive(Debug, Default)]
pub struct HolderView {
    ranking: HolderRanking,
    counts: BTreeMap<ServiceName, usize>,
    /// The holders of the services that not every node holds, and their places.
    pub places: BTreeMap<ServiceName, Vec<Holder>>,
    /// Services whose connections only other nodes hold: these, nearest first.
    pub elsewhere: BTreeMap<ServiceName, Vec<NodeId>>,
    /// The node that ranks first for each service.
    pub first_holders: BTreeMap<ServiceName, NodeId>,
    /// The node that asks members about each service's lead for all others of the region; none where this one does.
    pub lead_sources: BTreeMap<ServiceName, NodeId>,
}

impl HolderView {
    /// Takes the services in, each with the number of nodes that hold connections to it at most. Returns whether
    /// anything has changed.
    pub fn set_services(
        &mut self,
        own: &OwnPlace,
        members: &[Profile],
        counts: BTreeMap<ServiceName, usize>,
    ) -> bool {
        let changed = self.ranking.set_services(&counts);
        let gone: Vec<_> = self
            .counts
            .keys()
            .filter(|service| !counts.contains_key(*service))
            .cloned()
            .collect();
        for service in &gone {
            self.forget(service);
        }
        self.counts = counts;
        self.work_out(own, members, &changed);
        !changed.is_empty() || !gone.is_empty()
    }

    /// Takes in how many nodes hold connections to these services at most. Returns whether anything has changed.
    pub fn change_services(
        &mut self,
        own: &OwnPlace,
        members: &[Profile],
        counts: impl IntoIterator<Item = (ServiceName, usize)>,
    ) -> bool {
        let mut changed = BTreeSet::new();
        for (service, count) in counts {
            if self.ranking.set_service(&service, count) {
                self.counts.insert(service.clone(), count);
                changed.insert(service);
            }
        }
        self.work_out(own, members, &changed);
        !changed.is_empty()
    }

    /// Takes the membership view in. Returns whether anything has changed.
    pub fn set_members(&mut self, own: &OwnPlace, members: &[Profile]) -> bool {
        let mut changed = self.ranking.set_members(members.iter().map(candidate));
        // Where there are no more nodes than may hold connections, all do.
        let turned = self.counts.iter().filter(|(service, count)| {
            self.places.contains_key(*service) != (members.len() > **count)
        });
        changed.extend(turned.map(|(service, _)| service.clone()));
        self.work_out(own, members, &changed);
        !changed.is_empty()
    }

    fn forget(&mut self, service: &ServiceName) {
        self.places.remove(service);
        self.elsewhere.remove(service);
        self.first_holders.remove(service);
        self.lead_sources.remove(service);
    }

    fn work_out(&mut self, own: &OwnPlace, members: &[Profile], services: &BTreeSet<ServiceName>) {
        if services.is_empty() {
            return;
        }
        let by_node: BTreeMap<NodeId, &Profile> =
            members.iter().map(|member| (member.node, member)).collect();
        for service in services {
            self.forget(service);
            self.work_out_one(own, &by_node, service);
        }
    }

    fn work_out_one(
        &mut self,
        own: &OwnPlace,
        members: &BTreeMap<NodeId, &Profile>,
        service: &ServiceName,
    ) {
        let holders = self.ranking.holders(service);
        let count = self.counts.get(service).copied().unwrap_or(1);
        let of_holder = |node: &NodeId| members.get(node).copied();
        let holders: Vec<&Profile> = holders.iter().filter_map(of_holder).collect();
        if let Some(first) = holders.first() {
            self.first_holders.insert(service.clone(), first.node);
        }
        let is_near = |holder: &&&Profile| own.distance(holder) < Distance::Elsewhere;
        let source = holders.iter().find(is_near);
        if let Some(source) = source.filter(|source| source.node != own.node) {
            self.lead_sources.insert(service.clone(), source.node);
        }
        if members.len() <= count {
            return;
        }
        let place = |holder: &&Profile| Holder {
            node: holder.node,
            is_near: own.distance(holder) < Distance::Elsewhere,
            zone: holder.zone.clone(),
        };
        let places = holders.iter().map(place).collect();
        self.places.insert(service.clone(), places);
        if !holders.iter().any(|holder| holder.node == own.node) {
            let ranked = by_nearness(own, &holders);
            self.elsewhere.insert(service.clone(), ranked);
        }
    }
}

/// Holders of the own zone first, then of the own region; each node begins elsewhere among them.
fn by_nearness(own: &OwnPlace, holders: &[&Profile]) -> Vec<NodeId> {
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
