//! All known members, with digests for comparing views.

use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;
use std::net::SocketAddr;

use stairward_protocol::datagram::SYNC_BUCKETS;
use stairward_types::{Duration, NodeId, Time};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use crate::member::{Record, Status};
use crate::packet::BucketDigests;

/// Maximum number of failed and left members; beyond it, the oldest are removed.
const MAXIMUM_DEAD_MEMBERS: usize = 4_096;
const BUCKET_SEED: u64 = 0x6275_636b_6574;

/// Used for lookups only. The iteration order is not deterministic and must not affect behaviour.
type AddressIndex = HashMap<SocketAddr, NodeId, BuildHasherDefault<Xxh3Default>>;

/// All known members, including this node.
#[derive(Debug, Clone)]
pub(crate) struct MemberTable {
    records: BTreeMap<NodeId, Record>,
    /// Live members by address.
    addresses: AddressIndex,
    live: usize,
    digest: u64,
    buckets: Box<BucketDigests>,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            addresses: AddressIndex::default(),
            live: 0,
            digest: 0,
            buckets: Box::new([0; SYNC_BUCKETS]),
        }
    }
}

impl MemberTable {
    pub fn get(&self, node: NodeId) -> Option<&Record> {
        self.records.get(&node)
    }

    pub fn live(&self, node: NodeId) -> Option<&Record> {
        self.get(node).filter(|record| record.status.is_live())
    }

    pub fn live_at(&self, address: SocketAddr) -> Option<&Record> {
        self.live(*self.addresses.get(&address)?)
    }

    /// Number of live members.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// All records, ordered by node number.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Digest of the live members. Equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digests per bucket.
    pub fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// All records in the wanted buckets, by bucket.
    pub fn group_by_bucket(&self, wanted: &[usize]) -> BTreeMap<usize, Vec<&Record>> {
        let mut groups: BTreeMap<usize, Vec<&Record>> =
            wanted.iter().map(|bucket| (*bucket, Vec::new())).collect();
        for record in self.records.values() {
            if let Some(group) = groups.get_mut(&bucket_of(record.profile.node)) {
                group.push(record);
            }
        }
        groups
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, record: Record) {
        let node = record.profile.node;
        if let Some(old) = self.records.remove(&node) {
            self.remove_from_index(&old);
        }
        if record.status.is_live() {
            self.live += 1;
            self.toggle(&record);
            self.addresses.insert(record.profile.address, node);
        }
        self.records.insert(node, record);
    }

    fn remove_from_index(&mut self, old: &Record) {
        if !old.status.is_live() {
            return;
        }
        self.live -= 1;
        self.toggle(old);
        if self.addresses.get(&old.profile.address) == Some(&old.profile.node) {
            self.addresses.remove(&old.profile.address);
        }
    }

    /// Removes failed and left members after their retention time.
    pub fn remove_expired(
        &mut self,
        now: Time,
        failed_retention: Duration,
        left_retention: Duration,
    ) {
        self.records.retain(|_, record| {
            let retention = match record.status {
                Status::Failed => failed_retention,
                Status::Left => left_retention,
                Status::Alive | Status::Suspect => Duration::MAX,
            };
            now.since(record.since) <= retention
        });
        while self.records.len() - self.live > MAXIMUM_DEAD_MEMBERS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .records
            .values()
            .filter(|record| !record.status.is_live())
            .min_by_key(|record| (record.since, record.profile.node))
            .map(|record| record.profile.node);
        if let Some(node) = oldest {
            self.records.remove(&node);
        }
    }

    /// Adds a record to the digests or removes it; XOR is its own inverse.
    fn toggle(&mut self, record: &Record) {
        let hash = record_hash(record);
        self.digest ^= hash;
        self.buckets[bucket_of(record.profile.node)] ^= truncate(hash);
    }
}

fn truncate(hash: u64) -> u32 {
    (hash >> 32) as u32
}

fn record_hash(record: &Record) -> u64 {
    let mut bytes = [0; 21];
    bytes[..8].copy_from_slice(&record.profile.node.0.to_be_bytes());
    bytes[8..16].copy_from_slice(&record.version.incarnation.0.to_be_bytes());
    bytes[16..20].copy_from_slice(&record.version.refutation.to_be_bytes());
    bytes[20] = u8::from(record.profile.leaving);
    xxh3_64(&bytes)
}

/// The bucket of a member.
pub(crate) fn bucket_of(node: NodeId) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&node.0.to_be_bytes(), BUCKET_SEED);
    usize::try_from(hash % SYNC_BUCKETS as u64).unwrap_or_default()
}
