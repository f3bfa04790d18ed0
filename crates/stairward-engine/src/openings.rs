//! Results of opening connections, and what they show about the back end.

use stairward_types::{BackendId, Freshness, Time};

use crate::engine::Engine;
use crate::event::{BackendEvidence, Effect, OpenFailure};
use crate::identifiers::ConnectionId;

impl Engine {
    pub(crate) fn connection_opened(
        &mut self,
        now: Time,
        id: ConnectionId,
        position: Option<Freshness>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return self
                .effects
                .push(Effect::CloseConnection { connection: id });
        };
        connection.opening_since = None;
        connection.idle_since = now;
        let log_floor = connection.log_floor;
        let service = connection.service.clone();
        let backend_id = connection.backend.clone();
        let backend = self.backends.get_mut(&backend_id);
        if backend.is_some_and(|backend| backend.check_log_retained(log_floor, position)) {
            self.observe(&backend_id, BackendEvidence::LostLog);
        }
        self.backend_answered(now, &backend_id, position);
        self.changed.insert(service);
    }

    pub(crate) fn open_failed(&mut self, now: Time, id: ConnectionId, failure: OpenFailure) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let backend_id = connection.backend.clone();
        let service = connection.service.clone();
        self.remove_connection(id);
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            backend.opening_failed(now, failure == OpenFailure::ConnectionLimit);
            if matches!(failure, OpenFailure::Refused | OpenFailure::TimedOut) {
                backend.is_silent = true;
            }
        }
        match failure {
            OpenFailure::Refused => {
                self.observe(&backend_id, BackendEvidence::Refused);
                self.handle_connection_refused(now, &service, &backend_id);
            }
            OpenFailure::TimedOut => self.observe(&backend_id, BackendEvidence::Unresponsive),
            OpenFailure::WrongBackend => {
                // Another back end has this address now; the description is outdated.
                self.begin_leaving(now, &backend_id, Some(now));
            }
            OpenFailure::ConnectionLimit => {
                self.observe(&backend_id, BackendEvidence::ConnectionLimitReached)
            }
            OpenFailure::Other => {}
        }
        self.changed.insert(service);
    }

    pub(crate) fn backend_answered(
        &mut self,
        now: Time,
        id: &BackendId,
        position: Option<Freshness>,
    ) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let was_silent = backend.answered(now, position);
        let service = backend.description.service.clone();
        if let (Some(position), Some(group)) = (position, self.groups.get_mut(&service)) {
            group.newest_term = group.newest_term.max(position.term);
        }
        if was_silent {
            self.changed.insert(service);
            self.observe(id, BackendEvidence::Answered);
        }
    }
}
