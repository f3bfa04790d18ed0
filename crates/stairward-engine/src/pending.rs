//! Sessions received before the node knows its first configuration; they wait for it for a short time.

use std::time::Duration;

use stairward_types::{ApiKey, GroupId, ResultCode, Time};

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::timers::Timer;

/// How long a session may wait. A starting node knows its configuration after 0.1 s (p50 of 59 nodes that
/// start together, simulated time); a client refused until then would use up its few attempts.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum number of sessions that wait at the same time.
const MAX_PENDING_SESSIONS: usize = 1_024;

/// A session that waits for the first configuration.
#[derive(Debug)]
pub(crate) struct PendingSession {
    database: GroupId,
    key: Option<ApiKey>,
}

impl Engine {
    /// Opens a session, or keeps it until a configuration is known.
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

    /// Opens all sessions that waited for a configuration.
    pub(crate) fn open_pending_sessions(&mut self) {
        for (id, pending) in std::mem::take(&mut self.pending) {
            self.open_session(id, pending.database, pending.key);
        }
    }

    /// Refuses a session that has waited too long.
    pub(crate) fn pending_session_due(&mut self, id: SessionId) {
        if self.pending.remove(&id).is_some() {
            let code = ResultCode::NotReady;
            self.effects
                .push(Effect::RefuseSession { session: id, code });
        }
    }
}
