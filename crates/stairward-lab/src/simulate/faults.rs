//! How faults begin and end.

use std::time::Duration;

use stairward_checker::HistoryEvent;
use stairward_settings::{Change, SettingsOption, Value};
use stairward_standins::group::Fault;
use stairward_types::{AdminState, BackendId, Time};

use super::fault::{FaultKind, PlannedFault};
use super::network::End;
use super::proxy::ProxyInput;
use super::world::{World, WorldEvent};

/// How far a lagging replica is behind.
const LAG: Duration = Duration::from_secs(5);
/// Least time between the end of a planned stop and the start of the next process.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

impl World<'_> {
    /// A fault begins.
    pub(super) fn fault_begins(&mut self, number: usize) {
        let fault = self.faults[number];
        self.log(|| format!("fault {} begins ({})", fault.kind, fault.target));
        match fault.kind {
            FaultKind::PrimaryCutoff => self.cut_primary_off(number),
            FaultKind::PrimaryStop => self.stop_primary(number),
            FaultKind::ReplicaLag => self.lag_replica(number),
            FaultKind::ProxyKill => self.kill_proxy(fault),
            FaultKind::ProxyPause => self.pause_proxy(fault),
            FaultKind::StoreDown => self.store_fault(|store| store.is_down = true),
            FaultKind::StoreSlow => self.store_fault(|store| store.is_slow = true),
            FaultKind::LostReply => self.store_fault(|store| store.loses_replies = true),
            FaultKind::RacingEdits => self.race_edits(fault),
            FaultKind::PlannedStop => self.begin_planned_stop(fault),
            FaultKind::BackendLeaving => self.mark_backend(number, AdminState::Leaving),
            FaultKind::LateMessages => self.network.is_unsteady = true,
            FaultKind::ProxyPartition => self.partition_proxy(fault, true),
        }
    }

    /// A fault ends.
    pub(super) fn fault_ends(&mut self, number: usize) {
        let fault = self.faults[number];
        self.log(|| format!("fault {} ends ({})", fault.kind, fault.target));
        match fault.kind {
            FaultKind::PrimaryCutoff | FaultKind::PrimaryStop | FaultKind::ReplicaLag => {
                self.heal_database(number);
            }
            FaultKind::ProxyKill => self.restart_proxy(self.target_proxy(fault)),
            FaultKind::ProxyPause => self.resume_proxy(fault),
            FaultKind::StoreDown => self.store_works_again(|store| store.is_down = false),
            FaultKind::StoreSlow => self.store_works_again(|store| store.is_slow = false),
            FaultKind::LostReply => self.store_works_again(|store| store.loses_replies = false),
            // The process comes back after it has ended.
            FaultKind::RacingEdits | FaultKind::PlannedStop => {}
            FaultKind::BackendLeaving => self.mark_backend(number, AdminState::Active),
            FaultKind::LateMessages => self.network.is_unsteady = false,
            FaultKind::ProxyPartition => self.partition_proxy(fault, false),
        }
    }

    fn target_proxy(&self, fault: PlannedFault) -> usize {
        fault.target % self.proxies.len()
    }

    fn target_group(&self, fault: PlannedFault) -> usize {
        fault.target % self.groups.len()
    }

    /// Half of the faults strike in a second way, whatever their target.
    const fn is_second_way(fault: PlannedFault) -> bool {
        fault.target / 64 % 2 == 1
    }

    /// Strikes the primary of a group; notes which database it was.
    fn strike_primary(&mut self, number: usize) -> Option<BackendId> {
        let group = self.target_group(self.faults[number]);
        let primary = self.groups[group].primary()?.clone();
        let term = self.groups[group].freshness(&primary)?.term;
        let now = self.queue.now();
        let id = self.groups[group].id.clone();
        self.metrics.failovers.primary_lost(now, &id, term);
        self.struck.insert(number, primary.clone());
        Some(primary)
    }

    fn cut_primary_off(&mut self, number: usize) {
        let Some(member) = self.strike_primary(number) else {
            return;
        };
        if Self::is_second_way(self.faults[number])
            && let Some(End::Database(place, group)) = self.database_end(&member)
        {
            self.network.cuts.confined_databases.insert((place, group));
        }
        self.log(|| format!("{member} is cut off"));
        self.fault_database(&member.clone(), Fault::CutOff { member });
    }

    fn stop_primary(&mut self, number: usize) {
        if let Some(member) = self.strike_primary(number) {
            self.log(|| format!("{member} stops"));
            self.fault_database(&member.clone(), Fault::Stop { member });
        }
    }

    fn lag_replica(&mut self, number: usize) {
        let fault = self.faults[number];
        let group = self.target_group(fault);
        let primary = self.groups[group].primary().cloned();
        let replicas: Vec<BackendId> = self
            .layout
            .members(group)
            .iter()
            .map(|member| member.backend.clone())
            .filter(|backend| Some(backend) != primary.as_ref())
            .collect();
        let member = replicas[fault.target / 7 % replicas.len()].clone();
        self.struck.insert(number, member.clone());
        self.fault_database(&member.clone(), Fault::Lag { member, lag: LAG });
    }

    fn heal_database(&mut self, number: usize) {
        let Some(member) = self.struck.remove(&number) else {
            return;
        };
        if let Some(End::Database(place, group)) = self.database_end(&member) {
            self.network.cuts.confined_databases.remove(&(place, group));
            let id = self.groups[group].id.clone();
            self.metrics.failovers.primary_back(&id);
        }
        self.fault_database(&member.clone(), Fault::Heal { member });
    }

    fn fault_database(&mut self, member: &BackendId, fault: Fault) {
        let Some(group) = self.layout.databases.get(member).map(|place| place.group) else {
            return;
        };
        let now = self.queue.now();
        let outputs = self.groups[group].fault(now, fault);
        self.group_outputs(group, outputs);
    }

    fn kill_proxy(&mut self, fault: PlannedFault) {
        let proxy = self.target_proxy(fault);
        let node = self.proxies[proxy].node;
        if self.proxies[proxy].state.is_some() {
            self.record(HistoryEvent::ProxyKilled { proxy: node });
            self.end_proxy(proxy);
        }
    }

    /// A proxy's machine gets a new process, unless it has one.
    pub(super) fn restart_proxy(&mut self, proxy: usize) {
        if self.proxies[proxy].state.is_none() {
            self.proxies[proxy].paused_until = Time::ZERO;
            self.start_proxy(proxy);
        }
    }

    fn pause_proxy(&mut self, fault: PlannedFault) {
        let proxy = self.target_proxy(fault);
        let slot = &mut self.proxies[proxy];
        let node = slot.node;
        if slot.state.is_some() && slot.paused_until <= fault.begins {
            slot.paused_until = fault.ends;
            self.record(HistoryEvent::ProxyFaultBegan { proxy: node });
        }
    }

    fn resume_proxy(&mut self, fault: PlannedFault) {
        let node = self.proxies[self.target_proxy(fault)].node;
        self.record(HistoryEvent::ProxyFaultEnded { proxy: node });
    }

    fn partition_proxy(&mut self, fault: PlannedFault, begins: bool) {
        let proxy = self.target_proxy(fault);
        let node = self.proxies[proxy].node;
        let cuts = &mut self.network.cuts;
        let cut = if Self::is_second_way(fault) {
            &mut cuts.confined
        } else {
            &mut cuts.isolated
        };
        if begins {
            cut.insert(proxy);
            self.record(HistoryEvent::ProxyFaultBegan { proxy: node });
        } else {
            cut.remove(&proxy);
            self.record(HistoryEvent::ProxyFaultEnded { proxy: node });
        }
    }

    fn store_fault(&mut self, strike: impl FnOnce(&mut super::store::Store)) {
        strike(&mut self.store);
        self.record(HistoryEvent::StoreFaultBegan);
    }

    fn store_works_again(&mut self, heal: impl FnOnce(&mut super::store::Store)) {
        heal(&mut self.store);
        if !self.store.has_fault() {
            self.record(HistoryEvent::StoreFaultEnded);
        }
    }

    fn race_edits(&mut self, fault: PlannedFault) {
        for value in [10, 15] {
            let change = Change::Set {
                path: stairward_settings::SettingsPath::Root,
                option: SettingsOption::FreshnessWait,
                value: Value::Integer(value + fault.target as u64 % 5),
            };
            self.begin_edit(vec![change], None);
        }
    }

    fn mark_backend(&mut self, number: usize, state: AdminState) {
        let fault = self.faults[number];
        let databases: Vec<_> = self.layout.databases.values().cloned().collect();
        let database = &databases[fault.target % databases.len()];
        let word = match state {
            AdminState::Joining => "joining",
            AdminState::Active => "active",
            AdminState::Leaving => "leaving",
        };
        let change = Change::Set {
            path: database.path.clone(),
            option: SettingsOption::AdminState,
            value: Value::Text(word.to_owned()),
        };
        let mark = Some((database.backend.clone(), state));
        self.begin_edit(vec![change], mark);
    }

    fn begin_planned_stop(&mut self, fault: PlannedFault) {
        let proxy = self.target_proxy(fault);
        let slot = &mut self.proxies[proxy];
        if slot.state.is_none() {
            return;
        }
        slot.returns_at = fault.ends;
        let (node, life) = (slot.node, slot.life);
        self.record(HistoryEvent::StopBegan { proxy: node });
        let input = WorldEvent::Proxy(proxy, life, Box::new(ProxyInput::Stop));
        self.queue.at(self.queue.now(), input);
    }

    /// A proxy's process has ended as planned.
    pub(super) fn proxy_exits(&mut self, proxy: usize) {
        let node = self.proxies[proxy].node;
        self.record(HistoryEvent::StopEnded { proxy: node });
        self.end_proxy(proxy);
        let returns = self.proxies[proxy].returns_at;
        let soonest = self.queue.now() + RESTART_PAUSE;
        self.queue
            .at(returns.max(soonest), WorldEvent::ProxyReturns(proxy));
    }
}
