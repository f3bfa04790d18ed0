//! What goes into a feed's decisions and what comes out.

use stairward_types::{Duration, NodeId, StoreRevision, Time};

use crate::configuration::PeerLocation;

/// A node that follows this one, by the link over which it asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerId(pub u64);

/// What an answer holds beside its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedContent {
    /// All objects.
    Snapshot(Vec<u8>),
    /// What has changed since the answerer's last word.
    Changes(Vec<u8>),
    /// What has changed after a revision that the asker held.
    ChangesSince {
        /// That revision.
        since: StoreRevision,
        /// The changes.
        changes: Vec<u8>,
        /// The digest of all objects as the answerer has them: equal once the changes are taken over.
        digest: u64,
    },
    /// Nothing has changed since the answerer's last word.
    Unchanged,
}

/// Something that has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The membership view; this node is in it.
    MembersChanged(Vec<PeerLocation>),
    /// The store answered this node: its state at a revision.
    StoreAnswered {
        /// The revision.
        at: StoreRevision,
        /// A moment at which that state was the newest: not later than when the store read it.
        current_at: Time,
        /// What came with it.
        content: FeedContent,
    },
    /// The store gave this node a listing that may be seconds old: it serves to begin with, and confirms nothing.
    StaleListing {
        /// The revision of the listing.
        at: StoreRevision,
        /// All objects.
        objects: Vec<u8>,
    },
    /// A peer told what it last read, of which no revision is known: it serves while nothing else is held.
    PeerSnapshot(Vec<u8>),
    /// A watcher that this node follows told of its state.
    SourceAnswered {
        /// The watcher.
        source: NodeId,
        /// The revision of its state.
        at: StoreRevision,
        /// How long ago the store confirmed that state, but for the time that the word was on its way.
        age: Duration,
        /// A moment at which that state was the newest, however long the word was on its way; none where none is known.
        current_at: Option<Time>,
        /// What came with it.
        content: FeedContent,
    },
    /// The link to a watcher has ended.
    SourceLost(NodeId),
    /// What was taken over did not give the objects that its sender has: something is missing here.
    ContentMismatch,
    /// A node wants to follow this one.
    FollowRequested {
        /// The node.
        follower: FollowerId,
        /// The revision that it holds; none where it holds nothing.
        known: Option<StoreRevision>,
    },
    /// A node no longer follows this one.
    FollowerLeft(FollowerId),
    /// A follower has taken something over, from this watcher or from another.
    FollowerAcknowledged {
        /// The follower.
        follower: FollowerId,
        /// The revision that it holds now.
        held: StoreRevision,
    },
    /// A deadline has passed.
    Tick,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Begin to read the store, or end it.
    ReadStore(bool),
    /// Ask a watcher to be followed.
    Follow {
        /// The watcher.
        source: NodeId,
        /// The revision held here.
        known: Option<StoreRevision>,
    },
    /// Tell a watcher that it is no longer followed.
    Unfollow(NodeId),
    /// Take content over: replace all objects, or change some.
    Apply {
        /// The revision that it leads to; none for a peer's document, of which none is known.
        at: Option<StoreRevision>,
        /// What to take over.
        content: FeedContent,
        /// What it changes came about after this moment, at which what was held before was the newest. None where no
        /// such moment is known: it may have come about at any time.
        since: Option<Time>,
    },
    /// The store came back from an older copy a while ago, and whoever wrote what it lost has had the time to write it
    /// again: from now on what it shows is all that counts.
    RestoreSettled,
    /// The store answered with content of a lower revision than what is held, and it is left out. Told once until
    /// content is taken over again.
    OlderContentIgnored {
        /// The revision of the answer.
        at: StoreRevision,
        /// The revision that is held.
        held: StoreRevision,
    },
    /// Tell followers of the state here. [`FeedContent::Snapshot`] comes empty and stands for all objects held;
    /// [`FeedContent::ChangesSince`] comes empty and stands for those changed after its revision.
    Push {
        /// Whom to tell.
        followers: Vec<FollowerId>,
        /// The revision of the state.
        at: StoreRevision,
        /// How long ago the store confirmed it.
        age: Duration,
        /// A moment at which it was the newest; none where none is known.
        current_at: Option<Time>,
        /// What to send along.
        content: FeedContent,
    },
}
