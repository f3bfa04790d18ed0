//! Sessions that come before the node knows its first configuration: they wait for it a moment.

use std::time::Duration;

use stairward_types::{ApiKey, GroupId, ResultCode, Time};

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::timers::Timer;

/// How long a session may wait. A node that starts knows its configuration after 0.1 s (p50 of 59 nodes that start
/// together, simulated time); a client that is refused until then uses its few attempts up for nothing.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);
/// Sessions that may wait at once.
const MAX_PENDING_SESSIONS: usize = 1_024;

/// A session that waits for the first configuration.
#[derive(Debug)]
pub(crate) struct PendingSession {
    database: GroupId,
    key: Option<ApiKey>,
}

impl Engine {
    /// Begins a session, or keeps it until a configuration is known.
    pub(crate) fn accept_or_defer_session(
        &mut self,
        now: Time,
        id: SessionId,
        database: GroupId,
        key: Option<ApiKey>,
    ) {
        if self.table.is_some() || self.pending.len() >= MAX_PENDING_SESSIONS {
            return self.open_session(id, database, key);
        }
        self.pending.insert(id, PendingSession { database, key });
        self.timers
            .set(now + MAX_CONFIGURATION_WAIT, Timer::PendingSession(id));
    }

    /// Begins all sessions that have waited for a configuration.
    pub(crate) fn open_pending_sessions(&mut self) {
        for (id, pending) in std::mem::take(&mut self.pending) {
            self.open_session(id, pending.database, pending.key);
        }
    }

    /// A session has waited long enough.
    pub(crate) fn pending_session_due(&mut self, id: SessionId) {
        if self.pending.remove(&id).is_some() {
            let code = ResultCode::NotReady;
            self.effects
                .push(Effect::RefuseSession { session: id, code });
        }
    }
}
