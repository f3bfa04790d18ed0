//! How many nodes hold connections to a service's back ends, and how many connections each of them may hold.
//!
//! Both follow from what a back end can use, its slots and its zones, as long as its limit of connections allows more:
//! a limit says what a back end bears, and many more holders than its slots can occupy only cost connections.

/// The smallest number of connections to a back end that a node may usefully hold.
const MIN_CONNECTIONS_PER_HOLDER: u32 = 3;
/// Holders that keep a slot occupied: a connection is on its way for several times as long as its statement takes a
/// slot, where its back end is in another region.
const HOLDERS_PER_SLOT: u32 = 5;
/// Holders in each zone, so that a lost one leaves its zone another.
const HOLDERS_PER_ZONE: u32 = 2;
/// Sets of holders that may hold connections at once, since nodes with different views name different ones.
const CONCURRENT_VIEWS: u32 = 2;

/// What decides how many nodes hold connections to the back ends of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderSizing {
    /// Connections that each back end takes from all nodes together.
    pub connections: u32,
    /// Statements that each back end runs at once; none where that is not known.
    pub slots: Option<u32>,
    /// Zones that nodes run in.
    pub zones: u32,
}

impl HolderSizing {
    /// How many nodes hold connections to the service's back ends at most.
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

/// How many of a back end's `available` connections each of its holders may hold, where not all nodes are among them.
/// Where it leaves a useful share, two sets of holders without a common node hold no more than `available` together.
#[must_use]
pub fn connections_per_holder(available: u32, holders: u32) -> u32 {
    let holders = holders.max(1);
    let shared = available / holders;
    let shared_by_views = available / holders.saturating_mul(CONCURRENT_VIEWS);
    shared_by_views
        .max(MIN_CONNECTIONS_PER_HOLDER.min(shared))
        .max(1)
}
