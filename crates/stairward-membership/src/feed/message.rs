//! Events and effects of a feed.

use stairward_types::{Duration, NodeId, StoreRevision, Time};

use crate::configuration::PeerLocation;

/// A node that follows this one, identified by its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u64);

/// The content of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedContent {
    /// All objects.
    Snapshot(Vec<u8>),
    /// The changes since the sender's previous message.
    Changes(Vec<u8>),
    /// The changes since a revision held by the receiver.
    ChangesSince {
        /// The base revision.
        since: StoreRevision,
        /// The changes.
        changes: Vec<u8>,
        /// Digest of all the sender's objects; the receiver's must match it once the changes are
        /// applied.
        digest: u64,
    },
    /// Nothing has changed since the sender's previous message.
    Unchanged,
}

/// Input to [`super::Feed::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The membership view, including this node.
    MembersChanged(Vec<PeerLocation>),
    /// The store answered this node with its state at a revision.
    StoreAnswered {
        /// The revision.
        at: StoreRevision,
        /// A time at which that state was the newest; not later than the store's read.
        current_at: Time,
        /// The content.
        content: FeedContent,
    },
    /// The store returned a listing that may be seconds old. It provides initial content and
    /// confirms nothing.
    StaleListing {
        /// The revision of the listing.
        at: StoreRevision,
        /// All objects.
        objects: Vec<u8>,
    },
    /// A peer sent the objects that it last read, without a revision. They are used only while
    /// nothing else is held.
    PeerSnapshot(Vec<u8>),
    /// A watcher that this node follows sent its state.
    SourceAnswered {
        /// The watcher.
        source: NodeId,
        /// The revision of its state.
        at: StoreRevision,
        /// How long ago the store confirmed that state, not counting the transit time of this
        /// message.
        age: Duration,
        /// A time at which that state was the newest, regardless of the transit time; `None` when
        /// unknown.
        current_at: Option<Time>,
        /// The content.
        content: FeedContent,
    },
    /// The link to a watcher was lost.
    SourceLost(NodeId),
    /// The objects do not match the sender's digest after content was applied: changes are missing.
    ContentMismatch,
    /// A node asks to follow this one.
    FollowRequested {
        /// The node.
        follower: FollowerId,
        /// The revision that it holds; `None` when it holds nothing.
        known: Option<StoreRevision>,
    },
    /// A node stopped following this one.
    FollowerLeft(FollowerId),
    /// A follower applied content from this watcher or from another one.
    FollowerAcknowledged {
        /// The follower.
        follower: FollowerId,
        /// The revision that it holds now.
        held: StoreRevision,
    },
    /// A deadline has passed.
    Tick,
}

/// Output of [`super::Feed::handle`], to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start (`true`) or stop reading the store.
    ReadStore(bool),
    /// Ask a watcher to push to this node.
    Follow {
        /// The watcher.
        source: NodeId,
        /// The revision held by this node.
        known: Option<StoreRevision>,
    },
    /// Tell a watcher that this node no longer follows it.
    Unfollow(NodeId),
    /// Apply content: replace all objects, or change some.
    Apply {
        /// The resulting revision; `None` for a peer's snapshot, which has none.
        at: Option<StoreRevision>,
        /// The content to apply.
        content: FeedContent,
        /// The changes were made after this time, at which the previously held content was the
        /// newest. `None` when no such time is known; they may then be of any age.
        since: Option<Time>,
    },
    /// The time given to writers to rewrite what the store lost in a restore is over: the store's
    /// content alone counts from now on.
    RestoreSettled,
    /// The store answered with an older revision than the held one, and its content was ignored.
    /// Reported once until content is applied again.
    OlderContentIgnored {
        /// The revision of the answer.
        at: StoreRevision,
        /// The revision that is held.
        held: StoreRevision,
    },
    /// Push the state of this node to followers. [`FeedContent::Snapshot`] is passed empty and
    /// stands for all held objects; [`FeedContent::ChangesSince`] is passed empty and stands for
    /// the objects changed since its base revision.
    Push {
        /// The receivers.
        followers: Vec<FollowerId>,
        /// The revision of the state.
        at: StoreRevision,
        /// How long ago the store confirmed it.
        age: Duration,
        /// A time at which it was the newest; `None` when unknown.
        current_at: Option<Time>,
        /// The content to send.
        content: FeedContent,
    },
}
