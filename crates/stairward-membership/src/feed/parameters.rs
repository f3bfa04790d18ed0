//! Configuration of a feed.

use stairward_types::{Duration, NodeId, RegionName};

/// Minimum number of watchers per region, as far as the region has members.
pub(super) const MINIMUM_WATCHERS: usize = 3;
/// Members of a region per watcher, beyond [`MINIMUM_WATCHERS`].
pub(super) const MEMBERS_PER_WATCHER: usize = 32;
/// Watchers that a node follows; two, so that losing one delays nothing.
pub(super) const SOURCES_PER_NODE: usize = 2;

/// How long a node must rank as a watcher before it reads the store. While hundreds of nodes start,
/// each ranks as a watcher until it learns of the others. Equals two polls of the membership view
/// (500 ms each).
pub(super) const VIEW_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Parameters of one node for one feed.
#[derive(Debug, Clone)]
pub struct FeedParameters {
    /// The number of this node.
    pub node: NodeId,
    /// The region of this node.
    pub region: RegionName,
    /// How long after the last confirmation by a watcher a follower reads the store directly. Must
    /// be longer than a single watch request of a watcher with followers, and shorter than the time
    /// within which a change must take effect.
    pub direct_read_timeout: Duration,
    /// How long a starting node waits for its own stale listing before it follows watchers; it
    /// waits twice as long for its first watcher before it follows the second. With a listing,
    /// watchers need to send only later changes. Without it, 300 nodes that started with 900
    /// objects made each watcher send 5 MB, more than its link carries in 4 s, and the other
    /// members declared it failed.
    pub listing_timeout: Duration,
    /// How long after the store's last answer a watcher starts to follow others. Must be longer
    /// than any single watch request.
    pub store_timeout: Duration,
    /// How long writers get to rewrite what the store lost when it was restored from an older copy.
    pub restore_settle_time: Duration,
}
