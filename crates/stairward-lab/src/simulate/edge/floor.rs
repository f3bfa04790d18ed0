//! The floor of a session that comes without a token: the position confirmed by a majority.

use std::collections::BTreeMap;

use stairward_session::SessionFloor;
use stairward_types::{BackendId, Freshness};

use crate::simulate::calls::Asker;
use crate::simulate::message::{CallerConnection, CallerStatement};
use crate::simulate::outbox::Outbox;
use crate::simulate::proxy::ProxyState;

/// A session's floor, and whether it covers what the session did elsewhere before.
#[derive(Debug, Default)]
pub(super) struct Floor {
    /// What has been seen here, or a token or a majority told.
    pub floor: SessionFloor,
    /// Whether it covers all that the session wrote, here or elsewhere.
    pub is_known: bool,
    /// Members are being asked.
    pub learning: Option<Learning>,
}

/// Members are being asked, and a read waits.
#[derive(Debug)]
pub(super) struct Learning {
    /// What each member said; none for one that did not answer.
    answers: BTreeMap<BackendId, Option<Freshness>>,
    /// The read.
    waiting: Box<CallerStatement>,
}

impl ProxyState {
    /// Asks all members of a session's group how far they have come, on behalf of a read.
    pub(super) fn learn_floor(
        &mut self,
        connection: CallerConnection,
        waiting: CallerStatement,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        session.floor.learning = Some(Learning {
            answers: BTreeMap::new(),
            waiting: Box::new(waiting),
        });
        let group = session.group.clone();
        let settings = std::sync::Arc::clone(&self.control.settings);
        if let Some(settings) = settings.groups.get(&group) {
            for backend in settings.backends.keys() {
                self.ask_backend(backend, Asker::Floor(connection), out);
            }
        }
    }

    /// A member has answered, or cannot be asked.
    pub(in crate::simulate) fn floor_answered(
        &mut self,
        connection: CallerConnection,
        backend: &BackendId,
        answer: Option<Freshness>,
        out: &mut Outbox<'_>,
    ) {
        let members = self
            .edge
            .group_of(connection)
            .map_or(0, |(_, group)| group.routing.view.backends().len());
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        let Some(learning) = &mut session.floor.learning else {
            return;
        };
        learning.answers.insert(backend.clone(), answer);
        let answered = learning.answers.len();
        let known: Vec<Freshness> = learning.answers.values().flatten().copied().collect();
        let has_majority = known.len() * 2 > members;
        if has_majority {
            for freshness in known {
                session.floor.floor.raise(freshness);
            }
            session.floor.is_known = true;
        }
        if (has_majority || answered == members)
            && let Some(learning) = session.floor.learning.take()
        {
            self.start_request(connection, *learning.waiting, out);
        }
    }
}
