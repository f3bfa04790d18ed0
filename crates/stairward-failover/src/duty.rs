//! The duty's state, what it hears, and which step is looked at; the steps are in the modules below.

mod asking;
mod claim;
mod ending_steps;
mod promotion;
mod trigger;

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, NodeId, ServiceName, Time};

use crate::attempt::{Attempt, Stage};
use crate::event::{Effect, Event, FailoverStep, GroupState, LeaderEvidence};
use crate::evidence::EvidenceLedger;
use crate::options::FailoverOptions;
use crate::records::Records;

/// How often the duty looks again while something is under way.
const POLL: std::time::Duration = std::time::Duration::from_millis(50);
/// The shortest pause between two reports: a node that is cut off finds many back ends silent within a moment, and each
/// report costs a connection to each of its peers.
const REPORT_GAP: std::time::Duration = std::time::Duration::from_millis(100);
/// How often a report that still holds is told again.
const REPORT_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);

/// A back end that accepted a connection when it was looked at for another node is not looked at again for this long:
/// one that only answers slowly must not be opened connections to by the whole fleet (14 a second of 12 ms each with
/// 72 nodes).
const VERIFICATION_PAUSE: std::time::Duration = std::time::Duration::from_secs(5);

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
    moving: BTreeSet<ServiceName>,
    /// Services whose members have changed since they were looked at.
    changed: BTreeSet<ServiceName>,
    nodes: u32,
    /// Nodes that may pass questions on to members.
    peers: Vec<NodeId>,
    /// All other nodes that may use a leader.
    users: BTreeSet<NodeId>,
    evidence: EvidenceLedger,
    /// Back ends that were looked at for other nodes lately, and until when they are not looked at again.
    verify_after: BTreeMap<BackendId, Time>,
    /// When others were last told which back ends this node finds silent.
    reported_at: Time,
    /// Whether that has changed since.
    has_news: bool,
    records: Records,
    attempts: BTreeMap<ServiceName, Attempt>,
    /// Since when there has been a reason to replace a primary.
    triggered_since: BTreeMap<ServiceName, Time>,
    /// No new attempt begins before this.
    pauses: BTreeMap<ServiceName, Time>,
    /// Since when a primary has been missing or leading nobody.
    missing_since: BTreeMap<ServiceName, Time>,
    /// When entries last lapsed together.
    lapsed_at: Option<Time>,
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
            moving: BTreeSet::new(),
            changed: BTreeSet::new(),
            nodes: 1,
            peers: Vec::new(),
            users: BTreeSet::new(),
            evidence: EvidenceLedger::default(),
            verify_after: BTreeMap::new(),
            reported_at: Time::ZERO,
            has_news: false,
            attempts: BTreeMap::new(),
            triggered_since: BTreeMap::new(),
            pauses: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            lapsed_at: None,
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
        self.changed.clear();
        let services: Vec<_> = self.groups.keys().cloned().collect();
        for service in &services {
            self.review(now, service);
        }
        std::mem::take(&mut self.effects)
    }

    /// The services that have changed, are being worked on, or have a reason for a step, or may come to have one as
    /// time passes; in their order. For all others a review does nothing.
    fn unsettled_services(&mut self) -> BTreeSet<ServiceName> {
        let mut unsettled = std::mem::take(&mut self.changed);
        unsettled.extend(self.attempts.keys().cloned());
        unsettled.extend(self.missing_since.keys().cloned());
        unsettled.extend(self.revoked_since.keys().cloned());
        unsettled.extend(self.triggered_since.keys().cloned());
        unsettled.extend(self.moving.iter().cloned());
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
            && !self.has_news
            && self.moving.is_empty()
            && self.evidence.lost_log().is_empty()
            && !self.evidence.refused().iter().any(is_refused);
        (!is_idle).then(|| now + POLL)
    }

    /// Takes the services and their members in, whole.
    fn set_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let is_over = |service: &&ServiceName| !groups.contains_key(*service);
        let over: Vec<_> = self.groups.keys().filter(is_over).cloned().collect();
        let listed_before = self.listed_members;
        for service in over {
            self.forget_group(&service);
        }
        self.take_groups(groups);
        self.note_lapse(now, listed_before);
    }

    /// Takes in services of which something has changed.
    fn change_groups(&mut self, now: Time, groups: BTreeMap<ServiceName, GroupState>) {
        let listed_before = self.listed_members;
        self.take_groups(groups);
        self.note_lapse(now, listed_before);
    }

    fn take_groups(&mut self, groups: BTreeMap<ServiceName, GroupState>) {
        for (service, group) in groups {
            if self.groups.get(&service) != Some(&group) {
                self.take_group(service, group);
            }
        }
        let (groups, service_of) = (&self.groups, &self.service_of);
        self.evidence.keep_lost_logs_of(|id| {
            let group = service_of.get(id).and_then(|service| groups.get(service));
            group.and_then(Self::announced_leader) == Some(id)
        });
    }

    fn take_group(&mut self, service: ServiceName, group: GroupState) {
        self.forget_members(&service);
        self.listed_members += group.listed_members();
        for id in group.members.keys() {
            self.service_of.insert(id.clone(), service.clone());
        }
        let leader = Self::announced_leader(&group);
        if leader.is_some_and(|leader| trigger::must_move(&group, leader)) {
            self.moving.insert(service.clone());
        } else {
            self.moving.remove(&service);
        }
        self.changed.insert(service.clone());
        self.groups.insert(service, group);
    }

    fn forget_group(&mut self, service: &ServiceName) {
        self.forget_members(service);
        self.groups.remove(service);
        self.moving.remove(service);
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
            Event::Groups(groups) => self.set_groups(now, groups),
            Event::GroupsChanged(groups) => self.change_groups(now, groups),
            Event::NodeCount(nodes) => self.nodes = nodes.max(1),
            Event::RelayPeers(peers) => self.peers = peers,
            Event::LeaderUsers(users) => self.users = users,
            Event::Revoked {
                service,
                term,
                user,
                newest,
            } => self.user_revoked(now, &service, term, user, newest),
            Event::Evidence(backend, evidence) => self.note_evidence(now, backend, evidence),
            Event::LeadershipRevoked(service, is_revoked) => {
                self.note_lead(now, service, is_revoked)
            }
            Event::Suspicion(node, silent) => {
                self.verify(now, node, &silent);
                self.evidence.note_other(now, node, silent);
            }
            Event::FoundSilent(backend) => _ = self.verify_after.remove(&backend),
            Event::Verified(node, backend) => self.evidence.note_verified(now, node, backend),
            Event::Records { era, records } => self.learn_records(now, era, records),
            Event::Record(service, version, record) => {
                self.records.learn(now, service, version, record);
            }
            Event::RecordWritten(service, version, record) => {
                self.record_written(now, &service, version, record);
            }
            Event::RecordFailed(service) => self.record_failed(now, &service),
            Event::StatusReply(backend, status) => self.take_status(&backend, status),
            Event::MemberCallEnded(backend, via, reach) => {
                self.take_reach(now, &backend, &via, reach)
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
        self.verify_after.retain(|_, at| now < *at);
        for backend in silent {
            let leads = self
                .service_of
                .get(backend)
                .and_then(|service| self.groups.get(service))
                .is_some_and(|group| Self::announced_leader(group) == Some(backend));
            if !leads || self.verify_after.contains_key(backend) {
                continue;
            }
            self.verify_after
                .insert(backend.clone(), now + VERIFICATION_PAUSE);
            self.effects.push(Effect::Verify {
                backend: backend.clone(),
                asker,
            });
        }
    }

    fn note_evidence(&mut self, now: Time, backend: BackendId, evidence: LeaderEvidence) {
        if !self.evidence.note(backend, evidence) {
            return;
        }
        self.has_news = true;
        if now >= self.reported_at + REPORT_GAP {
            self.report(now);
        }
    }

    fn report(&mut self, now: Time) {
        self.reported_at = now;
        self.has_news = false;
        let silent = self.evidence.silent().clone();
        self.effects.push(Effect::ReportSilent(silent));
    }

    /// Others count a report for a while only.
    fn report_again(&mut self, now: Time) {
        let has_report = !self.evidence.silent().is_empty();
        let pause = if self.has_news {
            REPORT_GAP
        } else {
            REPORT_PAUSE
        };
        if (has_report || self.has_news) && now >= self.reported_at + pause {
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
        self.note_missing(now, service);
        self.hold_late_members(service);
        self.announce_pending(now, service);
        match self
            .attempts
            .get(service)
            .map(|attempt| attempt.stage.clone())
        {
            None => self.maybe_begin(now, service),
            Some(Stage::Queued) => self.review_queued(now, service),
            Some(Stage::Claiming) => self.review_claim(now, service),
            Some(Stage::Asking) => self.review_asking(now, service),
            Some(Stage::Ending) => self.review_ending(now, service),
            Some(Stage::Promoting) => self.review_promotion(now, service),
            Some(Stage::Settling) => self.review_settling(now, service),
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
