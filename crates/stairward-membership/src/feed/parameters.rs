//! What a feed is set up with.

use stairward_types::{Duration, NodeId, RegionName};

/// Watchers that each region has at the least, as far as it has members.
pub(super) const FEWEST_WATCHERS: usize = 3;
/// Members of a region for each of its watchers, beyond [`FEWEST_WATCHERS`].
pub(super) const MEMBERS_PER_WATCHER: usize = 32;
/// Watchers that a node follows, so that the loss of one delays nothing.
pub(super) const SOURCES: usize = 2;

/// How long a node must rank as a watcher before it reads the store: while hundreds of nodes start, each ranks as
/// one until it has heard of the others. Two looks at the membership view (500 ms each).
pub(super) const VIEW_SETTLES: Duration = Duration::from_millis(1_000);

/// How one node follows one feed.
#[derive(Debug, Clone)]
pub struct FeedParameters {
    /// The node's own number.
    pub node: NodeId,
    /// The node's own region.
    pub region: RegionName,
    /// How long after the last word of its watchers a follower reads the store itself. It must be longer than a
    /// watch of a watcher with followers lasts, and shorter than a change may take to be in force.
    pub direct_read_timeout: Duration,
    /// How long a node that starts waits for its own stale listing before it follows others, and for the first watcher
    /// before it follows the second: they need to send only what has changed since. Without it 300
    /// nodes that started beside 900 objects had each watcher send 5 MB, more than its link carries in 4 s, and the others declared it failed.
    pub listing_timeout: Duration,
    /// How long after the store's last answer a watcher follows others. It must be longer than any watch lasts.
    pub store_timeout: Duration,
    /// How long whoever wrote what the store lost, when it came back from an older copy, is given to write it again.
    pub restore_settle_time: Duration,
}
