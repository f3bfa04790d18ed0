//! The newest term of each group, disseminated like membership updates.

use std::collections::BTreeMap;
use std::sync::Arc;

use stairward_protocol::datagram::SYNC_BUCKETS;
use stairward_types::GroupId;
use xxhash_rust::xxh3::xxh3_64;

use crate::broadcast::{Broadcast, BroadcastQueue};
use crate::packet::{BucketDigests, TermUpdate};
use crate::wire::term_length;

/// Maximum number of groups; terms of further groups are ignored.
const CAPACITY: usize = 16_384;

impl Broadcast for Arc<TermUpdate> {
    type Key = GroupId;

    fn key(&self) -> GroupId {
        self.group.clone()
    }

    fn encoded_length(&self) -> usize {
        term_length(self)
    }
}

/// The newest known terms, with digests for comparison.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    newest: BTreeMap<GroupId, Arc<TermUpdate>>,
    /// Terms to disseminate.
    pub queue: BroadcastQueue<Arc<TermUpdate>>,
    digest: u64,
    buckets: Box<BucketDigests>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            newest: BTreeMap::new(),
            queue: BroadcastQueue::default(),
            digest: 0,
            buckets: Box::new([0; SYNC_BUCKETS]),
        }
    }
}

impl Terms {
    /// Stores a term if it is newer than the known one; returns whether it was.
    pub fn learn(&mut self, update: &Arc<TermUpdate>) -> bool {
        if !self.is_newer(update) {
            return false;
        }
        self.toggle(update);
        if let Some(old) = self.newest.insert(update.group.clone(), Arc::clone(update)) {
            self.toggle(&old);
        }
        true
    }

    /// Whether the term is newer than the known one.
    pub fn is_newer(&self, update: &TermUpdate) -> bool {
        match self.newest.get(&update.group) {
            Some(known) => update.term > known.term,
            None => self.newest.len() < CAPACITY,
        }
    }

    /// Digest of all terms. Equal terms have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digests per bucket.
    pub fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// All terms in the wanted buckets, by bucket.
    pub fn group_by_bucket(&self, wanted: &[usize]) -> BTreeMap<usize, Vec<Arc<TermUpdate>>> {
        let mut groups: BTreeMap<usize, Vec<_>> =
            wanted.iter().map(|bucket| (*bucket, Vec::new())).collect();
        for update in self.newest.values() {
            if let Some(group) = groups.get_mut(&bucket_of(&update.group)) {
                group.push(Arc::clone(update));
            }
        }
        groups
    }

    fn toggle(&mut self, update: &TermUpdate) {
        let hash = update_hash(update);
        self.digest ^= hash;
        self.buckets[bucket_of(&update.group)] ^= (hash >> 32) as u32;
    }
}

fn update_hash(update: &TermUpdate) -> u64 {
    xxh3_64(format!("{} {}", update.group, update.term.0).as_bytes())
}

fn bucket_of(group: &GroupId) -> usize {
    let hash = xxh3_64(group.as_str().as_bytes());
    usize::try_from(hash % SYNC_BUCKETS as u64).unwrap_or_default()
}
