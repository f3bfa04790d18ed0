//! What goes into and comes out of the spreader.

use std::sync::Arc;

use stairward_types::{Duration, NodeId, RegionName, Revision};

use super::digest::SettingsDigest;
use super::readiness::Readiness;

/// Settings received from a peer, encoded by the settings crate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The lowest revision that edits can be applied to; 0 for a whole tree.
    pub after: Revision,
    /// The revision reached.
    pub revision: Revision,
    /// Whether `document` is a whole tree instead of the edits since `after`.
    pub whole: bool,
    /// The edits or the tree.
    pub document: Arc<[u8]>,
}

/// Settings to send to a peer; the driver encodes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutgoingUpdate {
    /// None.
    #[default]
    Nothing,
    /// The edits since this revision.
    EditsAfter(Revision),
    /// The whole tree in force.
    WholeTree,
}

/// Matches the answer of a peer, or the lack of one, to what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// One half of an exchange: what the asking side holds, and news it wants to pass on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExchangeRequest {
    /// What the asking node holds.
    pub digest: SettingsDigest,
    /// What the asked node may lack.
    pub update: Option<Update>,
}

/// The other half: what the answering side holds, and what the asking side lacks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExchangeAnswer {
    /// What the answering node holds.
    pub digest: SettingsDigest,
    /// What the asking node lacks.
    pub update: Option<Update>,
}

/// A member as the spreader needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLocation {
    /// Its number.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
}

/// How a read of the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The store's newest revision. When it is newer than the one in force, the driver has put it in
    /// force and said so with [`Event::Applied`] before.
    Read(Revision),
    /// The store has too many readers.
    TooManyReaders,
    /// No answer, or one that cannot be used.
    Failed,
}

/// Something the spreader must take into account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Some time has passed. Expected at least every [`super::DisseminationParameters::tick_interval`].
    Tick,
    /// The membership view, this node included.
    MembersChanged(Arc<[PeerLocation]>),
    /// A membership datagram told which revision a peer holds.
    RevisionHeard {
        /// The peer.
        from: NodeId,
        /// Its revision.
        revision: Revision,
    },
    /// A peer started an exchange.
    ExchangeRequested {
        /// The peer.
        from: NodeId,
        /// Chosen by the driver to match [`Effect::AnswerExchange`].
        call: u64,
        /// What it said.
        request: ExchangeRequest,
    },
    /// A peer answered an exchange of this node's.
    ExchangeAnswered {
        /// Which exchange.
        exchange: ExchangeId,
        /// What it said.
        answer: ExchangeAnswer,
    },
    /// A peer did not answer an exchange in time.
    ExchangeFailed {
        /// Which exchange.
        exchange: ExchangeId,
    },
    /// A newer revision is in force on this node.
    Applied {
        /// The revision.
        revision: Revision,
        /// The lowest revision from which the edits up to this one are known.
        history_from: Revision,
    },
    /// What a peer sent could not be put in force.
    ApplyFailed,
    /// A read of the store ended.
    StoreAnswered(StoreAnswer),
}

/// Something the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start an exchange with a peer; report [`Event::ExchangeAnswered`] or [`Event::ExchangeFailed`].
    StartExchange {
        /// Which exchange.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// What this node holds.
        digest: SettingsDigest,
        /// What the peer may lack.
        update: OutgoingUpdate,
    },
    /// Answer a peer's exchange.
    AnswerExchange {
        /// As given by [`Event::ExchangeRequested`].
        call: u64,
        /// What this node holds.
        digest: SettingsDigest,
        /// What the peer lacks.
        update: OutgoingUpdate,
    },
    /// Put newer settings in force; report [`Event::Applied`] or [`Event::ApplyFailed`].
    Apply(Update),
    /// Read the store, letting it wait up to `wait` for a revision after `after`; report
    /// [`Event::StoreAnswered`].
    ReadStore {
        /// The revision in force.
        after: Revision,
        /// How long the store may hold the answer back.
        wait: Duration,
    },
    /// This node has become a watcher of the store.
    WatcherStarted,
    /// This node has stopped watching the store.
    WatcherStopped,
    /// Whether this node may serve callers has changed.
    ReadinessChanged(Readiness),
}
