//! Whether anything fails: without a reason, a service must not keep changing its primary.

use stairward_types::Time;

use crate::checker::Invariant;
use crate::database::Database;
use crate::nodes::Node;
use crate::world::World;

/// Changes of primary that may follow the last disturbance: one that was due to it.
const CHANGES_ALLOWED: u32 = 1;

/// The last disturbance, and what has happened since.
#[derive(Debug, Default)]
pub(crate) struct Disturbance {
    last_at: Time,
    /// Promotions that are to be carried out late.
    pub late_promotions: u32,
    changes_since: u32,
}

impl Disturbance {
    /// Something failed, recovered, or was carried out late.
    pub fn record(&mut self, now: Time) {
        self.last_at = self.last_at.max(now);
        self.changes_since = 0;
    }
}

fn is_database_well(database: &Database) -> bool {
    database.is_reachable() && database.leaving_since.is_none() && database.lag_factor == 1
}

impl World {
    fn is_node_well(&self, node: &Node) -> bool {
        node.is_running && !node.is_partitioned_from_store && self.now() >= node.paused_until
    }

    /// Whether a fault is in progress.
    fn is_disturbed(&self) -> bool {
        let is_store_well = !self.store.is_down && !self.store.loses_responses;
        let is_group_well = self.group.databases.values().all(is_database_well)
            && self.group.listed.len() == self.group.databases.len();
        !is_store_well
            || !is_group_well
            || !self.nodes.iter().all(|node| self.is_node_well(node))
            || !self.partitions.is_empty()
            || !self.store.evacuated.is_empty()
            || self.response_loss_percent > 0
            || self.delays_promotions
            || self.disturbance.late_promotions > 0
    }

    /// A promotion has started a term.
    pub(crate) fn check_stable_primary(&mut self) {
        let now = self.now();
        let resumed_at = self.nodes.iter().map(|node| node.paused_until).max();
        let is_disturbed = self.is_disturbed() || resumed_at > Some(self.disturbance.last_at);
        if is_disturbed {
            return self.disturbance.record(now);
        }
        self.checker.count(Invariant::StablePrimary);
        self.disturbance.changes_since += 1;
        let (changes, since) = (self.disturbance.changes_since, self.disturbance.last_at);
        if changes > CHANGES_ALLOWED {
            let text = format!("{changes} changes of primary since {since:?} with nothing failing");
            self.checker
                .record_violation(now, Invariant::StablePrimary, text);
        }
    }
}
