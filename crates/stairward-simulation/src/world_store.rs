//! The store and the promotion call, and the failover duty's effects on them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{BackendDescription, Event, ServiceHolders};
use stairward_failover::{
    Effect as DutyEffect, Event as DutyEvent, FailoverRecord, PromotionOutcome, RecordVersion, Via,
};
use stairward_types::{BackendId, NodeId, StoreRevision, Term, Time};

use crate::checker::Invariant;
use crate::nodes::{node_name, routing_table};
use crate::options::BrokenVariant;
use crate::store_view::{Entry, StoreView};
use crate::tenants::directory;
use crate::world::{
    FAR_DELAY, Happening, PROMOTION_TIME, Question, STORE_DELAY, STORE_POLL, World,
};
use stairward_membership::feed::StoreObject as _;

/// More revisions than a copy of the store gives out in a run.
const REVISIONS_OF_A_COPY: u64 = 1_000_000;
/// For so long after a node's write of a service's record no other node writes it.
const HOLDER_LEASE: Duration = Duration::from_millis(3_000);
/// Zones that nodes are spread over.
const ZONES: usize = 3;

impl World {
    pub(crate) fn store_reaches(&self, node: usize) -> bool {
        !self.store.is_down && !self.nodes[node].is_cut_from_store
    }

    /// Changes in the store are shown to every node that watches.
    pub(crate) fn push_to_all(&mut self) {
        for index in 0..self.nodes.len() {
            let incarnation = self.nodes[index].incarnation;
            self.queue
                .plan(STORE_DELAY, Happening::ShowStore(index, incarnation));
        }
    }

    pub(crate) fn poll_store(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) {
            return;
        }
        self.show_store(node, incarnation);
        self.queue
            .plan(STORE_POLL, Happening::PollStore(node, incarnation));
    }

    pub(crate) fn show_store(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) || !self.store_reaches(node) {
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
        self.show_members(node, incarnation);
        self.tell_engine(node, incarnation, Event::ConfigurationChanged(table));
        let (list, since) = self.show_entries(node);
        let backends = Event::BackendsListed {
            list: list.clone(),
            since,
        };
        self.tell_engine(node, incarnation, backends);
        self.show_evacuated(node, incarnation, since);
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(1);
        self.tell_engine(node, incarnation, Event::NodeCountChanged(nodes));
        let holders = ServiceHolders {
            first_ranked: self.first_holder_for(node),
            leadership_source: self.lead_source_for(node),
            forward_targets: self.holders_for(node),
            ..ServiceHolders::default()
        };
        let holders = BTreeMap::from([(crate::group::service(), holders)]);
        self.tell_engine(node, incarnation, Event::HoldersChanged(holders));
        let peers: Vec<_> = (0..self.nodes.len())
            .filter(|peer| *peer != node)
            .map(|peer| NodeId(u64::try_from(peer).unwrap_or(0)))
            .collect();
        let users = peers.iter().copied().collect();
        self.tell_duty(node, incarnation, DutyEvent::LeaderUsers(users));
        self.tell_duty(node, incarnation, DutyEvent::RelayPeers(peers));
        let groups = self.nodes[node].groups(&list, self.options.synchronous_replicas);
        self.tell_duty(node, incarnation, DutyEvent::NodeCount(nodes));
        self.tell_duty(node, incarnation, DutyEvent::Groups(groups));
        let version = self.record_version();
        let record = self.store.record.clone();
        let records = record.map(|record| (crate::group::service(), (version, record)));
        let records = records.into_iter().collect();
        let era = self.era_as_told();
        self.tell_duty(node, incarnation, DutyEvent::Records { era, records });
    }

    /// The databases' entries as a node sees them, and after which moment what is new in them came about.
    fn show_entries(&mut self, node: usize) -> (Vec<BackendDescription>, Option<Time>) {
        let (now, era) = (self.now(), self.store.era);
        let keeps = self.options.broken != Some(BrokenVariant::UnprotectedRestore);
        let in_era = |entry: &BackendDescription| BackendDescription {
            revision: StoreRevision::new(era, entry.revision.revision()),
            ..entry.clone()
        };
        let listed = self.group.listed.iter();
        let listed = listed.map(|(id, entry)| (id.to_string(), Entry(in_era(entry))));
        let node = &mut self.nodes[node];
        if !keeps {
            node.entries = StoreView::default();
        }
        let mut seen = node.entries.show(now, era, listed.collect());
        for (name, entry) in &mut seen {
            // An entry that reads as before was not written again.
            if let Some(before) = node.told_entries.get(name)
                && before.revision().era() < entry.revision().era()
                && before.has_same_content(entry)
            {
                entry.0.revision = before.revision();
            }
        }
        node.told_entries.clone_from(&seen);
        let since = node.shown_at;
        // What is written again after a loss may have been said before it.
        if node.entries.is_settled() {
            node.shown_at = Some(now);
        }
        (seen.into_values().map(|entry| entry.0).collect(), since)
    }

    /// The first node of a zone asks members about the lead for the others of its zone.
    fn lead_source_for(&self, node: usize) -> Option<NodeId> {
        let source = node % ZONES;
        let is_other = source != node;
        is_other.then(|| NodeId(u64::try_from(source).unwrap_or(0)))
    }

    pub(crate) fn tell_duty(&mut self, index: usize, incarnation: u64, event: DutyEvent) {
        if !self.is_running(index, incarnation) {
            return;
        }
        let now = self.now();
        let effects = self.nodes[index].duty.handle(now, event);
        for effect in effects {
            self.carry_out_duty(index, incarnation, effect);
        }
        let node = &mut self.nodes[index];
        let wake = node.duty.next_wake(now);
        if let Some(wake) = wake
            && (node.duty_timer_at <= now || wake < node.duty_timer_at)
        {
            node.duty_timer_at = wake;
            self.queue
                .plan_at(wake, Happening::DutyTimer(index, incarnation));
        }
    }

    pub(crate) fn carry_out_duty(&mut self, index: usize, incarnation: u64, effect: DutyEffect) {
        match effect {
            DutyEffect::WriteRecord(_, version, record) => {
                let write = Happening::RecordAt(index, incarnation, version, record);
                self.queue.plan(STORE_DELAY, write);
            }
            DutyEffect::ReportSilent(silent) => {
                let own = NodeId(u64::try_from(index).unwrap_or(0));
                for peer in (0..self.nodes.len()).filter(|peer| *peer != index) {
                    let event = DutyEvent::Suspicion(own, silent.clone());
                    let incarnation = self.nodes[peer].incarnation;
                    let told = Happening::Duty(peer, incarnation, Box::new(event));
                    self.queue.plan(FAR_DELAY * 3, told);
                }
            }
            DutyEffect::Verify { backend, asker } => {
                let delay = self.delay(index, &backend) * 3;
                let verify = Happening::VerifyAt(index, incarnation, backend, asker);
                self.queue.plan(delay, verify);
            }
            DutyEffect::QueryStatus(backend) => {
                let delay = self.delay(index, &backend) * 3;
                let ask = Happening::AskAt(index, incarnation, backend, Question::Status);
                self.queue.plan(delay, ask);
            }
            DutyEffect::Hold(backend, term) => {
                let is_broken = self.options.broken == Some(BrokenVariant::NoHold);
                let question = if is_broken {
                    Question::Status
                } else {
                    Question::Hold(term)
                };
                let delay = self.delay(index, &backend) * 3;
                let ask = Happening::AskAt(index, incarnation, backend, question);
                self.queue.plan(delay, ask);
            }
            DutyEffect::QueryUntilReceived(backend, all) => {
                let delay = self.delay(index, &backend);
                let ask = Happening::AskAt(index, incarnation, backend, Question::Received(all));
                self.queue.plan(delay, ask);
            }
            DutyEffect::StepDown(backend, term, ways) => {
                self.reach_for(index, incarnation, &backend, Question::StepDown(term), ways);
            }
            DutyEffect::Revoke(_, term, users) => {
                let own = NodeId(u64::try_from(index).unwrap_or(0));
                for user in users.into_iter().chain([own]) {
                    let revoke = Happening::RevokeAt(index, incarnation, user, term);
                    self.queue.plan(FAR_DELAY * 3, revoke);
                }
            }
            DutyEffect::AnnounceAttemptEnded(service, users) => {
                let own = NodeId(u64::try_from(index).unwrap_or(0));
                for user in users.into_iter().chain([own]) {
                    let place = usize::try_from(user.0).unwrap_or(0);
                    let told = self.nodes[place].incarnation;
                    let event = Event::PromotionEnded(service.clone());
                    let settle = Happening::Engine(place, told, Box::new(event));
                    self.queue.plan(FAR_DELAY * 3, settle);
                }
            }
            DutyEffect::HoldVia(backend, term, ways) => {
                self.reach_for(index, incarnation, &backend, Question::Hold(term), ways);
            }
            DutyEffect::Resume(backend) => {
                let resume = Happening::AskAt(index, incarnation, backend, Question::Resume);
                self.queue.plan(STORE_DELAY, resume);
            }
            DutyEffect::Promote(_, backend, token) => {
                self.promote(index, incarnation, backend, token)
            }
            DutyEffect::Log(_, action) => {
                let now = self.now();
                self.decisions
                    .push(format!("{now:?} {}: {action:?}", node_name(index)));
            }
        }
    }

    /// Another node is told that a term may begin, and answers.
    pub(crate) fn revoke_at(&mut self, node: usize, incarnation: u64, user: NodeId, term: Term) {
        let place = usize::try_from(user.0).unwrap_or(0);
        let told = &self.nodes[place];
        if !told.is_running || self.now() < told.frozen_until {
            return;
        }
        let told_incarnation = told.incarnation;
        let service = crate::group::service();
        match self.options.broken {
            // Nobody is told, so that the wait alone must keep the old leader from being believed.
            Some(BrokenVariant::NoLeaseWait | BrokenVariant::LongLease) => return,
            // The node answers but goes on as before.
            Some(BrokenVariant::IgnoredRevocation) => {}
            _ => {
                let event = Event::LeadershipRevoked(service.clone(), term);
                self.tell_engine(place, told_incarnation, event);
            }
        }
        let newest = self.nodes[place].engine.newest_term(&service);
        let revoked = DutyEvent::Revoked {
            service,
            term,
            user,
            newest,
        };
        let revoked = Happening::Duty(node, incarnation, Box::new(revoked));
        self.queue.plan(FAR_DELAY, revoked);
    }

    fn reach_for(
        &mut self,
        index: usize,
        incarnation: u64,
        backend: &BackendId,
        question: Question,
        ways: Vec<Via>,
    ) {
        for via in ways {
            let delay = match &via {
                Via::Direct => self.delay(index, backend) * 3,
                Via::Peer(_) => FAR_DELAY * 4,
            };
            let reach = Happening::ReachAt(index, incarnation, backend.clone(), question, via);
            self.queue.plan(delay, reach);
        }
    }

    /// The era of the store as nodes are told it; always the first one for some that are broken.
    fn era_as_told(&self) -> u64 {
        match self.options.broken {
            Some(BrokenVariant::IgnoredEra | BrokenVariant::HiddenRecordLoss) => 0,
            _ => self.store.era,
        }
    }

    /// The revisions by which those of a later copy are higher for a node that is told of no copies.
    fn lead_of_copy(&self) -> u64 {
        match self.options.broken {
            Some(BrokenVariant::HiddenRecordLoss) => self.store.era * REVISIONS_OF_A_COPY,
            _ => 0,
        }
    }

    fn record_version(&self) -> RecordVersion {
        let revision = self.store.record_version + self.lead_of_copy();
        RecordVersion(StoreRevision::new(self.era_as_told(), revision))
    }

    /// No two nodes write a service's record within a lease, whatever the store has lost meanwhile.
    fn check_holder(&mut self, writer: &str) {
        let now = self.now();
        self.checker.count(Invariant::SingleRecordWriter);
        let last = self.last_holder.replace((now, writer.to_owned()));
        if let Some((at, holder)) = last
            && holder != writer
            && now < at + HOLDER_LEASE
        {
            let text = format!("{holder} wrote the record at {at:?}, then {writer}");
            self.checker
                .record_violation(now, Invariant::SingleRecordWriter, text);
        }
    }

    pub(crate) fn record_at(
        &mut self,
        node: usize,
        incarnation: u64,
        version: RecordVersion,
        record: FailoverRecord,
    ) {
        let service = crate::group::service();
        if !self.store_reaches(node) {
            let failed = Happening::Duty(
                node,
                incarnation,
                Box::new(DutyEvent::RecordFailed(service.clone())),
            );
            return self.queue.plan(Duration::from_millis(1_500), failed);
        }
        let expected = version.0.revision().saturating_sub(self.lead_of_copy());
        let writer = record.holder.clone();
        let written = self.store.write_record(expected, record.clone());
        self.push_to_all();
        if version.0.era() != self.era_as_told() {
            // Another copy of the store answers: what came of it tells nothing.
            let failed = DutyEvent::RecordFailed(service);
            let failed = Happening::Duty(node, incarnation, Box::new(failed));
            return self.queue.plan(STORE_DELAY, failed);
        }
        if written.is_some() {
            self.check_holder(&writer);
        }
        if self.store.loses_answers && self.random.random_range(0..2) == 0 {
            let failed = Happening::Duty(
                node,
                incarnation,
                Box::new(DutyEvent::RecordFailed(service.clone())),
            );
            return self.queue.plan(Duration::from_millis(1_500), failed);
        }
        let events = match written {
            Some(_) => vec![DutyEvent::RecordWritten(
                service,
                self.record_version(),
                record,
            )],
            None => vec![
                DutyEvent::Record(
                    service.clone(),
                    self.record_version(),
                    self.store.record.clone(),
                ),
                DutyEvent::RecordFailed(service.clone()),
            ],
        };
        for event in events {
            self.queue.plan(
                STORE_DELAY,
                Happening::Duty(node, incarnation, Box::new(event)),
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
            "{} of life {incarnation} promotes {backend}",
            node_name(index)
        );
        let now = self.now();
        self.checker.record_promotion(now, token.0, decision);
        let is_late = self.promotions_are_late && self.random.random_range(0..2) == 0;
        let delay = if is_late {
            self.between(2_000, 9_000)
        } else {
            STORE_DELAY
        };
        let promote = Happening::PromoteAt(index, incarnation, backend, token, !is_late);
        self.queue.plan(delay, promote);
        if is_late {
            let unknown =
                DutyEvent::Promotion(crate::group::service(), token, PromotionOutcome::Unknown);
            let unknown = Happening::Duty(index, incarnation, Box::new(unknown));
            self.queue.plan(Duration::from_millis(2_200), unknown);
        }
    }

    pub(crate) fn promote_at(
        &mut self,
        node: usize,
        incarnation: u64,
        backend: &BackendId,
        token: stairward_failover::FencingToken,
        is_answered: bool,
    ) {
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
                self.queue
                    .plan(PROMOTION_TIME, Happening::Leads(backend.clone()));
            }
            PromotionOutcome::Accepted
        };
        if is_answered {
            let event = DutyEvent::Promotion(crate::group::service(), token, outcome);
            self.queue.plan(
                STORE_DELAY,
                Happening::Duty(node, incarnation, Box::new(event)),
            );
        }
    }
}
