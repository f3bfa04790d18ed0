//! Which nodes serve a back end: rendezvous hashing (Thaler and Ravishankar, 1998) over the members.
//!
//! Every node with the same view names the same owner, and when a member comes or goes only the back
//! ends it ranks first for move.

use std::cmp::Reverse;

use stairward_types::{BackendId, NodeId, RegionName, ZoneName};
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
