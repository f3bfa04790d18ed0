//! What this node and others have found out about back ends by using them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, NodeId, Time};

use crate::event::LeaderEvidence;

/// Evidence of this node and of others.
#[derive(Debug, Default)]
pub(crate) struct BackendEvidence {
    refused: BTreeSet<BackendId>,
    silent: BTreeSet<BackendId>,
    lost_log: BTreeSet<BackendId>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Nodes that have looked at a back end for this one and found it silent, and when they said so.
    verified: BTreeMap<(BackendId, NodeId), Time>,
}

/// What another node last said.
#[derive(Debug)]
struct PeerReport {
    silent: BTreeSet<BackendId>,
    heard_at: Time,
}

/// A report counts for this long; one that still holds is told again before.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

impl BackendEvidence {
    /// Takes this node's evidence in. Returns whether what others should be told has changed.
    pub fn record(&mut self, backend: BackendId, evidence: LeaderEvidence) -> bool {
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
    pub fn record_report(&mut self, now: Time, node: NodeId, silent: BTreeSet<BackendId>) {
        self.peer_reports
            .retain(|_, other| now < other.heard_at + REPORT_LIFETIME);
        let report = PeerReport {
            silent,
            heard_at: now,
        };
        self.peer_reports.insert(node, report);
    }

    /// Another node has looked at a back end for this one and found it silent.
    pub fn record_verified(&mut self, now: Time, node: NodeId, backend: BackendId) {
        self.verified
            .retain(|_, heard_at| now < *heard_at + REPORT_LIFETIME);
        self.verified.insert((backend, node), now);
    }

    /// Forgets what was found out about a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        self.refused.remove(backend);
        self.lost_log.remove(backend);
    }

    /// Keeps in mind that a log was lost only of these members, which call themselves primary.
    pub fn retain_lost_logs(&mut self, is_primary: impl Fn(&BackendId) -> bool) {
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
    fn reporters(&self, now: Time, backend: &BackendId) -> impl Iterator<Item = NodeId> {
        self.peer_reports
            .iter()
            .filter(move |(_, other)| now < other.heard_at + REPORT_LIFETIME)
            .filter(move |(_, other)| other.silent.contains(backend))
            .map(|(node, _)| *node)
    }

    /// How many nodes lately said that they find a back end silent by using it.
    pub fn report_count(&self, now: Time, backend: &BackendId) -> usize {
        self.reporters(now, backend).count()
    }

    /// How many nodes find a back end silent, when this one does; none otherwise.
    pub fn suspect_count(&self, now: Time, backend: &BackendId) -> usize {
        if !self.silent.contains(backend) {
            return 0;
        }
        let reported = self.reporters(now, backend);
        let verified = self
            .verified
            .iter()
            .filter(|((id, _), heard_at)| id == backend && now < **heard_at + REPORT_LIFETIME)
            .map(|((_, node), _)| *node);
        let others: BTreeSet<NodeId> = reported.chain(verified).collect();
        1 + others.len()
    }
}
