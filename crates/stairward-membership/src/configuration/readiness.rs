//! Readiness of a new node, which may serve once its settings are proved to be the newest.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, Revision, Time};

use super::digest::SettingsDigest;
use super::parameters::DisseminationParameters;

/// Maximum number of peers whose confirmations are stored.
const MAXIMUM_CONFIRMATIONS: usize = 16;

/// Whether a node may serve callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It may not serve yet.
    NotReady(NotReadyReason),
    /// It may serve until it stops.
    Ready,
}

/// Why a node does not serve yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// Neither the store nor a peer has provided settings.
    NoSettings,
    /// A peer holds a newer revision.
    NewerRevisionHeard {
        /// The newest revision reported.
        heard: Revision,
    },
    /// The store has not been read since the node started, and too few serving peers have confirmed
    /// that there is no newer revision.
    Unconfirmed {
        /// Number of serving peers that have confirmed the revision.
        confirmations: usize,
    },
}

/// Inputs of an evaluation.
pub(super) struct ReadinessInputs {
    pub(super) now: Time,
    pub(super) revision: Revision,
    pub(super) newest_heard: Revision,
    pub(super) store_read_at: Option<Time>,
    /// Members in the view, not counting this node.
    pub(super) other_members: usize,
}

/// Collects proof that a new node's settings are the newest.
#[derive(Debug, Clone)]
pub(super) struct ReadinessGate {
    started_at: Time,
    state: Readiness,
    confirmations: BTreeMap<NodeId, Revision>,
}

impl ReadinessGate {
    pub(super) fn new(started_at: Time) -> Self {
        Self {
            started_at,
            state: Readiness::NotReady(NotReadyReason::NoSettings),
            confirmations: BTreeMap::new(),
        }
    }

    pub(super) fn state(&self) -> Readiness {
        self.state
    }

    pub(super) fn is_ready(&self) -> bool {
        self.state == Readiness::Ready
    }

    /// Records a peer's answer to a request sent after this node started.
    ///
    /// Only peers without proof from the store for at least `minimum_store_age` count: no edit can
    /// have been accepted in that time, so the newest one has had time to reach them. Other peers
    /// forward their proof instead.
    pub(super) fn record_answer(
        &mut self,
        peer: NodeId,
        digest: &SettingsDigest,
        minimum_store_age: Duration,
    ) {
        let is_store_silent = digest.store_read.is_none_or(|age| age >= minimum_store_age);
        let has_room = self.confirmations.len() < MAXIMUM_CONFIRMATIONS;
        let is_counted = has_room || self.confirmations.contains_key(&peer);
        if digest.ready && is_store_silent && is_counted {
            self.confirmations.insert(peer, digest.revision);
        }
    }

    /// The peers whose answers are stored.
    pub(super) fn answered_peers(&self) -> BTreeSet<NodeId> {
        self.confirmations.keys().copied().collect()
    }

    /// Evaluates readiness again and returns the new state if it has changed.
    pub(super) fn evaluate(
        &mut self,
        inputs: &ReadinessInputs,
        parameters: &DisseminationParameters,
    ) -> Option<Readiness> {
        if self.is_ready() {
            return None;
        }
        let state = self.next_state(inputs, parameters);
        let changed = state != self.state;
        self.state = state;
        changed.then_some(state)
    }

    fn next_state(
        &self,
        inputs: &ReadinessInputs,
        parameters: &DisseminationParameters,
    ) -> Readiness {
        if inputs.revision == Revision(0) {
            return Readiness::NotReady(NotReadyReason::NoSettings);
        }
        if inputs.newest_heard > inputs.revision {
            let heard = inputs.newest_heard;
            return Readiness::NotReady(NotReadyReason::NewerRevisionHeard { heard });
        }
        // Any revision that an earlier incarnation of this process had in force was in the store
        // before this read.
        if inputs.store_read_at.is_some_and(|at| at >= self.started_at) {
            return Readiness::Ready;
        }
        let confirmations = self.confirmation_count(inputs.revision);
        if self.has_enough_confirmations(
            confirmations,
            inputs,
            parameters.confirmation_timeout,
            parameters,
        ) {
            return Readiness::Ready;
        }
        Readiness::NotReady(NotReadyReason::Unconfirmed { confirmations })
    }

    fn confirmation_count(&self, revision: Revision) -> usize {
        self.confirmations
            .values()
            .filter(|confirmed| **confirmed <= revision)
            .count()
    }

    fn has_enough_confirmations(
        &self,
        confirmations: usize,
        inputs: &ReadinessInputs,
        wait: Duration,
        parameters: &DisseminationParameters,
    ) -> bool {
        let has_waited = inputs.now.since(self.started_at) >= wait;
        let needed = parameters.confirmations.min(inputs.other_members).max(1);
        has_waited && confirmations >= needed
    }
}
