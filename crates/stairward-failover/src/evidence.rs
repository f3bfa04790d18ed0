//! What this node and others have found out about back ends by using them.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::BackendId;

use crate::event::LeaderEvidence;

/// Evidence of this node and of others.
#[derive(Debug, Default)]
pub(crate) struct EvidenceLedger {
    refused: BTreeSet<BackendId>,
    silent: BTreeSet<BackendId>,
    others: BTreeMap<String, BTreeSet<BackendId>>,
}

impl EvidenceLedger {
    /// Takes this node's evidence in. Returns whether what others should be told has changed.
    pub fn note(&mut self, backend: BackendId, evidence: LeaderEvidence) -> bool {
        match evidence {
            LeaderEvidence::Answered => {
                self.refused.remove(&backend);
                self.silent.remove(&backend)
            }
            LeaderEvidence::Refused => {
                self.refused.insert(backend);
                false
            }
            LeaderEvidence::Silent => self.silent.insert(backend),
        }
    }

    pub fn set_others(&mut self, others: BTreeMap<String, BTreeSet<BackendId>>) {
        self.others = others;
    }

    /// Forgets what was found out about a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        self.refused.remove(backend);
    }

    /// The back ends that this node finds silent.
    pub fn silent(&self) -> &BTreeSet<BackendId> {
        &self.silent
    }

    pub fn is_refused(&self, backend: &BackendId) -> bool {
        self.refused.contains(backend)
    }

    /// How many nodes find a back end silent, when this one does; none otherwise.
    pub fn suspecting(&self, backend: &BackendId) -> usize {
        if !self.silent.contains(backend) {
            return 0;
        }
        let others = self
            .others
            .values()
            .filter(|silent| silent.contains(backend));
        1 + others.count()
    }
}
