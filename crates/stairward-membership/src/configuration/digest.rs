//! Digests of the settings that nodes hold.

use stairward_types::{Duration, Revision};

/// Upper bound on how long ago a condition held; `None` when nothing is known.
pub type SourceAge = Option<Duration>;

/// The content that a node requests when it holds an older revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WantedContent {
    /// The missing edits, or the whole tree if the peer no longer has these edits.
    #[default]
    Newer,
    /// The whole tree, because edits could not be applied.
    WholeTree,
    /// Nothing for now, because received content could not be applied.
    Nothing,
}

/// Summary of the settings that a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SettingsDigest {
    /// The revision in force; 0 if there is none.
    pub revision: Revision,
    /// How long ago `revision` was the newest in the store. Never underestimated.
    pub store_read: SourceAge,
    /// How long ago a watcher was known to be active, whether or not the store answered it.
    pub watcher_heard: SourceAge,
    /// Size of the membership view when the node's settings were last proved current; 0 if never.
    pub fleet_size: u32,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether the node watches the store.
    pub watching: bool,
    /// The content that the node requests.
    pub wanted: WantedContent,
}
