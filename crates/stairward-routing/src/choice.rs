//! Selection of the back end for a read.
//!
//! The nearest back ends are preferred; among these, the less loaded of two picked at random.
//! Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.

use std::collections::BTreeSet;

use stairward_types::{BackendId, BackendRole, Freshness, Time};

use crate::view::{BackendView, GroupView};

/// Number of waiting requests from which a replica is considered busy. If all near replicas are, a
/// farther one is chosen.
const BUSY_THRESHOLD: u16 = 16;

/// Chooses a replica for a read with this freshness floor, excluding those already tried.
pub(crate) fn choose_replica(
    view: &GroupView,
    now: Time,
    floor: Option<Freshness>,
    tried: &BTreeSet<BackendId>,
    random: u64,
) -> Option<BackendId> {
    let untried: Vec<(&BackendId, &BackendView)> = view
        .backends()
        .iter()
        .filter(|(backend, state)| is_replica(view, backend, state))
        .filter(|(backend, state)| state.is_usable(now) && !tried.contains(*backend))
        .collect();
    let fresh: Vec<_> = untried
        .iter()
        .copied()
        .filter(|(_, state)| may_satisfy_floor(state, now, floor))
        .collect();
    if !fresh.is_empty() {
        return Some(nearest_and_least_loaded(&fresh, random));
    }
    // No replica is known to be fresh enough. Waiting for one to catch up is worth one try; after a
    // refusal, the primary is more reliable than a second replica.
    if !tried.is_empty() {
        return None;
    }
    let catching_up: Vec<_> = untried
        .into_iter()
        .filter(|(_, state)| state.may_catch_up(now))
        .collect();
    freshest(&catching_up)
}

fn is_replica(view: &GroupView, backend: &BackendId, state: &BackendView) -> bool {
    let is_known_primary = view
        .primary()
        .is_some_and(|primary| primary.backend == *backend);
    let claims_primary = state
        .last_observation
        .is_some_and(|last| last.role == BackendRole::Primary);
    let is_only_primary_seen = claims_primary && view.primary().is_none();
    !is_known_primary && !is_only_primary_seen
}

/// Whether the replica may have reached the floor. Old observations are not held against it, or a
/// replica that gets no requests would never get one again.
fn may_satisfy_floor(state: &BackendView, now: Time, floor: Option<Freshness>) -> bool {
    state.covers(floor) || (state.is_observation_old(now) && state.may_catch_up(now))
}

fn waiting(state: &BackendView) -> u16 {
    state.last_observation.map_or(0, |last| last.waiting)
}

fn nearest_and_least_loaded(candidates: &[(&BackendId, &BackendView)], random: u64) -> BackendId {
    let nearest = candidates
        .iter()
        .filter(|(_, state)| waiting(state) < BUSY_THRESHOLD)
        .map(|(_, state)| state.distance)
        .min();
    let tier: Vec<_> = candidates
        .iter()
        .filter(|(_, state)| nearest.is_none_or(|nearest| state.distance == nearest))
        .collect();
    let count = tier.len() as u64;
    let first = tier[(random % count) as usize];
    let second = tier[((random >> 32) % count) as usize];
    let chosen = if waiting(second.1) < waiting(first.1) {
        second
    } else {
        first
    };
    chosen.0.clone()
}

fn freshest(candidates: &[(&BackendId, &BackendView)]) -> Option<BackendId> {
    candidates
        .iter()
        .max_by_key(|(_, state)| {
            state
                .last_observation
                .map(|last| (last.freshness.term, last.freshness.position))
        })
        .map(|(backend, _)| (*backend).clone())
}
