//! Selection of the watchers of a region and of the watchers that a node follows.

use stairward_types::{NodeId, RegionName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::parameters::{MEMBERS_PER_WATCHER, MINIMUM_WATCHERS, SOURCES_PER_NODE};
use crate::configuration::{PeerLocation, ranked_watchers};

/// The watchers of a region, best rank first.
pub(super) fn watchers(region: &RegionName, members: &[PeerLocation]) -> Vec<NodeId> {
    let of_region = members.iter().filter(|member| member.region == *region);
    let wanted = of_region.count().div_ceil(MEMBERS_PER_WATCHER);
    ranked_watchers(region, members, wanted.max(MINIMUM_WATCHERS))
}

/// Mean number of followers per watcher in a region, rounded up.
pub(super) fn followers_per_watcher(region: &RegionName, members: &[PeerLocation]) -> u32 {
    let of_region = members.iter().filter(|member| member.region == *region);
    let count = of_region.count();
    let watchers = count.div_ceil(MEMBERS_PER_WATCHER).max(MINIMUM_WATCHERS);
    let followers = count.saturating_sub(watchers) * SOURCES_PER_NODE;
    u32::try_from(followers.div_ceil(watchers)).unwrap_or(u32::MAX)
}

/// The watchers for a node to follow: those of its region or, if there are too few, any other
/// members. Each node ranks them by its own hash, so that followers are spread evenly.
pub(super) fn sources(node: NodeId, region: &RegionName, members: &[PeerLocation]) -> Vec<NodeId> {
    let watchers = watchers(region, members);
    let others = members
        .iter()
        .filter(|member| member.node != node && !member.leaving);
    let mut ranked: Vec<_> = others
        .map(|member| {
            let score = xxh3_64_with_seed(&member.node.0.to_be_bytes(), node.0);
            (!watchers.contains(&member.node), score, member.node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(SOURCES_PER_NODE);
    ranked.into_iter().map(|(_, _, watcher)| watcher).collect()
}
