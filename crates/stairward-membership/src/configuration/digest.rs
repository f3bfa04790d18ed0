//! What nodes tell each other about the settings they hold.

use stairward_types::{Duration, Revision};

/// How long ago something was true, as far as a node can prove; none when it cannot.
pub type SourceAge = Option<Duration>;

/// What a node wants to be sent when it holds an older revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WantedContent {
    /// The edits it lacks, or the whole tree when they are not kept any more.
    #[default]
    Newer,
    /// The whole tree, because it could not apply edits.
    WholeTree,
    /// Nothing for now, because it could not use what it was sent.
    Nothing,
}

/// A node's settings in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SettingsDigest {
    /// The revision in force; 0 for none.
    pub revision: Revision,
    /// How long ago `revision` was the newest in the store. Never too young.
    pub store_read: SourceAge,
    /// How long ago a watcher was known to be at work, whether or not the store answered it.
    pub watcher_heard: SourceAge,
    /// Members in view when the node's settings were last proved current; 0 when they never were.
    pub fleet_size: u32,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether the node watches the store.
    pub watching: bool,
    /// What the node wants to be sent.
    pub wanted: WantedContent,
}
