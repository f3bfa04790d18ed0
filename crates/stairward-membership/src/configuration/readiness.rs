//! When a new node may serve: once its settings are proved to be the newest.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, Revision, Time};

use super::digest::SettingsDigest;
use super::parameters::DisseminationParameters;

/// Peers whose confirmations are remembered.
const MAXIMUM_CONFIRMATIONS: usize = 16;

/// Whether a node may serve callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Not yet.
    NotReady(NotReadyReason),
    /// It may, from now on until it stops.
    Ready,
}

/// Why a node does not serve yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// Neither the store nor a peer has given it settings.
    NoSettings,
    /// A peer holds a newer revision.
    NewerRevisionHeard {
        /// The newest revision heard of.
        heard: Revision,
    },
    /// The store has not been read since the node started, and too few serving peers have confirmed
    /// that there is nothing newer.
    Unconfirmed {
        /// Serving peers that have confirmed the revision.
        confirmations: usize,
    },
}

/// What is known to the node at the moment of judging.
pub(super) struct ReadinessFacts {
    pub(super) now: Time,
    pub(super) revision: Revision,
    pub(super) newest_heard: Revision,
    pub(super) store_read_at: Option<Time>,
    /// Members in view besides this node.
    pub(super) other_members: usize,
}

/// Collects the proof that a new node's settings are the newest.
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

    /// Notes a peer's answer to a question asked after this node started.
    ///
    /// Only peers confirm that have had no proof from the store for `quiet` themselves: no edit can
    /// be accepted then, so what they hold had time to spread. Other peers pass their proof on.
    pub(super) fn heard(&mut self, peer: NodeId, digest: &SettingsDigest, quiet: Duration) {
        let is_quiet = digest.store_read.is_none_or(|age| age >= quiet);
        let has_room = self.confirmations.len() < MAXIMUM_CONFIRMATIONS;
        let is_counted = has_room || self.confirmations.contains_key(&peer);
        if digest.ready && is_quiet && is_counted {
            self.confirmations.insert(peer, digest.revision);
        }
    }

    /// The peers that have answered.
    pub(super) fn asked(&self) -> BTreeSet<NodeId> {
        self.confirmations.keys().copied().collect()
    }

    /// Judges again; returns the new state when it has changed.
    pub(super) fn judge(
        &mut self,
        facts: &ReadinessFacts,
        parameters: &DisseminationParameters,
    ) -> Option<Readiness> {
        if self.is_ready() {
            return None;
        }
        let state = self.next_state(facts, parameters);
        let changed = state != self.state;
        self.state = state;
        changed.then_some(state)
    }

    fn next_state(
        &self,
        facts: &ReadinessFacts,
        parameters: &DisseminationParameters,
    ) -> Readiness {
        if facts.revision == Revision(0) {
            return Readiness::NotReady(NotReadyReason::NoSettings);
        }
        if facts.newest_heard > facts.revision {
            let heard = facts.newest_heard;
            return Readiness::NotReady(NotReadyReason::NewerRevisionHeard { heard });
        }
        // Whatever an earlier life of this process had in force, the store had accepted before.
        if facts.store_read_at.is_some_and(|at| at >= self.started_at) {
            return Readiness::Ready;
        }
        let confirmations = self.confirming(facts.revision);
        if self.peers_suffice(
            confirmations,
            facts,
            parameters.confirmation_timeout,
            parameters,
        ) {
            return Readiness::Ready;
        }
        Readiness::NotReady(NotReadyReason::Unconfirmed { confirmations })
    }

    fn confirming(&self, revision: Revision) -> usize {
        self.confirmations
            .values()
            .filter(|confirmed| **confirmed <= revision)
            .count()
    }

    fn peers_suffice(
        &self,
        confirmations: usize,
        facts: &ReadinessFacts,
        wait: Duration,
        parameters: &DisseminationParameters,
    ) -> bool {
        let has_waited = facts.now.since(self.started_at) >= wait;
        let needed = parameters.confirmations.min(facts.other_members).max(1);
        has_waited && confirmations >= needed
    }
}
