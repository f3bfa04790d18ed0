//! Tenants in groups that have one coordinator each, so that a node lends to a few others only.

use stairward_types::{NodeId, TenantName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many shards there are. Each costs every node one message a renewal; each coordinator has the tenants of
/// one of them.
pub const SHARDS: u8 = 8;

/// A group of tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u8);

impl Shard {
    /// The shard of a tenant: the same on all nodes.
    #[must_use]
    pub fn of(tenant: &TenantName) -> Self {
        let hash = xxh3_64(tenant.as_str().as_bytes());
        let number = hash % u64::from(SHARDS);
        Self(u8::try_from(number).unwrap_or(0))
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// How high a node ranks as coordinator (rendezvous hashing; Thaler and Ravishankar, 1998).
    pub(crate) fn score(self, node: NodeId) -> u64 {
        xxh3_64_with_seed(&[self.0], node.0)
    }
}
