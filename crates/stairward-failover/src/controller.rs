//! State of the failover controller, event handling, and dispatch of each service to the step it is
//! due for. The steps are implemented in the submodules.

mod claim;
mod consultation_steps;
mod demotion_steps;
mod in_sync_steps;
mod member_status;
mod promotion;
mod trigger;

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, NodeId, ServiceName, Time};

use self::in_sync_steps::InSyncReview;
use crate::attempt::{Attempt, Stage};
use crate::consultation::Consultation;
use crate::event::{Effect, Event, FailoverStep, GroupState, LeaderEvidence};
use crate::evidence::BackendEvidence;
use crate::in_sync::InSyncMembers;
use crate::options::FailoverOptions;
use crate::records::Records;

/// Interval of [`Event::Tick`] while something is in progress.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
/// Minimum interval between two reports. A node that loses its network finds many back ends silent
/// within a moment, and each report costs a connection to each of its peers.
const MIN_REPORT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// Interval at which an unchanged report is repeated.
const REPORT_REPEAT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// How long a back end that accepted a probe connection is not probed again. Without this, the
/// whole fleet keeps opening connections to a back end that is merely slow: 14 a second of 12 ms
/// each with 72 nodes.
const VERIFICATION_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// The failover controller of one node.
#[derive(Debug)]
pub struct FailoverController {
    options: FailoverOptions,
    groups: BTreeMap<ServiceName, GroupState>,
    in_sync: InSyncMembers,
    reviews: BTreeMap<ServiceName, InSyncReview>,
    /// The number of the last review of missing members.
    last_review: u64,
    /// The service of each member.
    service_of: BTreeMap<BackendId, ServiceName>,
    /// The number of listed members over all services.
    listed_members: usize,
    /// Services with a planned change of leader.
    planned_moves: BTreeSet<ServiceName>,
    /// Services whose members have changed since their last review.
    changed_services: BTreeSet<ServiceName>,
    node_count: u32,
    /// Nodes that may relay calls to members.
    relay_peers: Vec<NodeId>,
    /// All other nodes that may send requests to a leader.
    leader_users: BTreeSet<NodeId>,
    consultation: Consultation,
    evidence: BackendEvidence,
    /// Back ends recently probed for other nodes, and until when they are not probed again.
    verification_paused_until: BTreeMap<BackendId, Time>,
    /// When this node last reported its silent back ends.
    reported_at: Time,
    /// Whether the set of silent back ends has changed since the last report.
    has_unreported_change: bool,
    records: Records,
    /// When the write of a promotion to a record was last repeated.
    recorded_at: Time,
    attempts: BTreeMap<ServiceName, Attempt>,
    /// Since when there has been a reason to replace the primary.
    triggered_since: BTreeMap<ServiceName, Time>,
    /// The earliest time of the next attempt.
    retry_after: BTreeMap<ServiceName, Time>,
    /// Since when no listed member of the service reports the primary role.
    missing_since: BTreeMap<ServiceName, Time>,
    /// When many entries last expired together.
    mass_expiry_at: Option<Time>,
    /// Since when replicas have been on hold for a later term than that of their leader.
    revoked_since: BTreeMap<ServiceName, Time>,
    effects: Vec<Effect>,
}

impl FailoverController {
    /// Creates a controller that knows nothing yet. It acts only after it has received the failover
    /// records.
    #[must_use]
    pub fn new(options: FailoverOptions) -> Self {
        Self {
            records: Records::new(options.node.clone(), options.lease),
            options,
            groups: BTreeMap::new(),
            in_sync: InSyncMembers::default(),
            reviews: BTreeMap::new(),
            last_review: 0,
            service_of: BTreeMap::new(),
            listed_members: 0,
            planned_moves: BTreeSet::new(),
            changed_services: BTreeSet::new(),
            node_count: 1,
            relay_peers: Vec::new(),
            leader_users: BTreeSet::new(),
            consultation: Consultation::default(),
            evidence: BackendEvidence::default(),
            verification_paused_until: BTreeMap::new(),
            reported_at: Time::ZERO,
            has_unreported_change: false,
            recorded_at: Time::ZERO,
            attempts: BTreeMap::new(),
            triggered_since: BTreeMap::new(),
            retry_after: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            mass_expiry_at: None,
            revoked_since: BTreeMap::new(),
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out. Reviews only the services for which a
    /// step may be due.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        self.apply(now, event);
        self.review_consultation(now);
        for service in self.unsettled_services() {
            self.review(now, &service);
        }
        std::mem::take(&mut self.effects)
    }

    /// Like [`Self::handle`], but reviews all services. Slower, with the same decisions: a test
    /// compares the two.
    #[doc(hidden)]
    pub fn handle_reviewing_all(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        self.apply(now, event);
        self.review_consultation(now);
        self.changed_services.clear();
        let services: Vec<_> = self.groups.keys().cloned().collect();
        for service in &services {
            self.review(now, service);
        }
        std::mem::take(&mut self.effects)
    }

    /// The services that have changed, have an attempt in progress, or have a reason for a step now
    /// or as time passes, in order. A review of any other service does nothing.
    fn unsettled_services(&mut self) -> BTreeSet<ServiceName> {
        let mut unsettled = std::mem::take(&mut self.changed_services);
        unsettled.extend(self.attempts.keys().cloned());
        unsettled.extend(self.missing_since.keys().cloned());
        unsettled.extend(self.revoked_since.keys().cloned());
        unsettled.extend(self.triggered_since.keys().cloned());
        unsettled.extend(self.planned_moves.iter().cloned());
        unsettled.extend(self.in_sync.unsettled().cloned());
        let suspects = self.evidence.refused().iter();
        let suspects = suspects.chain(self.evidence.silent());
        let suspects = suspects.chain(self.evidence.lost_log());
        unsettled.extend(suspects.filter_map(|id| self.service_of.get(id).cloned()));
        unsettled.retain(|service| self.groups.contains_key(service));
        unsettled
    }

    /// The latest time for the next [`Event::Tick`]; `None` while nothing is in progress.
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
            && self.records.unrecorded(now).is_empty()
            && !self.consultation.is_waiting()
            && !self.evidence.refused().iter().any(is_refused);
        (!is_idle).then(|| now + POLL_INTERVAL)
    }

    /// Replaces the set of services and their members.
    fn replace_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let is_gone = |service: &&ServiceName| !groups.contains_key(*service);
        let gone: Vec<_> = self.groups.keys().filter(is_gone).cloned().collect();
        let listed_before = self.listed_members;
        for service in gone {
            self.forget_group(&service);
        }
        self.apply_groups(now, groups);
        self.detect_mass_expiry(now, listed_before);
    }

    /// Updates the services that have changed.
    fn update_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let listed_before = self.listed_members;
        self.apply_groups(now, groups);
        self.detect_mass_expiry(now, listed_before);
    }

    fn apply_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        for (service, group) in groups {
            if self.groups.get(&service) != Some(&group) {
                self.apply_group(now, service, group);
            }
        }
        let (groups, service_of) = (&self.groups, &self.service_of);
        self.evidence.retain_lost_logs(|id| {
            let group = service_of.get(id).and_then(|service| groups.get(service));
            group.and_then(Self::announced_leader) == Some(id)
        });
    }

    fn apply_group(&mut self, now: Time, service: ServiceName, group: GroupState) {
        if group.synchronous_replicas > 0 {
            self.in_sync.update_group(now, &service, &group);
        }
        if self.has_new_member(&service, &group) {
            // An attempt that was refused for want of a member may succeed now.
            self.retry_after.remove(&service);
        }
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
        self.reviews.remove(service);
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
            Event::RelayPeers(peers) => {
                self.relay_peers = peers;
                self.begin_consultation(now);
            }
            Event::LeaderUsers(users) => self.leader_users = users,
            Event::Revoked {
                service,
                term,
                user,
                newest,
            } => self.handle_user_revoked(now, &service, term, user, newest),
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
            Event::NewestTerms {
                service,
                started,
                announced,
            } => self.record_newest_terms(&service, started, announced),
            Event::PromotionAnnounced(service, promotion) => {
                self.apply_announced_promotion(&service, promotion);
            }
            Event::PeerPromotions(peer, known) => self.apply_peer_promotions(peer, known),
            Event::Records { era, records } => self.apply_records(now, era, records),
            Event::Record(service, version, record) => {
                self.update_record(now, &service, version, record);
            }
            Event::RecordWritten(service, version, record) => {
                self.handle_record_written(now, &service, version, record);
            }
            Event::RecordFailed(service) => self.handle_record_failed(now, &service),
            Event::InSyncRecords { era, records } => self.in_sync.apply_listing(now, era, records),
            Event::InSyncRecord(service, version, record) => {
                self.in_sync.apply_record(now, &service, version, &record);
            }
            Event::MemberReviewed(call, result) => self.record_review_result(now, &call, result),
            Event::StatusReply(backend, status) => self.record_status(&backend, status),
            Event::MemberCallEnded(backend, via, result) => {
                self.record_call_result(now, &backend, &via, result)
            }
            Event::Promotion(service, token, outcome) => {
                self.handle_promotion_outcome(now, &service, token, outcome);
            }
            Event::Tick => {
                self.report_again(now);
                self.repeat_record_writes(now);
            }
        }
    }

    /// Requests probes of the leaders that another node finds silent. The leader of a service with
    /// little traffic is used by few nodes; without probes, the others would learn of its loss only
    /// from its expired entry: 4 to 5 s after a zone was lost, with 100 services and two statements
    /// a second each.
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

    /// Repeats the report, since other nodes let it expire.
    fn report_again(&mut self, now: Time) {
        let has_report = !self.evidence.silent().is_empty();
        let interval = if self.has_unreported_change {
            MIN_REPORT_INTERVAL
        } else {
            REPORT_REPEAT_INTERVAL
        };
        if (has_report || self.has_unreported_change) && now >= self.reported_at + interval {
            self.report(now);
        }
    }

    /// The member that reports the primary role; among several, a listed one, then the one whose
    /// entry changed last.
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
        self.repeat_announcement(now, service);
        self.review_in_sync_members(now, service);
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
