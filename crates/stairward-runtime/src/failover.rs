//! Drives the failover state machine: its events come from the engine, from discovery and from the store; its effects
//! are requests to group members, record writes and promotions.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use stairward_engine::{BackendDescription, Event as EngineEvent, OpenTarget, RoutingTable};
use stairward_failover::{
    Effect, Event, FailoverRecord, GroupState, InSyncRecord, LeaderEvidence, MemberCallResult,
    MemberState, Placement, RecordVersion, ReviewCall, Via,
};
use stairward_types::{BackendId, LogEvent, ServiceName};

use crate::coordination::{InSyncRecordWrite, RecordWrite};
use crate::node::Node;
use crate::prometheus;
use crate::wire::{MemberRequest, Wire};

/// Interval between ticks while no deadline is due.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl<W: Wire> Node<W> {
    /// Passes on the failover records of all services, as read from the store in an era.
    pub fn apply_failover_records(
        self: &Rc<Self>,
        era: u64,
        records: BTreeMap<ServiceName, (RecordVersion, FailoverRecord)>,
    ) {
        self.handle_failover_event(Event::Records { era, records });
    }

    /// Passes on the records of in-sync members of all services, as read from the store in an era. Must precede
    /// [`Self::apply_failover_records`] of the same state: a promotion is decided on both.
    pub fn apply_in_sync_records(
        self: &Rc<Self>,
        era: u64,
        records: BTreeMap<ServiceName, (RecordVersion, InSyncRecord)>,
    ) {
        self.handle_failover_event(Event::InSyncRecords { era, records });
    }

    /// Passes an event to the failover state machine and executes the resulting effects.
    pub(crate) fn handle_failover_event(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let effects = self.failover.borrow_mut().handle(now, event);
        for effect in effects {
            self.apply_failover_effect(effect);
        }
    }

    /// Sends the failover state machine a tick whenever a deadline is due, and updates metrics. Never returns.
    pub async fn run_failover(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake_at = self.failover.borrow().next_wake(now);
            let pause = wake_at.map_or(IDLE_CHECK_INTERVAL, |at| at.since(now));
            Self::pause(pause.min(IDLE_CHECK_INTERVAL)).await;
            self.handle_failover_event(Event::Tick);
            prometheus::set_engine_statistics(self.statistics());
            let missing = self.failover.borrow().missing_in_sync_members();
            prometheus::set_missing_in_sync_members(missing);
            self.update_traffic_metrics();
            for (zone, work) in self.engine.borrow().evacuated_zone_activity() {
                prometheus::set_evacuated_zone_work(&zone, work);
            }
        }
    }

    /// Updates the traffic metrics, and logs them at a fixed interval.
    fn update_traffic_metrics(&self) {
        let links = self.links.borrow().len();
        prometheus::set_peer_traffic(&self.traffic, links);
        let now = self.now();
        if self.traffic.is_line_due(now) {
            let statistics = self.statistics();
            self.log.traffic(now, &self.traffic, links, statistics);
        }
    }

    fn apply_failover_effect(self: &Rc<Self>, effect: Effect) {
        let node = Rc::clone(self);
        match effect {
            Effect::WriteRecord(service, version, record) => {
                self.write_record(service, version, record);
            }
            Effect::WriteInSyncRecord(service, version, record) => {
                self.write_in_sync_record(service, version, record);
            }
            Effect::ReviewMember(call) => self.review_member(call),
            Effect::ReportSilent(silent) => self.report_silent_backends(&silent),
            Effect::Verify { backend, asker } => self.verify_silence(backend, asker),
            Effect::PromotionRecorded(service, promotion) => {
                self.log
                    .recorded_promotion(self.now(), &service, &promotion);
                self.handle(EngineEvent::PromotionRecorded {
                    service,
                    leader: promotion.leader,
                    term: promotion.term,
                    is_pending: promotion.is_pending,
                });
            }
            Effect::AnnouncePromotion(service, promotion, users) => {
                self.announce_promotion(&service, &promotion, users);
            }
            Effect::ConsultationNeeded => self.handle(EngineEvent::ConsultationNeeded),
            Effect::QueryPromotions(peers) => self.query_promotions(peers),
            Effect::TermAnnounced(service, term) => {
                self.handle(EngineEvent::LeadershipRevoked(service, term));
            }
            Effect::PeersConsulted { unanswered } => {
                self.log.peers_consulted(unanswered);
                self.handle(EngineEvent::PeersConsulted);
            }
            Effect::QueryNewestTerms(service) => {
                let started = self.newest_term(&service);
                let announced = self.engine.borrow().announced_term(&service);
                self.handle_failover_event(Event::NewestTerms {
                    service,
                    started,
                    announced,
                });
            }
            Effect::QueryStatus(backend) => {
                self.send_member_request(backend, MemberRequest::Status)
            }
            Effect::Hold(backend, term) => {
                self.send_member_request(backend, MemberRequest::Hold(term))
            }
            Effect::Resume(backend) => self.send_member_request(backend, MemberRequest::Resume),
            Effect::QueryUntilReceived(backend, all) => {
                self.send_member_request(backend, MemberRequest::Received(all));
            }
            Effect::StepDown(backend, term, ways) => {
                self.request_by_ways(&backend, MemberRequest::StepDown(term), ways);
            }
            Effect::Revoke(service, term, users) => self.revoke(&service, term, users),
            Effect::AnnounceAttemptEnded(service, users) => self.send_lead_settled(&service, users),
            Effect::HoldVia(backend, term, ways) => {
                self.request_by_ways(&backend, MemberRequest::Hold(term), ways);
            }
            Effect::Promote(service, backend, token) => {
                let promoting = self.coordination.promote(service.clone(), backend, token);
                tokio::task::spawn_local(async move {
                    let outcome = promoting.await;
                    node.handle_failover_event(Event::Promotion(service, token, outcome));
                });
            }
            Effect::Log(service, action) => {
                prometheus::count_failover_step(&action);
                self.log.failover_action(self.now(), &service, &action);
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
                    node.handle_failover_event(Event::RecordWritten(service, version, record));
                }
                RecordWrite::Conflict(version, present) => {
                    node.handle_failover_event(Event::Record(service.clone(), version, present));
                    node.handle_failover_event(Event::RecordFailed(service));
                }
                RecordWrite::Failed => node.handle_failover_event(Event::RecordFailed(service)),
            }
        });
    }

    fn write_in_sync_record(
        self: &Rc<Self>,
        service: ServiceName,
        version: RecordVersion,
        record: InSyncRecord,
    ) {
        let node = Rc::clone(self);
        let writing = self
            .coordination
            .write_in_sync_record(service.clone(), version, record);
        tokio::task::spawn_local(async move {
            match writing.await {
                InSyncRecordWrite::Known(version, record) => {
                    node.handle_failover_event(Event::InSyncRecord(service, version, record));
                }
                InSyncRecordWrite::Failed => tracing::warn!(
                    event = LogEvent::StoreUnreachable.number(),
                    service = service.as_str(),
                    "could not write the in-sync members to the store; the write is retried"
                ),
            }
        });
    }

    /// Queries a member for a review of missing members, directly or through a peer.
    fn review_member(self: &Rc<Self>, call: ReviewCall) {
        let node = Rc::clone(self);
        let target = OpenTarget {
            backend: call.backend.clone(),
            service: call.service.clone(),
            address: call.address,
            tenant: None,
        };
        let request = call
            .until
            .map_or(MemberRequest::Status, MemberRequest::Received);
        tokio::task::spawn_local(async move {
            let result = match &call.via {
                Via::Direct => node.query_member(target, request).await,
                Via::Peer(peer) => node.request_through_peer(*peer, &target, request).await,
            };
            node.log
                .member_request(node.now(), &call.backend, &call.via, result);
            node.handle_failover_event(Event::MemberReviewed(call, result));
        });
    }

    pub(crate) fn open_target(&self, backend: &BackendId) -> Option<OpenTarget> {
        let discovered = self.discovered.borrow();
        let description = discovered.get_including_removed(backend)?;
        Some(OpenTarget {
            backend: backend.clone(),
            service: description.service.clone(),
            address: description.address,
            tenant: None,
        })
    }

    fn send_member_request(self: &Rc<Self>, backend: BackendId, request: MemberRequest) {
        let target = self.open_target(&backend);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let status = match target {
                Some(target) => node.query_member(target, request).await.answer(),
                None => None,
            };
            if status.is_some() {
                let answered = Event::Evidence(backend.clone(), LeaderEvidence::Answered);
                node.handle_failover_event(answered);
            }
            node.handle_failover_event(Event::StatusReply(backend, status));
        });
    }

    /// Sends a member request by each of the given ways, directly or through a peer, and reports every result.
    fn request_by_ways(
        self: &Rc<Self>,
        backend: &BackendId,
        request: MemberRequest,
        ways: Vec<Via>,
    ) {
        let target = self.open_target(backend);
        for via in ways {
            let node = Rc::clone(self);
            let (backend, target) = (backend.clone(), target.clone());
            tokio::task::spawn_local(async move {
                let reach = match (target, &via) {
                    (None, _) => MemberCallResult::Silent,
                    (Some(target), Via::Direct) => node.query_member(target, request).await,
                    (Some(target), Via::Peer(peer)) => {
                        node.request_through_peer(*peer, &target, request).await
                    }
                };
                node.log.member_request(node.now(), &backend, &via, reach);
                node.handle_failover_event(Event::MemberCallEnded(backend, via, reach));
            });
        }
    }

    /// Properties of a member that decide its rank when a leader is chosen.
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

    /// Passes the members of all services to the failover state machine.
    pub(crate) fn update_all_failover_groups(self: &Rc<Self>) {
        let Some(table) = self.routing_table() else {
            return;
        };
        let groups = self.group_states(&table, table.services.keys());
        self.handle_failover_event(Event::Groups(groups));
    }

    /// Passes the members of the given services, if configured, to the failover state machine.
    pub(crate) fn update_failover_groups(self: &Rc<Self>, services: &BTreeSet<ServiceName>) {
        let Some(table) = self.routing_table() else {
            return;
        };
        let groups = self.group_states(&table, services);
        if !groups.is_empty() {
            self.handle_failover_event(Event::GroupsChanged(groups));
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
            let member = MemberState::listed(
                description.address,
                role,
                is_leaving,
                description.revision,
                placement,
            );
            (description.id.clone(), member)
        });
        members.collect()
    }
}
