//! The holders of many services, kept as members come and go. A fleet that starts changes its view hundreds of times;
//! ranking every member for every service each time took 38% of the processor time of 300 nodes then (`perf`, 8,000
//! samples), so only what a change touches is ranked anew.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ownership::Candidate;

/// A zone with members, by region and name.
type Place = (RegionName, ZoneName);

/// A member by how high it scores for a service (rendezvous hashing; Thaler and Ravishankar, 1998); the smallest is
/// preferred.
type Score = (Reverse<u64>, NodeId);

/// The members that hold a service's connections when not all can, for each service: at most so many, taken from the
/// zones in turn, in each zone by hash. Every node with the same view names the same ones, and when a member comes
/// or goes few of them change.
#[derive(Debug, Clone, Default)]
pub struct HolderRanking {
    /// The members that may hold connections; those that leave hold nothing.
    members: BTreeMap<NodeId, Place>,
    zones: BTreeMap<Place, BTreeSet<NodeId>>,
    services: BTreeMap<ServiceName, Ranked>,
}

/// What is kept of one service.
#[derive(Debug, Clone)]
struct Ranked {
    /// Holders that it has at most.
    count: usize,
    /// Members of a zone that can be among the holders at most.
    turns: usize,
    /// The best members of each zone, so many at most.
    best: BTreeMap<Place, Vec<Score>>,
    /// Best first.
    holders: Vec<NodeId>,
}

impl HolderRanking {
    /// The holders of a service, best first; none for a service that is not known.
    #[must_use]
    pub fn holders(&self, service: &ServiceName) -> &[NodeId] {
        self.services
            .get(service)
            .map_or(&[], |ranked| &ranked.holders)
    }

    /// Takes the services whole, each with the number of holders that it has at most. Returns those that are new or
    /// whose number has changed.
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

    /// Takes in how many holders a service has at most. Returns whether that is news.
    pub fn set_service(&mut self, service: &ServiceName, count: usize) -> bool {
        let known = self.services.get(service);
        if known.is_some_and(|ranked| ranked.count == count) {
            return false;
        }
        let ranked = rank(&self.zones, service, count);
        self.services.insert(service.clone(), ranked);
        true
    }

    /// Takes the members whole. Returns the services that have other holders now, or one in another place.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = Candidate<'a>>,
    ) -> BTreeSet<ServiceName> {
        let stays = members.into_iter().filter(|member| !member.leaving);
        let present: BTreeMap<NodeId, (&RegionName, &ZoneName)> = stays
            .map(|member| (member.node, (member.region, member.zone)))
            .collect();
        let is_present = |node: &NodeId, place: &Place| {
            present
                .get(node)
                .is_some_and(|(region, zone)| **region == place.0 && **zone == place.1)
        };
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(node, place)| !is_present(node, place))
            .map(|(node, place)| (*node, place.clone()))
            .collect();
        for (node, place) in &gone {
            self.remove(*node, place);
        }
        let come: Vec<_> = present
            .iter()
            .filter(|(node, _)| !self.members.contains_key(*node))
            .map(|(node, (region, zone))| (*node, ((*region).clone(), (*zone).clone())))
            .collect();
        for (node, place) in &come {
            self.members.insert(*node, place.clone());
            self.zones.entry(place.clone()).or_default().insert(*node);
        }
        self.rank_changes(&gone, &come)
    }

    fn remove(&mut self, node: NodeId, place: &Place) {
        self.members.remove(&node);
        if let Some(zone) = self.zones.get_mut(place) {
            zone.remove(&node);
            if zone.is_empty() {
                self.zones.remove(place);
            }
        }
    }

    fn rank_changes(
        &mut self,
        gone: &[(NodeId, Place)],
        come: &[(NodeId, Place)],
    ) -> BTreeSet<ServiceName> {
        if gone.is_empty() && come.is_empty() {
            return BTreeSet::new();
        }
        let sizes: Vec<usize> = self.zones.values().map(BTreeSet::len).collect();
        // Few services differ in their number of holders.
        let mut turns_by_count = BTreeMap::new();
        let mut changed = BTreeSet::new();
        for (service, ranked) in &mut self.services {
            let turns = *turns_by_count
                .entry(ranked.count)
                .or_insert_with(|| turns_for(&sizes, ranked.count));
            let has_changed = if turns == ranked.turns {
                ranked.change(service, &self.zones, gone, come)
            } else {
                let before = std::mem::replace(ranked, rank(&self.zones, service, ranked.count));
                before.holders != ranked.holders || ranked.holds_any(come)
            };
            if has_changed {
                changed.insert(service.clone());
            }
        }
        changed
    }
}

fn rank(zones: &BTreeMap<Place, BTreeSet<NodeId>>, service: &ServiceName, count: usize) -> Ranked {
    let sizes: Vec<usize> = zones.values().map(BTreeSet::len).collect();
    let turns = turns_for(&sizes, count);
    let best = zones
        .iter()
        .map(|(place, zone)| (place.clone(), best_of(zone, service, turns)))
        .collect();
    let mut ranked = Ranked {
        count,
        turns,
        best,
        holders: Vec::new(),
    };
    ranked.merge();
    ranked
}

/// The members of a zone that score highest for a service, best first.
fn best_of(zone: &BTreeSet<NodeId>, service: &ServiceName, turns: usize) -> Vec<Score> {
    let mut best = Vec::with_capacity(turns + 1);
    for node in zone {
        insert(&mut best, score_of(service, *node), turns);
    }
    best
}

/// Takes a member among the best of its zone, if it is one of so many. Returns whether it is.
fn insert(best: &mut Vec<Score>, score: Score, turns: usize) -> bool {
    let is_full = best.len() >= turns;
    if is_full && best.last().is_none_or(|last| score > *last) {
        return false;
    }
    let place = best.partition_point(|known| *known < score);
    best.insert(place, score);
    best.truncate(turns);
    true
}

impl Ranked {
    /// Takes members out and in. Returns whether there are other holders now, or one in another place.
    fn change(
        &mut self,
        service: &ServiceName,
        zones: &BTreeMap<Place, BTreeSet<NodeId>>,
        gone: &[(NodeId, Place)],
        come: &[(NodeId, Place)],
    ) -> bool {
        let mut touched = false;
        let mut to_rank_anew = BTreeSet::new();
        for (node, place) in gone {
            let best = self.best.get(place);
            if best.is_some_and(|best| best.iter().any(|(_, known)| known == node)) {
                to_rank_anew.insert(place);
            }
        }
        for place in to_rank_anew {
            touched = true;
            match zones.get(place) {
                Some(zone) => {
                    let best = best_of(zone, service, self.turns);
                    self.best.insert(place.clone(), best);
                }
                None => {
                    self.best.remove(place);
                }
            }
        }
        for (node, place) in come {
            let score = score_of(service, *node);
            let best = self.best.entry(place.clone()).or_default();
            // A zone that was ranked anew has it already.
            if !best.contains(&score) {
                touched |= insert(best, score, self.turns);
            }
        }
        if !touched {
            return false;
        }
        let before = std::mem::take(&mut self.holders);
        self.merge();
        before != self.holders || self.holds_any(come)
    }

    fn merge(&mut self) {
        self.holders = merge_in_turn(self.best.values(), self.count);
    }

    /// Whether one of these is a holder: it may have come back in another zone.
    fn holds_any(&self, members: &[(NodeId, Place)]) -> bool {
        members.iter().any(|(node, _)| self.holders.contains(node))
    }
}

/// How high a member scores for a service.
fn score_of(service: &ServiceName, node: NodeId) -> Score {
    let hash = xxh3_64_with_seed(service.as_str().as_bytes(), node.0);
    (Reverse(hash), node)
}

/// How many members of each zone are needed at most for so many holders, by the zones' sizes.
fn turns_for(sizes: &[usize], count: usize) -> usize {
    let largest = sizes.iter().copied().max().unwrap_or(0);
    let reached = |turns: usize| -> usize {
        let taken = sizes.iter().map(|size| (*size).min(turns));
        taken.sum()
    };
    (0..largest)
        .find(|turns| reached(*turns) >= count)
        .unwrap_or(largest)
}

/// The holders out of the best members of each zone: the best of all zones first, then the second of each.
fn merge_in_turn<'a>(zones: impl IntoIterator<Item = &'a Vec<Score>>, count: usize) -> Vec<NodeId> {
    let mut ranked = Vec::new();
    for best in zones {
        ranked.extend(best.iter().copied().enumerate());
    }
    ranked.sort_unstable();
    let holders = ranked.into_iter().take(count);
    holders.map(|(_, (_, node))| node).collect()
}
