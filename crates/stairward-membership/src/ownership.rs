//! Which nodes serve a back end: rendezvous hashing (Thaler and Ravishankar, 1998) over the members.
//!
//! Every node with the same view names the same owner, and when a member comes or goes only the back
//! ends it ranks first for move.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use stairward_types::{BackendId, NodeId, RegionName, ServiceName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What the ranking needs to know of a member believed alive.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its number.
    pub node: NodeId,
    /// Its region.
    pub region: &'a RegionName,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Whether it has announced a planned stop. It ranks behind all members that have not.
    pub leaving: bool,
}

/// The first two members for a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranking {
    /// Ranks first.
    pub owner: NodeId,
    /// Ranks second; none when there is only one member.
    pub standby: Option<NodeId>,
}

/// How far a member stands from a back end. Earlier variants are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Elsewhere,
}

/// Orders candidates; the smallest is preferred.
type Rank = (bool, Distance, Reverse<u64>, NodeId);

/// Ranks the members for a back end: those not leaving first, then by nearness, then by hash.
/// None without members.
#[must_use]
pub fn rank_owners<'a>(
    members: impl IntoIterator<Item = Candidate<'a>>,
    backend: &BackendId,
    region: &RegionName,
    zone: &ZoneName,
) -> Option<Ranking> {
    let mut first: Option<Rank> = None;
    let mut second: Option<Rank> = None;
    for member in members {
        let distance = distance(&member, region, zone);
        let score = Reverse(score(backend, member.node));
        let rank = (member.leaving, distance, score, member.node);
        if first.is_none_or(|best| rank < best) {
            second = first.replace(rank);
        } else if second.is_none_or(|best| rank < best) {
            second = Some(rank);
        }
    }
    let (.., owner) = first?;
    let standby = second.map(|(.., node)| node);
    Some(Ranking { owner, standby })
}

fn distance(member: &Candidate<'_>, region: &RegionName, zone: &ZoneName) -> Distance {
    if member.region != region {
        return Distance::Elsewhere;
    }
    if member.zone == zone {
        Distance::SameZone
    } else {
        Distance::SameRegion
    }
}

fn score(backend: &BackendId, node: NodeId) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), node.0)
}

/// The members that may hold connections, by zone, so that the holders of many services are found quickly.
#[derive(Debug, Clone, Default)]
pub struct HolderIndex {
    zones: Vec<Vec<NodeId>>,
}

impl HolderIndex {
    /// An index of the members. Those that leave hold nothing.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = Candidate<'a>>) -> Self {
        let mut zones: BTreeMap<(&RegionName, &ZoneName), Vec<NodeId>> = BTreeMap::new();
        for member in members.into_iter().filter(|member| !member.leaving) {
            let zone = zones.entry((member.region, member.zone)).or_default();
            zone.push(member.node);
        }
        Self {
            zones: zones.into_values().collect(),
        }
    }

    /// The members that hold a service's connections when not all can: at most `count`, taken from the zones in
    /// turn, in each zone by hash. Best first.
    #[must_use]
    pub fn holders(&self, service: &ServiceName, count: usize) -> Vec<NodeId> {
        let turns = self.turns(count);
        let mut ranked = Vec::new();
        for zone in &self.zones {
            let best = best_of(zone, service, turns);
            ranked.extend(best.into_iter().enumerate());
        }
        ranked.sort_unstable();
        let holders = ranked.into_iter().take(count);
        holders.map(|(_, (_, node))| node).collect()
    }

    /// How many members of each zone are needed at most for so many holders.
    fn turns(&self, count: usize) -> usize {
        let largest = self.zones.iter().map(Vec::len).max().unwrap_or(0);
        let reached = |turns: usize| -> usize {
            let taken = self.zones.iter().map(|zone| zone.len().min(turns));
            taken.sum()
        };
        (0..largest)
            .find(|turns| reached(*turns) >= count)
            .unwrap_or(largest)
    }
}

/// The members of a zone that score highest for a service, best first.
fn best_of(zone: &[NodeId], service: &ServiceName, count: usize) -> Vec<(Reverse<u64>, NodeId)> {
    let mut best: Vec<(Reverse<u64>, NodeId)> = Vec::with_capacity(count + 1);
    for node in zone {
        let score = xxh3_64_with_seed(service.as_str().as_bytes(), node.0);
        let entry = (Reverse(score), *node);
        if best.len() == count && best.last().is_none_or(|last| entry > *last) {
            continue;
        }
        let place = best.partition_point(|known| *known < entry);
        best.insert(place, entry);
        best.truncate(count);
    }
    best
}

/// The holders of one service; see [`HolderIndex::holders`].
#[must_use]
pub fn rank_holders<'a>(
    members: impl IntoIterator<Item = Candidate<'a>>,
    service: &ServiceName,
    count: usize,
) -> Vec<NodeId> {
    HolderIndex::new(members).holders(service, count)
}
