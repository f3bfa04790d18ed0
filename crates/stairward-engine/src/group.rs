//! What the engine knows of a service's back ends together: who leads, and how far its log had come.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Freshness, Revision, Term, Time};

/// A position that the leader was proved to have had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The position.
    pub freshness: Freshness,
    /// When the question was sent that the leader answered with it. Every commit acknowledged before
    /// this moment lies at or before the position.
    pub asked_at: Time,
}

/// A service's back ends together.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Its back ends.
    pub members: BTreeSet<BackendId>,
    /// The newest proof of the leader's position.
    pub proof: Option<Proof>,
    /// The newest term seen in any answer.
    pub newest_term: Term,
    /// Back ends that said they don't lead, with the revision of the description that they denied.
    pub denied: BTreeMap<BackendId, Revision>,
    /// When peers were last asked for a newer proof.
    pub asked_peers_at: Option<Time>,
    /// When the last probe of the leader's position was begun; none when it has ended.
    pub probing_since: Option<Time>,
}

impl Group {
    /// Takes a proof in, unless a newer one is known.
    pub fn prove(&mut self, proof: Proof) {
        self.newest_term = self.newest_term.max(proof.freshness.term);
        let is_newer = self.proof.is_none_or(|known| {
            let known_key = (known.freshness.term, known.asked_at);
            (proof.freshness.term, proof.asked_at) > known_key
        });
        if is_newer {
            self.proof = Some(proof);
        }
    }

    /// What a log must hold for a read that may miss commits acknowledged less than `staleness` before
    /// `start`, and none up to `own`. None when it is not known freshly enough.
    ///
    /// A floor of an earlier term than the proof's may name a position that was rolled back; the
    /// leader's position in the later term covers all of it that was kept.
    pub fn floor(
        &self,
        start: Time,
        staleness: Duration,
        own: Option<Freshness>,
    ) -> Option<Freshness> {
        let proof = self
            .proof
            .filter(|proof| proof.asked_at + staleness >= start)?;
        let Some(own) = own else {
            return Some(proof.freshness);
        };
        match own.term.cmp(&proof.freshness.term) {
            std::cmp::Ordering::Less => Some(proof.freshness),
            std::cmp::Ordering::Equal => Some(own.join(proof.freshness)),
            std::cmp::Ordering::Greater => Some(own),
        }
    }
}
