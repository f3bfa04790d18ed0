//! Exchanges in progress and the last known state of each neighbour.

use std::collections::BTreeMap;

use stairward_types::{NodeId, Revision, Time};

use super::digest::SettingsDigest;
use super::message::ExchangeId;

/// An exchange that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OpenExchange {
    pub(super) to: NodeId,
    pub(super) requested_at: Time,
}

/// A bounded set of exchanges that have not been answered yet.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenExchanges {
    next: u64,
    open: BTreeMap<ExchangeId, OpenExchange>,
}

impl OpenExchanges {
    /// Starts an exchange; `None` when `maximum` are in progress.
    pub(super) fn start(&mut self, to: NodeId, now: Time, maximum: usize) -> Option<ExchangeId> {
        if self.open.len() >= maximum {
            return None;
        }
        let exchange = ExchangeId(self.next);
        self.next += 1;
        self.open.insert(
            exchange,
            OpenExchange {
                to,
                requested_at: now,
            },
        );
        Some(exchange)
    }

    /// Ends an exchange; `None` when it is not in progress.
    pub(super) fn finish(&mut self, exchange: ExchangeId) -> Option<OpenExchange> {
        self.open.remove(&exchange)
    }

    pub(super) fn is_open(&self, exchange: ExchangeId) -> bool {
        self.open.contains_key(&exchange)
    }

    /// Whether an exchange with the peer is in progress.
    pub(super) fn includes(&self, peer: NodeId) -> bool {
        self.open.values().any(|exchange| exchange.to == peer)
    }
}

/// The last known state of a neighbour. Used only to avoid redundant messages; correctness does not
/// depend on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerKnowledge {
    pub(super) revision: Revision,
    pub(super) store_read_at: Option<Time>,
    pub(super) watcher_heard_at: Option<Time>,
}

impl PeerKnowledge {
    pub(super) fn learn(&mut self, now: Time, digest: &SettingsDigest) {
        self.revision = self.revision.max(digest.revision);
        let store_read_at = digest.store_read.map(|age| now - age);
        self.store_read_at = self.store_read_at.max(store_read_at);
        let watcher_heard_at = digest.watcher_heard.map(|age| now - age);
        self.watcher_heard_at = self.watcher_heard_at.max(watcher_heard_at);
    }
}
