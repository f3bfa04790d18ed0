//! Carries out a demo's steps while the load runs.

use std::time::Duration;

use stairward_settings::{SettingsOption, SettingsPath, Value};
use stairward_standins::group::Fault;
use stairward_types::{AdminState, BackendId, GroupId, Time};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::callers::SpecialCallers;
use super::cluster::DemoCluster;
use super::fault::{FaultKind, PlannedStep, Step};
use super::operator::Operator;
use super::report::FaultMark;
use crate::load::run::ProxyAddress;
use crate::site::Site;

/// Lag given to every replica by [`FaultKind::ReplicaLag`].
const REPLICA_LAG: Duration = Duration::from_millis(500);
/// The group whose primary is cut off.
const CUT_OFF_GROUP: usize = 0;
/// The group one of whose replicas leaves.
const LEAVING_GROUP: usize = 1;
/// The member of that group that leaves, a replica as long as its first member leads.
const LEAVING_MEMBER: usize = 2;
/// The proxy that is stopped as planned.
const STOPPED_PROXY: usize = 1;
/// The proxy that is killed.
const KILLED_PROXY: usize = 2;
/// Transactions in flight when a proxy is stopped.
const SLOW_TRANSACTIONS: u64 = 4;
/// Requests that must be refused.
const REFUSED_REQUESTS: u64 = 10;
/// Between marking a back end as joining and as active.
const JOINING_TIME: Duration = Duration::from_millis(200);
/// Seconds that the harmless edit sets for the retention of request keys.
const EDITED_RETENTION_SECONDS: u64 = 86_000;

/// A primary that was cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrimaryLoss {
    /// Its group.
    pub group: GroupId,
    /// When it was cut off, on the clock of the run.
    pub at: Time,
}

/// Carries out the steps of a demo.
pub struct Timeline {
    cluster: DemoCluster,
    site: Site,
    operator: Operator,
    callers: SpecialCallers,
    clock: stairward_proxy::cluster::Clock,
    start: Time,
    cut_off: Option<(usize, BackendId)>,
    losses: Vec<PrimaryLoss>,
    marks: Vec<FaultMark>,
    special_requests: u64,
    background: JoinSet<()>,
}

/// What is left after the last step.
pub struct FinishedTimeline {
    /// The cluster, still running.
    pub cluster: DemoCluster,
    /// Primaries that were cut off.
    pub losses: Vec<PrimaryLoss>,
    /// What happened when.
    pub marks: Vec<FaultMark>,
}

impl Timeline {
    /// A time line that begins at `start`.
    #[must_use]
    pub fn new(
        cluster: DemoCluster,
        site: Site,
        operator: Operator,
        callers: SpecialCallers,
        clock: stairward_proxy::cluster::Clock,
        start: Time,
    ) -> Self {
        Self {
            cluster,
            site,
            operator,
            callers,
            clock,
            start,
            cut_off: None,
            losses: Vec::new(),
            marks: Vec::new(),
            special_requests: 0,
            background: JoinSet::new(),
        }
    }

    /// Carries out all steps on time.
    pub async fn run(mut self, steps: Vec<PlannedStep>) -> FinishedTimeline {
        let begin = tokio::time::Instant::now();
        for planned in steps {
            tokio::time::sleep_until(begin + planned.at).await;
            self.carry_out(planned.step).await;
        }
        while self.background.join_next().await.is_some() {}
        FinishedTimeline {
            cluster: self.cluster,
            losses: self.losses,
            marks: self.marks,
        }
    }

    async fn carry_out(&mut self, step: Step) {
        match step {
            Step::Begin(fault) => {
                self.mark(format!("{fault} begins"));
                self.begin(fault).await;
            }
            Step::End(fault) => {
                self.mark(format!("{fault} ends"));
                self.end(fault).await;
            }
            Step::SendRefused => self.send_refused(),
        }
    }

    fn mark(&mut self, what: String) {
        let at = self.clock.now().since(self.start);
        self.marks.push(FaultMark {
            at_ms: at.as_secs_f64() * 1000.0,
            what,
        });
    }

    /// A step that could not be carried out is said in the result, never passed over.
    fn mark_failure(&mut self, what: &str, error: &dyn std::fmt::Display) {
        self.mark(format!("{what} failed: {error}"));
    }

    async fn begin(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::PrimaryCutoff => self.cut_primary_off().await,
            FaultKind::ReplicaLag => self.each_member(|member| Fault::Lag {
                member,
                lag: REPLICA_LAG,
            }),
            FaultKind::ProxyKill => self.cluster.proxies.kill(KILLED_PROXY),
            FaultKind::StoreDown => self.cluster.take_store_down(),
            FaultKind::BackendLeave => self.mark_backend(AdminState::Leaving).await,
            FaultKind::PlannedStop => self.stop_proxy().await,
            FaultKind::SettingsEdit => self.edit_settings().await,
        }
    }

    async fn end(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::PrimaryCutoff => self.heal_primary(),
            FaultKind::ReplicaLag => self.each_member(|member| Fault::Heal { member }),
            FaultKind::ProxyKill => self.restart(KILLED_PROXY).await,
            FaultKind::StoreDown => self.cluster.bring_store_back(),
            FaultKind::BackendLeave => {
                self.mark_backend(AdminState::Joining).await;
                tokio::time::sleep(JOINING_TIME).await;
                self.mark_backend(AdminState::Active).await;
            }
            FaultKind::PlannedStop => {
                // The stop itself may still be finishing requests.
                while self.background.join_next().await.is_some() {}
                self.restart(STOPPED_PROXY).await;
            }
            FaultKind::SettingsEdit => {}
        }
    }

    async fn cut_primary_off(&mut self) {
        let group = &self.cluster.databases.groups[CUT_OFF_GROUP];
        let Some(primary) = group.primary().await else {
            self.mark_failure("primary-cutoff", &"the group has no primary");
            return;
        };
        self.losses.push(PrimaryLoss {
            group: group.group.clone(),
            at: self.clock.now(),
        });
        group.inject(Fault::CutOff {
            member: primary.clone(),
        });
        self.cut_off = Some((CUT_OFF_GROUP, primary));
    }

    fn heal_primary(&mut self) {
        if let Some((group, member)) = self.cut_off.take() {
            self.cluster.databases.groups[group].inject(Fault::Heal { member });
        }
    }

    fn each_member(&self, fault: impl Fn(BackendId) -> Fault) {
        for group in &self.cluster.databases.groups {
            for member in &group.members {
                group.inject(fault(member.clone()));
            }
        }
    }

    async fn mark_backend(&mut self, state: AdminState) {
        let group = &self.cluster.databases.groups[LEAVING_GROUP];
        let backend = group.members[LEAVING_MEMBER].clone();
        let path = SettingsPath::Backend(
            self.site.places[0].region.clone(),
            self.site.service.clone(),
            group.group.clone(),
            backend.clone(),
        );
        let proxy = self.cluster.proxies.configuration();
        if let Err(error) = self.operator.mark(proxy, path, backend, state).await {
            self.mark_failure("marking a back end", &error);
        }
    }

    async fn edit_settings(&mut self) {
        let path = SettingsPath::Root;
        let value = Value::from(EDITED_RETENTION_SECONDS);
        let proxy = self.cluster.proxies.configuration();
        let edited = self
            .operator
            .set(proxy, path, SettingsOption::RequestKeyRetention, value);
        if let Err(error) = edited.await {
            self.mark_failure("editing the settings", &error);
        }
    }

    /// Stops a proxy while transactions are in flight on it.
    async fn stop_proxy(&mut self) {
        let proxy = self.cluster.proxies.callers()[STOPPED_PROXY];
        for _ in 0..SLOW_TRANSACTIONS {
            self.begin_slow_transaction(proxy).await;
        }
        if let Some(stop) = self.cluster.proxies.begin_stop(STOPPED_PROXY) {
            self.background.spawn(async move {
                // Only a panic of the stopping thread fails; the history then has no end of the stop.
                let _ = stop.finish().await;
            });
        }
    }

    async fn begin_slow_transaction(&mut self, proxy: ProxyAddress) {
        self.special_requests += 1;
        let number = self.special_requests;
        let callers = self.callers.clone();
        let (begun, has_begun) = oneshot::channel();
        self.background.spawn(async move {
            callers.slow_transaction(proxy, number, begun).await;
        });
        // An error means that the caller could not connect and is gone.
        let _ = has_begun.await;
    }

    fn send_refused(&mut self) {
        let first = self.special_requests + 1;
        self.special_requests += REFUSED_REQUESTS;
        let proxy = self.cluster.proxies.callers()[0];
        let callers = self.callers.clone();
        self.background.spawn(async move {
            callers.send_refused(proxy, first, REFUSED_REQUESTS).await;
        });
    }

    async fn restart(&mut self, proxy: usize) {
        if let Err(error) = self.cluster.proxies.restart(proxy).await {
            self.mark_failure("restarting a proxy", &error);
        }
    }
}
