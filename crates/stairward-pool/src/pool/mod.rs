//! Admission to one back end and assignment of its connections.
//!
//! A request waits until the back end is fresh enough, if necessary, then in the admission queue, and
//! is then lent one connection together with one slot. A connection is lent to one stream at a time
//! and becomes idle again only once the back end has reported it idle.

mod admission;
mod check;
mod connections;
mod message;
mod queue;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{AdminState, ResultCode, Time};

use check::AdmissionConditions;
use connections::ConnectionSet;
pub use message::{
    BackendState, ConnectionId, ConnectionRequest, PoolEffect, PoolEvent, PoolSettings, RequestId,
    ReturnedState,
};
use queue::AdmissionQueue;
use slots::Slots;

/// An idle connection unused for this long is reset, so that the back end does not close it as idle.
const REFRESH_AFTER: Duration = Duration::from_secs(20);

/// Delay after a connection could not be opened; doubles with each consecutive failure.
const INITIAL_OPENING_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay after a connection could not be opened.
const MAXIMUM_OPENING_DELAY: Duration = Duration::from_secs(1);

/// A connection lent to a request.
#[derive(Debug, Clone, Copy)]
struct Lent {
    connection: ConnectionId,
    /// Whether [`PoolEffect::EndStream`] was issued for it.
    is_ending: bool,
}

/// Pool of this node's connections to one back end, and the requests for them.
///
/// Pass events to [`BackendPool::handle`] and execute every effect, in order. At most
/// [`PoolSettings::queue_limit`] requests wait and [`PoolSettings::connections`] connections exist.
#[derive(Debug)]
pub struct BackendPool {
    settings: PoolSettings,
    conditions: AdmissionConditions,
    connections: ConnectionSet,
    slots: Slots,
    /// Requests that wait for a connection or a slot.
    queue: AdmissionQueue,
    /// Requests that wait for the back end to become fresh enough, with the time at which they are refused.
    waiting_for_freshness: BTreeMap<RequestId, (Time, ConnectionRequest)>,
    lent: BTreeMap<RequestId, Lent>,
    /// Deadline of running transactions, while leaving or draining.
    end_streams_at: Option<Time>,
    opening_delay: Duration,
    no_opening_before: Time,
    drained_was_reported: bool,
    effects: Vec<PoolEffect>,
}

impl BackendPool {
    /// Creates a pool without connections. It opens and lends none until the lease is held.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        let conditions = AdmissionConditions {
            admin_state: settings.admin_state,
            ..AdmissionConditions::default()
        };
        Self {
            slots: Slots::new(settings.slots),
            settings,
            conditions,
            connections: ConnectionSet::default(),
            queue: AdmissionQueue::default(),
            waiting_for_freshness: BTreeMap::new(),
            lent: BTreeMap::new(),
            end_streams_at: None,
            opening_delay: INITIAL_OPENING_DELAY,
            no_opening_before: Time::ZERO,
            drained_was_reported: false,
            effects: Vec::new(),
        }
    }

    /// Processes an event and returns the resulting effects, in order.
    pub fn handle(&mut self, now: Time, event: PoolEvent) -> Vec<PoolEffect> {
        self.apply(now, event);
        self.expire(now);
        self.admit_waiting(now);
        self.open_connections(now);
        self.report_drained();
        std::mem::take(&mut self.effects)
    }

    /// When the next [`PoolEvent::Tick`] is due, if no other event occurs before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let freshness_waits = self
            .waiting_for_freshness
            .values()
            .map(|(wait_ends, _)| *wait_ends);
        let end_streams = self.end_streams_at.filter(|_| self.has_running_streams());
        let refresh = self.connections.oldest_idle().map(|s| s + REFRESH_AFTER);
        let opening = Some(self.no_opening_before).filter(|_| self.is_delayed_by_failure());
        freshness_waits
            .chain(self.queue.next_deadline())
            .chain(end_streams)
            .chain(refresh)
            .chain(opening)
            .min()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.waiting_for_freshness.len()
    }

    /// Number of connections in any state: opening, idle, lent, being reset or closed.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.total()
    }

    /// Number of connections lent to streams.
    #[must_use]
    pub fn lent(&self) -> usize {
        self.lent.len()
    }

    /// The limits in force.
    #[must_use]
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// The result code for requests while the lease is not held.
    #[must_use]
    pub fn refusal_without_lease(&self) -> ResultCode {
        self.conditions.refusal_without_lease()
    }

    /// The last reported state of the back end; none while it is unreachable.
    #[must_use]
    pub fn state(&self) -> Option<BackendState> {
        self.conditions.state
    }

    fn apply(&mut self, now: Time, event: PoolEvent) {
        match event {
            PoolEvent::Requested(request) => self.request(now, request),
            PoolEvent::Cancelled(request) => self.withdraw(request),
            PoolEvent::SlotWanted(request) => self.request_slot(now, request),
            PoolEvent::SlotReleased(request) => self.slots.release(now, request),
            PoolEvent::Returned { request, state } => self.return_connection(now, request, state),
            PoolEvent::ConnectionOpened(connection) => self.opened(now, connection),
            PoolEvent::OpeningFailed(connection) => self.opening_failed(now, connection),
            PoolEvent::ConnectionReset(connection) => self.became_idle(now, connection),
            PoolEvent::ConnectionClosed(connection) => self.connections.remove(connection),
            PoolEvent::Probed(state) => self.probed(state),
            PoolEvent::ProbeFailed => {
                self.conditions.state = None;
                self.conditions.probe_failed = true;
            }
            PoolEvent::LockHeldElsewhere => self.conditions.probe_failed = false,
            PoolEvent::NewestTerm(term) => {
                self.conditions.newest_term = self.conditions.newest_term.max(term);
            }
            PoolEvent::SettingsChanged(settings) => self.change_settings(now, settings),
            PoolEvent::LeaseHeld(held) => self.conditions.lease_held = held,
            PoolEvent::ConfigurationTooOld(too_old) => {
                self.conditions.configuration_too_old = too_old;
            }
            PoolEvent::DrainUntil(deadline) => self.drain(deadline),
            PoolEvent::Tick => {}
        }
    }

    fn probed(&mut self, state: BackendState) {
        self.conditions.newest_term = self.conditions.newest_term.max(state.freshness.term);
        self.conditions.state = Some(state);
        self.conditions.probe_failed = false;
    }

    fn request_slot(&mut self, now: Time, request: RequestId) {
        match self.lent.get(&request) {
            Some(lent) if !lent.is_ending => {
                self.slots.take(now, request);
                self.effects.push(PoolEffect::GrantSlot(request));
            }
            Some(_) => {}
            None => self.refuse(request, ResultCode::StaleTransaction, None),
        }
    }

    fn return_connection(&mut self, now: Time, request: RequestId, state: ReturnedState) {
        self.slots.release(now, request);
        let Some(lent) = self.lent.remove(&request) else {
            return;
        };
        match state {
            ReturnedState::Idle => {
                self.connections.put_back(lent.connection, now);
                self.close_surplus();
            }
            ReturnedState::NeedsReset => {
                self.connections.start_reset(lent.connection);
                self.effects
                    .push(PoolEffect::ResetConnection(lent.connection));
            }
            ReturnedState::InDoubt => self.connections.start_close(lent.connection),
        }
    }

    fn opened(&mut self, now: Time, connection: ConnectionId) {
        self.opening_delay = INITIAL_OPENING_DELAY;
        self.became_idle(now, connection);
    }

    fn became_idle(&mut self, now: Time, connection: ConnectionId) {
        if self.connections.make_idle(connection, now) {
            self.close_surplus();
        }
    }

    fn opening_failed(&mut self, now: Time, connection: ConnectionId) {
        self.connections.remove(connection);
        self.no_opening_before = now + self.opening_delay;
        self.opening_delay = (self.opening_delay * 2).min(MAXIMUM_OPENING_DELAY);
    }

    fn change_settings(&mut self, now: Time, settings: PoolSettings) {
        let now_leaving = settings.admin_state == AdminState::Leaving;
        let was_leaving = self.settings.admin_state == AdminState::Leaving;
        if now_leaving && !was_leaving {
            self.end_streams_at = Some(now + settings.leave_timeout);
        }
        if was_leaving && !now_leaving && !self.conditions.draining {
            self.end_streams_at = None;
        }
        self.conditions.admin_state = settings.admin_state;
        self.slots.set_limit(settings.slots);
        self.settings = settings;
        self.close_surplus();
    }

    fn drain(&mut self, deadline: Time) {
        self.conditions.draining = true;
        self.end_streams_at = Some(deadline);
    }

    /// Whether new connections may be opened and idle ones kept.
    fn keeps_connections(&self) -> bool {
        let is_leaving =
            self.conditions.draining || self.settings.admin_state == AdminState::Leaving;
        self.conditions.lease_held && !is_leaving
    }

    fn close_surplus(&mut self) {
        let limit = if self.keeps_connections() {
            self.settings.connections as usize
        } else {
            0
        };
        while self.connections.not_closing() > limit {
            let Some(connection) = self.connections.take_idle() else {
                return;
            };
            self.connections.start_close(connection);
            self.effects.push(PoolEffect::CloseConnection(connection));
        }
    }

    /// How many more connections are wanted, ignoring the limit on concurrent openings: enough for the
    /// waiting requests, and at least one idle or soon idle per slot.
    fn wanted_openings(&self) -> usize {
        if !self.keeps_connections() || self.conditions.state.is_none() {
            return 0;
        }
        let ready = self.connections.idle() + self.connections.becoming_idle();
        let wanted = self.queue.len().max(self.settings.slots as usize);
        let room = (self.settings.connections as usize).saturating_sub(self.connections.total());
        wanted.saturating_sub(ready).min(room)
    }

    /// Whether connections are wanted and none is being opened, so that only the delay after a failure holds
    /// them back.
    fn is_delayed_by_failure(&self) -> bool {
        self.connections.opening() == 0 && self.wanted_openings() > 0
    }

    fn open_connections(&mut self, now: Time) {
        if now < self.no_opening_before {
            return;
        }
        let limit = self.settings.opening_limit.max(1) as usize;
        let may_open = limit.saturating_sub(self.connections.opening());
        for _ in 0..self.wanted_openings().min(may_open) {
            let connection = self.connections.open();
            self.effects.push(PoolEffect::OpenConnection(connection));
        }
    }

    fn has_running_streams(&self) -> bool {
        self.lent.values().any(|lent| !lent.is_ending)
    }

    fn expire(&mut self, now: Time) {
        self.expire_requests(now);
        if self.end_streams_at.is_some_and(|end| end <= now) {
            for (request, lent) in &mut self.lent {
                if !lent.is_ending {
                    lent.is_ending = true;
                    self.effects.push(PoolEffect::EndStream(*request));
                }
            }
        }
        if !self.keeps_connections() {
            self.close_surplus();
        }
        while let Some(connection) = self.connections.take_unused(now, REFRESH_AFTER) {
            self.connections.start_reset(connection);
            self.effects.push(PoolEffect::ResetConnection(connection));
        }
    }

    fn report_drained(&mut self) {
        let is_empty = self.lent.is_empty() && self.connections.total() == 0;
        if self.conditions.draining && is_empty && !self.drained_was_reported {
            self.drained_was_reported = true;
            self.effects.push(PoolEffect::Drained);
        }
    }
}
