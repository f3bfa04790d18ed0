//! Warm-up of cold back ends: one that has just started gets few requests from all nodes together.
//!
//! Load pattern: a fleet of hundreds turns to a leader that was just started, in one wave. Only the first holder of the
//! service sends there, and it spends half of the bound, so that two nodes which both take themselves for the first
//! holder stay within it together.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::{BackendId, ResultCode, ServiceName, Time};

use crate::choice::Choice;
use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::{ConnectionId, SessionId};
use crate::session::{Request, RequestKind, Stage, WaitReason};
use crate::timers::Timer;

/// The span in which requests to a cold back end are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests of one second may arrive in a shorter one where the way's delay varies: so much longer is counted.
const WINDOW_MARGIN: Duration = Duration::from_millis(250);
/// Nodes that may take themselves for the first holder at the same time while views differ.
const CONCURRENT_SENDERS: f64 = 2.0;
/// A node sends nothing to a cold back end in the first part of its life: an earlier life may have sent something
/// a moment ago, and its view of the others is not complete.
const STARTUP_DELAY: Duration = Duration::from_secs(1);
/// A node that sees less than this share of the nodes that it saw lately, in percent, may be cut off from them.
const MIN_VISIBLE_PERCENT: u32 = 51;

/// When a client should come back whose statement met a node that is not the one to send it: views differ for about
/// as long.
const RETRY_NOT_SENDER: Duration = Duration::from_millis(300);

/// How many requests cold back ends may get, beside their service's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// What the service's rate is multiplied by.
    pub excess: f64,
    /// Requests a second more.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// The requests that one node may send to a cold back end in a second; at least 1.
    fn share(self, rate_thousandths: u64) -> usize {
        #[allow(
            clippy::cast_precision_loss,
            reason = "rates are far below 2^53 thousandths; above, the error is one in 2^53"
        )]
        let rate = rate_thousandths as f64 / 1_000.0;
        let share = ((rate * self.excess + self.slack) / CONCURRENT_SENDERS)
            .floor()
            .max(1.0);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least 1, and the cast saturates"
        )]
        let share = share as usize;
        share
    }
}

/// What was sent to a cold back end lately.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// Until when it is cold; none where it is warm.
    until: Option<Time>,
    /// What its entry last said of that, so that only news counts.
    last_reported: Duration,
    sent_at: VecDeque<Time>,
}

impl WarmUp {
    /// Takes in what a back end's entry says, heard now. `is_new` says that the entry was not there before.
    pub fn update(&mut self, now: Time, left: Duration, is_new: bool) {
        let has_changed = std::mem::replace(&mut self.last_reported, left) != left;
        if left > Duration::ZERO && (has_changed || is_new) {
            self.until = Some(now + left);
        }
        if left == Duration::ZERO {
            self.until = None;
        }
    }

    pub fn until(&self) -> Option<Time> {
        self.until
    }

    fn is_cold(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Time) {
        if self.is_cold(now) {
            self.sent_at.push_back(now);
        }
    }

    /// When another request may be sent, if `share` may be in any window; now or earlier where one may be at once.
    fn next_send_at(&mut self, now: Time, share: usize) -> Time {
        let span = WINDOW + WINDOW_MARGIN;
        while self.sent_at.front().is_some_and(|at| *at + span <= now) {
            self.sent_at.pop_front();
        }
        match self.sent_at.len().checked_sub(share) {
            Some(index) => self.sent_at.get(index).map_or(now, |at| *at + span),
            None => now,
        }
    }
}

impl Engine {
    /// Takes in what a back end's entry says of its warm-up.
    pub(crate) fn update_warm_up(&mut self, now: Time, id: &BackendId, is_new: bool) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let was_cold = backend.warm_up.is_cold(now);
        let left = backend.description.cold_left;
        backend.warm_up.update(now, left, is_new);
        let until = backend.warm_up.until().filter(|until| now < *until);
        if let Some(until) = until {
            self.timers.set(until, Timer::WarmUpCheck(id.clone()));
        }
        if was_cold != until.is_some() {
            self.effects.push(Effect::WarmUpObserved {
                backend: id.clone(),
                left: until.map(|until| until.since(now)),
            });
        }
    }

    /// A cold back end's time may be over.
    pub(crate) fn warm_up_check_due(&mut self, now: Time, id: &BackendId) {
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        if backend.warm_up.is_cold(now) {
            return;
        }
        self.changed.insert(backend.description.service.clone());
        self.effects.push(Effect::WarmUpObserved {
            backend: id.clone(),
            left: None,
        });
    }

    /// Whether a back end is cold, and its service tells how much it may get meanwhile.
    #[must_use]
    pub fn is_cold(&self, now: Time, id: &BackendId) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| {
            backend.warm_up.is_cold(now) && self.cold_rate(&backend.description.service).is_some()
        })
    }

    fn cold_rate(&self, service: &ServiceName) -> Option<u64> {
        let limits = self.table.as_ref()?.services.get(service)?;
        limits.cold_rate_thousandths
    }

    /// When this node may send another request to a back end. None where another node is to send it.
    pub(crate) fn next_send_at(&mut self, now: Time, id: &BackendId) -> Option<Time> {
        if !self.is_cold(now, id) {
            return Some(now);
        }
        let service = self.backends.get(id)?.description.service.clone();
        if !self.may_send_to_cold(now, &service) {
            return None;
        }
        let share = self
            .options
            .cold_bound
            .share(self.cold_rate(&service).unwrap_or_default());
        let backend = self.backends.get_mut(id)?;
        Some(backend.warm_up.next_send_at(now, share))
    }

    /// Whether this node is the one that sends to a service's cold back ends.
    fn may_send_to_cold(&self, now: Time, service: &ServiceName) -> bool {
        // Where nobody was named yet, this node is one that knows of no other.
        let first = self.holders.first(service);
        let is_first = first.is_none_or(|first| first == self.options.limits.node);
        let is_settled = now >= self.options.limits.started + STARTUP_DELAY;
        let seen = u64::from(self.nodes.latest()) * 100;
        let needed = u64::from(self.nodes.max_observed()) * u64::from(MIN_VISIBLE_PERCENT);
        is_first && is_settled && self.nodes.is_known() && seen >= needed
    }

    /// Whether only cold back ends of its service can take a request.
    pub(crate) fn needs_cold_backend(&self, now: Time, request: &Request) -> bool {
        let service = &request.route.service;
        if self.cold_rate(service).is_none() {
            return false;
        }
        if request.kind.requires_leader() {
            let leader = self.leader(now, service);
            return leader.is_some_and(|leader| self.is_cold(now, &leader));
        }
        let Some(group) = self.groups.get(service) else {
            return false;
        };
        let mut usable = group.members.iter().filter(|id| {
            let backend = self.backends.get(*id);
            backend.is_some_and(|backend| backend.is_usable(now))
        });
        let is_any_usable = usable.clone().next().is_some();
        is_any_usable && usable.all(|id| self.is_cold(now, id))
    }

    /// Whether a request may be sent to a back end now, as far as its warm-up is concerned; what becomes of the
    /// request otherwise.
    pub(crate) fn check_cold_limit(
        &mut self,
        now: Time,
        id: &BackendId,
        request: &Request,
    ) -> Result<(), Choice> {
        if !self.is_cold(now, id) {
            return Ok(());
        }
        let service = request.route.service.clone();
        if request.kind == RequestKind::LeaderTransaction
            || request.kind == RequestKind::FreshTransaction
        {
            // Its later statements could not be held back.
            let retry_after = self.cold_retry_after(now, &service);
            return Err(Choice::Refuse(ResultCode::Overloaded, retry_after));
        }
        match self.next_send_at(now, id) {
            None => Err(Choice::Refuse(ResultCode::NotOwner, Some(RETRY_NOT_SENDER))),
            Some(at) if at > now => {
                self.timers.set(at, Timer::RetryWaiting(service));
                Err(Choice::Wait(WaitReason::Cold))
            }
            Some(_) => Ok(()),
        }
    }

    /// Whether a request may be sent on a connection now that it is set up: others may have taken the room meanwhile.
    pub(crate) fn may_send_on(&mut self, now: Time, connection: ConnectionId) -> bool {
        let connection = self.connections.get(&connection);
        let Some(backend) = connection.map(|connection| connection.backend.clone()) else {
            return true;
        };
        self.next_send_at(now, &backend).is_some_and(|at| at <= now)
    }

    /// Puts a request back that found no room when its connection was set up.
    pub(crate) fn wait_for_cold_limit(
        &mut self,
        now: Time,
        id: SessionId,
        connection: ConnectionId,
    ) {
        self.free_connection(now, connection);
        let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) else {
            return;
        };
        request.unanswered.remove(&connection);
        if request.unanswered.is_empty() {
            request.stage = Stage::Waiting;
            self.attempt(now, id);
        }
    }

    /// Leaves cold copies out where a warm one can take a read. Where none can, those remain that have room.
    pub(crate) fn filter_cold(
        &mut self,
        now: Time,
        candidates: &mut Vec<BackendId>,
        request: &Request,
    ) -> Result<(), Choice> {
        let is_any_cold = candidates.iter().any(|id| self.is_cold(now, id));
        if !is_any_cold {
            return Ok(());
        }
        let is_useful = |id: &BackendId| {
            let backend = self.backends.get(id);
            !self.is_cold(now, id) && backend.is_some_and(|backend| !backend.is_silent)
        };
        if candidates.iter().any(is_useful) {
            candidates.retain(|id| !self.is_cold(now, id));
            return Ok(());
        }
        let mut last = Choice::Wait(WaitReason::Cold);
        candidates.retain(|id| match self.check_cold_limit(now, id, request) {
            Ok(()) => true,
            Err(choice) => {
                last = choice;
                false
            }
        });
        if candidates.is_empty() {
            Err(last)
        } else {
            Ok(())
        }
    }

    /// How long a client should stay away from a cold back end that has no room for it.
    pub(crate) fn cold_retry_after(
        &mut self,
        now: Time,
        service: &ServiceName,
    ) -> Option<Duration> {
        let members = self.groups.get(service)?.members.clone();
        let cold = members.iter().filter(|id| self.is_cold(now, id));
        let ends = cold.filter_map(|id| self.backends.get(id)?.warm_up.until());
        let end = ends.min()?;
        Some(end.since(now).min(WINDOW).max(Duration::from_millis(100)))
    }
}
