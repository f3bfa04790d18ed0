//! What the nodes of a simulated fleet were seen to believe, against what was true.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, Time};

use crate::simulated_network::NodeIndex;

/// A loss and who noticed it when.
#[derive(Debug, Clone, Default)]
pub struct Loss {
    /// When the node was lost.
    pub at: Time,
    /// When each observer first took it as gone.
    pub noticed: BTreeMap<NodeIndex, Time>,
}

/// Everything observed in one run.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// The losses that were not followed by a restart, by node.
    pub losses: BTreeMap<NodeIndex, Loss>,
    /// Times that a node took another as failed that was running and could be reached.
    pub false_positives: u64,
    /// Times that a node was suspected by another.
    pub suspicions: u64,
    /// Paused nodes that were taken as failed.
    pub paused_taken_as_failed: BTreeSet<NodeIndex>,
}

impl Observations {
    /// A node was lost.
    pub fn lost(&mut self, node: NodeIndex, at: Time) {
        let loss = Loss {
            at,
            noticed: BTreeMap::new(),
        };
        self.losses.insert(node, loss);
    }

    /// An observer took a node as gone that was lost.
    pub fn noticed(&mut self, node: NodeIndex, observer: NodeIndex, at: Time) {
        if let Some(loss) = self.losses.get_mut(&node) {
            loss.noticed.entry(observer).or_insert(at);
        }
    }

    /// For each loss, how long until the last of the observers that are still up noticed; none for
    /// a loss that one of them has not noticed.
    pub fn times_to_all(&self, observers: &[NodeIndex]) -> Vec<Option<Duration>> {
        self.losses
            .values()
            .map(|loss| time_to_all(loss, observers))
            .collect()
    }

    /// For each loss and each observer still up that noticed, how long it took.
    pub fn times_to_each(&self, observers: &[NodeIndex]) -> Vec<Duration> {
        let mut times = Vec::new();
        for loss in self.losses.values() {
            let noticed = observers.iter().filter_map(|node| loss.noticed.get(node));
            times.extend(noticed.map(|at| at.since(loss.at)));
        }
        times
    }
}

fn time_to_all(loss: &Loss, observers: &[NodeIndex]) -> Option<Duration> {
    let mut last = loss.at;
    for observer in observers {
        last = last.max(*loss.noticed.get(observer)?);
    }
    Some(last.since(loss.at))
}
