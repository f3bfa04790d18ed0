//! Owner selection for back ends by rendezvous hashing (Thaler and Ravishankar, 1998) of the
//! members.
//!
//! Nodes with equal views select the same owner. When a member joins or leaves, only the back ends
//! for which it ranks first change owner.

use std::cmp::Reverse;

use stairward_types::{BackendId, NodeId, RegionName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A live member as input to the ranking.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The member's number.
    pub node: NodeId,
    /// The member's region.
    pub region: &'a RegionName,
    /// The member's zone.
    pub zone: &'a ZoneName,
    /// Whether it has announced a planned stop. Leaving members rank behind all others.
    pub leaving: bool,
}

/// The first two members in the ranking for a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranking {
    /// The first member.
    pub owner: NodeId,
    /// The second member; `None` if there is only one.
    pub standby: Option<NodeId>,
}

/// Distance between a member and a back end. Earlier variants are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Elsewhere,
}

/// Sort key of a candidate; the smallest ranks first.
type Rank = (bool, Distance, Reverse<u64>, NodeId);

/// Ranks the members for a back end: members that are not leaving first, then by distance, then by
/// hash. `None` without members.
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
