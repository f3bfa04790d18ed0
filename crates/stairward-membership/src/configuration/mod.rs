//! Dissemination of settings revisions to all nodes.
//!
//! A few watchers per region read the platform's store. Each node exchanges digests with a few
//! neighbours and with random members; the side with the older revision receives the missing edits
//! or the whole tree. [`ConfigurationDisseminator`] is the state machine of one node. It does no
//! I/O and treats the settings as opaque bytes.

mod digest;
mod disseminator;
mod exchange;
mod gossip;
mod message;
mod overlay;
mod parameters;
mod readiness;
mod source;
mod watcher;
mod watcher_quorum;
mod wire;

pub use digest::{SettingsDigest, SourceAge, WantedContent};
pub use disseminator::ConfigurationDisseminator;
pub use message::{
    Effect, Event, ExchangeAnswer, ExchangeId, ExchangeRequest, OutgoingUpdate, PeerLocation,
    StoreAnswer, Update,
};
pub use overlay::neighbours;
pub use parameters::DisseminationParameters;
pub use readiness::{NotReadyReason, Readiness};
pub use source::SourceStatus;
pub use watcher::ranked_watchers;
pub use wire::{from_wire, to_wire};
