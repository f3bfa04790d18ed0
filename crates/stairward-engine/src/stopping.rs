//! Planned stop: idle sessions are closed, and open transactions get half of the grace period.

use std::time::Duration;

use stairward_types::Time;

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::SessionId;
use crate::reply::TransactionStatus;
use crate::timers::Timer;

/// When idle sessions start to be closed, as a percentage of the grace period. New sessions still arrive for
/// a while after the node reports that it is not ready.
const CLOSING_PERCENT: u32 = 36;
/// When idle transactions are ended.
const TRANSACTIONS_PERCENT: u32 = 52;
/// When new work starts to be refused as not run, so that clients retry elsewhere: the end of the process
/// would interrupt later statements. If most nodes of a zone stop at once, clients arrive until the end.
const REFUSING_PERCENT: u32 = 75;
/// When the stop completes, whatever is still in progress.
const END_PERCENT: u32 = 92;
/// Interval at which sessions are checked during the stop.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of sessions closed per check, so that they don't all reconnect elsewhere at once.
const MAX_CLOSED_PER_REVIEW: usize = 12;

/// A planned stop in progress.
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

    /// Closes a session that has become idle, if the closing phase has begun.
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

    /// Whether new work would be interrupted by the end of a planned stop.
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
