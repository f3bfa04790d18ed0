//! Positions that a service's leader was proved to have had, by when it was asked.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::{Freshness, Time};

/// How far back proofs are kept. A read that may be older than this is served as if it might not.
const RETENTION: Duration = Duration::from_secs(5);
/// Proofs nearer to each other than this are not kept apart: copies lag by more than that before it matters.
const MIN_SPACING: Duration = Duration::from_millis(25);

/// A position that the leader was proved to have had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The position.
    pub freshness: Freshness,
    /// When the question was sent that the leader answered with it. Every commit acknowledged before
    /// this moment lies at or before the position.
    pub asked_at: Time,
}

/// The proofs of the newest term that has one.
#[derive(Debug, Default)]
pub(crate) struct Proofs {
    newest: Option<Proof>,
    /// Some of the earlier ones of the same term, oldest first.
    history: VecDeque<Proof>,
}

impl Proofs {
    /// The newest one.
    pub fn newest(&self) -> Option<Proof> {
        self.newest
    }

    /// Takes a proof in, unless a newer one is known. One of a later term ends all earlier ones: what they
    /// name may have been rolled back.
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

    /// The oldest one that is known and for which the leader was asked at a moment or later.
    pub fn oldest_since(&self, moment: Time) -> Option<Proof> {
        let is_since = |proof: &Proof| proof.asked_at >= moment;
        let first = self.history.partition_point(|proof| !is_since(proof));
        let kept = self.history.get(first).copied();
        kept.or(self.newest.filter(is_since))
    }
}
