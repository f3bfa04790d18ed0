//! Driving the failover duty: its events come from the engine's use of back ends, from discovery and from
//! the store; its effects are questions, writes and promotions.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use stairward_engine::{BackendDescription, OpenTarget, RoutingTable};
use stairward_failover::{
    Effect, Event, FailoverRecord, GroupState, LeaderEvidence, MemberCallResult, MemberState,
    Placement, RecordVersion, Via,
};
use stairward_types::{BackendId, ServiceName};

use crate::coordination::RecordWrite;
use crate::node::Node;
use crate::prometheus;
use crate::wire::{MemberRequest, Wire};

/// How often the duty is looked at while nothing is due.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

impl<W: Wire> Node<W> {
    /// The services' records, as a copy of the store shows them.
    pub fn apply_failover_records(
        self: &Rc<Self>,
        era: u64,
        records: BTreeMap<ServiceName, (RecordVersion, FailoverRecord)>,
    ) {
        self.tell_duty(Event::Records { era, records });
    }

    /// Gives the duty an event and carries out what it decides.
    pub(crate) fn tell_duty(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let effects = self.duty.borrow_mut().handle(now, event);
        for effect in effects {
            self.carry_out_duty(effect);
        }
    }

    /// Wakes the duty when something is due. Runs for ever.
    pub async fn run_failover(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake_at = self.duty.borrow().next_wake(now);
            let pause = wake_at.map_or(IDLE_PAUSE, |at| at.since(now));
            Self::pause(pause.min(IDLE_PAUSE)).await;
            self.tell_duty(Event::Tick);
            prometheus::set_engine_statistics(self.statistics());
            self.show_traffic();
            for (zone, work) in self.engine.borrow().evacuated_zone_activity() {
                prometheus::set_evacuated_zone_work(&zone, work);
            }
        }
    }

    /// Shows what the links carry; now and then also as a log line.
    fn show_traffic(&self) {
        let links = self.links.borrow().len();
        prometheus::set_peer_traffic(&self.traffic, links);
        let now = self.now();
        if self.traffic.is_line_due(now) {
            let figures = self.statistics();
            self.log.traffic(now, &self.traffic, links, figures);
        }
    }

    fn carry_out_duty(self: &Rc<Self>, effect: Effect) {
        let node = Rc::clone(self);
        match effect {
            Effect::WriteRecord(service, version, record) => {
                self.write_record(service, version, record);
            }
            Effect::ReportSilent(silent) => self.report_silent(&silent),
            Effect::Verify { backend, asker } => self.verify(backend, asker),
            Effect::QueryStatus(backend) => self.question(backend, MemberRequest::Status),
            Effect::Hold(backend, term) => self.question(backend, MemberRequest::Hold(term)),
            Effect::Resume(backend) => self.question(backend, MemberRequest::Resume),
            Effect::QueryUntilReceived(backend, all) => {
                self.question(backend, MemberRequest::Received(all));
            }
            Effect::StepDown(backend, term, ways) => {
                self.reach_for(&backend, MemberRequest::StepDown(term), ways);
            }
            Effect::Revoke(service, term, users) => self.revoke(&service, term, users),
            Effect::AnnounceAttemptEnded(service, users) => self.settle(&service, users),
            Effect::HoldVia(backend, term, ways) => {
                self.reach_for(&backend, MemberRequest::Hold(term), ways);
            }
            Effect::Promote(service, backend, token) => {
                let promoting = self.coordination.promote(service.clone(), backend, token);
                tokio::task::spawn_local(async move {
                    let outcome = promoting.await;
                    node.tell_duty(Event::Promotion(service, token, outcome));
                });
            }
            Effect::Log(service, action) => {
                prometheus::count_failover_step(&action);
                self.log.duty(self.now(), &service, &action);
            }
        }
    }

    fn write_record(
        self: &Rc<Self>,
        service: ServiceName,
        version: RecordVersion,
        record: FailoverRecord,
    ) {
        let node = Rc::clone(self);
        let writing = self
            .coordination
            .write_record(service.clone(), version, record.clone());
        tokio::task::spawn_local(async move {
            match writing.await {
                RecordWrite::Written(version) => {
                    node.tell_duty(Event::RecordWritten(service, version, record));
                }
                RecordWrite::Conflict(version, present) => {
                    node.tell_duty(Event::Record(service.clone(), version, present));
                    node.tell_duty(Event::RecordFailed(service));
                }
                RecordWrite::Failed => node.tell_duty(Event::RecordFailed(service)),
            }
        });
    }

    pub(crate) fn target(&self, backend: &BackendId) -> Option<OpenTarget> {
        let discovered = self.discovered.borrow();
        let description = discovered.get_including_removed(backend)?;
        Some(OpenTarget {
            backend: backend.clone(),
            service: description.service.clone(),
            address: description.address,
            tenant: None,
        })
    }

    fn question(self: &Rc<Self>, backend: BackendId, question: MemberRequest) {
        let target = self.target(&backend);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let status = match target {
                Some(target) => node.ask_member(target, question).await.answer(),
                None => None,
            };
            if status.is_some() {
                let answered = Event::Evidence(backend.clone(), LeaderEvidence::Answered);
                node.tell_duty(answered);
            }
            node.tell_duty(Event::StatusReply(backend, status));
        });
    }

    /// Asks a member by each of these ways.
    fn reach_for(self: &Rc<Self>, backend: &BackendId, question: MemberRequest, ways: Vec<Via>) {
        let target = self.target(backend);
        for via in ways {
            let node = Rc::clone(self);
            let (backend, target) = (backend.clone(), target.clone());
            tokio::task::spawn_local(async move {
                let reach = match (target, &via) {
                    (None, _) => MemberCallResult::Silent,
                    (Some(target), Via::Direct) => node.ask_member(target, question).await,
                    (Some(target), Via::Peer(peer)) => {
                        node.ask_through_peer(*peer, &target, question).await
                    }
                };
                node.log.reach(node.now(), &backend, &via, reach);
                node.tell_duty(Event::MemberCallEnded(backend, via, reach));
            });
        }
    }

    /// Where a member stands, for the choice of a leader.
    fn placement(&self, description: &BackendDescription) -> Placement {
        let region = self.zone_regions.get(&description.zone);
        let allowed = self.allowed_work.borrow();
        let work = allowed.get(&description.service);
        Placement {
            is_evacuated: self.evacuated.borrow().contains(&description.zone),
            is_cold: self.engine.borrow().is_cold(self.now(), &description.id),
            allowed_work: region
                .zip(work)
                .and_then(|(region, work)| work.get(region).copied())
                .unwrap_or_default(),
        }
    }

    /// Tells the duty of all services, their members and their state.
    pub(crate) fn tell_duty_of_groups(self: &Rc<Self>) {
        let Some(table) = self.routing_table() else {
            return;
        };
        let groups = self.group_states(&table, table.services.keys());
        self.tell_duty(Event::Groups(groups));
    }

    /// Tells the duty of these services, as far as they are configured.
    pub(crate) fn tell_duty_of(self: &Rc<Self>, services: &BTreeSet<ServiceName>) {
        let Some(table) = self.routing_table() else {
            return;
        };
        let groups = self.group_states(&table, services);
        if !groups.is_empty() {
            self.tell_duty(Event::GroupsChanged(groups));
        }
    }

    fn group_states<'a>(
        &self,
        table: &RoutingTable,
        services: impl IntoIterator<Item = &'a ServiceName>,
    ) -> BTreeMap<ServiceName, GroupState> {
        let configured = services
            .into_iter()
            .filter_map(|service| Some((service, table.services.get(service)?)));
        let mut groups: BTreeMap<_, _> = configured
            .map(|(service, limits)| {
                let members = self.member_states(service);
                let synchronous_replicas = limits.synchronous_replicas;
                let state = GroupState {
                    members,
                    synchronous_replicas,
                };
                (service.clone(), state)
            })
            .collect();
        self.leader_memory
            .borrow_mut()
            .add_missing_primaries(&mut groups);
        groups
    }

    fn member_states(&self, service: &ServiceName) -> BTreeMap<BackendId, MemberState> {
        let discovered = self.discovered.borrow();
        let members = discovered.members(service).map(|description| {
            let (role, is_leaving) = (description.role, description.is_leaving);
            let placement = self.placement(description);
            let member = MemberState::listed(role, is_leaving, description.revision, placement);
            (description.id.clone(), member)
        });
        members.collect()
    }
}
