//! Withholds a leader's replies until its leadership is confirmed. A confirmed reply is passed on. Once
//! another member is known to lead, the request ends with an unknown outcome or is retried.

use std::time::Duration;

use stairward_types::{BackendId, ResultCode, ServiceName, Time};

use crate::connection::{SentStep, Step, User};
use crate::engine::Engine;
use crate::identifiers::ConnectionId;
use crate::reply::BackendReply;
use crate::session::RequestKind;

/// Without a leadership lease: how long after the answer to a promotion it may still take effect.
const PROMOTION_TIME: Duration = Duration::from_secs(3);

impl Engine {
    /// Whether a reply must wait until its sender's leadership is confirmed.
    fn must_withhold(
        &self,
        now: Time,
        id: ConnectionId,
        step: &Step,
        reply: &BackendReply,
    ) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let is_proof = match step {
            Step::Begin { read_only, .. } => !read_only,
            Step::Statement => self.is_commit(id),
            _ => false,
        };
        let has_user = connection.user != Some(User::Abandoned);
        let is_confirmed = || {
            self.is_leadership_confirmed(now, &connection.service, &connection.backend)
                && (*step != Step::Statement || !self.may_lose_synchronous_commit(now, id))
                && !self.is_of_earlier_term(&connection.backend, step, reply)
                && !self.may_lack_entries(
                    now,
                    &connection.service,
                    &connection.backend,
                    reply.position,
                )
        };
        is_proof && has_user && reply.result.is_ok() && !is_confirmed()
    }

    /// Whether another member may have been, or may yet be, promoted without a commit that this connection's back end
    /// has acknowledged, although a replica has received it: a hold ends if the replica restarts. With a leadership
    /// lease the leader is not confirmed then; without synchronous replicas a promotion may lose commits anyway.
    fn may_lose_synchronous_commit(&self, now: Time, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let (service, leader) = (&connection.service, &connection.backend);
        self.has_unconfirmed_synchronous_leader(service)
            && (self.is_promotion_pending(service, leader)
                || self.is_being_replaced(now, service, leader)
                || self.may_another_take_effect(now, service, leader))
    }

    /// Whether a service has synchronous replicas, and leaders need no confirmation.
    fn has_unconfirmed_synchronous_leader(&self, service: &ServiceName) -> bool {
        let table = self.table.as_ref();
        let limits = table.and_then(|table| table.services.get(service));
        self.options.leadership_lease.is_none()
            && limits.is_some_and(|limits| limits.synchronous_replicas > 0)
    }

    /// Whether a promotion to a later term than the leader's is unanswered.
    fn is_promotion_pending(&self, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        group.leadership.is_promotion_pending(backend.term)
    }

    /// Whether another member's promotion was overtaken by an answered one so recently that it may be about to take
    /// effect.
    fn may_another_take_effect(
        &self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) -> bool {
        self.groups.get(service).is_some_and(|group| {
            group
                .leadership
                .was_another_overtaken_within(now, PROMOTION_TIME, leader)
        })
    }

    /// Whether another member's promotion was answered so recently that it may be about to take effect.
    fn is_being_replaced(&self, now: Time, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        group
            .leadership
            .was_another_promoted_within(now, PROMOTION_TIME, leader, backend.term)
    }

    /// Whether a reply shows a commit in an earlier term than the back end has reached since. Its entry may
    /// have been rolled back.
    fn is_of_earlier_term(&self, id: &BackendId, step: &Step, reply: &BackendReply) -> bool {
        let (Some(backend), Some(position)) = (self.backends.get(id), reply.position) else {
            return false;
        };
        *step == Step::Statement && position.term < backend.term
    }

    /// Whether the statement on a connection commits a write if it succeeds.
    fn is_commit(&self, id: ConnectionId) -> bool {
        let Some((session, request)) = self.request_on(id) else {
            return false;
        };
        match request.kind {
            RequestKind::Write => true,
            RequestKind::Commit => self
                .sessions
                .get(&session)
                .is_some_and(|session| session.has_written()),
            _ => false,
        }
    }

    /// Withholds a reply that can't be trusted yet; returns it if it can.
    pub(crate) fn withhold(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: BackendReply,
    ) -> Option<(SentStep, BackendReply)> {
        let connection = self.connections.get(&id)?;
        let (service, leader) = (connection.service.clone(), connection.backend.clone());
        let may_lack = self.may_lack_entries(now, &service, &leader, reply.position);
        if !self.must_withhold(now, id, &sent.step, &reply) {
            if !may_lack
                && matches!(
                    sent.step,
                    Step::Begin {
                        read_only: false,
                        ..
                    }
                )
            {
                self.log_found_complete(&service, &leader);
            }
            return Some((sent, reply));
        }
        if may_lack {
            self.doubt_log(&leader);
        }
        let connection = self.connections.get_mut(&id)?;
        connection.withheld = Some((sent, reply));
        self.renew_leadership_confirmation(now, &service, &leader);
        self.query_logs(now, &service, &leader);
        self.schedule_query_retry(now, &service);
        None
    }

    pub(crate) fn withheld(&self, service: &ServiceName) -> Vec<ConnectionId> {
        let Some(group) = self.groups.get(service) else {
            return Vec::new();
        };
        let members = group.members.iter().filter_map(|id| self.backends.get(id));
        let connections = members.flat_map(|backend| backend.connections.iter().copied());
        let is_withholding = |id: &ConnectionId| {
            let connection = self.connections.get(id);
            connection.is_some_and(|connection| connection.withheld.is_some())
        };
        connections.filter(is_withholding).collect()
    }

    /// Releases withheld replies of confirmed leaders, and ends those of replaced leaders.
    pub(crate) fn recheck_withheld(&mut self, now: Time, service: &ServiceName) {
        for id in self.withheld(service) {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            let leader = connection.backend.clone();
            let is_abandoned = connection.user == Some(User::Abandoned);
            let withheld = connection.withheld.as_ref();
            let is_superseded = withheld
                .is_some_and(|(sent, reply)| self.is_of_earlier_term(&leader, &sent.step, reply));
            let may_lack = withheld.is_some_and(|(_, reply)| {
                self.may_lack_entries(now, service, &leader, reply.position)
            });
            let is_commit = withheld.is_some_and(|(sent, _)| sent.step == Step::Statement);
            let may_be_lost = is_commit && self.may_lose_synchronous_commit(now, id);
            let is_confirmed =
                || !may_lack && !may_be_lost && self.is_leadership_confirmed(now, service, &leader);
            if !is_abandoned && is_superseded {
                self.reject_withheld(now, id);
            } else if is_abandoned || is_confirmed() {
                let connection = self.connections.get_mut(&id);
                let withheld = connection.and_then(|connection| connection.withheld.take());
                if let Some((sent, reply)) = withheld {
                    self.process_reply(now, id, sent, reply);
                }
            } else if self.is_leader_replaced(service, &leader)
                || (may_be_lost
                    && !self.is_promotion_pending(service, &leader)
                    && self.is_being_replaced(now, service, &leader))
            {
                self.reject_withheld(now, id);
            }
        }
    }

    /// Whether a later term than the leader's has begun, or it no longer leads or has lost its log.
    fn is_leader_replaced(&self, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return true;
        };
        let is_deposed = group.newest_term > backend.term || backend.is_known_replica();
        // Without a lease, a replaced leader refuses statements by itself.
        (is_deposed && self.options.leadership_lease.is_some()) || backend.has_lost_log
    }

    /// Ends a request whose withheld reply came from a replaced leader: its outcome is unknown.
    fn reject_withheld(&mut self, now: Time, id: ConnectionId) {
        if let Some((session, request)) = self.request_on(id) {
            match request.kind {
                RequestKind::Write => self.finish_unknown(now, session, ResultCode::FenceNotProved),
                RequestKind::Commit => self.fail_commit(now, session, ResultCode::FenceNotProved),
                _ => {}
            }
        }
        self.drop_connection(now, id);
    }
}
