//! Observations of back ends by this node and by its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, NodeId, Time};

use crate::event::LeaderEvidence;

/// Observations of this node and reports of other nodes.
#[derive(Debug, Default)]
pub(crate) struct BackendEvidence {
    refused: BTreeSet<BackendId>,
    silent: BTreeSet<BackendId>,
    lost_log: BTreeSet<BackendId>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Nodes that probed a back end on behalf of this one and found it silent, with the time of
    /// their message.
    verified: BTreeMap<(BackendId, NodeId), Time>,
}

/// The last report of another node.
#[derive(Debug)]
struct PeerReport {
    silent: BTreeSet<BackendId>,
    received_at: Time,
}

/// How long a report counts. The reporting node repeats it before it expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

impl BackendEvidence {
    /// Records an observation of this node. Returns whether the set of silent back ends, which is
    /// reported to other nodes, has changed.
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

    /// Records the report of another node.
    pub fn record_report(&mut self, now: Time, node: NodeId, silent: BTreeSet<BackendId>) {
        self.peer_reports
            .retain(|_, report| now < report.received_at + REPORT_LIFETIME);
        let report = PeerReport {
            silent,
            received_at: now,
        };
        self.peer_reports.insert(node, report);
    }

    /// Records that another node probed a back end on behalf of this one and found it silent.
    pub fn record_verified(&mut self, now: Time, node: NodeId, backend: BackendId) {
        self.verified
            .retain(|_, received_at| now < *received_at + REPORT_LIFETIME);
        self.verified.insert((backend, node), now);
    }

    /// Discards observations that a back end refused connections or lost its log.
    pub fn forget(&mut self, backend: &BackendId) {
        self.refused.remove(backend);
        self.lost_log.remove(backend);
    }

    /// Keeps log-loss observations only of members that report the primary role, and drops all
    /// others.
    pub fn retain_lost_logs(&mut self, is_primary: impl Fn(&BackendId) -> bool) {
        self.lost_log.retain(is_primary);
    }

    /// The members that report the primary role and have lost their log.
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

    /// The back ends that refuse connections.
    pub fn refused(&self) -> &BTreeSet<BackendId> {
        &self.refused
    }

    pub fn is_refused(&self, backend: &BackendId) -> bool {
        self.refused.contains(backend)
    }

    /// The nodes whose current report says that a back end is silent.
    fn reporters(&self, now: Time, backend: &BackendId) -> impl Iterator<Item = NodeId> {
        self.peer_reports
            .iter()
            .filter(move |(_, report)| now < report.received_at + REPORT_LIFETIME)
            .filter(move |(_, report)| report.silent.contains(backend))
            .map(|(node, _)| *node)
    }

    /// The number of nodes that currently report a back end as silent from their own use of it.
    pub fn report_count(&self, now: Time, backend: &BackendId) -> usize {
        self.reporters(now, backend).count()
    }

    /// The number of nodes that find a back end silent, including this one; 0 unless this node
    /// does.
    pub fn suspect_count(&self, now: Time, backend: &BackendId) -> usize {
        if !self.silent.contains(backend) {
            return 0;
        }
        let reported = self.reporters(now, backend);
        let verified = self
            .verified
            .iter()
            .filter(|((id, _), received_at)| id == backend && now < **received_at + REPORT_LIFETIME)
            .map(|((_, node), _)| *node);
        let others: BTreeSet<NodeId> = reported.chain(verified).collect();
        1 + others.len()
    }
}
