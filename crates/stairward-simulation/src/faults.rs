//! Injects faults, carries them out and ends them.

use std::time::Duration;

use rand::RngExt as _;
use stairward_types::{BackendId, ZoneName};

use crate::options::FaultKind;
use crate::restores::StoreCopy;
use crate::world::{SimulationEvent, World};

/// How long a leaving database keeps running after the drain limit.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(2);
/// How long a database must be unresponsive before discovery removes it.
pub(crate) const LISTING_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Percentage of statements whose responses are lost.
const LOST_RESPONSES_PERCENT: u32 = 8;
/// Minimum pause between two faults, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;
/// Factor by which a lagging replica applies later than usual.
const LAG_FACTOR: u32 = 60;

/// How a fault ends.
#[derive(Debug)]
pub(crate) enum FaultEnd {
    DatabaseStarts(BackendId),
    /// The database restarts without its log.
    DatabaseStartsWithoutLog(BackendId),
    DatabaseUnlisted(BackendId, u64),
    DatabaseStops(BackendId),
    ReplicaRecovers(BackendId),
    PartitionHeals(Vec<(usize, BackendId)>),
    StorePartitionHeals(usize),
    StoreRecovers,
    DatabaseResponsesRecover,
    PromotionsRecover,
    StoreResponsesRecover,
    EvacuationEnds(ZoneName),
    /// The store becomes unavailable, to be restored from this copy.
    StoreStops(Box<StoreCopy>),
    StoreRestored(Box<StoreCopy>),
    OperatorRewrites,
    DatabaseRewrites(BackendId),
}

impl World {
    /// Injects the next fault and schedules the one after it.
    pub fn inject_fault(&mut self) {
        let is_before_end = self.now() < stairward_types::Time::ZERO + self.options.duration;
        if self.remaining_faults == 0 || self.options.faults.is_empty() || !is_before_end {
            return;
        }
        self.remaining_faults -= 1;
        self.disturbance.record(self.queue.now());
        let index = self.random.random_range(0..self.options.faults.len());
        let kind = self.options.faults[index];
        let duration = self.random_duration(1_000, 6_000);
        let now = self.now();
        self.faults
            .push(format!("{now:?} {kind:?} for {duration:?}"));
        self.start_fault(kind, duration);
        let pause = self.random_duration(MIN_PAUSE_MS, self.options.max_pause_ms);
        self.queue.schedule(pause, SimulationEvent::InjectFault);
    }

    fn start_fault(&mut self, kind: FaultKind, duration: Duration) {
        match kind {
            FaultKind::PrimaryCrash => self.crash_primary(duration),
            FaultKind::PrimaryUnresponsive => self.silence_primary(duration),
            FaultKind::PrimaryLeaves => self.start_leaving_primary(),
            FaultKind::GroupLeaves => self.start_leaving_all(),
            FaultKind::PrimaryLostLog => {
                if let Some(id) = self.running_primary() {
                    self.restart_without_log(id, duration / 4);
                }
            }
            FaultKind::ReplicaLostLog => {
                if let Some(id) = self.random_replica() {
                    self.restart_without_log(id, duration / 4);
                }
            }
            FaultKind::PrimaryIsolated => self.isolate_primary(duration),
            FaultKind::ReplicaLag => self.slow_replica(duration),
            FaultKind::ReplicaIsolated => self.isolate_replica(duration),
            FaultKind::NodeKill => self.kill_random_node(),
            FaultKind::NodePause => self.pause_random_node(duration),
            FaultKind::PrimaryPartition => self.partition_primary(duration),
            FaultKind::StorePartition => self.partition_from_store(duration),
            FaultKind::StoreUnavailable => self.stop_store(duration),
            FaultKind::StoreRestored => self.plan_restore(duration),
            FaultKind::StoreResponseLost => {
                self.store.loses_responses = true;
                self.end_after(duration, FaultEnd::StoreResponsesRecover);
            }
            FaultKind::DelayedPromotion => {
                self.delays_promotions = true;
                self.end_after(duration * 2, FaultEnd::PromotionsRecover);
            }
            FaultKind::ResponseLost => {
                self.response_loss_percent = LOST_RESPONSES_PERCENT;
                self.end_after(duration, FaultEnd::DatabaseResponsesRecover);
            }
            FaultKind::ConfigurationChange => self.change_configuration(),
            FaultKind::Evacuation => {
                if let Some(zone) = self.evacuate() {
                    self.end_after(duration * 2, FaultEnd::EvacuationEnds(zone));
                }
            }
        }
    }

    pub(crate) fn end_after(&mut self, duration: Duration, end: FaultEnd) {
        self.queue
            .schedule(duration, SimulationEvent::FaultEnds(end));
    }

    fn running_primary(&self) -> Option<BackendId> {
        let id = self.group.primary()?;
        let database = self.group.databases.get(id)?;
        let is_running =
            database.is_alive && !database.is_silent && database.leaving_since.is_none();
        is_running.then(|| id.clone())
    }

    fn random_replica(&mut self) -> Option<BackendId> {
        let primary = self.group.primary().cloned();
        let replicas: Vec<_> = self
            .group
            .databases
            .keys()
            .filter(|id| Some(*id) != primary.as_ref())
            .cloned()
            .collect();
        let index = self.random.random_range(0..replicas.len());
        replicas.get(index).cloned()
    }

    fn random_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn crash_primary(&mut self, duration: Duration) {
        if let Some(id) = self.running_primary() {
            self.stop_database(&id);
            let revision = self.group.revision;
            self.end_after(
                LISTING_TIMEOUT,
                FaultEnd::DatabaseUnlisted(id.clone(), revision),
            );
            self.end_after(duration, FaultEnd::DatabaseStarts(id));
        }
    }

    fn silence_primary(&mut self, duration: Duration) {
        if let Some(id) = self.running_primary() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_silent = true;
                let connection_keys: Vec<_> = database.connections.keys().copied().collect();
                self.stalled.extend(connection_keys);
            }
            let revision = self.group.revision;
            self.end_after(
                LISTING_TIMEOUT,
                FaultEnd::DatabaseUnlisted(id.clone(), revision),
            );
            self.end_after(duration, FaultEnd::DatabaseStarts(id));
        }
    }

    fn start_leaving_primary(&mut self) {
        if let Some(id) = self.running_primary() {
            self.start_leaving(id);
        }
    }

    /// Restarts a database without its log after a pause. Does nothing unless all others are reachable
    /// and have their logs: losing two logs would lose acknowledged commits.
    fn restart_without_log(&mut self, id: BackendId, pause: Duration) {
        let others_have_logs = self
            .group
            .databases
            .values()
            .all(|database| database.id == id || database.can_ship_log());
        let is_alive = self.group.databases.get(&id).is_some_and(|d| d.is_alive);
        if is_alive && others_have_logs {
            self.stop_database(&id);
            self.end_after(pause, FaultEnd::DatabaseStartsWithoutLog(id));
        }
    }

    fn start_leaving_all(&mut self) {
        let running = self.group.databases.values().filter(|database| {
            database.is_alive && !database.is_silent && database.leaving_since.is_none()
        });
        let running: Vec<_> = running.map(|database| database.id.clone()).collect();
        for id in running {
            self.start_leaving(id);
        }
    }

    /// A database announces that it is leaving, and stops after the drain limit.
    fn start_leaving(&mut self, id: BackendId) {
        let now = self.now();
        if let Some(database) = self.group.databases.get_mut(&id) {
            database.leaving_since = Some(now);
        }
        self.group.announce(&id);
        self.notify_all_nodes();
        let drain_limit = self.options.drain_limit;
        self.end_after(drain_limit + SHUTDOWN_DELAY, FaultEnd::DatabaseStops(id));
    }

    fn isolate_primary(&mut self, duration: Duration) {
        if let Some(id) = self.running_primary() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_isolated = true;
            }
            self.end_after(duration, FaultEnd::ReplicaRecovers(id));
        }
    }

    fn slow_replica(&mut self, duration: Duration) {
        if let Some(id) = self.random_replica() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.lag_factor = LAG_FACTOR;
            }
            self.end_after(duration, FaultEnd::ReplicaRecovers(id));
        }
    }

    fn isolate_replica(&mut self, duration: Duration) {
        if let Some(id) = self.random_replica() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_isolated = true;
            }
            self.end_after(duration, FaultEnd::ReplicaRecovers(id));
        }
    }

    fn kill_random_node(&mut self) {
        let node = self.random_node();
        if self.nodes[node].is_running {
            self.kill_node(node);
            let pause = self.random_duration(300, 1_500);
            self.queue.schedule(pause, SimulationEvent::StartNode(node));
        }
    }

    fn pause_random_node(&mut self, duration: Duration) {
        let node = self.random_node();
        let until = self.now() + duration;
        self.nodes[node].paused_until = until;
        self.nodes[node].connected_since = self.nodes[node].connected_since.max(until);
    }

    fn partition_primary(&mut self, duration: Duration) {
        let Some(id) = self.running_primary() else {
            return;
        };
        let count = self.nodes.len().div_ceil(2);
        let partition: Vec<_> = (0..count).map(|node| (node, id.clone())).collect();
        self.partitions.extend(partition.iter().cloned());
        self.end_after(duration, FaultEnd::PartitionHeals(partition));
    }

    fn partition_from_store(&mut self, duration: Duration) {
        let node = self.random_node();
        let until = self.now() + duration;
        self.nodes[node].is_partitioned_from_store = true;
        self.nodes[node].connected_since = self.nodes[node].connected_since.max(until);
        self.end_after(duration, FaultEnd::StorePartitionHeals(node));
    }

    fn stop_store(&mut self, duration: Duration) {
        self.stop_store_for(duration);
        self.end_after(duration, FaultEnd::StoreRecovers);
    }

    /// Makes the store unavailable until it is recovered explicitly, which is expected after this time.
    pub(crate) fn stop_store_for(&mut self, duration: Duration) {
        let until = self.now() + duration;
        self.store.go_down(self.now());
        for node in &mut self.nodes {
            node.connected_since = node.connected_since.max(until);
        }
    }

    /// Starts a database in its previous role without its log.
    fn start_without_log(&mut self, id: &BackendId) {
        let now = self.now();
        let Some(role) = self.group.databases.get(id).map(|database| database.role) else {
            return;
        };
        // Another fault may have started it in the meantime, with its log; a process loses its log only by
        // restarting, which closes its connections.
        self.stop_database(id);
        let lost = self.group.erase_log(id);
        self.checker.record_rollback(&lost);
        self.start_database(id);
        if let Some(database) = self.group.databases.get_mut(id) {
            database.role = role;
        }
        self.group.announce(id);
        self.notify_all_nodes();
        self.decisions
            .push(format!("{now:?} {id} restarts without its log as {role:?}"));
    }

    /// Ends a fault.
    pub fn end_fault(&mut self, end: FaultEnd) {
        self.disturbance.record(self.queue.now());
        match end {
            FaultEnd::DatabaseStarts(id) => self.start_database(&id),
            FaultEnd::DatabaseStartsWithoutLog(id) => self.start_without_log(&id),
            FaultEnd::DatabaseUnlisted(id, revision) => {
                let is_unchanged = self
                    .group
                    .listed
                    .get(&id)
                    .is_some_and(|listed| listed.revision.revision() <= revision);
                let is_unreachable = self
                    .group
                    .databases
                    .get(&id)
                    .is_some_and(|database| !database.is_alive || database.is_silent);
                if is_unchanged && is_unreachable {
                    let now = self.now();
                    self.group.unlist(&id, now);
                    self.notify_all_nodes();
                }
            }
            FaultEnd::DatabaseStops(id) => {
                self.stop_database(&id);
                let now = self.now();
                self.group.unlist(&id, now);
                self.notify_all_nodes();
                self.end_after(SHUTDOWN_DELAY, FaultEnd::DatabaseStarts(id));
            }
            FaultEnd::ReplicaRecovers(id) => {
                if let Some(database) = self.group.databases.get_mut(&id) {
                    database.lag_factor = 1;
                    database.is_isolated = false;
                }
            }
            FaultEnd::PartitionHeals(partition) => {
                for pair in partition {
                    self.partitions.remove(&pair);
                }
            }
            FaultEnd::StorePartitionHeals(node) => {
                self.nodes[node].is_partitioned_from_store = false
            }
            FaultEnd::StoreRecovers => {
                let now = self.now();
                self.store.recover(now);
            }
            FaultEnd::DatabaseResponsesRecover => self.response_loss_percent = 0,
            FaultEnd::PromotionsRecover => self.delays_promotions = false,
            FaultEnd::StoreResponsesRecover => self.store.loses_responses = false,
            FaultEnd::EvacuationEnds(zone) => self.end_evacuation(&zone),
            FaultEnd::StoreStops(copy) => self.stop_for_restore(copy),
            FaultEnd::StoreRestored(copy) => self.restore_store(*copy),
            FaultEnd::OperatorRewrites => self.rewrite_operator_state(),
            FaultEnd::DatabaseRewrites(id) => self.rewrite_database_entry(&id),
        }
    }
}
