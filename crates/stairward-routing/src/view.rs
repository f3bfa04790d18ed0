//! What an edge knows of the back ends of a group. All of it are hints: a wrong one costs a hop,
//! never a wrong answer, since the owner of a back end decides.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use stairward_types::{AdminState, BackendId, BackendRole, Freshness, Term, Time};

/// First pause after a back end failed; doubled with each further failure.
const FIRST_BACK_OFF: Duration = Duration::from_millis(50);
/// Longest pause after failures.
const MAXIMUM_BACK_OFF: Duration = Duration::from_secs(2);
/// Longest time for which a replica that lagged isn't asked to catch up. Short, since asking in vain
/// costs one hop, while not asking sends reads to the primary.
const MAXIMUM_LAG_PAUSE: Duration = Duration::from_millis(200);
/// Doublings until [`MAXIMUM_BACK_OFF`] is certain.
const MAXIMUM_DOUBLINGS: u32 = 6;
/// Age from which an observation no longer tells that a replica is behind.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(100);
/// Least time between two samples of the group's newest freshness.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples kept, which bounds the staleness that can be told apart to 32 s.
const MAXIMUM_SAMPLES: usize = 640;

/// How far a back end is from this edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZoneDistance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    Remote,
}

/// A back end's state as reported by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Its term and position.
    pub freshness: Freshness,
    /// Its role.
    pub role: BackendRole,
    /// Requests that wait for it.
    pub waiting: u16,
}

/// What is known of one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendView {
    /// What operators have said about it.
    pub admin_state: AdminState,
    /// How far it is.
    pub distance: ZoneDistance,
    /// Its last observed state; `None` before the first.
    pub last_observation: Option<Observation>,
    /// When that was.
    observed_at: Time,
    /// Failures since it last answered.
    failures: u32,
    /// Not to be tried before this moment, unless it is the only choice.
    avoid_until: Time,
    /// Refusals as not fresh enough since it last answered.
    lagging_refusals: u32,
    /// Not to be asked to wait for a floor before this moment.
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

    /// Whether it may be given new work at all.
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

    /// Whether it was observed so long ago that it may have reached any floor since.
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

fn back_off(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAXIMUM_DOUBLINGS);
    (FIRST_BACK_OFF * 2_u32.pow(doublings)).min(MAXIMUM_BACK_OFF)
}

/// The newest primary known of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrimaryView {
    /// Its term.
    pub term: Term,
    /// Which back end it is.
    pub backend: BackendId,
    /// Whether it was found unusable since it was last confirmed.
    pub suspected: bool,
}

/// What is known of a group's back ends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    backends: BTreeMap<BackendId, BackendView>,
    primary: Option<PrimaryView>,
    newest: Freshness,
    samples: VecDeque<(Time, Freshness)>,
}

impl GroupView {
    /// Replaces the members by those of the settings in force; what is known of those that stay is
    /// kept.
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

    /// The newest primary known.
    #[must_use]
    pub fn primary(&self) -> Option<&PrimaryView> {
        self.primary.as_ref()
    }

    /// The newest freshness seen on any back end.
    #[must_use]
    pub fn newest(&self) -> Freshness {
        self.newest
    }

    /// Learns of a primary, or that the one known is alive. Older terms are ignored.
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

    /// Notes that the primary could not be used. Ignored when a newer one is known by now.
    pub fn suspect_primary(&mut self, backend: &BackendId, term: Term) {
        if let Some(known) = &mut self.primary
            && known.backend == *backend
            && known.term <= term
        {
            known.suspected = true;
        }
    }

    /// Notes a back end's state.
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
        if self.samples.len() > MAXIMUM_SAMPLES {
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

    /// What any copy that is at most `staleness` behind must cover, as far as this edge has seen.
    #[must_use]
    pub fn staleness_floor(&self, now: Time, staleness: Duration) -> Option<Freshness> {
        let newest_allowed_age = now - staleness;
        self.samples
            .iter()
            .rev()
            .find(|(taken, _)| *taken <= newest_allowed_age)
            .map(|(_, freshness)| *freshness)
    }

    /// Notes that a back end answered.
    pub fn record_success(&mut self, backend: &BackendId) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.failures = 0;
            view.avoid_until = Time::ZERO;
            view.lagging_refusals = 0;
        }
    }

    /// Notes that a back end could not be used, and for how long to leave it alone at least.
    pub fn record_failure(&mut self, now: Time, backend: &BackendId, at_least: Option<Duration>) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.failures = view.failures.saturating_add(1);
            let pause = back_off(view.failures).max(at_least.unwrap_or_default());
            view.avoid_until = now + pause.min(MAXIMUM_BACK_OFF);
        }
    }

    /// Notes that a replica did not reach a floor in time.
    pub fn record_lag(&mut self, now: Time, backend: &BackendId) {
        if let Some(view) = self.backends.get_mut(backend) {
            view.lagging_refusals = view.lagging_refusals.saturating_add(1);
            view.lagging_until = now + back_off(view.lagging_refusals).min(MAXIMUM_LAG_PAUSE);
        }
    }
}
