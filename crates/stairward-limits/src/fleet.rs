//! How many nodes there may be: never fewer than may spend a share.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{NodeId, Time};

/// How long a peer's number counts. It is told anew with each message.
const WORD_LIFE: Duration = Duration::from_secs(10);

/// The nodes that may live.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// When each node was last seen.
    seen: BTreeMap<NodeId, Time>,
    /// The largest number that peers told lately, and when.
    told: Option<(Time, u32)>,
    /// The number that is kept outside the fleet; none while that is not known.
    recorded: Option<u32>,
}

impl Fleet {
    /// Takes the view in: nodes that live, and those that said they leave.
    pub fn note(
        &mut self,
        now: Time,
        live: &BTreeSet<NodeId>,
        leaving: &BTreeSet<NodeId>,
        node_retention: Duration,
    ) {
        for node in live {
            self.seen.insert(*node, now);
        }
        self.seen
            .retain(|node, at| !leaving.contains(node) && now.since(*at) < node_retention);
    }

    /// A peer told how many nodes it counts.
    pub fn note_told(&mut self, now: Time, nodes: u32) {
        if nodes == 0 {
            return;
        }
        let known = self.told.filter(|(at, _)| now.since(*at) < WORD_LIFE);
        if known.is_none_or(|(_, most)| nodes >= most) {
            self.told = Some((now, nodes));
        }
    }

    /// How many nodes this one counts by itself.
    pub fn counted(&self) -> u32 {
        u32::try_from(self.seen.len()).unwrap_or(u32::MAX).max(1)
    }

    /// What this node tells others: what it counts and what is on record, but nothing that it was told, so that no
    /// number lives on by being passed around. 0 while it does not know the record.
    pub fn word(&self) -> u32 {
        self.recorded
            .map_or(0, |recorded| recorded.max(self.counted()))
    }

    /// The number that is kept outside the fleet was read; 0 where none is kept yet.
    pub fn note_recorded(&mut self, nodes: u32) {
        self.recorded = Some(nodes);
    }

    /// The number that is kept outside the fleet; none while that is not known.
    pub fn recorded(&self) -> Option<u32> {
        self.recorded
    }

    /// How many nodes there may be. None while a node that has just started, and may see few of the others,
    /// knows neither the record nor anyone who does.
    pub fn size(&self, now: Time) -> Option<u32> {
        let told = self.told.filter(|(at, _)| now.since(*at) < WORD_LIFE);
        let told = told.map(|(_, nodes)| nodes);
        let known = told.max(self.recorded)?;
        Some(known.max(self.counted()))
    }
}
