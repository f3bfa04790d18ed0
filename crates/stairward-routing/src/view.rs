//! State of the back ends of a database group as known at an edge. All of it is a hint: wrong
//! information costs a hop but never gives a wrong answer, since the owner of a back end decides.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use stairward_types::{AdminState, BackendId, BackendRole, Freshness, Term, Time};

/// Initial back-off after a back end failed; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum back-off after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum time for which a lagging replica isn't asked to catch up. It is short, since asking in
/// vain costs one hop, while not asking sends reads to the primary.
const MAX_LAG_BACKOFF: Duration = Duration::from_millis(200);
/// Number of doublings that reaches [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;
/// Age from which an observation no longer shows that a replica is behind.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(100);
/// Minimum time between two samples of the group's newest freshness.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of samples kept, which limits the staleness that can be distinguished to 32 s.
const MAX_SAMPLES: usize = 640;

/// Distance of a back end from this edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZoneDistance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    Remote,
}

/// The state of a back end as reported by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Its term and position.
    pub freshness: Freshness,
    /// Its role.
    pub role: BackendRole,
    /// Number of requests waiting for it.
    pub waiting: u16,
}

/// The known state of one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendView {
    /// Its administrative state, as set by operators.
    pub admin_state: AdminState,
    /// Its distance from this edge.
    pub distance: ZoneDistance,
    /// Its last observed state; `None` before the first.
    pub last_observation: Option<Observation>,
    /// Time of the last observation.
    observed_at: Time,
    /// Number of failures since it last answered.
    failures: u32,
    /// Not to be tried before this time, unless it is the only choice.
    avoid_until: Time,
    /// Number of refusals as not fresh enough since it last answered.
    lagging_refusals: u32,
    /// Not to be asked to wait for a floor before this time.
    lagging_until: Time,
}

impl BackendView {
    fn new(admin_state: AdminState, distance: ZoneDistance) -> Self {
        Self {
            admin_state,
            distance,
            last_observation: None,
            observed_at: Time::ZERO,
            failures: 0,
            avoid_until: Time::ZERO,
            lagging_refusals: 0,
            lagging_until: Time::ZERO,
        }
    }

    /// Whether it may receive new work.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        self.admin_state == AdminState::Active && now >= self.avoid_until
    }

    /// Whether its last observed state covers the floor.
    #[must_use]
    pub fn covers(&self, floor: Option<Freshness>) -> bool {
        match (floor, self.last_observation) {
            (None, _) => true,
            (Some(floor), Some(last)) => last.freshness.covers(floor),
            (Some(_), None) => false,
        }
    }

    /// Whether its last observation is so old that it may have reached any floor since.
    #[must_use]
    pub fn is_observation_old(&self, now: Time) -> bool {
        now.since(self.observed_at) >= OBSERVATION_VALIDITY
    }

    /// Whether it may be asked to wait until it reaches a floor.
    #[must_use]
    pub fn may_catch_up(&self, now: Time) -> bool {
        now >= self.lagging_until
    }
}

fn backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF)
}

/// The newest known primary of a database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrimaryView {
    /// Its term.
    pub term: Term,
    /// The back end.
    pub backend: BackendId,
    /// Whether it was found unusable since it was last confirmed.
    pub suspected: bool,
}

/// The known state of the back ends of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    backends: BTreeMap<BackendId, BackendView>,
    primary: Option<PrimaryView>,
    newest: Freshness,
    samples: VecDeque<(Time, Freshness)>,
}

impl GroupView {
    /// Replaces the members by those of the current settings, and keeps the state of those that
    /// remain.
    pub fn set_backends(
        &mut self,
        backends: impl IntoIterator<Item = (BackendId, AdminState, ZoneDistance)>,
    ) {
        let mut known = std::mem::take(&mut self.backends);
        for (backend, admin_state, distance) in backends {
            let mut view = known
                .remove(&backend)
                .unwrap_or_else(|| BackendView::new(admin_state, distance));
            view.admin_state = admin_state;
            view.distance = distance;
            self.backends.insert(backend, view);
        }
    }

    /// The back ends, by name.
    #[must_use]
    pub fn backends(&self) -> &BTreeMap<BackendId, BackendView> {
        &self.backends
    }

    /// The newest known primary.
    #[must_use]
    pub fn primary(&self) -> Option<&PrimaryView> {
        self.primary.as_ref()
    }

    /// The newest freshness seen on any back end.
    #[must_use]
    pub fn newest(&self) -> Freshness {
        self.newest
    }

    /// Records a primary, or that the known one is alive. Older terms are ignored.
    pub fn confirm_primary(&mut self, term: Term, backend: BackendId) {
        let is_older = self.primary.as_ref().is_some_and(|known| term < known.term);
        if is_older {
            return;
        }
        if let Some(view) = self.backends.get_mut(&backend) {
            view.failures = 0;
            view.avoid_until = Time::ZERO;
        }
        self.primary = Some(PrimaryView {
            term,
            backend,
            suspected: false,
        });
    }

    /// Records that the primary could not be used. Ignored if a newer one is known.
    pub fn suspect_primary(&mut self, backend: &BackendId, term: Term) {
        if let Some(known) = &mut self.primary
            && known.backend == *backend
            && known.term <= term
        {
            known.suspected = true;
        }
    }

    /// Records an observation of a back end.
    pub fn observe(&mut self, now: Time, backend: &BackendId, observation: Observation) {
        let Some(view) = self.backends.get_mut(backend) else {
            return;
        };
        view.last_observation = Some(observation);
        view.observed_at = now;
        self.newest = self.newest.join(observation.freshness);
        let due = self
            .samples
            .back()
            .is_none_or(|(taken, _)| now.since(*taken) >= SAMPLE_INTERVAL);
        if due {
            self.samples.push_back((now, self.newest));
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let is_newer_primary = observation.role == BackendRole::Primary
            && self
                .primary
                .as_ref()
                .is_none_or(|known| observation.freshness.term > known.term);
        if is_newer_primary {
            self.confirm_primary(observation.freshness.term, backend.clone());
        }
    }

    /// The freshness that any copy at most `staleness` behind must cover, as far as this edge has
    /// observed.
    #[must_use]
    pub fn staleness_floor(&self, now: Time, staleness: Duration) -> Option<Freshness> {
        let newest_allowed_age = now - staleness;
        self.samples
            .iter()
            .rev()
            .find(|(taken, _)| *taken <= newest_allowed_age)
            .map(|(_, freshness)| *freshness)
    }

    /// Records that a back end answered.
    pub fn record_success(&mut self, backend: &BackendId) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.failures = 0;
            view.avoid_until = Time::ZERO;
            view.lagging_refusals = 0;
        }
    }

    /// Records that a back end could not be used, and the minimum time for which to avoid it.
    pub fn record_failure(&mut self, now: Time, backend: &BackendId, at_least: Option<Duration>) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.failures = view.failures.saturating_add(1);
            let pause = backoff(view.failures).max(at_least.unwrap_or_default());
            view.avoid_until = now + pause.min(MAX_BACKOFF);
        }
    }

    /// Records that a replica did not reach a floor in time.
    pub fn record_lag(&mut self, now: Time, backend: &BackendId) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.lagging_refusals = view.lagging_refusals.saturating_add(1);
            view.lagging_until = now + backoff(view.lagging_refusals).min(MAX_LAG_BACKOFF);
        }
    }
}
