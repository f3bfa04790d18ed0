//! Faults at given times.

use std::time::Duration;

use stairward_types::BackendId;

use crate::faults::{FaultEnd, LISTING_TIMEOUT};
use crate::options::{PlannedFaultKind, Return};
use crate::world::{SimulationEvent, World};

/// How long a node that is killed stays down.
const NODE_DOWN_TIME: Duration = Duration::from_millis(300);
/// Pause between the restarts of two nodes.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_000);

impl World {
    pub(crate) fn start_planned_fault(&mut self, kind: PlannedFaultKind) {
        let now = self.now();
        self.disturbance.record(now);
        self.faults.push(format!("{now:?} {kind:?}"));
        match kind {
            PlannedFaultKind::DatabaseStops(id, returns) => self.stop_planned(id, returns),
            PlannedFaultKind::DatabaseIsolated(id, duration) => {
                if let Some(database) = self.group.databases.get_mut(&id) {
                    database.is_isolated = true;
                }
                self.end_after(duration, FaultEnd::ReplicaRecovers(id));
            }
            PlannedFaultKind::NodesRestart => self.restart_nodes(),
            PlannedFaultKind::StoreRestored(age) => self.plan_restore(age),
        }
    }

    fn stop_planned(&mut self, id: BackendId, returns: Return) {
        self.stop_database(&id);
        let revision = self.group.revision;
        let unlisted = FaultEnd::DatabaseUnlisted(id.clone(), revision);
        self.end_after(LISTING_TIMEOUT, unlisted);
        match returns {
            Return::Never => {}
            Return::WithLog(after) => self.end_after(after, FaultEnd::DatabaseStarts(id)),
            Return::Empty(after) => self.end_after(after, FaultEnd::DatabaseStartsWithoutLog(id)),
        }
    }

    fn restart_nodes(&mut self) {
        let mut at = Duration::ZERO;
        for node in 0..self.nodes.len() {
            self.queue.schedule(at, SimulationEvent::KillNode(node));
            self.queue
                .schedule(at + NODE_DOWN_TIME, SimulationEvent::StartNode(node));
            at += RESTART_INTERVAL;
        }
    }
}
