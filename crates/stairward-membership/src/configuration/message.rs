//! Events and effects of settings dissemination.

use std::sync::Arc;

use stairward_types::{Duration, NodeId, RegionName, Revision};

use super::digest::SettingsDigest;
use super::readiness::Readiness;

/// Settings received from a peer, in the encoding of the settings crate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The oldest revision to which the edits can be applied; 0 for a whole tree.
    pub after: Revision,
    /// The resulting revision.
    pub revision: Revision,
    /// Whether `document` is the whole tree rather than the edits since `after`.
    pub whole: bool,
    /// The encoded edits or tree.
    pub document: Arc<[u8]>,
}

/// Settings to send to a peer; the driver encodes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutgoingUpdate {
    /// No settings.
    #[default]
    Nothing,
    /// The edits since this revision.
    EditsAfter(Revision),
    /// The whole tree in force.
    WholeTree,
}

/// Identifies an exchange, to match its answer or failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// The request of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExchangeRequest {
    /// The digest of the requesting node.
    pub digest: SettingsDigest,
    /// Settings that the answering node may lack.
    pub update: Option<Update>,
}

/// The answer of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ExchangeAnswer {
    /// The digest of the answering node.
    pub digest: SettingsDigest,
    /// Settings that the requesting node lacks.
    pub update: Option<Update>,
}

/// The properties of a member that dissemination needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLocation {
    /// The member's number.
    pub node: NodeId,
    /// The member's region.
    pub region: RegionName,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
}

/// The result of a read of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The store's newest revision. If it is newer than the one in force, the driver has already
    /// applied it and reported [`Event::Applied`].
    Read(Revision),
    /// The store rejected the read because it has too many readers.
    TooManyReaders,
    /// No answer, or an unusable one.
    Failed,
}

/// Input to [`super::ConfigurationDisseminator::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Expected at least every [`super::DisseminationParameters::tick_interval`].
    Tick,
    /// The membership view, including this node.
    MembersChanged(Arc<[PeerLocation]>),
    /// A membership datagram reported a peer's revision.
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
        /// Chosen by the driver to match [`Effect::AnswerExchange`] to this request.
        call: u64,
        /// The request.
        request: ExchangeRequest,
    },
    /// A peer answered an exchange started by this node.
    ExchangeAnswered {
        /// The exchange.
        exchange: ExchangeId,
        /// The answer.
        answer: ExchangeAnswer,
    },
    /// A peer did not answer an exchange in time.
    ExchangeFailed {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// A newer revision is in force on this node.
    Applied {
        /// The revision.
        revision: Revision,
        /// The oldest revision from which all edits up to this one are known.
        history_from: Revision,
    },
    /// Settings from a peer could not be applied.
    ApplyFailed,
    /// A read of the store finished.
    StoreAnswered(StoreAnswer),
}

/// Output of [`super::ConfigurationDisseminator::handle`], to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start an exchange with a peer; report [`Event::ExchangeAnswered`] or [`Event::ExchangeFailed`].
    StartExchange {
        /// The exchange.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The digest of this node.
        digest: SettingsDigest,
        /// Settings that the peer may lack.
        update: OutgoingUpdate,
    },
    /// Answer a peer's exchange.
    AnswerExchange {
        /// The value given in [`Event::ExchangeRequested`].
        call: u64,
        /// The digest of this node.
        digest: SettingsDigest,
        /// Settings that the peer lacks.
        update: OutgoingUpdate,
    },
    /// Apply newer settings; report [`Event::Applied`] or [`Event::ApplyFailed`].
    Apply(Update),
    /// Read the store by a long poll of up to `wait` for a revision after `after`; report
    /// [`Event::StoreAnswered`].
    ReadStore {
        /// The revision in force.
        after: Revision,
        /// Maximum time for which the store may delay its answer.
        wait: Duration,
    },
    /// This node has become a watcher of the store.
    WatcherStarted,
    /// This node has stopped watching the store.
    WatcherStopped,
    /// The readiness of this node to serve callers has changed.
    ReadinessChanged(Readiness),
}
