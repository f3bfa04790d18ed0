//! Withholding what a leader answers until its lead is confirmed: it is passed on once it is, and ends with its
//! outcome unknown, or goes elsewhere, once another is known to lead.

use stairward_types::{BackendId, ResultCode, ServiceName, Time};

use crate::connection::{SentStep, Step, User};
use crate::engine::Engine;
use crate::identifiers::ConnectionId;
use crate::reply::BackendReply;
use crate::session::RequestKind;

impl Engine {
    /// Whether an answer to a command must wait until the lead of the one that gave it is confirmed.
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
            Step::Begin { read_only } => !read_only,
            Step::Statement => self.is_commit(id),
            _ => false,
        };
        let has_user = connection.user != Some(User::Abandoned);
        is_proof
            && has_user
            && reply.result.is_ok()
            && !self.is_leadership_confirmed(now, &connection.service, &connection.backend)
    }

    /// Whether the statement on a connection, if it succeeds, keeps a write.
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

    /// Withholds an answer that can't be believed yet; gives it back when it can.
    pub(crate) fn withhold(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: BackendReply,
    ) -> Option<(SentStep, BackendReply)> {
        if !self.must_withhold(now, id, &sent.step, &reply) {
            return Some((sent, reply));
        }
        let connection = self.connections.get_mut(&id)?;
        let (service, leader) = (connection.service.clone(), connection.backend.clone());
        connection.withheld = Some((sent, reply));
        self.renew_leadership_confirmation(now, &service, &leader);
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

    /// Lets go of withheld answers whose leader is confirmed, and ends those whose leader was replaced.
    pub(crate) fn recheck_withheld(&mut self, now: Time, service: &ServiceName) {
        for id in self.withheld(service) {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let leader = connection.backend.clone();
            let is_abandoned = connection.user == Some(User::Abandoned);
            if is_abandoned || self.is_leadership_confirmed(now, service, &leader) {
                let connection = self.connections.get_mut(&id);
                let withheld = connection.and_then(|connection| connection.withheld.take());
                if let Some((sent, reply)) = withheld {
                    self.process_reply(now, id, sent, reply);
                }
            } else if self.is_leader_replaced(service, &leader) {
                self.reject_withheld(now, id);
            }
        }
    }

    /// Whether a later term than a leader's has begun.
    fn is_leader_replaced(&self, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return true;
        };
        group.newest_term > backend.term
    }

    /// The answer withheld on a connection is a replaced leader's: whether it is kept is not known.
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
