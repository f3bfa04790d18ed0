//! Queue of updates to disseminate, each a bounded number of times (SWIM, section 4.1).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum queue length. Beyond it, the most-transmitted update is dropped.
const CAPACITY: usize = 4_096;
/// The transmission limit is divided by one plus the number of times this length fits into the
/// queue.
const OVERLOAD_THRESHOLD: usize = 512;
/// Minimum number of transmissions of each update, regardless of the queue length.
const MINIMUM_TRANSMISSIONS: u32 = 3;

/// An update to disseminate.
pub(crate) trait Broadcast: Clone {
    /// The subject of the update. A newer update replaces an older one with the same key.
    type Key: Ord + Clone;

    fn key(&self) -> Self::Key;

    /// Encoded length in a datagram, in bytes.
    fn encoded_length(&self) -> usize;
}

#[derive(Debug, Clone)]
struct Queued<N> {
    item: N,
    sent: u32,
    number: u64,
}

/// Updates in sending order: fewest transmissions first, then newest first.
#[derive(Debug, Clone)]
pub(crate) struct BroadcastQueue<N: Broadcast> {
    queued: BTreeMap<N::Key, Queued<N>>,
    order: BTreeSet<(u32, Reverse<u64>, N::Key)>,
    next_number: u64,
}

impl<N: Broadcast> Default for BroadcastQueue<N> {
    fn default() -> Self {
        Self {
            queued: BTreeMap::new(),
            order: BTreeSet::new(),
            next_number: 0,
        }
    }
}

impl<N: Broadcast> BroadcastQueue<N> {
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Adds an update, replacing an older one with the same key.
    pub fn push(&mut self, item: N) {
        self.push_with_count(item, 0);
    }

    /// Adds an update as if it had been sent `sent` times, replacing an older one with the same
    /// key.
    pub fn push_with_count(&mut self, item: N, sent: u32) {
        self.remove(&item.key());
        if self.queued.len() >= CAPACITY {
            self.drop_most_sent();
        }
        self.insert(item, sent);
    }

    /// Takes as many updates as fit into `room` bytes of a datagram and counts their transmission.
    /// Updates sent `limit` times are dropped; the limit is lower while the queue is long.
    pub fn take(&mut self, room: &mut usize, limit: u32) -> Vec<N> {
        let limit = self.limit_under_load(limit);
        let keys = self.choose(room);
        keys.into_iter()
            .filter_map(|key| self.count_as_sent(&key, limit))
            .collect()
    }

    /// Lowers the limit while the queue is long. Nodes that miss an update receive it when views
    /// are compared.
    fn limit_under_load(&self, limit: u32) -> u32 {
        let overload = u32::try_from(self.queued.len() / OVERLOAD_THRESHOLD).unwrap_or(u32::MAX);
        let lowered = limit / overload.saturating_add(1);
        lowered.max(MINIMUM_TRANSMISSIONS.min(limit))
    }

    fn choose(&self, room: &mut usize) -> Vec<N::Key> {
        let mut keys = Vec::new();
        for (_, _, key) in &self.order {
            let length = self.queued[key].item.encoded_length();
            if length > *room {
                break;
            }
            *room -= length;
            keys.push(key.clone());
        }
        keys
    }

    fn count_as_sent(&mut self, key: &N::Key, limit: u32) -> Option<N> {
        let Queued { item, sent, .. } = self.remove(key)?;
        let sent = sent + 1;
        if sent < limit {
            self.insert(item.clone(), sent);
        }
        Some(item)
    }

    fn insert(&mut self, item: N, sent: u32) {
        let key = item.key();
        let number = self.next_number;
        self.next_number += 1;
        self.order.insert((sent, Reverse(number), key.clone()));
        self.queued.insert(key, Queued { item, sent, number });
    }

    fn remove(&mut self, key: &N::Key) -> Option<Queued<N>> {
        let queued = self.queued.remove(key)?;
        self.order
            .remove(&(queued.sent, Reverse(queued.number), key.clone()));
        Some(queued)
    }

    fn drop_most_sent(&mut self) {
        if let Some((_, _, key)) = self.order.pop_last() {
            self.queued.remove(&key);
        }
    }
}
