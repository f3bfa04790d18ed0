//! Incremental ranking of the members that hold connections for each service. A starting fleet
//! changes its view hundreds of times. Ranking every member for every service each time took 38% of
//! the processor time of 300 nodes (`perf`, 8,000 samples), so only rankings affected by a change
//! are recomputed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ownership::Candidate;

/// A zone with members, by region and name.
type ZoneKey = (RegionName, ZoneName);

/// A member's score for a service (rendezvous hashing; Thaler and Ravishankar, 1998). The smallest
/// ranks first.
type Score = (Reverse<u64>, NodeId);

/// For each service, the members that hold its connections when not all members can. Up to a
/// configured number of holders is taken from the zones in round-robin order, by hash within each
/// zone. Nodes with equal views select the same holders, and a joining or leaving member changes
/// few of them.
#[derive(Debug, Clone, Default)]
pub struct HolderRanking {
    /// The members that may hold connections; leaving members are excluded.
    members: BTreeMap<NodeId, ZoneKey>,
    zones: BTreeMap<ZoneKey, BTreeSet<NodeId>>,
    services: BTreeMap<ServiceName, ServiceRanking>,
}

/// The ranking for one service.
#[derive(Debug, Clone)]
struct ServiceRanking {
    /// Maximum number of holders.
    count: usize,
    /// Maximum number of holders in a zone.
    per_zone: usize,
    /// The first `per_zone` members of each zone.
    best: BTreeMap<ZoneKey, Vec<Score>>,
    /// The holders, best rank first.
    holders: Vec<NodeId>,
}

impl HolderRanking {
    /// The holders of a service, best rank first; empty for an unknown service.
    #[must_use]
    pub fn holders(&self, service: &ServiceName) -> &[NodeId] {
        self.services
            .get(service)
            .map_or(&[], |ranked| &ranked.holders)
    }

    /// Replaces all services, each with its maximum number of holders. Returns the services that
    /// are new or whose number has changed.
    pub fn set_services(&mut self, counts: &BTreeMap<ServiceName, usize>) -> BTreeSet<ServiceName> {
        self.services
            .retain(|service, _| counts.contains_key(service));
        let mut changed = BTreeSet::new();
        for (service, count) in counts {
            if self.set_service(service, *count) {
                changed.insert(service.clone());
            }
        }
        changed
    }

    /// Sets the maximum number of holders of a service. Returns whether it has changed.
    pub fn set_service(&mut self, service: &ServiceName, count: usize) -> bool {
        let known = self.services.get(service);
        if known.is_some_and(|ranked| ranked.count == count) {
            return false;
        }
        let ranked = rank(&self.zones, service, count);
        self.services.insert(service.clone(), ranked);
        true
    }

    /// Replaces all members. Returns the services whose holders have changed or have moved to
    /// another zone.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = Candidate<'a>>,
    ) -> BTreeSet<ServiceName> {
        let active = members.into_iter().filter(|member| !member.leaving);
        let present: BTreeMap<NodeId, (&RegionName, &ZoneName)> = active
            .map(|member| (member.node, (member.region, member.zone)))
            .collect();
        let is_present = |node: &NodeId, zone_key: &ZoneKey| {
            present
                .get(node)
                .is_some_and(|(region, zone)| **region == zone_key.0 && **zone == zone_key.1)
        };
        let removed: Vec<_> = self
            .members
            .iter()
            .filter(|(node, zone_key)| !is_present(node, zone_key))
            .map(|(node, zone_key)| (*node, zone_key.clone()))
            .collect();
        for (node, zone_key) in &removed {
            self.remove(*node, zone_key);
        }
        let joined: Vec<_> = present
            .iter()
            .filter(|(node, _)| !self.members.contains_key(*node))
            .map(|(node, (region, zone))| (*node, ((*region).clone(), (*zone).clone())))
            .collect();
        for (node, zone_key) in &joined {
            self.members.insert(*node, zone_key.clone());
            self.zones
                .entry(zone_key.clone())
                .or_default()
                .insert(*node);
        }
        self.rerank(&removed, &joined)
    }

    fn remove(&mut self, node: NodeId, zone_key: &ZoneKey) {
        self.members.remove(&node);
        if let Some(zone) = self.zones.get_mut(zone_key) {
            zone.remove(&node);
            if zone.is_empty() {
                self.zones.remove(zone_key);
            }
        }
    }

    fn rerank(
        &mut self,
        removed: &[(NodeId, ZoneKey)],
        joined: &[(NodeId, ZoneKey)],
    ) -> BTreeSet<ServiceName> {
        if removed.is_empty() && joined.is_empty() {
            return BTreeSet::new();
        }
        let sizes: Vec<usize> = self.zones.values().map(BTreeSet::len).collect();
        // Most services have the same number of holders.
        let mut per_zone_by_count = BTreeMap::new();
        let mut changed = BTreeSet::new();
        for (service, ranked) in &mut self.services {
            let per_zone = *per_zone_by_count
                .entry(ranked.count)
                .or_insert_with(|| required_per_zone(&sizes, ranked.count));
            let has_changed = if per_zone == ranked.per_zone {
                ranked.change(service, &self.zones, removed, joined)
            } else {
                let before = std::mem::replace(ranked, rank(&self.zones, service, ranked.count));
                before.holders != ranked.holders || ranked.holds_any(joined)
            };
            if has_changed {
                changed.insert(service.clone());
            }
        }
        changed
    }
}

fn rank(
    zones: &BTreeMap<ZoneKey, BTreeSet<NodeId>>,
    service: &ServiceName,
    count: usize,
) -> ServiceRanking {
    let sizes: Vec<usize> = zones.values().map(BTreeSet::len).collect();
    let per_zone = required_per_zone(&sizes, count);
    let best = zones
        .iter()
        .map(|(zone_key, zone)| (zone_key.clone(), best_of(zone, service, per_zone)))
        .collect();
    let mut ranked = ServiceRanking {
        count,
        per_zone,
        best,
        holders: Vec::new(),
    };
    ranked.merge();
    ranked
}

/// The `per_zone` members of a zone with the highest scores for a service, best rank first.
fn best_of(zone: &BTreeSet<NodeId>, service: &ServiceName, per_zone: usize) -> Vec<Score> {
    let mut best = Vec::with_capacity(per_zone + 1);
    for node in zone {
        insert(&mut best, score_of(service, *node), per_zone);
    }
    best
}

/// Inserts a member into the ranking of its zone if it is among the first `per_zone`. Returns
/// whether it is.
fn insert(best: &mut Vec<Score>, score: Score, per_zone: usize) -> bool {
    let is_full = best.len() >= per_zone;
    if is_full && best.last().is_none_or(|last| score > *last) {
        return false;
    }
    let index = best.partition_point(|known| *known < score);
    best.insert(index, score);
    best.truncate(per_zone);
    true
}

impl ServiceRanking {
    /// Applies removed and joined members. Returns whether the holders have changed or have moved
    /// to another zone.
    fn change(
        &mut self,
        service: &ServiceName,
        zones: &BTreeMap<ZoneKey, BTreeSet<NodeId>>,
        removed: &[(NodeId, ZoneKey)],
        joined: &[(NodeId, ZoneKey)],
    ) -> bool {
        let mut is_affected = false;
        let mut to_rerank = BTreeSet::new();
        for (node, zone_key) in removed {
            let best = self.best.get(zone_key);
            if best.is_some_and(|best| best.iter().any(|(_, known)| known == node)) {
                to_rerank.insert(zone_key);
            }
        }
        for zone_key in to_rerank {
            is_affected = true;
            match zones.get(zone_key) {
                Some(zone) => {
                    let best = best_of(zone, service, self.per_zone);
                    self.best.insert(zone_key.clone(), best);
                }
                None => {
                    self.best.remove(zone_key);
                }
            }
        }
        for (node, zone_key) in joined {
            let score = score_of(service, *node);
            let best = self.best.entry(zone_key.clone()).or_default();
            // A reranked zone already contains it.
            if !best.contains(&score) {
                is_affected |= insert(best, score, self.per_zone);
            }
        }
        if !is_affected {
            return false;
        }
        let before = std::mem::take(&mut self.holders);
        self.merge();
        before != self.holders || self.holds_any(joined)
    }

    fn merge(&mut self) {
        self.holders = merge_round_robin(self.best.values(), self.count);
    }

    /// Whether any of these members is a holder; it may have rejoined in another zone.
    fn holds_any(&self, members: &[(NodeId, ZoneKey)]) -> bool {
        members.iter().any(|(node, _)| self.holders.contains(node))
    }
}

/// The score of a member for a service.
fn score_of(service: &ServiceName, node: NodeId) -> Score {
    let hash = xxh3_64_with_seed(service.as_str().as_bytes(), node.0);
    (Reverse(hash), node)
}

/// Number of members needed from each zone at most to fill `count` holders, given the zone sizes.
fn required_per_zone(sizes: &[usize], count: usize) -> usize {
    let largest = sizes.iter().copied().max().unwrap_or(0);
    let total = |per_zone: usize| -> usize {
        let taken = sizes.iter().map(|size| (*size).min(per_zone));
        taken.sum()
    };
    (0..largest)
        .find(|per_zone| total(*per_zone) >= count)
        .unwrap_or(largest)
}

/// Selects the holders from the rankings of the zones: the first of each zone, then the second of
/// each.
fn merge_round_robin<'a>(
    zones: impl IntoIterator<Item = &'a Vec<Score>>,
    count: usize,
) -> Vec<NodeId> {
    let mut ranked = Vec::new();
    for best in zones {
        ranked.extend(best.iter().copied().enumerate());
    }
    ranked.sort_unstable();
    let holders = ranked.into_iter().take(count);
    holders.map(|(_, (_, node))| node).collect()
}
