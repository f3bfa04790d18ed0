//! Liveness checks of holders that statements are forwarded to. A holder that owes an answer and is quiet is
//! pinged; without a reply its work is moved to others, long before its connection fails or the membership
//! view drops it.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_types::{NodeId, Time};

use crate::engine::Engine;
use crate::event::{Decision, Effect};
use crate::identifiers::SessionId;
use crate::session::{Stage, Transaction};
use crate::timers::Timer;

/// A holder that has owed an answer and has been quiet for this long is pinged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time allowed for the ping reply: a few round trips between regions and the scheduling delay of a slow
/// node.
const PING_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between pings to a silent holder.
const PING_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Liveness state of a holder.
#[derive(Debug, Clone, Default)]
pub(crate) struct HolderWatch {
    /// Requests without an answer, by the time at which they were forwarded.
    owed: BTreeSet<(Time, SessionId)>,
    heard_at: Time,
    asked_at: Option<Time>,
    /// Whether it has not replied to a ping, and nothing was received since.
    pub is_silent: bool,
    timer_at: Option<Time>,
}

impl Engine {
    /// Starts watching a holder to which a request was forwarded.
    pub(crate) fn watch_holder(&mut self, now: Time, holder: NodeId, session: SessionId) {
        let watch = self.holder_watches.entry(holder).or_default();
        watch.owed.insert((now, session));
        if watch.timer_at.is_none() {
            self.set_holder_timer(holder, now + SILENCE_TIMEOUT);
        }
    }

    /// Records that a holder is alive.
    pub(crate) fn holder_alive(&mut self, now: Time, holder: NodeId) {
        let Some(watch) = self.holder_watches.get_mut(&holder) else {
            return;
        };
        watch.heard_at = now;
        watch.asked_at = None;
        if std::mem::replace(&mut watch.is_silent, false) {
            self.effects.push(Effect::HolderLivenessChanged {
                holder,
                is_silent: false,
            });
        }
    }

    /// Removes a session's request from those that a holder owes an answer.
    pub(crate) fn clear_owed_request(&mut self, holder: NodeId, session: SessionId) {
        let Some(watch) = self.holder_watches.get_mut(&holder) else {
            return;
        };
        watch.owed.retain(|(_, owed)| *owed != session);
        if !watch.owed.is_empty() || watch.is_silent {
            return;
        }
        watch.asked_at = None;
        if let Some(at) = watch.timer_at.take() {
            self.timers.cancel(at, Timer::HolderCheck(holder));
        }
    }

    /// The connection to a holder has ended: it owes no answers any more, and is pinged only if it was
    /// silent.
    pub(crate) fn clear_owed(&mut self, holder: NodeId) {
        if let Some(watch) = self.holder_watches.get_mut(&holder) {
            watch.owed.clear();
            watch.asked_at = None;
        }
    }

    fn set_holder_timer(&mut self, holder: NodeId, at: Time) {
        if let Some(watch) = self.holder_watches.get_mut(&holder) {
            watch.timer_at = Some(at);
            self.timers.set(at, Timer::HolderCheck(holder));
        }
    }

    /// Checks a holder that owed an answer when the timer was set.
    pub(crate) fn check_holder(&mut self, now: Time, holder: NodeId) {
        let is_known_holder = self.holders.is_holder(holder);
        let Some(watch) = self.holder_watches.get_mut(&holder) else {
            return;
        };
        watch.timer_at = None;
        if !is_known_holder && (watch.is_silent || watch.owed.is_empty()) {
            self.holder_watches.remove(&holder);
            return;
        }
        let oldest = watch.owed.first().map(|(at, _)| *at);
        let quiet_since = oldest.map(|at| at.max(watch.heard_at));
        match (watch.is_silent, quiet_since, watch.asked_at) {
            (false, None, _) => {}
            (false, Some(since), None) if now < since + SILENCE_TIMEOUT => {
                self.set_holder_timer(holder, since + SILENCE_TIMEOUT);
            }
            (false, Some(_), Some(asked)) if now >= asked + PING_TIMEOUT => {
                self.mark_holder_silent(now, holder);
                self.reforward_owed(now, holder);
            }
            (is_silent, _, _) => {
                watch.asked_at = Some(now);
                self.effects.push(Effect::PingHolder { holder });
                let pause = if is_silent {
                    PING_RETRY_INTERVAL
                } else {
                    PING_TIMEOUT
                };
                self.set_holder_timer(holder, now + pause);
            }
        }
    }

    /// Forwards a silent holder's retryable requests to other holders. The others stay with it, as their
    /// answers may still arrive.
    fn reforward_owed(&mut self, now: Time, holder: NodeId) {
        let owed = self.holder_watches.get(&holder).map(|watch| &watch.owed);
        let sessions: Vec<SessionId> = owed.into_iter().flatten().map(|(_, id)| *id).collect();
        for id in sessions {
            let Some(session) = self.sessions.get(&id) else {
                continue;
            };
            let request = session.request.as_ref();
            let is_owed = request.is_some_and(|request| {
                request.stage == Stage::Forwarded(holder) && request.kind.is_retryable()
            });
            if is_owed {
                self.record(now, id, None, Decision::Retried);
                self.release_holder(id, holder);
                self.forward(now, id);
            }
        }
    }

    /// A holder could not be reached: the requests for it have provably not been sent.
    pub(crate) fn holder_unreachable(&mut self, now: Time, holder: NodeId) {
        let sessions: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                let request = session.request.as_ref();
                let is_waiting = request.is_some_and(|r| r.stage == Stage::Forwarded(holder));
                let is_bound =
                    matches!(&session.transaction, Transaction::Forwarded(t) if t.holder == holder);
                is_waiting && !is_bound
            })
            .map(|(id, _)| *id)
            .collect();
        for id in sessions {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.holders.remove(&holder);
                if let Some(request) = &mut session.request {
                    request.attempts = request.attempts.saturating_sub(1);
                }
            }
            self.record(now, id, None, Decision::Retried);
            self.forward(now, id);
        }
        self.holder_lost(now, holder);
        self.mark_holder_silent(now, holder);
    }

    /// Treats a holder as silent until it shows that it is alive.
    fn mark_holder_silent(&mut self, now: Time, holder: NodeId) {
        if !self.holders.is_holder(holder) {
            return;
        }
        let watch = self.holder_watches.entry(holder).or_default();
        let was_silent = std::mem::replace(&mut watch.is_silent, true);
        if watch.timer_at.is_none() {
            self.set_holder_timer(holder, now + PING_RETRY_INTERVAL);
        }
        if !was_silent {
            self.effects.push(Effect::HolderLivenessChanged {
                holder,
                is_silent: true,
            });
        }
    }
}
