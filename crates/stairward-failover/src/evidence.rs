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
    lost_log: BTreeSet<BackendId>,
    others: BTreeMap<NodeId, OtherReport>,
    /// Nodes that have looked at a back end for this one and found it silent, and when they said so.
    verified: BTreeMap<(BackendId, NodeId), Time>,
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
            LeaderEvidence::LostLog => {
                self.lost_log.insert(backend);
                false
            }
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

    /// Another node has looked at a back end for this one and found it silent.
    pub fn note_verified(&mut self, now: Time, node: NodeId, backend: BackendId) {
        self.verified
            .retain(|_, heard_at| now < *heard_at + REPORT_COUNTS_FOR);
        self.verified.insert((backend, node), now);
    }

    /// Forgets what was found out about a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        self.refused.remove(backend);
        self.lost_log.remove(backend);
    }

    /// Keeps in mind that a log was lost only of these members, which call themselves primary.
    pub fn keep_lost_logs_of(&mut self, is_primary: impl Fn(&BackendId) -> bool) {
        self.lost_log.retain(is_primary);
    }

    /// The members that call themselves primary and have lost their log.
    pub fn lost_log(&self) -> &BTreeSet<BackendId> {
        &self.lost_log
    }

    pub fn has_lost_log(&self, backend: &BackendId) -> bool {
        self.lost_log.contains(backend)
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

    /// The nodes that lately said that they find a back end silent.
    fn reporting(&self, now: Time, backend: &BackendId) -> impl Iterator<Item = NodeId> {
        self.others
            .iter()
            .filter(move |(_, other)| now < other.heard_at + REPORT_COUNTS_FOR)
            .filter(move |(_, other)| other.silent.contains(backend))
            .map(|(node, _)| *node)
    }

    /// How many nodes lately said that they find a back end silent by using it.
    pub fn reports_of(&self, now: Time, backend: &BackendId) -> usize {
        self.reporting(now, backend).count()
    }

    /// How many nodes find a back end silent, when this one does; none otherwise.
    pub fn suspecting(&self, now: Time, backend: &BackendId) -> usize {
        if !self.silent.contains(backend) {
            return 0;
        }
        let reported = self.reporting(now, backend);
        let verified = self
            .verified
            .iter()
            .filter(|((id, _), heard_at)| id == backend && now < **heard_at + REPORT_COUNTS_FOR)
            .map(|((_, node), _)| *node);
        let others: BTreeSet<NodeId> = reported.chain(verified).collect();
        1 + others.len()
    }
}
