//! Ended connections and the consequences for their users.

use stairward_types::{ResultCode, Time};

use crate::connection::{Step, User};
use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::{ConnectionId, RequestNumber, SessionId};
use crate::session::{RequestKind, Stage, Transaction};

impl Engine {
    /// Handles the end of a connection.
    pub(crate) fn connection_lost(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let backend_id = connection.backend.clone();
        let tenant = connection.tenant.clone();
        let had_user = connection.user.is_some();
        self.fail_users_of(now, id);
        self.remove_connection(id);
        let is_leader = self
            .backends
            .get(&backend_id)
            .map(|backend| backend.description.service.clone())
            .is_some_and(|service| self.leader(now, &service).as_ref() == Some(&backend_id));
        if had_user || is_leader {
            // Reconnecting shows at once whether anything still listens there.
            self.open_connection(now, &backend_id, tenant.as_ref());
        }
    }

    /// Ends a connection whose last commands were not sent. A single statement that they belong to did not run, and
    /// would be unsent again on another connection.
    pub(crate) fn commands_unsent(&mut self, now: Time, id: ConnectionId) {
        let request = self.request_on(id).filter(|(_, request)| {
            let is_in_transaction = matches!(
                request.kind,
                RequestKind::InTransaction { .. } | RequestKind::Commit
            );
            !is_in_transaction && request.attempts <= 1 && request.unanswered.len() <= 1
        });
        if let Some((session, _)) = request {
            self.assign_connection(id, User::Abandoned);
            self.refuse(now, session, ResultCode::MessageTooLarge, None);
        }
        self.connection_lost(now, id);
    }

    /// Closes a connection in an uncertain state; its pending work is lost.
    pub(crate) fn drop_connection(&mut self, now: Time, id: ConnectionId) {
        self.fail_users_of(now, id);
        self.close_connection(id);
    }

    pub(crate) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id) {
            self.effects
                .push(Effect::CloseConnection { connection: id });
        }
    }

    pub(crate) fn remove_connection(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.remove(&id) else {
            return false;
        };
        let statements = connection
            .sent
            .iter()
            .filter(|sent| sent.step == Step::Statement);
        let statements = u32::try_from(statements.count()).unwrap_or(0);
        if let Some(backend) = self.backends.get_mut(&connection.backend) {
            backend.connections.remove(&id);
            backend.in_flight = backend.in_flight.saturating_sub(statements);
        }
        self.changed.insert(connection.service);
        true
    }

    /// Applies the loss of a connection to its user.
    fn fail_users_of(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match connection.user {
            Some(User::Session(session, number)) => self.fail_session(now, session, number, id),
            Some(User::Probe) => {
                let service = connection.service.clone();
                self.probe_ended(&service);
            }
            Some(User::StatusQuery) => {
                let (service, backend) = (connection.service.clone(), connection.backend.clone());
                self.status_query_failed(now, &service, &backend);
            }
            Some(User::Abandoned) | None => {}
        }
    }

    fn fail_session(
        &mut self,
        now: Time,
        session_id: SessionId,
        number: RequestNumber,
        id: ConnectionId,
    ) {
        let Some(session) = self.sessions.get_mut(&session_id) else {
            return;
        };
        let request = session.request.as_ref().filter(|r| r.number == number);
        let Some(request) = request else {
            // The session's transaction is idle, or another request is in progress.
            let is_its = session
                .open_transaction()
                .is_some_and(|open| open.connection == id);
            if is_its && session.request.is_none() {
                let open = session.open_transaction().cloned();
                session.transaction = Transaction::Failed { is_reported: false };
                if let Some(open) = open {
                    self.cancel_idle_timer(session_id, &open);
                }
            }
            return;
        };
        let was_sent = request.stage == Stage::Sent(id) || request.attempts > 0;
        match request.kind {
            RequestKind::InTransaction { .. } => self.fail_transaction(now, session_id),
            RequestKind::Commit if was_sent => {
                self.fail_commit(now, session_id, ResultCode::BackendLostAfterSend);
            }
            RequestKind::Commit => self.fail_transaction(now, session_id),
            RequestKind::Write if was_sent => {
                self.finish_unknown(now, session_id, ResultCode::BackendLostAfterSend);
            }
            _ => self.retry_on_other_backend(now, session_id, id, None),
        }
    }
}
