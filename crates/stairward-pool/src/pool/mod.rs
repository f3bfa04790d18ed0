//! Admission to one back end and the lending of its connections.
//!
//! A request waits first, when need be, for the back end to be fresh enough, then for its turn, and
//! is then lent one connection together with one slot. A connection is lent to one stream at a time
//! and returns only with proof that the back end holds it idle.

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

/// An idle connection unused for this long is reset, which keeps the back end from ending it.
const REFRESH_AFTER: Duration = Duration::from_secs(20);

/// First pause after a connection could not be opened; doubled with each failure in a row.
const FIRST_OPENING_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause after a connection could not be opened.
const LONGEST_OPENING_PAUSE: Duration = Duration::from_secs(1);

/// A request that holds a connection.
#[derive(Debug, Clone, Copy)]
struct Lent {
    connection: ConnectionId,
    /// Whether the driver was told to end it.
    is_ending: bool,
}

/// The connections of one back end that this node may hold, and the requests for them.
///
/// Feed it with [`BackendPool::handle`] and carry out every effect, in order. At most
/// [`PoolSettings::queue_limit`] requests wait and [`PoolSettings::connections`] connections exist.
#[derive(Debug)]
pub struct BackendPool {
    settings: PoolSettings,
    conditions: AdmissionConditions,
    connections: ConnectionSet,
    slots: Slots,
    /// Requests whose turn will come.
    queue: AdmissionQueue,
    /// Requests that wait for the back end to get further, with the end of their patience.
    waiting_for_freshness: BTreeMap<RequestId, (Time, ConnectionRequest)>,
    lent: BTreeMap<RequestId, Lent>,
    /// When transactions still running must end, while leaving or draining.
    end_streams_at: Option<Time>,
    opening_pause: Duration,
    no_opening_before: Time,
    drained_was_reported: bool,
    effects: Vec<PoolEffect>,
}

impl BackendPool {
    /// A pool without connections. It opens and lends none until it hears that the lease is held.
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
            opening_pause: FIRST_OPENING_PAUSE,
            no_opening_before: Time::ZERO,
            drained_was_reported: false,
            effects: Vec::new(),
        }
    }

    /// Hears what happened and says what to do about it.
    pub fn handle(&mut self, now: Time, event: PoolEvent) -> Vec<PoolEffect> {
        self.apply(now, event);
        self.expire(now);
        self.admit_waiting(now);
        self.open_ahead(now);
        self.report_drained();
        std::mem::take(&mut self.effects)
    }

    /// When [`PoolEvent::Tick`] is due if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let patience = self
            .waiting_for_freshness
            .values()
            .map(|(patience_ends, _)| *patience_ends);
        let end_streams = self.end_streams_at.filter(|_| self.has_running_streams());
        let refresh = self.connections.oldest_idle().map(|s| s + REFRESH_AFTER);
        let opening = Some(self.no_opening_before).filter(|_| self.waits_to_open());
        patience
            .chain(self.queue.next_deadline())
            .chain(end_streams)
            .chain(refresh)
            .chain(opening)
            .min()
    }

    /// Requests that wait for anything.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.waiting_for_freshness.len()
    }

    /// Connections that exist in any state: opening, idle, lent, being reset or closed.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.total()
    }

    /// Connections lent to streams.
    #[must_use]
    pub fn lent(&self) -> usize {
        self.lent.len()
    }

    /// The limits in force.
    #[must_use]
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// The refusal for a request that finds no lease held.
    #[must_use]
    pub fn refusal_without_lease(&self) -> ResultCode {
        self.conditions.refusal_without_lease()
    }

    /// What the back end last said; none while it cannot be reached.
    #[must_use]
    pub fn state(&self) -> Option<BackendState> {
        self.conditions.state
    }

    fn apply(&mut self, now: Time, event: PoolEvent) {
        match event {
            PoolEvent::Requested(request) => self.request(now, request),
            PoolEvent::Cancelled(request) => self.withdraw(request),
            PoolEvent::SlotWanted(request) => self.want_slot(now, request),
            PoolEvent::SlotReleased(request) => self.slots.release(now, request),
            PoolEvent::Returned { request, state } => self.take_back(now, request, state),
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

    fn want_slot(&mut self, now: Time, request: RequestId) {
        match self.lent.get(&request) {
            Some(lent) if !lent.is_ending => {
                self.slots.take(now, request);
                self.effects.push(PoolEffect::GrantSlot(request));
            }
            Some(_) => {}
            None => self.refuse(request, ResultCode::StaleTransaction, None),
        }
    }

    fn take_back(&mut self, now: Time, request: RequestId, state: ReturnedState) {
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
        self.opening_pause = FIRST_OPENING_PAUSE;
        self.became_idle(now, connection);
    }

    fn became_idle(&mut self, now: Time, connection: ConnectionId) {
        if self.connections.make_idle(connection, now) {
            self.close_surplus();
        }
    }

    fn opening_failed(&mut self, now: Time, connection: ConnectionId) {
        self.connections.remove(connection);
        self.no_opening_before = now + self.opening_pause;
        self.opening_pause = (self.opening_pause * 2).min(LONGEST_OPENING_PAUSE);
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
        let gives_up = self.conditions.draining || self.settings.admin_state == AdminState::Leaving;
        self.conditions.lease_held && !gives_up
    }

    fn close_surplus(&mut self) {
        let limit = if self.keeps_connections() {
            self.settings.connections as usize
        } else {
            0
        };
        while self.connections.staying() > limit {
            let Some(connection) = self.connections.take_idle() else {
                return;
            };
            self.connections.start_close(connection);
            self.effects.push(PoolEffect::CloseConnection(connection));
        }
    }

    /// How many further connections there should be, leaving limits on opening aside: enough for
    /// what waits, and one idle per slot ahead of need.
    fn wanted_openings(&self) -> usize {
        if !self.keeps_connections() || self.conditions.state.is_none() {
            return 0;
        }
        let ready = self.connections.idle() + self.connections.coming();
        let wanted = self.queue.len().max(self.settings.slots as usize);
        let room = (self.settings.connections as usize).saturating_sub(self.connections.total());
        wanted.saturating_sub(ready).min(room)
    }

    /// Whether only the pause after a failure keeps connections from being opened.
    fn waits_to_open(&self) -> bool {
        self.connections.opening() == 0 && self.wanted_openings() > 0
    }

    fn open_ahead(&mut self, now: Time) {
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
