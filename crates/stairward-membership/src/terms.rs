//! The newest term of each group, spread by the same means as news of members.

use std::collections::BTreeMap;
use std::sync::Arc;

use stairward_protocol::datagram::SYNC_BUCKETS;
use stairward_types::GroupId;
use xxhash_rust::xxh3::xxh3_64;

use crate::broadcast::{BroadcastQueue, News};
use crate::packet::{BucketDigests, TermUpdate};
use crate::wire::term_length;

/// Groups whose terms are kept at most; news of further groups is not taken.
const CAPACITY: usize = 16_384;

impl News for Arc<TermUpdate> {
    type Key = GroupId;

    fn key(&self) -> GroupId {
        self.group.clone()
    }

    fn encoded_length(&self) -> usize {
        term_length(self)
    }
}

/// The newest terms known, with digests to compare them by.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    newest: BTreeMap<GroupId, Arc<TermUpdate>>,
    /// What is still to be passed on.
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
    /// Takes news if its term is newer than the one known; says whether it was.
    pub fn learn(&mut self, news: &Arc<TermUpdate>) -> bool {
        if !self.is_newer(news) {
            return false;
        }
        self.toggle(news);
        if let Some(old) = self.newest.insert(news.group.clone(), Arc::clone(news)) {
            self.toggle(&old);
        }
        true
    }

    /// Whether news would change what is known.
    pub fn is_newer(&self, news: &TermUpdate) -> bool {
        match self.newest.get(&news.group) {
            Some(known) => news.term > known.term,
            None => self.newest.len() < CAPACITY,
        }
    }

    /// Digest of all terms. Equal terms have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The same by bucket.
    pub fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    /// Every term of the wanted buckets, by bucket.
    pub fn group_by_bucket(&self, wanted: &[usize]) -> BTreeMap<usize, Vec<Arc<TermUpdate>>> {
        let mut groups: BTreeMap<usize, Vec<_>> =
            wanted.iter().map(|bucket| (*bucket, Vec::new())).collect();
        for news in self.newest.values() {
            if let Some(group) = groups.get_mut(&bucket_of(&news.group)) {
                group.push(Arc::clone(news));
            }
        }
        groups
    }

    fn toggle(&mut self, news: &TermUpdate) {
        let hash = news_hash(news);
        self.digest ^= hash;
        self.buckets[bucket_of(&news.group)] ^= (hash >> 32) as u32;
    }
}

fn news_hash(news: &TermUpdate) -> u64 {
    xxh3_64(format!("{} {}", news.group, news.term.0).as_bytes())
}

fn bucket_of(group: &GroupId) -> usize {
    let hash = xxh3_64(group.as_str().as_bytes());
    usize::try_from(hash % SYNC_BUCKETS as u64).unwrap_or_default()
}
