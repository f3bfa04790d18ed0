//! Faults: when they strike, what they do, and how they end.

use std::time::Duration;

use rand::RngExt as _;
use stairward_types::{BackendId, ZoneName};

use crate::options::FaultKind;
use crate::restores::StoreCopy;
use crate::world::{Happening, World};

/// How much later than its time a leaving database ends.
const LINGER: Duration = Duration::from_secs(2);
/// Silence after which discovery forgets a database.
pub(crate) const LISTING_LAPSE: Duration = Duration::from_millis(3_600);
/// Share of statements whose answers are lost, in percent.
const LOST_ANSWERS_PERCENT: u32 = 8;
/// The shortest pause between two faults, in milliseconds.
const SHORTEST_PAUSE: u64 = 100;
/// How many times later a lagging replica applies.
const LAG_FACTOR: u32 = 60;

/// How a fault ends.
#[derive(Debug)]
pub(crate) enum Ending {
    DatabaseStarts(BackendId),
    /// It starts and knows nothing of before.
    DatabaseReborn(BackendId),
    DatabaseForgotten(BackendId, u64),
    DatabaseEnds(BackendId),
    ReplicaRecovers(BackendId),
    CutHeals(Vec<(usize, BackendId)>),
    StoreHeals(usize),
    StoreReturns,
    AnswersReturn,
    PromotionsReturn,
    StoreAnswers,
    EvacuationEnds(ZoneName),
    /// The store goes away, and is to come back from this copy.
    StoreGoes(Box<StoreCopy>),
    StoreRestored(Box<StoreCopy>),
    OperatorWritesAgain,
    DatabaseWritesAgain(BackendId),
}

impl World {
    /// The next fault strikes.
    pub fn strike(&mut self) {
        let is_early = self.now() < stairward_types::Time::ZERO + self.options.duration;
        if self.strikes_left == 0 || self.options.faults.is_empty() || !is_early {
            return;
        }
        self.strikes_left -= 1;
        let place = self.random.random_range(0..self.options.faults.len());
        let kind = self.options.faults[place];
        let length = self.between(1_000, 6_000);
        let now = self.now();
        self.faults.push(format!("{now:?} {kind:?} for {length:?}"));
        self.apply(kind, length);
        let pause = self.between(SHORTEST_PAUSE, self.options.max_pause_ms);
        self.queue.plan(pause, Happening::Strike);
    }

    fn apply(&mut self, kind: FaultKind, length: Duration) {
        match kind {
            FaultKind::PrimaryCrash => self.crash_primary(length),
            FaultKind::PrimaryUnresponsive => self.darken_primary(length),
            FaultKind::PrimaryLeaves => self.leave_primary(),
            FaultKind::GroupLeaves => self.leave_all(),
            FaultKind::PrimaryLostLog => {
                if let Some(id) = self.live_primary() {
                    self.bear_again(id, length / 4);
                }
            }
            FaultKind::ReplicaLostLog => {
                if let Some(id) = self.some_replica() {
                    self.bear_again(id, length / 4);
                }
            }
            FaultKind::PrimaryIsolated => self.isolate_primary(length),
            FaultKind::ReplicaLag => self.slow_replica(length),
            FaultKind::ReplicaIsolated => self.deafen_replica(length),
            FaultKind::NodeKill => self.kill_some_node(),
            FaultKind::NodePause => self.freeze_some_node(length),
            FaultKind::PrimaryPartition => self.cut_primary(length),
            FaultKind::StorePartition => self.cut_from_store(length),
            FaultKind::StoreUnavailable => self.stop_store(length),
            FaultKind::StoreRestored => self.plan_restore(length),
            FaultKind::StoreResponseLost => {
                self.store.loses_answers = true;
                self.end_after(length, Ending::StoreAnswers);
            }
            FaultKind::DelayedPromotion => {
                self.promotions_are_late = true;
                self.end_after(length * 2, Ending::PromotionsReturn);
            }
            FaultKind::ResponseLost => {
                self.answer_loss_percent = LOST_ANSWERS_PERCENT;
                self.end_after(length, Ending::AnswersReturn);
            }
            FaultKind::ConfigurationChange => self.change_configuration(),
            FaultKind::Evacuation => {
                if let Some(zone) = self.evacuate() {
                    self.end_after(length * 2, Ending::EvacuationEnds(zone));
                }
            }
        }
    }

    pub(crate) fn end_after(&mut self, length: Duration, ending: Ending) {
        self.queue.plan(length, Happening::FaultEnds(ending));
    }

    fn live_primary(&self) -> Option<BackendId> {
        let id = self.group.primary()?;
        let database = self.group.databases.get(id)?;
        let is_whole = database.is_alive && !database.is_silent && database.leaving_since.is_none();
        is_whole.then(|| id.clone())
    }

    fn some_replica(&mut self) -> Option<BackendId> {
        let primary = self.group.primary().cloned();
        let replicas: Vec<_> = self
            .group
            .databases
            .keys()
            .filter(|id| Some(*id) != primary.as_ref())
            .cloned()
            .collect();
        let place = self.random.random_range(0..replicas.len());
        replicas.get(place).cloned()
    }

    fn some_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn crash_primary(&mut self, length: Duration) {
        if let Some(id) = self.live_primary() {
            self.stop_database(&id);
            let revision = self.group.revision;
            self.end_after(
                LISTING_LAPSE,
                Ending::DatabaseForgotten(id.clone(), revision),
            );
            self.end_after(length, Ending::DatabaseStarts(id));
        }
    }

    fn darken_primary(&mut self, length: Duration) {
        if let Some(id) = self.live_primary() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_silent = true;
                let connection_keys: Vec<_> = database.connections.keys().copied().collect();
                self.stalled.extend(connection_keys);
            }
            let revision = self.group.revision;
            self.end_after(
                LISTING_LAPSE,
                Ending::DatabaseForgotten(id.clone(), revision),
            );
            self.end_after(length, Ending::DatabaseStarts(id));
        }
    }

    fn leave_primary(&mut self) {
        if let Some(id) = self.live_primary() {
            self.begin_leaving(id);
        }
    }

    /// A database's process ends and starts again a while later, without its log. At most one in a run does while the
    /// others hold theirs: two would lose what was acknowledged.
    fn bear_again(&mut self, id: BackendId, pause: Duration) {
        let are_others_whole = self
            .group
            .databases
            .values()
            .all(|database| database.id == id || database.can_ship_log());
        let is_alive = self.group.databases.get(&id).is_some_and(|d| d.is_alive);
        if is_alive && are_others_whole {
            self.stop_database(&id);
            self.end_after(pause, Ending::DatabaseReborn(id));
        }
    }

    fn leave_all(&mut self) {
        let staying = self.group.databases.values().filter(|database| {
            database.is_alive && !database.is_silent && database.leaving_since.is_none()
        });
        let staying: Vec<_> = staying.map(|database| database.id.clone()).collect();
        for id in staying {
            self.begin_leaving(id);
        }
    }

    /// A database says that it leaves, and ends after its time.
    fn begin_leaving(&mut self, id: BackendId) {
        let now = self.now();
        if let Some(database) = self.group.databases.get_mut(&id) {
            database.leaving_since = Some(now);
        }
        self.group.announce(&id);
        self.push_to_all();
        let drain_limit = self.options.drain_limit;
        self.end_after(drain_limit + LINGER, Ending::DatabaseEnds(id));
    }

    fn isolate_primary(&mut self, length: Duration) {
        if let Some(id) = self.live_primary() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_isolated = true;
            }
            self.end_after(length, Ending::ReplicaRecovers(id));
        }
    }

    fn slow_replica(&mut self, length: Duration) {
        if let Some(id) = self.some_replica() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.lag_factor = LAG_FACTOR;
            }
            self.end_after(length, Ending::ReplicaRecovers(id));
        }
    }

    fn deafen_replica(&mut self, length: Duration) {
        if let Some(id) = self.some_replica() {
            if let Some(database) = self.group.databases.get_mut(&id) {
                database.is_isolated = true;
            }
            self.end_after(length, Ending::ReplicaRecovers(id));
        }
    }

    fn kill_some_node(&mut self) {
        let node = self.some_node();
        if self.nodes[node].is_running {
            self.kill_node(node);
            let pause = self.between(300, 1_500);
            self.queue.plan(pause, Happening::StartNode(node));
        }
    }

    fn freeze_some_node(&mut self, length: Duration) {
        let node = self.some_node();
        let until = self.now() + length;
        self.nodes[node].frozen_until = until;
        self.nodes[node].in_touch_since = self.nodes[node].in_touch_since.max(until);
    }

    fn cut_primary(&mut self, length: Duration) {
        let Some(id) = self.live_primary() else {
            return;
        };
        let count = self.nodes.len().div_ceil(2);
        let cut: Vec<_> = (0..count).map(|node| (node, id.clone())).collect();
        self.cuts.extend(cut.iter().cloned());
        self.end_after(length, Ending::CutHeals(cut));
    }

    fn cut_from_store(&mut self, length: Duration) {
        let node = self.some_node();
        let until = self.now() + length;
        self.nodes[node].is_cut_from_store = true;
        self.nodes[node].in_touch_since = self.nodes[node].in_touch_since.max(until);
        self.end_after(length, Ending::StoreHeals(node));
    }

    fn stop_store(&mut self, length: Duration) {
        self.stop_store_for(length);
        self.end_after(length, Ending::StoreReturns);
    }

    /// The store answers nothing until it is told otherwise, which is expected after this time.
    pub(crate) fn stop_store_for(&mut self, length: Duration) {
        let until = self.now() + length;
        self.store.go(self.now());
        for node in &mut self.nodes {
            node.in_touch_since = node.in_touch_since.max(until);
        }
    }

    /// A database starts again in its old role and knows nothing of before.
    fn start_without_log(&mut self, id: &BackendId) {
        let now = self.now();
        let Some(role) = self.group.databases.get(id).map(|database| database.role) else {
            return;
        };
        let lost = self.group.erase_log(id);
        self.checker.record_rollback(&lost);
        self.start_database(id);
        if let Some(database) = self.group.databases.get_mut(id) {
            database.role = role;
        }
        self.group.announce(id);
        self.push_to_all();
        self.decisions.push(format!(
            "{now:?} {id} starts again without its log as {role:?}"
        ));
    }

    /// A fault ends.
    pub fn fault_ends(&mut self, ending: Ending) {
        match ending {
            Ending::DatabaseStarts(id) => self.start_database(&id),
            Ending::DatabaseReborn(id) => self.start_without_log(&id),
            Ending::DatabaseForgotten(id, revision) => {
                let is_unchanged = self
                    .group
                    .listed
                    .get(&id)
                    .is_some_and(|listed| listed.revision.revision() <= revision);
                let is_away = self
                    .group
                    .databases
                    .get(&id)
                    .is_some_and(|database| !database.is_alive || database.is_silent);
                if is_unchanged && is_away {
                    let now = self.now();
                    self.group.unlist(&id, now);
                    self.push_to_all();
                }
            }
            Ending::DatabaseEnds(id) => {
                self.stop_database(&id);
                let now = self.now();
                self.group.unlist(&id, now);
                self.push_to_all();
                self.end_after(LINGER, Ending::DatabaseStarts(id));
            }
            Ending::ReplicaRecovers(id) => {
                if let Some(database) = self.group.databases.get_mut(&id) {
                    database.lag_factor = 1;
                    database.is_isolated = false;
                }
            }
            Ending::CutHeals(cut) => {
                for pair in cut {
                    self.cuts.remove(&pair);
                }
            }
            Ending::StoreHeals(node) => self.nodes[node].is_cut_from_store = false,
            Ending::StoreReturns => {
                let now = self.now();
                self.store.come_back(now);
            }
            Ending::AnswersReturn => self.answer_loss_percent = 0,
            Ending::PromotionsReturn => self.promotions_are_late = false,
            Ending::StoreAnswers => self.store.loses_answers = false,
            Ending::EvacuationEnds(zone) => self.end_evacuation(&zone),
            Ending::StoreGoes(copy) => self.store_goes(copy),
            Ending::StoreRestored(copy) => self.store_restored(*copy),
            Ending::OperatorWritesAgain => self.operator_writes_again(),
            Ending::DatabaseWritesAgain(id) => self.database_writes_again(&id),
        }
    }
}
