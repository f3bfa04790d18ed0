//! How many nodes hold connections to a service's back ends, and how many connections each of them may hold.
//!
//! Both follow from what a back end can use, its slots and its zones, as long as its connection limit allows
//! more. The limit only says how many connections a back end can bear; far more holders than its slots can
//! keep busy would waste connections.

/// Smallest useful number of connections to a back end per holder.
const MIN_CONNECTIONS_PER_HOLDER: u32 = 3;
/// Holders needed to keep a slot busy: if the back end is in another region, a connection is in transit for
/// several times as long as its statement occupies a slot.
const HOLDERS_PER_SLOT: u32 = 5;
/// Holders per zone, so that a zone that loses one has another.
const HOLDERS_PER_ZONE: u32 = 2;
/// Number of holder sets that may hold connections at the same time, since nodes with different views select
/// different holders.
const CONCURRENT_VIEWS: u32 = 2;

/// The inputs that determine how many nodes hold connections to a service's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderSizing {
    /// Maximum connections to each back end from all nodes together.
    pub connections: u32,
    /// Number of statements that each back end runs concurrently; none if unknown.
    pub slots: Option<u32>,
    /// Number of zones in which nodes run.
    pub zones: u32,
}

impl HolderSizing {
    /// The maximum number of nodes that hold connections to the service's back ends.
    #[must_use]
    pub fn holder_count(self) -> u32 {
        let allowed = (self.connections.saturating_sub(1) / MIN_CONNECTIONS_PER_HOLDER).max(1);
        let Some(slots) = self.slots else {
            return allowed;
        };
        let used = slots.saturating_mul(HOLDERS_PER_SLOT);
        let placed = self.zones.saturating_mul(HOLDERS_PER_ZONE);
        allowed.min(used.max(placed).max(1))
    }
}

/// How many of a back end's `available` connections each holder may hold if not all nodes are holders. As
/// long as the share stays useful, two disjoint sets of holders stay within `available` together.
#[must_use]
pub fn connections_per_holder(available: u32, holders: u32) -> u32 {
    let holders = holders.max(1);
    let shared = available / holders;
    let shared_by_views = available / holders.saturating_mul(CONCURRENT_VIEWS);
    shared_by_views
        .max(MIN_CONNECTIONS_PER_HOLDER.min(shared))
        .max(1)
}
