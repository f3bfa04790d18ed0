//! Applies discovery's back ends, and releases back ends that leave.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairward_types::{BackendId, ServiceName, Time};

use crate::backend::Backend;
use crate::engine::Engine;
use crate::event::{BackendEvidence, Effect};
use crate::identifiers::ConnectionId;
use crate::leaving::{Leaving, LeavingChange};
use crate::settings::{BackendDescription, DiscoveryChange};
use crate::timers::Timer;

/// Interval at which leaving back ends are reviewed.
const BACKEND_REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between the end of use of an unlisted back end and the removal of its state.
const GONE_CLOSE_DELAY: Duration = Duration::from_secs(4);

impl Engine {
    /// Applies discovery's complete list. Its differences occurred after `since`, or at any time if it is
    /// none.
    pub(crate) fn apply_backend_list(
        &mut self,
        now: Time,
        list: Vec<BackendDescription>,
        since: Option<Time>,
    ) {
        let listed: BTreeSet<&BackendId> = list.iter().map(|description| &description.id).collect();
        let gone = self
            .backends
            .iter()
            .filter(|(id, backend)| backend.is_listed && !listed.contains(id));
        let gone: Vec<_> = gone.map(|(id, _)| id.clone()).collect();
        let described = list.into_iter().map(Arc::new).collect();
        self.apply_discovery_change(now, DiscoveryChange { described, gone }, since);
    }

    /// Applies a change of discovery's list, which occurred after `since`, or at any time if it is none.
    pub(crate) fn apply_discovery_change(
        &mut self,
        now: Time,
        change: DiscoveryChange,
        since: Option<Time>,
    ) {
        let services: BTreeSet<ServiceName> = change
            .described
            .iter()
            .map(|description| description.service.clone())
            .collect();
        for description in change.described {
            self.apply_description(now, description, since);
        }
        for id in change.gone {
            self.mark_unlisted(now, &id, since);
        }
        self.schedule_backend_review(now);
        let services: Vec<_> = services.into_iter().collect();
        self.open_initial_connections_of(now, &services);
    }

    fn mark_unlisted(&mut self, now: Time, id: &BackendId, since: Option<Time>) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        backend.is_listed = false;
        self.changed.insert(backend.description.service.clone());
        self.begin_leaving(now, id, since);
    }

    fn apply_description(
        &mut self,
        now: Time,
        description: Arc<BackendDescription>,
        since: Option<Time>,
    ) {
        let id = description.id.clone();
        let service = description.service.clone();
        self.changed.insert(service.clone());
        self.groups
            .entry(service)
            .or_default()
            .members
            .insert(id.clone());
        let distance = self.options.distance(&description.zone);
        let region = self.options.regions.get(&description.zone).cloned();
        let evacuated_until = self.evacuations.ends_at(&description.zone);
        let is_leaving = description.is_leaving;
        let is_unknown = !self.backends.contains_key(&id);
        let is_new = self.backends.get(&id).is_none_or(|known| !known.is_listed);
        let backend = self
            .backends
            .entry(id.clone())
            .or_insert_with(|| Box::new(Backend::new(Arc::clone(&description), distance, region)));
        backend.evacuated_until = evacuated_until;
        let has_moved = backend.description.address != description.address;
        let is_new_start = description.is_new_start_after(&backend.description);
        backend.apply_role(description.role);
        backend.description = description;
        backend.is_listed = true;
        let was_silent = backend.is_silent;
        if is_new_start {
            backend.start_again();
            let backend = id.clone();
            self.effects.push(Effect::RestartObserved { backend });
        }
        if let Some(backend) = self.backends.get_mut(&id)
            && (has_moved || is_new_start)
        {
            backend.is_silent = false;
            backend.open_after = Time::ZERO;
            if was_silent {
                // What was observed of the earlier process says nothing about this one.
                let (backend, evidence) = (id.clone(), BackendEvidence::Answered);
                self.effects
                    .push(Effect::BackendObserved { backend, evidence });
            }
            let connections = backend.connections.clone();
            let idle = self.idle_connections_of(&connections);
            for connection in idle {
                self.close_connection(connection);
            }
        }
        if is_leaving {
            // A back end first listed as leaving may have announced it long ago, before this node forgot it.
            self.begin_leaving(now, &id, since.filter(|_| !is_unknown));
        } else {
            self.cancel_leaving(&id);
        }
        self.update_warm_up(now, &id, is_new || is_new_start);
    }

    /// Notes that a back end leaves or is unlisted.
    pub(crate) fn begin_leaving(&mut self, now: Time, id: &BackendId, since: Option<Time>) {
        let limit = self.options.leaving_limit;
        let Some(backend) = self.backends.get_mut(id).filter(|b| b.leaving.is_none()) else {
            return;
        };
        let ends_at = limit.ends_at(now, since);
        backend.leaving = Some(Leaving::new(now, ends_at));
        let change = LeavingChange::Started {
            age: since.map(|since| now.since(since)),
            used_for: ends_at.since(now),
        };
        self.leaving_observed(id, change);
    }

    /// Whether the back end behind a connection may no longer be used for new work.
    pub(crate) fn is_backend_unusable(&self, now: Time, connection: ConnectionId) -> bool {
        let connection = self.connections.get(&connection);
        let backend = connection.and_then(|connection| self.backends.get(&connection.backend));
        backend.is_none_or(|backend| !backend.is_usable(now))
    }

    /// A back end no longer leaves.
    fn cancel_leaving(&mut self, id: &BackendId) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        if backend.leaving.take().is_some() {
            self.leaving_observed(id, LeavingChange::Cancelled);
        }
    }

    fn leaving_observed(&mut self, id: &BackendId, change: LeavingChange) {
        self.effects.push(Effect::LeavingObserved {
            backend: id.clone(),
            change,
        });
    }

    pub(crate) fn schedule_backend_review(&mut self, now: Time) {
        if !std::mem::replace(&mut self.is_reviewing, true) {
            self.timers
                .set(now + BACKEND_REVIEW_INTERVAL, Timer::BackendReview);
        }
    }

    /// Releases back ends whose use has ended, and connections that are not needed.
    pub(crate) fn review_backends(&mut self, now: Time) {
        self.is_reviewing = false;
        let mut over = Vec::new();
        let mut is_any_leaving = false;
        for (id, backend) in &self.backends {
            let Some(leaving) = backend.leaving else {
                continue;
            };
            is_any_leaving = true;
            if now < leaving.ends_at {
                continue;
            }
            let is_forgotten = !backend.is_listed && now >= leaving.ends_at + GONE_CLOSE_DELAY;
            over.push((id.clone(), is_forgotten));
        }
        for (id, is_forgotten) in over {
            self.report_drain_expired(&id);
            self.release_backend(&id, is_forgotten);
        }
        self.close_unneeded_connections(now);
        if is_any_leaving || !self.connections.is_empty() {
            self.schedule_backend_review(now);
        }
    }

    /// Reports, once, that a back end gets no more work.
    fn report_drain_expired(&mut self, id: &BackendId) {
        let leaving = self.backends.get_mut(id).and_then(|b| b.leaving.as_mut());
        let Some(leaving) = leaving else {
            return;
        };
        if std::mem::replace(&mut leaving.is_expiry_reported, true) {
            return;
        }
        let change = LeavingChange::Expired {
            sent: leaving.sent,
            last_after: leaving.last_sent_at.since(leaving.heard_at),
        };
        self.leaving_observed(id, change);
    }

    fn release_backend(&mut self, id: &BackendId, is_forgotten: bool) {
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        let connections = backend.connections.clone();
        for connection in self.idle_connections_of(&connections) {
            self.close_connection(connection);
        }
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        if is_forgotten && backend.connections.is_empty() {
            let service = backend.description.service.clone();
            self.backends.remove(id);
            if let Some(group) = self.groups.get_mut(&service) {
                group.members.remove(id);
                group.denied.remove(id);
            }
        }
    }
}
