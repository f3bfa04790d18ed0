//! Evacuated zones: nothing new is sent to their back ends, and what is open there is ended in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Time, ZoneName};

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::{ConnectionId, SessionId};
use crate::reply::TransactionStatus;
use crate::timers::Timer;

/// How often connections that are still in use in an evacuated zone are looked at.
const REVIEW: Duration = Duration::from_millis(250);

/// The evacuated zones, by when this node heard of it.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    heard_at: BTreeMap<ZoneName, Time>,
}

impl Evacuations {
    /// Since when a zone is evacuated, as far as this node has heard.
    pub fn since(&self, zone: &ZoneName) -> Option<Time> {
        self.heard_at.get(zone).copied()
    }

    /// Takes the evacuated zones in, whole. Returns those that came and those that were taken back.
    fn replace(&mut self, now: Time, zones: &BTreeSet<ZoneName>) -> (Vec<ZoneName>, Vec<ZoneName>) {
        let is_new = |zone: &&ZoneName| !self.heard_at.contains_key(*zone);
        let added: Vec<_> = zones.iter().filter(is_new).cloned().collect();
        let is_over = |zone: &&ZoneName| !zones.contains(*zone);
        let removed: Vec<_> = self.heard_at.keys().filter(is_over).cloned().collect();
        self.heard_at.retain(|zone, _| zones.contains(zone));
        self.heard_at
            .extend(added.iter().map(|zone| (zone.clone(), now)));
        (added, removed)
    }
}

/// What is still going on in an evacuated zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneWork {
    /// Connections to its back ends.
    pub connections: usize,
    /// Statements under way there.
    pub statements: usize,
}

impl Engine {
    /// Takes the evacuated zones in, whole.
    pub(crate) fn set_evacuated(&mut self, now: Time, zones: &BTreeSet<ZoneName>) {
        let (added, removed) = self.evacuations.replace(now, zones);
        if added.is_empty() && removed.is_empty() {
            return;
        }
        for backend in self.backends.values_mut() {
            backend.evacuated_since = self.evacuations.since(&backend.description.zone);
            self.changed.insert(backend.description.service.clone());
        }
        if !added.is_empty() {
            let limit = now + self.options.evacuation_limit;
            self.timers.set(limit, Timer::Evacuation);
        }
        let observed = |zone, is_evacuated| Effect::EvacuationObserved { zone, is_evacuated };
        let added = added.into_iter().map(|zone| observed(zone, true));
        let removed = removed.into_iter().map(|zone| observed(zone, false));
        self.effects.extend(added.chain(removed));
    }

    /// Whether a back end's zone has been evacuated for so long that nothing is sent there any more.
    pub(crate) fn is_evacuated(&self, now: Time, id: &BackendId) -> bool {
        let limit = self.options.evacuation_limit;
        let since = self.backends.get(id).and_then(|b| b.evacuated_since);
        since.is_some_and(|since| now >= since + limit)
    }

    /// Whether the transaction on a connection may not go on, since its back end's zone is evacuated.
    pub(crate) fn is_on_evacuated(&self, now: Time, connection: ConnectionId) -> bool {
        let connection = self.connections.get(&connection);
        connection.is_some_and(|connection| self.is_evacuated(now, &connection.backend))
    }

    /// Ends what rests in evacuated zones, once their limit has passed.
    pub(crate) fn end_work_in_evacuated(&mut self, now: Time) {
        let there: Vec<ConnectionId> = self
            .backends
            .iter()
            .filter(|(id, _)| self.is_evacuated(now, id))
            .flat_map(|(_, backend)| backend.connections.iter().copied())
            .collect();
        for session in self.resting_on(&there) {
            self.abandon_transaction(now, session);
        }
        for connection in &there {
            let is_idle = self
                .connections
                .get(connection)
                .is_some_and(|c| c.is_idle());
            if is_idle {
                self.close_connection(*connection);
            }
        }
        let is_any_left = there.iter().any(|id| self.connections.contains_key(id));
        if is_any_left {
            self.timers.set(now + REVIEW, Timer::Evacuation);
        }
    }

    /// Sessions whose open transaction rests on one of these connections.
    fn resting_on(&self, connections: &[ConnectionId]) -> Vec<SessionId> {
        let rests_there = |id: &SessionId| {
            let session = self.sessions.get(id);
            session.is_some_and(|session| {
                let open = session.open_transaction();
                session.request.is_none()
                    && session.status() == TransactionStatus::Open
                    && open.is_some_and(|open| connections.contains(&open.connection))
            })
        };
        self.sessions.keys().copied().filter(rests_there).collect()
    }

    /// What still goes on in each evacuated zone.
    #[must_use]
    pub fn work_in_evacuated(&self) -> BTreeMap<ZoneName, ZoneWork> {
        let zones = self.evacuations.heard_at.keys();
        let mut work: BTreeMap<_, ZoneWork> = zones
            .map(|zone| (zone.clone(), ZoneWork::default()))
            .collect();
        for backend in self.backends.values() {
            if let Some(work) = work.get_mut(&backend.description.zone) {
                work.connections += backend.connections.len();
                work.statements += usize::try_from(backend.in_flight).unwrap_or(usize::MAX);
            }
        }
        work
    }
}
