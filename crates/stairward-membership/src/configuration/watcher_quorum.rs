//! Distinguishes an unavailable store from a broken link to it.
//!
//! A watcher that cannot read the store contacts the watchers of all regions. If a majority of them
//! can reach each other and none can read the store, the store is considered unavailable to
//! everybody: no edit can be accepted, so the known settings remain the newest. A watcher that is
//! partitioned alone or with a minority finds no majority and provides no proof.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{NodeId, RegionName, Time};

use super::digest::SettingsDigest;
use super::message::PeerLocation;
use super::watcher::ranked_watchers;

/// Maximum number of watchers contacted; enough for eight regions with two watchers each.
const MAXIMUM_WATCHERS: usize = 16;

/// The other watchers in this node's view, and the send time of the last request each answered.
#[derive(Debug, Clone, Default)]
pub(super) struct WatcherQuorum {
    others: BTreeMap<NodeId, Option<Time>>,
}

impl WatcherQuorum {
    /// Recomputes the watchers of all regions.
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

    /// The watchers to contact.
    pub(super) fn others(&self) -> Vec<NodeId> {
        self.others.keys().copied().collect()
    }

    /// Records a watcher's answer to a request sent at `requested_at`.
    pub(super) fn record_answer(
        &mut self,
        peer: NodeId,
        requested_at: Time,
        digest: &SettingsDigest,
    ) {
        if let Some(heard_at) = self.others.get_mut(&peer).filter(|_| digest.watching) {
            *heard_at = (*heard_at).max(Some(requested_at));
        }
    }

    /// The latest time at which a majority of the watchers, including this node, was reachable.
    pub(super) fn majority_heard_at(&self, now: Time) -> Option<Time> {
        let majority = self.others.len().div_ceil(2) + 1;
        let mut times: Vec<Time> = self.others.values().copied().flatten().collect();
        times.push(now);
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(majority - 1).copied()
    }
}
