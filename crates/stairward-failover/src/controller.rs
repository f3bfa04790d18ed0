//! The duty's state, what it hears, and which step is looked at; the steps are in the modules below.

mod claim;
mod demotion_steps;
mod member_status;
mod promotion;
mod trigger;

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, NodeId, ServiceName, Time};

use crate::attempt::{Attempt, Stage};
use crate::event::{Effect, Event, FailoverStep, GroupState, LeaderEvidence};
use crate::evidence::BackendEvidence;
use crate::options::FailoverOptions;
use crate::records::Records;

/// How often the duty looks again while something is under way.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
/// The shortest pause between two reports: a node that is cut off finds many back ends silent within a moment, and each
/// report costs a connection to each of its peers.
const MIN_REPORT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// How often a report that still holds is told again.
const REPORT_REPEAT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// A back end that accepted a connection when it was looked at for another node is not looked at again for this long:
/// one that only answers slowly must not be opened connections to by the whole fleet (14 a second of 12 ms each with
/// 72 nodes).
const VERIFICATION_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// The failover duty of one node.
#[derive(Debug)]
pub struct FailoverController {
    options: FailoverOptions,
    groups: BTreeMap<ServiceName, GroupState>,
    /// The service of each member.
    service_of: BTreeMap<BackendId, ServiceName>,
    /// How many members of all services are listed.
    listed_members: usize,
    /// Services whose leader is to give way as planned.
    planned_moves: BTreeSet<ServiceName>,
    /// Services whose members have changed since they were looked at.
    changed_services: BTreeSet<ServiceName>,
    node_count: u32,
    /// Nodes that may pass questions on to members.
    relay_peers: Vec<NodeId>,
    /// All other nodes that may use a leader.
    leader_users: BTreeSet<NodeId>,
    evidence: BackendEvidence,
    /// Back ends that were looked at for other nodes lately, and until when they are not looked at again.
    verification_paused_until: BTreeMap<BackendId, Time>,
    /// When others were last told which back ends this node finds silent.
    reported_at: Time,
    /// Whether that has changed since.
    has_unreported_change: bool,
    records: Records,
    attempts: BTreeMap<ServiceName, Attempt>,
    /// Since when there has been a reason to replace a primary.
    triggered_since: BTreeMap<ServiceName, Time>,
    /// No new attempt begins before this.
    retry_after: BTreeMap<ServiceName, Time>,
    /// Since when a primary has been missing or leading nobody.
    missing_since: BTreeMap<ServiceName, Time>,
    /// When entries last lapsed together.
    mass_expiry_at: Option<Time>,
    /// Since when replicas have waited for a later term than their leader's.
    revoked_since: BTreeMap<ServiceName, Time>,
    effects: Vec<Effect>,
}

impl FailoverController {
    /// A duty that knows nothing yet. It acts only once it has learnt the record.
    #[must_use]
    pub fn new(options: FailoverOptions) -> Self {
        Self {
            records: Records::new(options.node.clone(), options.lease),
            options,
            groups: BTreeMap::new(),
            service_of: BTreeMap::new(),
            listed_members: 0,
            planned_moves: BTreeSet::new(),
            changed_services: BTreeSet::new(),
            node_count: 1,
            relay_peers: Vec::new(),
            leader_users: BTreeSet::new(),
            evidence: BackendEvidence::default(),
            verification_paused_until: BTreeMap::new(),
            reported_at: Time::ZERO,
            has_unreported_change: false,
            attempts: BTreeMap::new(),
            triggered_since: BTreeMap::new(),
            retry_after: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            mass_expiry_at: None,
            revoked_since: BTreeMap::new(),
            effects: Vec::new(),
        }
    }

    /// Takes an event in and says what must be done. Only services about which something is known that may lead to
    /// a step are looked at.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.apply(now, event);
        for service in self.unsettled_services() {
            self.review(now, &service);
        }
        std::mem::take(&mut self.effects)
    }

    /// As [`Self::handle`], looking at all services: slower, and the same in what it decides, as a test shows.
    #[doc(hidden)]
    pub fn handle_reviewing_all(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.apply(now, event);
        self.changed_services.clear();
        let services: Vec<_> = self.groups.keys().cloned().collect();
        for service in &services {
            self.review(now, service);
        }
        std::mem::take(&mut self.effects)
    }

    /// The services that have changed, are being worked on, or have a reason for a step, or may come to have one as
    /// time passes; in their order. For all others a review does nothing.
    fn unsettled_services(&mut self) -> BTreeSet<ServiceName> {
        let mut unsettled = std::mem::take(&mut self.changed_services);
        unsettled.extend(self.attempts.keys().cloned());
        unsettled.extend(self.missing_since.keys().cloned());
        unsettled.extend(self.revoked_since.keys().cloned());
        unsettled.extend(self.triggered_since.keys().cloned());
        unsettled.extend(self.planned_moves.iter().cloned());
        let suspects = self.evidence.refused().iter();
        let suspects = suspects.chain(self.evidence.silent());
        let suspects = suspects.chain(self.evidence.lost_log());
        unsettled.extend(suspects.filter_map(|id| self.service_of.get(id).cloned()));
        unsettled.retain(|service| self.groups.contains_key(service));
        unsettled
    }

    /// When the duty wants a [`Event::Tick`] at the latest; none while nothing is under way.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let is_refused = |id: &BackendId| {
            let service = self.service_of.get(id);
            service.is_some_and(|service| self.trigger(now, service).is_some())
        };
        let is_idle = self.attempts.is_empty()
            && self.missing_since.is_empty()
            && self.revoked_since.is_empty()
            && self.evidence.silent().is_empty()
            && !self.has_unreported_change
            && self.planned_moves.is_empty()
            && self.evidence.lost_log().is_empty()
            && !self.evidence.refused().iter().any(is_refused);
        (!is_idle).then(|| now + POLL_INTERVAL)
    }

    /// Takes the services and their members in, whole.
    fn replace_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let is_over = |service: &&ServiceName| !groups.contains_key(*service);
        let over: Vec<_> = self.groups.keys().filter(is_over).cloned().collect();
        let listed_before = self.listed_members;
        for service in over {
            self.forget_group(&service);
        }
        self.apply_groups(groups);
        self.detect_mass_expiry(now, listed_before);
    }

    /// Takes in services of which something has changed.
    fn update_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let listed_before = self.listed_members;
        self.apply_groups(groups);
        self.detect_mass_expiry(now, listed_before);
    }

    fn apply_groups(&mut self, groups: BTreeMap<ServiceName, GroupState>) {
        for (service, group) in groups {
            if self.groups.get(&service) != Some(&group) {
                self.apply_group(service, group);
            }
        }
        let (groups, service_of) = (&self.groups, &self.service_of);
        self.evidence.retain_lost_logs(|id| {
            let group = service_of.get(id).and_then(|service| groups.get(service));
            group.and_then(Self::announced_leader) == Some(id)
        });
    }

    fn apply_group(&mut self, service: ServiceName, group: GroupState) {
        self.forget_members(&service);
        self.listed_members += group.listed_members();
        for id in group.members.keys() {
            self.service_of.insert(id.clone(), service.clone());
        }
        let leader = Self::announced_leader(&group);
        if leader.is_some_and(|leader| trigger::must_move_leader(&group, leader)) {
            self.planned_moves.insert(service.clone());
        } else {
            self.planned_moves.remove(&service);
        }
        self.changed_services.insert(service.clone());
        self.groups.insert(service, group);
    }

    fn forget_group(&mut self, service: &ServiceName) {
        self.forget_members(service);
        self.groups.remove(service);
        self.planned_moves.remove(service);
        self.attempts.remove(service);
    }

    fn forget_members(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        self.listed_members = self.listed_members.saturating_sub(group.listed_members());
        for id in group.members.keys() {
            if self.service_of.get(id) == Some(service) {
                self.service_of.remove(id);
            }
        }
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Groups(groups) => self.replace_groups(now, groups),
            Event::GroupsChanged(groups) => self.update_groups(now, groups),
            Event::NodeCount(nodes) => self.node_count = nodes.max(1),
            Event::RelayPeers(peers) => self.relay_peers = peers,
            Event::LeaderUsers(users) => self.leader_users = users,
            Event::Revoked {
                service,
                term,
                user,
                newest,
            } => self.user_revoked(now, &service, term, user, newest),
            Event::Evidence(backend, evidence) => self.record_evidence(now, backend, evidence),
            Event::LeadershipRevoked(service, is_revoked) => {
                self.record_revocation(now, service, is_revoked)
            }
            Event::Suspicion(node, silent) => {
                self.verify(now, node, &silent);
                self.evidence.record_report(now, node, silent);
            }
            Event::FoundSilent(backend) => _ = self.verification_paused_until.remove(&backend),
            Event::Verified(node, backend) => self.evidence.record_verified(now, node, backend),
            Event::Records { era, records } => self.learn_records(now, era, records),
            Event::Record(service, version, record) => {
                self.records.learn(now, service, version, record);
            }
            Event::RecordWritten(service, version, record) => {
                self.record_written(now, &service, version, record);
            }
            Event::RecordFailed(service) => self.record_failed(now, &service),
            Event::StatusReply(backend, status) => self.record_status(&backend, status),
            Event::MemberCallEnded(backend, via, reach) => {
                self.record_call_result(now, &backend, &via, reach)
            }
            Event::Promotion(service, token, outcome) => {
                self.promotion_ended(now, &service, token, outcome);
            }
            Event::Tick => self.report_again(now),
        }
    }

    /// Looks at leaders that another node finds silent. Where a service has little work, few nodes use its leader, and
    /// without this the others would learn only from its entry that it is gone: 4 to 5 s after a zone was lost, with
    /// 100 services and two statements a second each.
    fn verify(&mut self, now: Time, asker: NodeId, silent: &BTreeSet<BackendId>) {
        self.verification_paused_until.retain(|_, at| now < *at);
        for backend in silent {
            let leads = self
                .service_of
                .get(backend)
                .and_then(|service| self.groups.get(service))
                .is_some_and(|group| Self::announced_leader(group) == Some(backend));
            if !leads || self.verification_paused_until.contains_key(backend) {
                continue;
            }
            self.verification_paused_until
                .insert(backend.clone(), now + VERIFICATION_INTERVAL);
            self.effects.push(Effect::Verify {
                backend: backend.clone(),
                asker,
            });
        }
    }

    fn record_evidence(&mut self, now: Time, backend: BackendId, evidence: LeaderEvidence) {
        if !self.evidence.record(backend, evidence) {
            return;
        }
        self.has_unreported_change = true;
        if now >= self.reported_at + MIN_REPORT_INTERVAL {
            self.report(now);
        }
    }

    fn report(&mut self, now: Time) {
        self.reported_at = now;
        self.has_unreported_change = false;
        let silent = self.evidence.silent().clone();
        self.effects.push(Effect::ReportSilent(silent));
    }

    /// Others count a report for a while only.
    fn report_again(&mut self, now: Time) {
        let has_report = !self.evidence.silent().is_empty();
        let pause = if self.has_unreported_change {
            MIN_REPORT_INTERVAL
        } else {
            REPORT_REPEAT_INTERVAL
        };
        if (has_report || self.has_unreported_change) && now >= self.reported_at + pause {
            self.report(now);
        }
    }

    /// The member that calls itself primary, the one announced last if there are several.
    fn announced_leader(group: &GroupState) -> Option<&BackendId> {
        let primaries = group
            .members
            .iter()
            .filter(|(_, member)| member.role == BackendRole::Primary);
        primaries
            .max_by_key(|(_, member)| (member.is_listed, member.revision))
            .map(|(id, _)| id)
    }

    fn review(&mut self, now: Time, service: &ServiceName) {
        self.track_missing_primary(now, service);
        self.hold_new_replicas(service);
        self.announce_pending_term(now, service);
        match self
            .attempts
            .get(service)
            .map(|attempt| attempt.stage.clone())
        {
            None => self.begin_if_due(now, service),
            Some(Stage::Queued) => self.review_queued(now, service),
            Some(Stage::Claiming) => self.review_claim(now, service),
            Some(Stage::Querying) => self.review_answers(now, service),
            Some(Stage::Demoting) => self.review_demotion(now, service),
            Some(Stage::Promoting) => self.review_promotion(now, service),
            Some(Stage::AwaitingNewPrimary) => self.review_new_primary(now, service),
        }
    }

    fn log(&mut self, service: &ServiceName, action: FailoverStep) {
        self.effects.push(Effect::Log(service.clone(), action));
    }

    /// The back ends that this node finds silent.
    #[must_use]
    pub fn silent(&self) -> &BTreeSet<BackendId> {
        self.evidence.silent()
    }
}
