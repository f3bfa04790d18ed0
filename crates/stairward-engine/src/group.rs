//! State of a service's group of back ends: its leadership and the proved positions of the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Freshness, StoreRevision, Term, Time};

use crate::leadership::Leadership;
use crate::proofs::{Proof, Proofs};

/// State of a service's group of back ends.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// The members of the group.
    pub members: BTreeSet<BackendId>,
    /// Proofs of the leader's position.
    pub proofs: Proofs,
    /// The highest term seen in any reply.
    pub newest_term: Term,
    /// Back ends that denied being the leader, with the revision of the description that they denied.
    pub denied: BTreeMap<BackendId, StoreRevision>,
    /// What is known of its leadership.
    pub leadership: Leadership,
    /// When peers were last asked for a newer proof.
    pub asked_peers_at: Option<Time>,
    /// When the current probe of the leader's position began; none if there is no probe.
    pub probing_since: Option<Time>,
}

impl Group {
    /// Records a proof of the leader's position.
    pub fn record_proof(&mut self, proof: Proof) {
        self.newest_term = self.newest_term.max(proof.freshness.term);
        self.proofs.insert(proof);
    }

    /// The log position required by a read that may miss commits acknowledged less than `staleness` before
    /// `start`, but must not miss the session's own commit. None if the leader's position is not known
    /// recently enough. Of the sufficiently recent proofs the oldest counts, so that replicas which lag less
    /// than the staleness may answer.
    ///
    /// A commit of an earlier term than the proof's may name a position that was rolled back; the leader's
    /// position in the later term covers everything of it that was kept.
    pub fn floor(
        &self,
        start: Time,
        staleness: Duration,
        own_commit: Option<Freshness>,
    ) -> Option<Freshness> {
        let oldest_allowed = start.since(Time::ZERO + staleness);
        let proof = self.proofs.oldest_since(Time::ZERO + oldest_allowed)?;
        let Some(own_commit) = own_commit else {
            return Some(proof.freshness);
        };
        match own_commit.term.cmp(&proof.freshness.term) {
            std::cmp::Ordering::Less => Some(proof.freshness),
            std::cmp::Ordering::Equal => Some(own_commit.join(proof.freshness)),
            std::cmp::Ordering::Greater => Some(own_commit),
        }
    }
}
