//! Keeps each service's leadership confirmed by its replicas. [`crate::leadership`] defines what a replica's
//! report proves, and [`crate::withholding`] what happens to a leader's replies in the meantime.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_types::{BackendId, BackendRole, Freshness, MemberStatus, ServiceName, Term, Time};

use crate::choice::ConnectionRequest;
use crate::connection::User;
use crate::engine::Engine;
use crate::event::{BackendCommand, Effect, LeadershipChange};
use crate::group::Group;
use crate::identifiers::ConnectionId;
use crate::leadership::MemberReport;
use crate::reply::BackendReply;
use crate::timers::Timer;

/// Fraction of the lease after which a confirmation is renewed.
const RENEWAL_DIVISOR: u32 = 2;
/// Fraction of the lease after which an unanswered query is sent to another member.
const QUERY_TIMEOUT_DIVISOR: u32 = 5;
/// Fraction of the lease after which a failed query is repeated.
const RETRY_DIVISOR: u32 = 20;
/// Without a lease, the interval at which withheld replies are checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Engine {
    /// Whether a leader's replies may be trusted now.
    pub(crate) fn is_leadership_confirmed(
        &self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) -> bool {
        let Some(lease) = self.options.leadership_lease else {
            return true;
        };
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        // If no other member is listed, no other can be promoted.
        let is_alone = || {
            self.other_members(group, leader).is_empty()
                && !group.leadership.is_revoked(backend.term)
        };
        let is_superseded =
            group
                .leadership
                .is_superseded_by_record(now, lease, leader, backend.term);
        !self.awaits_peers
            && backend.term >= group.newest_term
            && !backend.is_known_replica()
            && !is_superseded
            && (group.leadership.is_confirmed(now, backend.term, lease) || is_alone())
    }

    /// Whether a later term than the leader's may have begun.
    pub(crate) fn is_leadership_revoked(
        &self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        let Some(lease) = self.options.leadership_lease else {
            return false;
        };
        let is_outdated = group.newest_term > backend.term;
        let is_known = backend.term > Term::default();
        let leadership = &group.leadership;
        let is_superseded = leadership.is_superseded_by_record(now, lease, leader, backend.term);
        let is_deposed = is_outdated || backend.is_known_replica();
        is_known && (is_deposed || is_superseded || leadership.is_revoked(backend.term))
    }

    /// The members other than the leader that may be promoted. An unlisted member can't be promoted, unless
    /// the leader is unlisted too: then discovery itself may be out of date.
    pub(crate) fn other_members(&self, group: &Group, leader: &BackendId) -> BTreeSet<BackendId> {
        let is_listed =
            |id: &BackendId| self.backends.get(id).is_some_and(|member| member.is_listed);
        let is_any_allowed = !is_listed(leader);
        let others = group.members.iter().filter(|id| *id != leader);
        others
            .filter(|id| is_any_allowed || is_listed(id))
            .cloned()
            .collect()
    }

    /// Queries replicas when the last confirmation is about to expire.
    pub(crate) fn renew_leadership_confirmation(
        &mut self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return;
        };
        let is_recent = group
            .leadership
            .is_confirmed(now, backend.term, lease / RENEWAL_DIVISOR);
        if is_recent && !backend.is_log_suspect {
            return;
        }
        self.query_leader_term(now, service, leader);
        if is_recent {
            return;
        }
        if !self.query_leadership_source(now, service) {
            self.query_members(now, service, leader);
        }
    }

    /// Queries a leader that was just promoted, of which this node may know only the term that it had as a
    /// replica, and one whose log may lack entries.
    fn query_leader_term(&mut self, now: Time, service: &ServiceName, leader: &BackendId) {
        let (Some(lease), Some(group)) = (self.options.leadership_lease, self.groups.get(service))
        else {
            return;
        };
        let is_suspect = self
            .backends
            .get(leader)
            .is_some_and(|leader| leader.is_log_suspect);
        let is_needed = is_suspect || self.is_leadership_revoked(now, service, leader);
        let is_due = is_needed
            && !group
                .leadership
                .was_queried_within(now, leader, lease / QUERY_TIMEOUT_DIVISOR)
            && !group
                .leadership
                .has_report_within(now, leader, lease / RETRY_DIVISOR);
        if is_due {
            self.query_member(now, service, leader);
        }
    }

    /// Queries the region's leadership source, if there is one; returns whether that may be sufficient.
    fn query_leadership_source(&mut self, now: Time, service: &ServiceName) -> bool {
        let (Some(lease), Some(source)) = (
            self.options.leadership_lease,
            self.holders.leadership_source(service),
        ) else {
            return false;
        };
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let pause = lease / RETRY_DIVISOR;
        let may_be_enough = group.leadership.may_query_source(
            now,
            lease / RENEWAL_DIVISOR,
            lease / QUERY_TIMEOUT_DIVISOR,
        );
        if may_be_enough && group.leadership.record_source_query(now, pause) {
            let service = service.clone();
            let holder = source;
            self.effects
                .push(Effect::QueryLeadership { holder, service });
        }
        if may_be_enough {
            self.schedule_query_retry(now, service);
        }
        may_be_enough
    }

    /// Another node of the region queries a service's leadership; this node keeps it confirmed from now on.
    pub(crate) fn leadership_queried(&mut self, now: Time, service: &ServiceName) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let Some(leader) = self.leader(now, service) else {
            return;
        };
        let term = self
            .backends
            .get(&leader)
            .map_or(Term::default(), |leader| leader.term);
        let is_recent = self.groups.get(service).is_some_and(|group| {
            let age = lease / RENEWAL_DIVISOR;
            group.leadership.is_confirmed(now, term, age)
        });
        let is_leader_queried = self.groups.get(service).is_some_and(|group| {
            let timeout = lease / QUERY_TIMEOUT_DIVISOR;
            group.leadership.was_queried_within(now, &leader, timeout)
        });
        if !is_leader_queried && self.is_leader_log_doubtful(now, service) {
            // The asking node relies on this one to have compared the leader's log.
            self.query_member(now, service, &leader);
        }
        if !is_recent {
            self.query_members(now, service, &leader);
        }
    }

    /// Applies what another node of the region knew `age` before it was queried.
    pub(crate) fn apply_peer_leadership(
        &mut self,
        now: Time,
        service: &ServiceName,
        possible_term: Term,
        asked_at: Time,
        age: Duration,
    ) {
        if age > asked_at.since(Time::ZERO) {
            // The information predates the start of this node's clock and can't be dated.
            return;
        }
        if let Some(group) = self.groups.get_mut(service) {
            group
                .leadership
                .record_peer_knowledge(possible_term, asked_at - age);
        }
        self.leadership_updated(now, service);
    }

    /// Another node is about to promote a replica in this term.
    pub(crate) fn revoke_leadership(&mut self, now: Time, service: &ServiceName, term: Term) {
        let others = self.promotable_members(now, service);
        let lease = self.options.leadership_lease.unwrap_or_default();
        if let Some(group) = self.groups.get_mut(service) {
            group.leadership.revoke(now, lease, term, &others);
        }
        self.leadership_updated(now, service);
    }

    /// The store's record or another node shows a promotion.
    pub(crate) fn apply_recorded_promotion(
        &mut self,
        now: Time,
        service: &ServiceName,
        leader: BackendId,
        term: Term,
        is_pending: bool,
    ) {
        let are_fenced = self.options.promotions_are_fenced;
        let group = self.groups.entry(service.clone()).or_default();
        group.leadership.are_promotions_fenced = are_fenced;
        group
            .leadership
            .record_promotion(now, leader, term, is_pending);
        self.leadership_updated(now, service);
    }

    /// All that the peers know of promotions has been applied.
    pub(crate) fn peers_consulted(&mut self, now: Time) {
        self.awaits_peers = false;
        let services: Vec<_> = self.groups.keys().cloned().collect();
        for service in &services {
            self.leadership_updated(now, service);
        }
    }

    /// The promotion attempt has ended.
    pub(crate) fn promotion_ended(&mut self, now: Time, service: &ServiceName) {
        if let Some(group) = self.groups.get_mut(service) {
            group.leadership.promotion_ended();
        }
        self.leadership_updated(now, service);
    }

    /// The members that may be promoted instead of the present leader.
    fn promotable_members(&self, now: Time, service: &ServiceName) -> BTreeSet<BackendId> {
        let leader = self.leader(now, service);
        let group = self.groups.get(service);
        match (group, leader) {
            (Some(group), Some(leader)) => self.other_members(group, &leader),
            (Some(group), None) => group.members.clone(),
            (None, _) => BTreeSet::new(),
        }
    }

    /// The highest term of a service seen in any reply.
    #[must_use]
    pub fn newest_term(&self, service: &ServiceName) -> Term {
        let group = self.groups.get(service);
        group.map_or(Term::default(), |group| group.newest_term)
    }

    /// The highest term of a service that has begun, or for which a promotion was requested. A holder of the failover
    /// lease that announces no later one has missed it.
    #[must_use]
    pub fn newest_used_term(&self, service: &ServiceName) -> Term {
        let group = self.groups.get(service);
        let used = group.map(|group| group.leadership.newest_used_term());
        used.unwrap_or_default().max(self.newest_term(service))
    }

    /// The newest term of a service that a holder of the failover lease has announced and that may still
    /// begin.
    #[must_use]
    pub fn announced_term(&self, service: &ServiceName) -> Term {
        let group = self.groups.get(service);
        group.map_or(Term::default(), |group| group.leadership.announced_term())
    }

    /// The announced terms that may still begin, of all services.
    pub fn announced_terms(&self) -> impl Iterator<Item = (&ServiceName, Term)> {
        let announced = self.groups.iter().map(|(service, group)| {
            let term = group.leadership.announced_term();
            (service, term, group.newest_term)
        });
        let announced = announced.filter(|(_, term, newest)| term > newest);
        announced.map(|(service, term, _)| (service, term))
    }

    /// What is known of a service's leadership: the highest term that may have begun, and the age of that
    /// information.
    #[must_use]
    pub fn known_leadership(&self, now: Time, service: &ServiceName) -> Option<(Term, Duration)> {
        let (possible_term, asked_at) = self.groups.get(service)?.leadership.known()?;
        let is_trusted = !self.is_leader_log_doubtful(now, service);
        is_trusted.then(|| (possible_term, now.since(asked_at)))
    }

    /// Queries the members of the group directly: one while the leadership is confirmed, all otherwise.
    fn query_members(&mut self, now: Time, service: &ServiceName, leader: &BackendId) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return;
        };
        let (leadership, term) = (&group.leadership, backend.term);
        let is_continuous = leadership.is_confirmed(now, term, lease);
        if is_continuous {
            self.query_best_member(now, service, leader);
        } else {
            self.query_all_members(now, service, leader);
        }
    }

    /// Queries the best of the other members, unless a reply is awaited already.
    fn query_best_member(&mut self, now: Time, service: &ServiceName, leader: &BackendId) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let others = self.other_members_by_cost(now, service, leader);
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let timeout = lease / QUERY_TIMEOUT_DIVISOR;
        let is_reply_awaited = |id: &BackendId| group.leadership.is_reply_awaited(now, id, timeout);
        if others.iter().any(is_reply_awaited) {
            return;
        }
        let due: Vec<_> = others
            .into_iter()
            .filter(|id| !group.leadership.was_queried_within(now, id, timeout))
            .collect();
        if !due.iter().any(|id| self.query_member(now, service, id)) {
            self.schedule_query_retry(now, service);
        }
    }

    /// Queries all other members whose reports are not recent.
    fn query_all_members(&mut self, now: Time, service: &ServiceName, leader: &BackendId) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let mut is_any_missing = false;
        for id in self.other_members_by_cost(now, service, leader) {
            let Some(group) = self.groups.get(service) else {
                return;
            };
            // While a later term is awaited, the next report may show that it has begun, or that it never
            // will.
            let pause = lease / RETRY_DIVISOR;
            let is_due = !group.leadership.has_report_within(now, &id, pause)
                && !group
                    .leadership
                    .was_queried_within(now, &id, lease / QUERY_TIMEOUT_DIVISOR);
            is_any_missing |= is_due && !self.query_member(now, service, &id);
        }
        if is_any_missing {
            self.schedule_query_retry(now, service);
        }
    }

    /// Queries a member's status; returns whether a connection was available. Otherwise one is opened.
    pub(crate) fn query_member(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &BackendId,
    ) -> bool {
        let Some(connection) =
            self.connection_to(now, id, &ConnectionRequest::for_internal_query())
        else {
            return false;
        };
        if let Some(group) = self.groups.get_mut(service) {
            group.leadership.record_query(now, id);
        }
        self.assign_connection(connection, User::StatusQuery);
        self.send(now, connection, BackendCommand::QueryStatus);
        if let Some(lease) = self.options.leadership_lease {
            let late = now + lease / QUERY_TIMEOUT_DIVISOR;
            self.timers
                .set(late, Timer::LeadershipCheck(service.clone()));
        }
        true
    }

    pub(crate) fn schedule_query_retry(&mut self, now: Time, service: &ServiceName) {
        let lease = self.options.leadership_lease;
        let pause = lease.map_or(RECHECK_INTERVAL, |lease| lease / RETRY_DIVISOR);
        self.timers
            .set(now + pause, Timer::LeadershipCheck(service.clone()));
    }

    /// The other members, best first: healthy ones without an unanswered query, then by cost.
    fn other_members_by_cost(
        &self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) -> Vec<BackendId> {
        let Some(group) = self.groups.get(service) else {
            return Vec::new();
        };
        let mut others: Vec<_> = self
            .other_members(group, leader)
            .into_iter()
            .filter_map(|id| {
                let backend = self.backends.get(&id)?;
                let owes_report = group.leadership.owes_report(&id);
                Some((
                    !backend.is_healthy(),
                    owes_report,
                    backend.cost(now, None, true),
                    id,
                ))
            })
            .collect();
        others.sort();
        others.into_iter().map(|(_, _, _, id)| id).collect()
    }

    pub(crate) fn handle_status_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent_at: Time,
        reply: &BackendReply,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (backend, service) = (connection.backend.clone(), connection.service.clone());
        match reply.member {
            Some(status) => self.handle_member_status(now, &service, &backend, sent_at, status),
            None => {
                if let Some(backend) = self.backends.get_mut(&backend) {
                    backend.penalize_busy(now);
                }
                self.status_query_failed(now, &service, &backend);
            }
        }
        self.free_connection(now, id);
    }

    fn handle_member_status(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &BackendId,
        asked_at: Time,
        status: MemberStatus,
    ) {
        if let Some(group) = self.groups.get_mut(service) {
            group.newest_term = group.newest_term.max(status.term);
        }
        if let Some(backend) = self.backends.get_mut(id) {
            backend.record_status(status);
        }
        let report = MemberReport {
            awaited: status.awaited_term(),
            term: status.term,
            received: status.received,
            asked_at,
            heard_at: now,
            can_be_held: status.role == BackendRole::Replica,
            is_from_member: true,
        };
        self.record_member_report(now, service, id, report);
    }

    /// A back end that refuses connections can't have been promoted.
    pub(crate) fn handle_connection_refused(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &BackendId,
    ) {
        let report = MemberReport {
            awaited: Term::default(),
            term: Term::default(),
            received: Freshness::default(),
            asked_at: now,
            heard_at: now,
            can_be_held: false,
            is_from_member: false,
        };
        self.record_member_report(now, service, id, report);
    }

    fn record_member_report(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &BackendId,
        report: MemberReport,
    ) {
        let Some(lease) = self.options.leadership_lease else {
            if let Some(group) = self.groups.get_mut(service) {
                group.leadership.record_log_report(id, report);
            }
            self.verify_leader_log(now, service);
            return self.recheck_withheld(now, service);
        };
        let others = self.promotable_members(now, service);
        if let Some(group) = self.groups.get_mut(service) {
            group
                .leadership
                .record_report(now, lease, id, report, &others);
        }
        self.verify_leader_log(now, service);
        self.leadership_updated(now, service);
    }

    /// Acts on new knowledge of a service's leadership.
    fn leadership_updated(&mut self, now: Time, service: &ServiceName) {
        self.changed.insert(service.clone());
        self.report_leadership(now, service);
        self.recheck_withheld(now, service);
    }

    /// A status query failed.
    pub(crate) fn status_query_failed(&mut self, now: Time, service: &ServiceName, id: &BackendId) {
        // The other members are queried at the next opportunity, this one after its query timeout.
        if let Some(group) = self.groups.get_mut(service) {
            group.leadership.query_failed(now, id);
        }
        self.schedule_query_retry(now, service);
    }

    /// Repeats queries if any request or withheld reply depends on them.
    pub(crate) fn leadership_check_due(&mut self, now: Time, service: &ServiceName) {
        self.recheck_withheld(now, service);
        let is_withholding = !self.withheld(service).is_empty();
        if is_withholding || self.is_reported_revoked(service) {
            self.report_leadership(now, service);
        }
        // The failover duty must not keep a revocation that no longer holds, even if no request asks for the
        // leader.
        let is_revoked = self.is_reported_revoked(service);
        if let Some(lease) = self.options.leadership_lease.filter(|_| is_revoked) {
            let again = now + lease / RENEWAL_DIVISOR;
            self.timers
                .set(again, Timer::LeadershipCheck(service.clone()));
        }
        let is_waited_for = is_withholding
            || is_revoked
            || self
                .waiting
                .get(service)
                .is_some_and(|queue| !queue.is_empty());
        if let Some(leader) = self.leader(now, service)
            && is_waited_for
        {
            self.renew_leadership_confirmation(now, service, &leader);
            if is_withholding {
                self.query_logs(now, service, &leader);
            }
        }
        if is_withholding && self.options.leadership_lease.is_none() {
            self.schedule_query_retry(now, service);
        }
    }

    /// Whether the last reported change is a revocation.
    fn is_reported_revoked(&self, service: &ServiceName) -> bool {
        let group = self.groups.get(service);
        group.is_some_and(|group| group.leadership.reported == Some(LeadershipChange::Revoked))
    }

    /// Reports a change in what is known of a service's leadership.
    pub(crate) fn report_leadership(&mut self, now: Time, service: &ServiceName) {
        let Some(lease) = self.options.leadership_lease else {
            return;
        };
        let Some(leader) = self.leader(now, service) else {
            return;
        };
        let is_revoked = self.is_leadership_revoked(now, service, &leader);
        let (Some(group), Some(backend)) =
            (self.groups.get_mut(service), self.backends.get(&leader))
        else {
            return;
        };
        let was_reported = group.leadership.reported;
        let change = if is_revoked {
            LeadershipChange::Revoked
        } else if group.leadership.is_confirmed(now, backend.term, lease) {
            LeadershipChange::Confirmed
        } else {
            LeadershipChange::Lapsed
        };
        group.leadership.reported = Some(change);
        let is_usual = was_reported.is_none() && change == LeadershipChange::Confirmed;
        if was_reported == Some(change) || is_usual {
            return;
        }
        if change == LeadershipChange::Revoked {
            self.timers.set(
                now + lease / RENEWAL_DIVISOR,
                Timer::LeadershipCheck(service.clone()),
            );
        }
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let Some(backend) = self.backends.get(&leader) else {
            return;
        };
        let known = group.leadership.known();
        self.effects.push(Effect::LeadershipObserved {
            service: service.clone(),
            leader,
            change,
            term: backend.term,
            awaited: known.map(|(possible_term, _)| possible_term),
            age: known.map(|(_, asked_at)| now.since(asked_at)),
        });
    }
}
