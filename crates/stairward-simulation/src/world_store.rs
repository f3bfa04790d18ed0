//! The metadata store, promotions, and the effects of the failover controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{BackendDescription, Event, ServiceHolders};
use stairward_failover::{
    Effect as FailoverEffect, Event as FailoverEvent, FailoverRecord, FailoverStep,
    PromotionOutcome, RecordVersion, RecordedPromotion, Via,
};
use stairward_types::{BackendId, BackendRole, NodeId, ServiceName, StoreRevision, Term, Time};

use crate::checker::Invariant;
use crate::nodes::{node_name, routing_table};
use crate::options::BrokenVariant;
use crate::store_view::{BackendEntry, StoreView};
use crate::tenants::directory;
use crate::world::{
    FAR_DELAY, MemberQuery, PROMOTION_TIME, STORE_DELAY, STORE_POLL, SimulationEvent, World,
};
use stairward_membership::feed::StoreObject as _;

/// More revisions than one copy of the store creates in a run.
const REVISIONS_PER_COPY: u64 = 1_000_000;
/// For this long after a node has written a service's record, no other node may write it.
const RECORD_LEASE: Duration = Duration::from_millis(3_000);
/// Interval at which a node's failover controller handles a tick while it needs none.
const IDLE_TICK: Duration = Duration::from_millis(500);
/// Number of zones that nodes are spread over.
const ZONES: usize = 3;

impl World {
    pub(crate) fn can_reach_store(&self, node: usize) -> bool {
        !self.store.is_down && !self.nodes[node].is_partitioned_from_store
    }

    /// Notifies every node of a change in the store.
    pub(crate) fn notify_all_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            let incarnation = self.nodes[index].incarnation;
            self.queue.schedule(
                STORE_DELAY,
                SimulationEvent::DeliverStoreState(index, incarnation),
            );
        }
    }

    pub(crate) fn poll_store(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) {
            return;
        }
        self.deliver_store_state(node, incarnation);
        self.queue
            .schedule(STORE_POLL, SimulationEvent::PollStore(node, incarnation));
    }

    pub(crate) fn deliver_store_state(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) || !self.can_reach_store(node) {
            return;
        }
        let revision = self.store.configuration;
        let is_broken = self.options.broken == Some(BrokenVariant::StaleConfiguration);
        let content = if is_broken && revision.is_multiple_of(2) {
            revision.saturating_sub(3)
        } else {
            revision
        };
        let table = routing_table(
            revision,
            content,
            self.options.connections,
            self.options.synchronous_replicas,
            directory(&self.options, content),
            self.options.cold,
        );
        self.deliver_members(node, incarnation);
        self.handle_engine_event(node, incarnation, Event::ConfigurationChanged(table));
        let (list, since) = self.visible_entries(node);
        let backends = Event::BackendsListed {
            list: list.clone(),
            since,
        };
        self.handle_engine_event(node, incarnation, backends);
        self.deliver_evacuations(node, incarnation, since);
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(1);
        self.handle_engine_event(node, incarnation, Event::NodeCountChanged(nodes));
        let holders = ServiceHolders {
            first_ranked: self.first_ranked_for(node),
            leadership_source: self.leadership_source_for(node),
            forward_targets: self.forward_targets_for(node),
            ..ServiceHolders::default()
        };
        let holders = BTreeMap::from([(crate::group::service(), holders)]);
        self.handle_engine_event(node, incarnation, Event::HoldersChanged(holders));
        let peers: Vec<_> = (0..self.nodes.len())
            .filter(|peer| *peer != node)
            .map(|peer| NodeId(u64::try_from(peer).unwrap_or(0)))
            .collect();
        let users = peers.iter().copied().collect();
        self.handle_failover_event(node, incarnation, FailoverEvent::LeaderUsers(users));
        self.handle_failover_event(node, incarnation, FailoverEvent::RelayPeers(peers));
        let mut groups = self.nodes[node].groups(&list, self.options.synchronous_replicas);
        if self.options.broken == Some(BrokenVariant::EveryPrimaryLeaving) {
            let members = groups.values_mut().flat_map(|g| g.members.values_mut());
            for member in members {
                member.is_leaving |= member.role == BackendRole::Primary;
            }
        }
        self.handle_failover_event(node, incarnation, FailoverEvent::NodeCount(nodes));
        self.handle_failover_event(node, incarnation, FailoverEvent::Groups(groups));
        self.deliver_in_sync_record(node, incarnation);
        let version = self.record_version();
        let record = self.visible_record();
        let records = record.map(|record| (crate::group::service(), (version, record)));
        let records = records.into_iter().collect();
        let era = self.visible_era();
        self.handle_failover_event(node, incarnation, FailoverEvent::Records { era, records });
    }

    /// The database entries as a node sees them, and the time after which new content in them must have been
    /// written.
    fn visible_entries(&mut self, node: usize) -> (Vec<BackendDescription>, Option<Time>) {
        let (now, era) = (self.now(), self.store.era);
        let is_protected = self.options.broken != Some(BrokenVariant::UnprotectedRestore);
        let with_era = |entry: &BackendDescription| BackendDescription {
            revision: StoreRevision::new(era, entry.revision.revision()),
            ..entry.clone()
        };
        let listed = self.group.listed.iter();
        let listed = listed.map(|(id, entry)| (id.to_string(), BackendEntry(with_era(entry))));
        let node = &mut self.nodes[node];
        if !is_protected {
            node.entries = StoreView::default();
        }
        let mut seen = node.entries.apply_listing(now, era, listed.collect());
        for (name, entry) in &mut seen {
            // An entry with unchanged content was not written again.
            if let Some(before) = node.delivered_entries.get(name)
                && before.revision().era() < entry.revision().era()
                && before.has_same_content(entry)
            {
                entry.0.revision = before.revision();
            }
        }
        node.delivered_entries.clone_from(&seen);
        let since = node.last_current_at;
        // An entry that was rewritten after a restore may have been announced before it.
        if node.entries.is_settled() {
            node.last_current_at = Some(now);
        }
        (seen.into_values().map(|entry| entry.0).collect(), since)
    }

    /// The first node of each zone queries members about leadership for the other nodes of the zone.
    fn leadership_source_for(&self, node: usize) -> Option<NodeId> {
        let source = node % ZONES;
        let is_other = source != node;
        is_other.then(|| NodeId(u64::try_from(source).unwrap_or(0)))
    }

    pub(crate) fn handle_failover_event(
        &mut self,
        index: usize,
        incarnation: u64,
        event: FailoverEvent,
    ) {
        if !self.is_running(index, incarnation) {
            return;
        }
        let now = self.now();
        let effects = self.nodes[index].failover.handle(now, event);
        for effect in effects {
            self.apply_failover_effect(index, incarnation, effect);
        }
        let node = &mut self.nodes[index];
        let wake = node.failover.next_wake(now);
        let wake = wake.unwrap_or(now + IDLE_TICK);
        if node.failover_timer_at <= now || wake < node.failover_timer_at {
            node.failover_timer_at = wake;
            self.queue
                .schedule_at(wake, SimulationEvent::FailoverTimer(index, incarnation));
        }
    }

    pub(crate) fn apply_failover_effect(
        &mut self,
        index: usize,
        incarnation: u64,
        effect: FailoverEffect,
    ) {
        match effect {
            FailoverEffect::WriteRecord(_, version, record) => {
                let write = SimulationEvent::WriteRecord(index, incarnation, version, record);
                self.queue.schedule(STORE_DELAY, write);
            }
            FailoverEffect::WriteInSyncRecord(_, version, record) => {
                let write = SimulationEvent::WriteInSyncRecord(index, incarnation, version, record);
                self.queue.schedule(STORE_DELAY, write);
            }
            FailoverEffect::ReviewMember(call) => {
                let delay = self.delay(index, &call.backend) * 3;
                let review = SimulationEvent::ReviewMember(index, incarnation, call);
                self.queue.schedule(delay, review);
            }
            FailoverEffect::ReportSilent(silent) => {
                let own_id = NodeId(u64::try_from(index).unwrap_or(0));
                for peer in (0..self.nodes.len()).filter(|peer| *peer != index) {
                    let event = FailoverEvent::Suspicion(own_id, silent.clone());
                    let incarnation = self.nodes[peer].incarnation;
                    let notified = SimulationEvent::Failover(peer, incarnation, Box::new(event));
                    self.queue.schedule(FAR_DELAY * 3, notified);
                }
            }
            FailoverEffect::Verify { backend, asker } => {
                let delay = self.delay(index, &backend) * 3;
                let verify = SimulationEvent::VerifyBackend(index, incarnation, backend, asker);
                self.queue.schedule(delay, verify);
            }
            // The announcement alone would keep the old leader from being used in these variants.
            FailoverEffect::PromotionRecorded(..)
                if matches!(
                    self.options.broken,
                    Some(
                        BrokenVariant::HiddenPromotions
                            | BrokenVariant::NoHold
                            | BrokenVariant::IgnoredRevocation
                            | BrokenVariant::NoLeaseWait
                            | BrokenVariant::LongLease
                    )
                ) => {}
            FailoverEffect::PromotionRecorded(service, promotion) => {
                let event = Event::PromotionRecorded {
                    service,
                    leader: promotion.leader,
                    term: promotion.term,
                    is_pending: promotion.is_pending
                        && self.options.broken != Some(BrokenVariant::IgnoredPendingPromotions),
                };
                self.handle_engine_event(index, incarnation, event);
            }
            FailoverEffect::AnnouncePromotion(service, promotion, users) => {
                self.announce_promotion(&service, &promotion, users);
            }
            FailoverEffect::ConsultationNeeded => {
                self.handle_engine_event(index, incarnation, Event::ConsultationNeeded);
            }
            FailoverEffect::QueryPromotions(peers) => {
                for peer in peers {
                    let query = SimulationEvent::QueryPeerPromotions(index, incarnation, peer);
                    self.queue.schedule(FAR_DELAY * 3, query);
                }
            }
            FailoverEffect::TermAnnounced(service, term) => {
                let event = Event::LeadershipRevoked(service, term);
                self.handle_engine_event(index, incarnation, event);
            }
            FailoverEffect::PeersConsulted { .. } => {
                self.handle_engine_event(index, incarnation, Event::PeersConsulted);
            }
            FailoverEffect::QueryNewestTerms(service) => {
                if self.options.broken == Some(BrokenVariant::HiddenPromotions) {
                    return;
                }
                let engine = &self.nodes[index].engine;
                let event = FailoverEvent::NewestTerms {
                    started: engine.newest_term(&service),
                    announced: engine.announced_term(&service),
                    service,
                };
                self.handle_failover_event(index, incarnation, event);
            }
            FailoverEffect::QueryStatus(backend) => {
                let delay = self.delay(index, &backend) * 3;
                let ask =
                    SimulationEvent::QueryMember(index, incarnation, backend, MemberQuery::Status);
                self.queue.schedule(delay, ask);
            }
            FailoverEffect::Hold(backend, term) => {
                let is_broken = self.options.broken == Some(BrokenVariant::NoHold);
                let query = if is_broken {
                    MemberQuery::Status
                } else {
                    MemberQuery::Hold(term)
                };
                let delay = self.delay(index, &backend) * 3;
                let ask = SimulationEvent::QueryMember(index, incarnation, backend, query);
                self.queue.schedule(delay, ask);
            }
            FailoverEffect::QueryUntilReceived(backend, all) => {
                let delay = self.delay(index, &backend);
                let ask = SimulationEvent::QueryMember(
                    index,
                    incarnation,
                    backend,
                    MemberQuery::Received(all),
                );
                self.queue.schedule(delay, ask);
            }
            FailoverEffect::StepDown(backend, term, ways) => {
                self.schedule_member_calls(
                    index,
                    incarnation,
                    &backend,
                    MemberQuery::StepDown(term),
                    ways,
                );
            }
            FailoverEffect::Revoke(_, term, users) => {
                let own_id = NodeId(u64::try_from(index).unwrap_or(0));
                for user in users.into_iter().chain([own_id]) {
                    let revoke = SimulationEvent::RevokeLeadership(index, incarnation, user, term);
                    self.queue.schedule(FAR_DELAY * 3, revoke);
                }
            }
            FailoverEffect::AnnounceAttemptEnded(service, users) => {
                let own_id = NodeId(u64::try_from(index).unwrap_or(0));
                for user in users.into_iter().chain([own_id]) {
                    let node_index = usize::try_from(user.0).unwrap_or(0);
                    let notified = self.nodes[node_index].incarnation;
                    let event = Event::PromotionEnded(service.clone());
                    let ended = SimulationEvent::Engine(node_index, notified, Box::new(event));
                    self.queue.schedule(FAR_DELAY * 3, ended);
                }
            }
            FailoverEffect::HoldVia(backend, term, ways) => {
                self.schedule_member_calls(
                    index,
                    incarnation,
                    &backend,
                    MemberQuery::Hold(term),
                    ways,
                );
            }
            FailoverEffect::Resume(backend) => {
                let resume =
                    SimulationEvent::QueryMember(index, incarnation, backend, MemberQuery::Resume);
                self.queue.schedule(STORE_DELAY, resume);
            }
            FailoverEffect::Promote(_, backend, token) => {
                self.promote(index, incarnation, backend, token)
            }
            FailoverEffect::Log(_, action) => {
                if self.options.broken == Some(BrokenVariant::RefusalsLeaveHolds)
                    && matches!(action, FailoverStep::MembersMissing { .. })
                {
                    self.leave_holds_behind();
                }
                let now = self.now();
                self.decisions
                    .push(format!("{now:?} {}: {action:?}", node_name(index)));
            }
        }
    }

    /// Nodes are told of a promotion that another one has requested.
    fn announce_promotion(
        &mut self,
        service: &ServiceName,
        promotion: &RecordedPromotion,
        users: BTreeSet<NodeId>,
    ) {
        for user in users {
            let node_index = usize::try_from(user.0).unwrap_or(0);
            let notified = self.nodes[node_index].incarnation;
            let event = FailoverEvent::PromotionAnnounced(service.clone(), promotion.clone());
            let announced = SimulationEvent::Notify(node_index, notified, Box::new(event));
            self.queue.schedule(FAR_DELAY * 3, announced);
        }
    }

    /// A node is notified by another one. A paused node misses the notification.
    pub(crate) fn notify(&mut self, node: usize, incarnation: u64, event: FailoverEvent) {
        if !self.hides_promotions_from_peers() && self.now() >= self.nodes[node].paused_until {
            self.handle_failover_event(node, incarnation, event);
        }
    }

    /// Whether promotions are not announced between nodes. This includes the variants without a demotion, a
    /// revocation or a wait: the announcement alone would keep the old leader from being used.
    fn hides_promotions_from_peers(&self) -> bool {
        matches!(
            self.options.broken,
            Some(
                BrokenVariant::HiddenPromotions
                    | BrokenVariant::NoHold
                    | BrokenVariant::NoPeerKnowledge
                    | BrokenVariant::NoStepDown
                    | BrokenVariant::IgnoredRevocation
                    | BrokenVariant::NoLeaseWait
                    | BrokenVariant::LongLease
            )
        )
    }

    /// A node asks a peer which promotions it knows of.
    pub(crate) fn query_peer_promotions(&mut self, node: usize, incarnation: u64, peer: NodeId) {
        let peer_index = usize::try_from(peer.0).unwrap_or(0);
        let asked = &self.nodes[peer_index];
        if self.now() < asked.paused_until {
            return;
        }
        let known = || {
            if self.hides_promotions_from_peers() {
                Vec::new()
            } else {
                asked.known_promotions()
            }
        };
        let known = asked.is_running.then(known);
        let event = FailoverEvent::PeerPromotions(peer, known);
        let event = SimulationEvent::Failover(node, incarnation, Box::new(event));
        self.queue.schedule(FAR_DELAY, event);
    }

    /// A node is told that a new term may begin, and responds.
    pub(crate) fn revoke_leadership(
        &mut self,
        node: usize,
        incarnation: u64,
        user: NodeId,
        term: Term,
    ) {
        let node_index = usize::try_from(user.0).unwrap_or(0);
        let notified = &self.nodes[node_index];
        if !notified.is_running || self.now() < notified.paused_until {
            return;
        }
        let notified_incarnation = notified.incarnation;
        let service = crate::group::service();
        match self.options.broken {
            // Nodes are not told, so that only the wait keeps the old leader from being used.
            Some(
                BrokenVariant::NoLeaseWait
                | BrokenVariant::LongLease
                | BrokenVariant::HiddenPromotions,
            ) => return,
            // The node responds, but does not apply the revocation.
            Some(BrokenVariant::IgnoredRevocation) => {}
            _ => {
                let event = Event::LeadershipRevoked(service.clone(), term);
                self.handle_engine_event(node_index, notified_incarnation, event);
            }
        }
        let newest = self.nodes[node_index].engine.newest_used_term(&service);
        let revoked = FailoverEvent::Revoked {
            service,
            term,
            user,
            newest,
        };
        let revoked = SimulationEvent::Failover(node, incarnation, Box::new(revoked));
        self.queue.schedule(FAR_DELAY, revoked);
    }

    fn schedule_member_calls(
        &mut self,
        index: usize,
        incarnation: u64,
        backend: &BackendId,
        query: MemberQuery,
        ways: Vec<Via>,
    ) {
        for via in ways {
            let delay = match &via {
                Via::Direct => self.delay(index, backend) * 3,
                Via::Peer(_) => FAR_DELAY * 4,
            };
            let call = SimulationEvent::CallMember(index, incarnation, backend.clone(), query, via);
            self.queue.schedule(delay, call);
        }
    }

    /// The store's era as nodes see it; some broken variants always see the first one.
    pub(crate) fn visible_era(&self) -> u64 {
        match self.options.broken {
            Some(BrokenVariant::IgnoredEra | BrokenVariant::HiddenRecordLoss) => 0,
            _ => self.store.era,
        }
    }

    /// Offset added to the revisions of a restored copy for nodes that do not see the era.
    pub(crate) fn copy_revision_offset(&self) -> u64 {
        match self.options.broken {
            Some(BrokenVariant::HiddenRecordLoss) => self.store.era * REVISIONS_PER_COPY,
            _ => 0,
        }
    }

    fn record_version(&self) -> RecordVersion {
        let revision = self.store.record_version + self.copy_revision_offset();
        RecordVersion(StoreRevision::new(self.visible_era(), revision))
    }

    /// The service's record as nodes see it.
    fn visible_record(&self) -> Option<FailoverRecord> {
        let record = self.store.record.clone()?;
        Some(match self.options.broken {
            Some(BrokenVariant::HiddenPromotions) => FailoverRecord {
                term: Term::default(),
                leader: None,
                is_pending: false,
                ..record
            },
            _ => record,
        })
    }

    /// Checks that no two nodes write a service's record within one lease, even if the store has lost writes.
    fn check_record_writer(&mut self, writer: &str) {
        let now = self.now();
        self.checker.count(Invariant::SingleRecordWriter);
        let last = self.last_record_writer.replace((now, writer.to_owned()));
        if let Some((at, holder)) = last
            && holder != writer
            && now < at + RECORD_LEASE
        {
            let text =
                format!("{holder} wrote the record at {at:?}, then {writer} within the lease");
            self.checker
                .record_violation(now, Invariant::SingleRecordWriter, text);
        }
    }

    pub(crate) fn write_record_from(
        &mut self,
        node: usize,
        incarnation: u64,
        version: RecordVersion,
        record: FailoverRecord,
    ) {
        let service = crate::group::service();
        if !self.can_reach_store(node) {
            let failed = SimulationEvent::Failover(
                node,
                incarnation,
                Box::new(FailoverEvent::RecordFailed(service.clone())),
            );
            return self.queue.schedule(Duration::from_millis(1_500), failed);
        }
        let expected = version
            .0
            .revision()
            .saturating_sub(self.copy_revision_offset());
        let writer = record.holder.clone();
        let written = self.store.write_record(expected, record.clone());
        self.notify_all_nodes();
        if version.0.era() != self.visible_era() {
            // The node expected another copy of the store, so that the result of the write is meaningless to
            // it.
            let failed = FailoverEvent::RecordFailed(service);
            let failed = SimulationEvent::Failover(node, incarnation, Box::new(failed));
            return self.queue.schedule(STORE_DELAY, failed);
        }
        if written.is_some() {
            self.check_record_writer(&writer);
        }
        if self.store.loses_responses && self.random.random_range(0..2) == 0 {
            let failed = SimulationEvent::Failover(
                node,
                incarnation,
                Box::new(FailoverEvent::RecordFailed(service.clone())),
            );
            return self.queue.schedule(Duration::from_millis(1_500), failed);
        }
        let events = match written {
            Some(_) => vec![FailoverEvent::RecordWritten(
                service,
                self.record_version(),
                record,
            )],
            None => vec![
                FailoverEvent::Record(
                    service.clone(),
                    self.record_version(),
                    self.visible_record(),
                ),
                FailoverEvent::RecordFailed(service.clone()),
            ],
        };
        for event in events {
            self.queue.schedule(
                STORE_DELAY,
                SimulationEvent::Failover(node, incarnation, Box::new(event)),
            );
        }
    }

    pub(crate) fn promote(
        &mut self,
        index: usize,
        incarnation: u64,
        backend: BackendId,
        token: stairward_failover::FencingToken,
    ) {
        let token = if self.options.broken == Some(BrokenVariant::ReusedToken) {
            stairward_failover::FencingToken(1)
        } else {
            token
        };
        let decision = format!(
            "{} of incarnation {incarnation} promotes {backend}",
            node_name(index)
        );
        let now = self.now();
        self.checker.record_promotion(now, token.0, decision);
        let is_delayed = self.delays_promotions && self.random.random_range(0..2) == 0;
        let delay = if is_delayed {
            self.random_duration(2_000, 9_000)
        } else {
            STORE_DELAY
        };
        let promote = SimulationEvent::Promote(index, incarnation, backend, token, !is_delayed);
        self.queue.schedule(delay, promote);
        if is_delayed {
            self.disturbance.late_promotions += 1;
            let unknown_outcome =
                FailoverEvent::Promotion(crate::group::service(), token, PromotionOutcome::Unknown);
            let unknown_outcome =
                SimulationEvent::Failover(index, incarnation, Box::new(unknown_outcome));
            self.queue
                .schedule(Duration::from_millis(2_200), unknown_outcome);
        }
    }

    pub(crate) fn run_promotion(
        &mut self,
        node: usize,
        incarnation: u64,
        backend: &BackendId,
        token: stairward_failover::FencingToken,
        is_answered: bool,
    ) {
        if !is_answered {
            self.disturbance.late_promotions -= 1;
            self.disturbance.record(self.queue.now());
        }
        let is_alive = self
            .group
            .databases
            .get(backend)
            .is_some_and(|database| database.is_alive);
        let outcome = if token.0 < self.group.fence || !is_alive {
            PromotionOutcome::Refused
        } else {
            self.group.fence = token.0;
            if self.group.primary() != Some(backend) {
                self.queue.schedule(
                    PROMOTION_TIME,
                    SimulationEvent::PromotionCompletes(backend.clone()),
                );
            }
            PromotionOutcome::Accepted
        };
        if is_answered {
            let event = FailoverEvent::Promotion(crate::group::service(), token, outcome);
            self.queue.schedule(
                STORE_DELAY,
                SimulationEvent::Failover(node, incarnation, Box::new(event)),
            );
        }
    }
}
