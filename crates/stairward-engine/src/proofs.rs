//! Proved positions of a service's leader, by the time at which they were requested.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::{Freshness, Time};

/// How long proofs are kept. A read that allows a higher staleness is served as if it allowed only this.
const RETENTION: Duration = Duration::from_secs(5);
/// Proofs closer together than this are not kept separately; smaller lags of replicas make no difference.
const MIN_SPACING: Duration = Duration::from_millis(25);

/// A proved position of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The position.
    pub freshness: Freshness,
    /// When the command that the leader answered with the position was sent. Every commit acknowledged before
    /// this time is at or before the position.
    pub asked_at: Time,
}

/// The proofs of the highest term that has any.
#[derive(Debug, Default)]
pub(crate) struct Proofs {
    newest: Option<Proof>,
    /// Earlier proofs of the same term, oldest first.
    history: VecDeque<Proof>,
}

impl Proofs {
    /// The newest proof.
    pub fn newest(&self) -> Option<Proof> {
        self.newest
    }

    /// Inserts a proof unless a newer one is known. A proof of a later term discards all earlier ones, whose
    /// positions may have been rolled back.
    pub fn insert(&mut self, proof: Proof) {
        if let Some(known) = self.newest {
            let known_key = (known.freshness.term, known.asked_at);
            if (proof.freshness.term, proof.asked_at) <= known_key {
                return;
            }
            if proof.freshness.term > known.freshness.term {
                self.history.clear();
            }
        }
        self.newest = Some(proof);
        let last = self.history.back();
        if last.is_none_or(|last| proof.asked_at >= last.asked_at + MIN_SPACING) {
            self.history.push_back(proof);
        }
        let horizon = proof.asked_at.since(Time::ZERO + RETENTION);
        while self
            .history
            .front()
            .is_some_and(|oldest| oldest.asked_at < Time::ZERO + horizon)
        {
            self.history.pop_front();
        }
    }

    /// The oldest known proof requested at `moment` or later.
    pub fn oldest_since(&self, moment: Time) -> Option<Proof> {
        let is_since = |proof: &Proof| proof.asked_at >= moment;
        let first = self.history.partition_point(|proof| !is_since(proof));
        let kept = self.history.get(first).copied();
        kept.or(self.newest.filter(is_since))
    }
}
