//! The choice of a back end and of a connection for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{BackendId, BackendRole, Freshness, ServiceName, Time};

use crate::connection::Connection;
use crate::engine::Engine;
use crate::event::{Effect, OpenTarget};
use crate::identifiers::ConnectionId;
use crate::session::{Request, Session, WaitReason};
use crate::timers::Timer;

/// A connection that has been opening for longer than this is no longer waited for.
const OPENING_PATIENCE: Duration = Duration::from_millis(150);
/// Connections to one back end that are opened at once.
const OPENINGS_AT_ONCE: usize = 3;
/// How long an opening may take before its back end counts as silent.
const OPENING_SILENCE: Duration = Duration::from_millis(700);

/// What the choice came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Choice {
    /// An idle connection, and what the log behind it must hold.
    Use(ConnectionId, Option<Freshness>),
    /// Nothing yet.
    Wait(WaitReason),
    /// Every back end that could have taken it has refused it.
    Exhausted,
}

impl Engine {
    /// The back end believed to lead: of those that call themselves primary and have not denied it, the
    /// one that was announced last.
    pub(crate) fn leader(&self, now: Time, service: &ServiceName) -> Option<BackendId> {
        let group = self.groups.get(service)?;
        let limit = self.options.leaving_limit;
        let candidates = group.members.iter().filter_map(|id| {
            let backend = self.backends.get(id)?;
            let description = &backend.description;
            let is_denied = group.denied.get(id) == Some(&description.revision);
            let may_lead = description.role == BackendRole::Primary
                && !is_denied
                && backend.may_be_used(now, limit);
            may_lead.then_some((backend.is_listed, description.revision, id))
        });
        candidates.max().map(|(_, _, id)| id.clone())
    }

    /// Chooses where a request goes, opening connections where that helps.
    pub(crate) fn choose(&mut self, now: Time, request: &Request, session: &Session) -> Choice {
        let service = &request.route.service;
        if request.need.is_leader_only() {
            return self.choose_leader(now, service, &session.values);
        }
        let staleness = request.route.consistency.staleness().unwrap_or_default();
        let own = session.commits.get(service).copied();
        let floor = self
            .groups
            .get(service)
            .and_then(|group| group.floor(request.received, staleness, own));
        self.keep_proof_fresh(now, service, staleness);
        let Some(floor) = floor else {
            return Choice::Wait(WaitReason::NotFresh);
        };
        self.choose_copy(now, request, floor, &session.values)
    }

    fn choose_leader(
        &mut self,
        now: Time,
        service: &ServiceName,
        values: &BTreeMap<String, String>,
    ) -> Choice {
        let Some(leader) = self.leader(now, service) else {
            return Choice::Wait(WaitReason::NoLeader);
        };
        let is_silent = self
            .backends
            .get(&leader)
            .is_some_and(|leader| leader.is_silent);
        self.keep_lead_confirmed(now, service, &leader);
        if self.is_lead_revoked(service, &leader) {
            return Choice::Wait(WaitReason::NoLeader);
        }
        if is_silent {
            // What is sent there now would most likely end unknown. A probe shows when it is back.
            self.keep_proof_fresh(now, service, Duration::ZERO);
            return Choice::Wait(WaitReason::NoLeader);
        }
        match self.connection_to(now, &leader, values) {
            Some(connection) => Choice::Use(connection, None),
            None => Choice::Wait(WaitReason::NoConnection),
        }
    }

    fn choose_copy(
        &mut self,
        now: Time,
        request: &Request,
        floor: Freshness,
        values: &BTreeMap<String, String>,
    ) -> Choice {
        let candidates = self.copies(now, &request.route.service, floor);
        if candidates.is_empty() {
            return Choice::Wait(WaitReason::NoBackend);
        }
        let mut reason = None;
        for id in candidates {
            if request.tried.contains(&id) {
                continue;
            }
            if let Some(connection) = self.connection_to(now, &id, values) {
                return Choice::Use(connection, Some(floor));
            }
            if self.backends.get(&id).is_some_and(|copy| copy.is_silent) {
                // One that does not answer is not worth waiting for.
                continue;
            }
            reason = Some(WaitReason::NoConnection);
            if self.is_opening_soon(now, &id) {
                break;
            }
        }
        match reason {
            Some(reason) => Choice::Wait(reason),
            None if request.tried.is_empty() => Choice::Wait(WaitReason::NoBackend),
            None => Choice::Exhausted,
        }
    }

    /// The copies that may answer a read, best first.
    fn copies(&self, now: Time, service: &ServiceName, floor: Freshness) -> Vec<BackendId> {
        let Some(group) = self.groups.get(service) else {
            return Vec::new();
        };
        let limit = self.options.leaving_limit;
        let mut copies: Vec<_> = group
            .members
            .iter()
            .filter_map(|id| {
                let backend = self.backends.get(id)?;
                let may_be_used = backend.may_be_used(now, limit);
                let key = (!backend.is_healthy(), backend.cost(now, Some(floor)), id);
                may_be_used.then_some(key)
            })
            .collect();
        copies.sort();
        copies.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// An idle connection to a back end, best suited to the values. Opens one when there is none.
    pub(crate) fn connection_to(
        &mut self,
        now: Time,
        id: &BackendId,
        values: &BTreeMap<String, String>,
    ) -> Option<ConnectionId> {
        let best = self.best_idle_connection(id, values);
        if best.is_none() {
            self.open_connection(now, id);
        }
        best
    }

    fn best_idle_connection(
        &self,
        id: &BackendId,
        values: &BTreeMap<String, String>,
    ) -> Option<ConnectionId> {
        let backend = self.backends.get(id)?;
        let idle = backend.connections.iter().filter_map(|connection| {
            let state = self.connections.get(connection)?;
            state
                .is_idle()
                .then(|| (state.setup_cost(values), *connection))
        });
        idle.min().map(|(_, connection)| connection)
    }

    fn is_opening_soon(&self, now: Time, id: &BackendId) -> bool {
        let Some(backend) = self.backends.get(id) else {
            return false;
        };
        backend.connections.iter().any(|connection| {
            let opening_since = self
                .connections
                .get(connection)
                .and_then(|state| state.opening_since);
            opening_since.is_some_and(|since| now < since + OPENING_PATIENCE)
        })
    }

    /// Opens a connection to a back end if its limits allow.
    pub(crate) fn open_connection(&mut self, now: Time, id: &BackendId) {
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        let service = backend.description.service.clone();
        if now < backend.open_after {
            self.timers
                .set(backend.open_after, Timer::TryWaiting(service));
            return;
        }
        if backend.connections.len() >= self.connection_share(&service) {
            return;
        }
        let openings = backend.connections.iter().filter(|connection| {
            let state = self.connections.get(connection);
            state.is_some_and(|state| state.opening_since.is_some())
        });
        if openings.count() >= OPENINGS_AT_ONCE {
            return;
        }
        let target = OpenTarget {
            backend: id.clone(),
            service: service.clone(),
            address: backend.description.address,
        };
        let connection = self.next_connection();
        let state = Connection::new(id.clone(), service.clone(), now);
        self.connections.insert(connection, state);
        if let Some(backend) = self.backends.get_mut(id) {
            backend.connections.insert(connection);
        }
        self.timers
            .set(now + OPENING_PATIENCE, Timer::TryWaiting(service));
        self.timers
            .set(now + OPENING_SILENCE, Timer::Silence(connection));
        self.effects.push(Effect::Open { connection, target });
    }
}
