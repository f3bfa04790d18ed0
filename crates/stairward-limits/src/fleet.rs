//! Upper estimate of the number of nodes: never fewer than may spend a share.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{NodeId, Time};

/// How long a number reported by a peer counts. Each message repeats it.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// The nodes that may be alive.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// When each node was last seen.
    last_seen: BTreeMap<NodeId, Time>,
    /// The largest number that peers have reported recently, and when.
    reported: Option<(Time, u32)>,
    /// The recorded number of nodes; `None` until it has been read.
    recorded: Option<u32>,
}

impl Fleet {
    /// Applies the present view: nodes that are alive, and nodes that announced that they leave.
    pub fn update(
        &mut self,
        now: Time,
        live: &BTreeSet<NodeId>,
        leaving: &BTreeSet<NodeId>,
        node_retention: Duration,
    ) {
        for node in live {
            self.last_seen.insert(*node, now);
        }
        self.last_seen
            .retain(|node, at| !leaving.contains(node) && now.since(*at) < node_retention);
    }

    /// Records the number of nodes that a peer reported.
    pub fn record_reported(&mut self, now: Time, nodes: u32) {
        if nodes == 0 {
            return;
        }
        let known = self
            .reported
            .filter(|(at, _)| now.since(*at) < REPORT_LIFETIME);
        if known.is_none_or(|(_, most)| nodes >= most) {
            self.reported = Some((now, nodes));
        }
    }

    /// The number of nodes that this node has seen itself.
    pub fn counted(&self) -> u32 {
        u32::try_from(self.last_seen.len())
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// The number to report to peers: what this node counts or has read from the record, but not
    /// what others reported, so that an outdated number does not circulate indefinitely. 0 until the
    /// record has been read.
    pub fn size_to_report(&self) -> u32 {
        self.recorded
            .map_or(0, |recorded| recorded.max(self.counted()))
    }

    /// Sets the recorded number of nodes, which is kept outside the fleet; 0 if there is no record
    /// yet.
    pub fn set_recorded(&mut self, nodes: u32) {
        self.recorded = Some(nodes);
    }

    /// The recorded number of nodes; `None` until it has been read.
    pub fn recorded(&self) -> Option<u32> {
        self.recorded
    }

    /// The number of nodes that there may be. `None` on a node that has just started, and may see
    /// only few others, until it has read the record or heard from a node that has.
    pub fn size(&self, now: Time) -> Option<u32> {
        let reported = self
            .reported
            .filter(|(at, _)| now.since(*at) < REPORT_LIFETIME);
        let reported = reported.map(|(_, nodes)| nodes);
        let known = reported.max(self.recorded)?;
        Some(known.max(self.counted()))
    }
}
