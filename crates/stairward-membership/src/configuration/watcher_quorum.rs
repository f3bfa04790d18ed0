//! Telling a store that is down from a link to it that is cut.
//!
//! A watcher that cannot read the store asks the watchers of all regions. While a majority of them
//! hear each other and none can read the store, the store is taken to be down for everybody: no edit
//! can be accepted, so the known settings stay the newest. A watcher cut off on its own, or with a
//! minority, finds no majority and vouches for nothing.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{NodeId, RegionName, Time};

use super::digest::SettingsDigest;
use super::message::PeerLocation;
use super::watcher::ranked_watchers;

/// Watchers asked in all. With two a region this serves eight regions.
const MAXIMUM_WATCHERS: usize = 16;

/// The other watchers by this node's view, and when each last answered.
#[derive(Debug, Clone, Default)]
pub(super) struct WatcherQuorum {
    others: BTreeMap<NodeId, Option<Time>>,
}

impl WatcherQuorum {
    /// Ranks the watchers of all regions anew.
    pub(super) fn members_changed(
        &mut self,
        own: NodeId,
        members: &[PeerLocation],
        per_region: usize,
    ) {
        let regions: BTreeSet<&RegionName> = members.iter().map(|member| &member.region).collect();
        let ranked = regions
            .into_iter()
            .flat_map(|region| ranked_watchers(region, members, per_region))
            .filter(|node| *node != own)
            .take(MAXIMUM_WATCHERS);
        self.others = ranked
            .map(|node| (node, self.others.get(&node).copied().flatten()))
            .collect();
    }

    /// The watchers to ask.
    pub(super) fn others(&self) -> Vec<NodeId> {
        self.others.keys().copied().collect()
    }

    /// Notes a watcher's answer to a question sent at `asked_at`.
    pub(super) fn heard(&mut self, peer: NodeId, asked_at: Time, digest: &SettingsDigest) {
        if let Some(heard_at) = self.others.get_mut(&peer).filter(|_| digest.watching) {
            *heard_at = (*heard_at).max(Some(asked_at));
        }
    }

    /// The latest moment at which a majority of the watchers, this node included, were heard.
    pub(super) fn majority_heard_at(&self, now: Time) -> Option<Time> {
        let majority = self.others.len().div_ceil(2) + 1;
        let mut heard: Vec<Time> = self.others.values().copied().flatten().collect();
        heard.push(now);
        heard.sort_unstable_by(|left, right| right.cmp(left));
        heard.get(majority - 1).copied()
    }
}
