//! What the engine knows of a service's back ends together: who leads, and how far its log had come.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Freshness, StoreRevision, Term, Time};

use crate::leadership::Leadership;
use crate::proofs::{Proof, Proofs};

/// A service's back ends together.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Its back ends.
    pub members: BTreeSet<BackendId>,
    /// Proofs of the leader's position.
    pub proofs: Proofs,
    /// The newest term seen in any answer.
    pub newest_term: Term,
    /// Back ends that said they don't lead, with the revision of the description that they denied.
    pub denied: BTreeMap<BackendId, StoreRevision>,
    /// What is known of its lead.
    pub leadership: Leadership,
    /// When peers were last asked for a newer proof.
    pub asked_peers_at: Option<Time>,
    /// When the last probe of the leader's position was begun; none when it has ended.
    pub probing_since: Option<Time>,
}

impl Group {
    /// Takes a proof in.
    pub fn record_proof(&mut self, proof: Proof) {
        self.newest_term = self.newest_term.max(proof.freshness.term);
        self.proofs.insert(proof);
    }

    /// What a log must hold for a read that may miss commits acknowledged less than `staleness` before
    /// `start`, and none up to `own`. None when it is not known freshly enough. Of the proofs recency enough the
    /// oldest counts, so that copies that lag less than the staleness may answer.
    ///
    /// A floor of an earlier term than the proof's may name a position that was rolled back; the
    /// leader's position in the later term covers all of it that was kept.
    pub fn floor(
        &self,
        start: Time,
        staleness: Duration,
        own: Option<Freshness>,
    ) -> Option<Freshness> {
        let oldest_allowed = start.since(Time::ZERO + staleness);
        let proof = self.proofs.oldest_since(Time::ZERO + oldest_allowed)?;
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
