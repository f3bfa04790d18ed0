//! What this node and others have found out about back ends by using them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, NodeId, Time};

use crate::event::LeaderEvidence;

/// Evidence of this node and of others.
#[derive(Debug, Default)]
pub(crate) struct EvidenceLedger {
    refused: BTreeSet<BackendId>,
    silent: BTreeSet<BackendId>,
    others: BTreeMap<NodeId, OtherReport>,
}

/// What another node last said.
#[derive(Debug)]
struct OtherReport {
    silent: BTreeSet<BackendId>,
    heard_at: Time,
}

/// A report counts for this long; one that still holds is told again before.
const REPORT_COUNTS_FOR: Duration = Duration::from_secs(3);

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

    /// Takes another node's report in.
    pub fn note_other(&mut self, now: Time, node: NodeId, silent: BTreeSet<BackendId>) {
        self.others
            .retain(|_, other| now < other.heard_at + REPORT_COUNTS_FOR);
        let report = OtherReport {
            silent,
            heard_at: now,
        };
        self.others.insert(node, report);
    }

    /// Forgets what was found out about a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        self.refused.remove(backend);
    }

    /// The back ends that this node finds silent.
    pub fn silent(&self) -> &BTreeSet<BackendId> {
        &self.silent
    }

    /// The back ends at whose address nothing listens.
    pub fn refused(&self) -> &BTreeSet<BackendId> {
        &self.refused
    }

    pub fn is_refused(&self, backend: &BackendId) -> bool {
        self.refused.contains(backend)
    }

    /// How many nodes find a back end silent, when this one does; none otherwise.
    pub fn suspecting(&self, now: Time, backend: &BackendId) -> usize {
        if !self.silent.contains(backend) {
            return 0;
        }
        let others = self
            .others
            .values()
            .filter(|other| now < other.heard_at + REPORT_COUNTS_FOR)
            .filter(|other| other.silent.contains(backend));
        1 + others.count()
    }
}
