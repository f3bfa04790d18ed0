//! A planned stop: sessions are closed at rest, open transactions get half of the time.

use std::time::Duration;

use stairward_types::Time;

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::reply::TransactionStatus;
use crate::timers::Timer;

/// When sessions at rest begin to be closed, as a share of the grace: new ones come for a while after the
/// node has said that it is not ready.
const CLOSING_PERCENT: u32 = 36;
/// When resting transactions are ended.
const TRANSACTIONS_PERCENT: u32 = 52;
/// From when new work is refused as not run, so that the client goes elsewhere: what is sent later would be cut by the
/// end. Clients come until the end where most nodes of a zone stop at once.
const REFUSING_PERCENT: u32 = 75;
/// When everything is over, whatever is under way.
const END_PERCENT: u32 = 92;
/// How often sessions are looked at meanwhile.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Sessions closed in one review, so that they don't all connect elsewhere at once.
const MAX_CLOSED_PER_REVIEW: usize = 12;

/// A planned stop under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    began: Time,
    is_over: bool,
}

impl Engine {
    pub(crate) fn begin_stop(&mut self, now: Time) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(Stop {
            began: now,
            is_over: false,
        });
        let closing = self.options.stop_grace * CLOSING_PERCENT / 100;
        self.timers.set(now + closing, Timer::Stop);
    }

    pub(crate) fn continue_stop(&mut self, now: Time) {
        let Some(stop) = self.stop else {
            return;
        };
        let grace = self.options.stop_grace;
        let elapsed = now.since(stop.began);
        if elapsed >= grace * END_PERCENT / 100 {
            return self.end_stop();
        }
        if elapsed >= grace * TRANSACTIONS_PERCENT / 100 {
            self.end_idle_transactions(now);
        }
        let is_idle = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.is_idle());
        let idle_sessions: Vec<_> = self
            .sessions
            .keys()
            .copied()
            .filter(is_idle)
            .take(MAX_CLOSED_PER_REVIEW)
            .collect();
        for id in idle_sessions {
            self.close_session(now, id);
        }
        self.stop_if_empty(now);
        self.timers.set(now + REVIEW_INTERVAL, Timer::Stop);
    }

    fn end_idle_transactions(&mut self, now: Time) {
        let resting: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.request.is_none() && session.status() == TransactionStatus::Open
            })
            .map(|(id, _)| *id)
            .collect();
        for id in resting {
            self.abandon_transaction(now, id);
        }
    }

    /// Closes a session that has come to rest, once sessions are being closed.
    pub(crate) fn close_if_stopping(&mut self, now: Time, id: SessionId) {
        let Some(stop) = self.stop else {
            return;
        };
        let closing = self.options.stop_grace * CLOSING_PERCENT / 100;
        let is_idle = self.sessions.get(&id).is_some_and(|s| s.is_idle());
        if now >= stop.began + closing && is_idle {
            self.close_session(now, id);
        }
    }

    /// Whether a planned stop has come so far that new work would be cut by its end.
    pub(crate) fn is_refusing_new_work(&self, now: Time) -> bool {
        let refusing = self.options.stop_grace * REFUSING_PERCENT / 100;
        self.stop.is_some_and(|stop| now >= stop.began + refusing)
    }

    fn close_session(&mut self, now: Time, id: SessionId) {
        self.effects.push(Effect::CloseSession { session: id });
        self.session_closed(now, id);
    }

    pub(crate) fn stop_if_empty(&mut self, now: Time) {
        let Some(stop) = self.stop else {
            return;
        };
        let closing = self.options.stop_grace * CLOSING_PERCENT / 100;
        if self.sessions.is_empty() && now >= stop.began + closing + REVIEW_INTERVAL {
            self.end_stop();
        }
    }

    fn end_stop(&mut self) {
        if let Some(stop) = &mut self.stop
            && !std::mem::replace(&mut stop.is_over, true)
        {
            self.effects.push(Effect::Stopped);
        }
    }
}
