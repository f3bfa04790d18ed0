//! Evacuated zones: no new work is sent to their back ends, and open transactions there are ended in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Time, ZoneName};

use crate::engine::Engine;
use crate::event::Effect;
use crate::identifiers::{ConnectionId, SessionId};
use crate::reply::TransactionStatus;
use crate::timers::Timer;

/// Interval at which connections still in use in an evacuated zone are checked.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The evacuated zones, with the time at which the use of their back ends ends.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    ends_at: BTreeMap<ZoneName, Time>,
}

impl Evacuations {
    /// When the use of a zone's back ends ends; none if it is not evacuated.
    pub fn ends_at(&self, zone: &ZoneName) -> Option<Time> {
        self.ends_at.get(zone).copied()
    }

    /// Replaces the set of evacuated zones. The use of new ones ends at `ends_at`. Returns the added and the
    /// removed zones.
    fn replace(
        &mut self,
        zones: &BTreeSet<ZoneName>,
        ends_at: Time,
    ) -> (Vec<ZoneName>, Vec<ZoneName>) {
        let is_new = |zone: &&ZoneName| !self.ends_at.contains_key(*zone);
        let added: Vec<_> = zones.iter().filter(is_new).cloned().collect();
        let is_over = |zone: &&ZoneName| !zones.contains(*zone);
        let removed: Vec<_> = self.ends_at.keys().filter(is_over).cloned().collect();
        self.ends_at.retain(|zone, _| zones.contains(zone));
        self.ends_at
            .extend(added.iter().map(|zone| (zone.clone(), ends_at)));
        (added, removed)
    }
}

/// Remaining activity in an evacuated zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneActivity {
    /// Open connections to its back ends.
    pub connections: usize,
    /// Statements in flight there.
    pub statements: usize,
}

impl Engine {
    /// Applies the complete set of evacuated zones. Its differences occurred after `since`, or at any time if
    /// it is none.
    pub(crate) fn set_evacuated(
        &mut self,
        now: Time,
        zones: &BTreeSet<ZoneName>,
        since: Option<Time>,
    ) {
        let ends_at = self.options.evacuation_limit.ends_at(now, since);
        let (added, removed) = self.evacuations.replace(zones, ends_at);
        if added.is_empty() && removed.is_empty() {
            return;
        }
        for backend in self.backends.values_mut() {
            backend.evacuated_until = self.evacuations.ends_at(&backend.description.zone);
            self.changed.insert(backend.description.service.clone());
        }
        if !added.is_empty() {
            self.timers.set(ends_at, Timer::Evacuation);
        }
        let observed = |zone, is_evacuated| Effect::EvacuationObserved { zone, is_evacuated };
        let added = added.into_iter().map(|zone| observed(zone, true));
        let removed = removed.into_iter().map(|zone| observed(zone, false));
        self.effects.extend(added.chain(removed));
    }

    /// Whether a back end's zone is evacuated and its time limit has passed.
    pub(crate) fn is_evacuated(&self, now: Time, id: &BackendId) -> bool {
        let ends_at = self.backends.get(id).and_then(|b| b.evacuated_until);
        ends_at.is_some_and(|ends_at| now >= ends_at)
    }

    /// Whether the transaction on a connection must end because its back end's zone is evacuated.
    pub(crate) fn is_on_evacuated_backend(&self, now: Time, connection: ConnectionId) -> bool {
        let connection = self.connections.get(&connection);
        connection.is_some_and(|connection| self.is_evacuated(now, &connection.backend))
    }

    /// Ends idle transactions and closes idle connections in evacuated zones after their time limit.
    pub(crate) fn end_work_in_evacuated_zones(&mut self, now: Time) {
        let there: Vec<ConnectionId> = self
            .backends
            .iter()
            .filter(|(id, _)| self.is_evacuated(now, id))
            .flat_map(|(_, backend)| backend.connections.iter().copied())
            .collect();
        for session in self.idle_transactions_on(&there) {
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
            self.timers.set(now + REVIEW_INTERVAL, Timer::Evacuation);
        }
    }

    /// Sessions with an idle transaction on one of these connections.
    fn idle_transactions_on(&self, connections: &[ConnectionId]) -> Vec<SessionId> {
        let is_idle_there = |id: &SessionId| {
            let session = self.sessions.get(id);
            session.is_some_and(|session| {
                let open = session.open_transaction();
                session.request.is_none()
                    && session.status() == TransactionStatus::Open
                    && open.is_some_and(|open| connections.contains(&open.connection))
            })
        };
        self.sessions
            .keys()
            .copied()
            .filter(is_idle_there)
            .collect()
    }

    /// The remaining activity in each evacuated zone.
    #[must_use]
    pub fn evacuated_zone_activity(&self) -> BTreeMap<ZoneName, ZoneActivity> {
        let zones = self.evacuations.ends_at.keys();
        let mut work: BTreeMap<_, ZoneActivity> = zones
            .map(|zone| (zone.clone(), ZoneActivity::default()))
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
