//! Revocation of keys: sessions whose key is missing from a newer configuration run nothing more.

use stairward_types::{ResultCode, Time};

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::session::{Session, Stage};

impl Engine {
    /// Whether the current configuration no longer allows a session's client on its route.
    pub(crate) fn is_revoked(&self, id: SessionId) -> bool {
        self.sessions
            .get(&id)
            .is_some_and(|session| self.is_not_allowed(session))
    }

    fn is_not_allowed(&self, session: &Session) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        // Statements on a removed route are refused separately, with their own code.
        let route = table.routes.get(&session.database);
        route.is_some_and(|route| !session.identity.is_allowed(table, route))
    }

    /// Revokes sessions after a change of the configuration.
    pub(crate) fn end_revoked_sessions(&mut self, now: Time) {
        let revoked: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| self.is_not_allowed(session))
            .map(|(id, _)| *id)
            .collect();
        for id in revoked {
            self.revoke_session(now, id);
        }
    }

    /// Refuses the session's unsent request, or awaits the sent one; then the session ends.
    fn revoke_session(&mut self, now: Time, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let is_unsent = session.request.as_ref().is_some_and(|request| {
            matches!(request.stage, Stage::Admission | Stage::Waiting)
                && request.unanswered.is_empty()
        });
        if is_unsent {
            self.refuse(now, id, ResultCode::NotAuthenticated, None);
        } else {
            self.end_if_revoked(now, id);
        }
    }

    /// Ends a session whose client is no longer allowed, once no request is in progress. Its open transaction
    /// is rolled back.
    pub(crate) fn end_if_revoked(&mut self, now: Time, id: SessionId) {
        let is_idle = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.request.is_none());
        if is_idle && self.is_revoked(id) {
            self.effects.push(Effect::CloseSession { session: id });
            self.session_closed(now, id);
        }
    }
}
