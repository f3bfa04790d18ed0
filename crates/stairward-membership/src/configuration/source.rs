//! Evidence of how current a node's settings are.

use stairward_types::{Duration, Revision, Time};

use super::digest::{SettingsDigest, SourceAge};

/// Whether a node can rely on its settings being the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceStatus {
    /// A watcher read the store recently, and the result has reached this node.
    Current,
    /// The watchers are reachable and most of the fleet is in view, but no watcher can read the
    /// store.
    StoreUnreachable,
    /// No watcher is reachable, or most of the fleet is out of view: newer settings may be in force
    /// elsewhere.
    CutOff,
}

/// Proof that a revision was the newest at a time on this node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoreProof {
    read_at: Time,
    revision: Revision,
}

/// When this node's settings were last known to be the newest.
///
/// Only answers to this node's own requests count, dated from when the request was sent. A message
/// delayed in a buffer, or a paused process, can therefore make the settings look older than they
/// are, but never newer.
#[derive(Debug, Clone, Default)]
pub(super) struct SourceEvidence {
    store_read_at: Option<Time>,
    watcher_heard_at: Option<Time>,
    /// Proof for a revision that is not in force on this node yet.
    pending: Option<StoreProof>,
}

impl SourceEvidence {
    /// Updates the evidence from a peer's answer to a request sent at `requested_at`.
    pub(super) fn learn(&mut self, requested_at: Time, digest: &SettingsDigest, own: Revision) {
        if let Some(age) = digest.store_read {
            self.store_read(requested_at - age, digest.revision, own);
        }
        if let Some(age) = digest.watcher_heard {
            self.watcher_heard(requested_at - age);
        }
    }

    /// Records that `revision` was the store's newest at `read_at`.
    pub(super) fn store_read(&mut self, read_at: Time, revision: Revision, own: Revision) {
        if revision <= own {
            self.store_read_at = self.store_read_at.max(Some(read_at));
        } else if self.pending.is_none_or(|pending| pending.read_at < read_at) {
            self.pending = Some(StoreProof { read_at, revision });
        }
    }

    /// Records that a watcher was active at `heard_at`.
    pub(super) fn watcher_heard(&mut self, heard_at: Time) {
        self.watcher_heard_at = self.watcher_heard_at.max(Some(heard_at));
    }

    /// Applies pending proof once its revision is in force.
    pub(super) fn applied(&mut self, own: Revision) {
        if let Some(proof) = self.pending.take_if(|pending| pending.revision <= own) {
            self.store_read_at = self.store_read_at.max(Some(proof.read_at));
        }
    }

    pub(super) fn store_read_at(&self) -> Option<Time> {
        self.store_read_at
    }

    pub(super) fn watcher_heard_at(&self) -> Option<Time> {
        self.watcher_heard_at
    }

    pub(super) fn store_age(&self, now: Time) -> SourceAge {
        self.store_read_at.map(|at| now.since(at))
    }

    pub(super) fn watcher_age(&self, now: Time) -> SourceAge {
        self.watcher_heard_at.map(|at| now.since(at))
    }

    /// Whether the last read of the store is recent enough to rule out newer settings.
    pub(super) fn is_current(&self, now: Time, limit: Duration) -> bool {
        self.store_age(now).is_some_and(|age| age <= limit)
    }

    /// Whether a watcher was active recently, whether or not it could read the store.
    pub(super) fn has_recent_watcher(&self, now: Time, limit: Duration) -> bool {
        self.watcher_age(now).is_some_and(|age| age <= limit)
    }
}
