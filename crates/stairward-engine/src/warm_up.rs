//! Warm-up of cold back ends: a back end that has just started gets few requests from all nodes together.
//!
//! Without a limit, a fleet of hundreds of nodes would turn to a newly started leader in one wave. Therefore
//! only the first-ranked holder of the service sends to its cold back ends, and it uses half of the limit, so
//! that two nodes which both consider themselves first-ranked stay within it together.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::{BackendId, ResultCode, ServiceName, Time};

use crate::choice::Choice;
use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::{ConnectionId, SessionId};
use crate::session::{Request, RequestKind, Stage, WaitReason};
use crate::timers::Timer;

/// Period over which requests to a cold back end are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests sent within one second may arrive in a shorter period if the network delay varies; the counted
/// period is longer by this margin.
const WINDOW_MARGIN: Duration = Duration::from_millis(250);
/// Number of nodes that may consider themselves first-ranked at the same time while their views differ.
const CONCURRENT_SENDERS: f64 = 2.0;
/// A node sends nothing to a cold back end for this long after its start: its previous process may have sent
/// requests a moment ago, and its view of the other nodes is incomplete.
const STARTUP_DELAY: Duration = Duration::from_secs(1);
/// A node that sees less than this percentage of the nodes that it saw recently may be partitioned from them.
const MIN_VISIBLE_PERCENT: u32 = 51;

/// Retry delay for clients whose statement reached a node that is not the sender. Views differ for about as
/// long.
const RETRY_NOT_SENDER: Duration = Duration::from_millis(300);

/// How far requests to cold back ends may exceed their service's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor applied to the service's rate.
    pub excess: f64,
    /// Requests per second added to the result.
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
    /// The requests per second that one node may send to a cold back end; at least 1.
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

/// Warm-up state of a back end and the recent requests to it.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// When it becomes warm; none if it is warm.
    until: Option<Time>,
    /// The remaining warm-up time in its last description; only a changed value restarts the period.
    last_reported: Duration,
    sent_at: VecDeque<Time>,
}

impl WarmUp {
    /// Applies the remaining warm-up time from a description received at `now`. `is_new` tells whether the
    /// back end was unlisted before.
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

    pub fn sent(&mut self, now: Time) {
        if self.is_cold(now) {
            self.sent_at.push_back(now);
        }
    }

    /// When another request may be sent if any window may contain `share` requests; `now` or earlier if at
    /// once.
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
    /// Updates a back end's warm-up state from its description.
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

    /// Reports a back end as warm if its warm-up time has passed.
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

    /// Whether a back end is cold and its service limits the rate to cold back ends.
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

    /// When this node may send another request to a back end; none if another node is the sender.
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
        // No holder is named until another node is known.
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

    /// Checks whether the warm-up limit allows a request to a back end now; the error tells what to do with
    /// the request otherwise.
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
            // The later statements of a transaction could not be delayed.
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

    /// Whether a request may be sent now that its connection is set up: other requests may have used up the
    /// limit since.
    pub(crate) fn may_send_on(&mut self, now: Time, connection: ConnectionId) -> bool {
        let connection = self.connections.get(&connection);
        let Some(backend) = connection.map(|connection| connection.backend.clone()) else {
            return true;
        };
        self.next_send_at(now, &backend).is_some_and(|at| at <= now)
    }

    /// Returns a request to the queue if the limit was used up while its connection was set up.
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

    /// Removes cold back ends if a warm one can answer a read. Otherwise keeps those that the limit allows.
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

    /// Retry delay for a client that was refused by the limit of a cold back end.
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
