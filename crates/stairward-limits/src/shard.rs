//! Groups of tenants with one coordinator each, so that a node lends to only a few others.

use stairward_types::{NodeId, TenantName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of shards. Each costs every node one message per renewal; each coordinator serves the
/// tenants of one of them.
pub const SHARDS: u8 = 8;

/// A group of tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u8);

impl Shard {
    /// The shard of a tenant, which is the same on all nodes.
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

    /// Rank of a node as coordinator (rendezvous hashing; Thaler and Ravishankar, 1998).
    pub(crate) fn score(self, node: NodeId) -> u64 {
        xxh3_64_with_seed(&[self.0], node.0)
    }
}
