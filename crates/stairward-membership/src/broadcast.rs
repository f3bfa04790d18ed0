//! News waiting to be passed on, each piece a bounded number of times (SWIM, section 4.1).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Pieces of news kept at most; beyond that the one sent most often goes.
const CAPACITY: usize = 4_096;
/// With each so many pieces waiting, each is sent fewer times.
const FLOOD: usize = 512;
/// Each piece is sent at least so often, however many wait.
const MINIMUM_LIMIT: u32 = 3;

/// A piece of news.
pub(crate) trait News: Clone {
    /// What it is about. Newer news of the same replaces older.
    type Key: Ord + Clone;

    /// What it is about.
    fn key(&self) -> Self::Key;

    /// How long it is in a datagram, in bytes.
    fn encoded_length(&self) -> usize;
}

#[derive(Debug, Clone)]
struct Waiting<N> {
    news: N,
    sent: u32,
    number: u64,
}

/// News in the order in which it should be sent: what was sent least often first, then the newest.
#[derive(Debug, Clone)]
pub(crate) struct BroadcastQueue<N: News> {
    waiting: BTreeMap<N::Key, Waiting<N>>,
    order: BTreeSet<(u32, Reverse<u64>, N::Key)>,
    next_number: u64,
}

impl<N: News> Default for BroadcastQueue<N> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            order: BTreeSet::new(),
            next_number: 0,
        }
    }
}

impl<N: News> BroadcastQueue<N> {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds news, in place of older news of the same.
    pub fn push(&mut self, news: N) {
        self.push_as_sent(news, 0);
    }

    /// Adds news, in place of older news of the same, as if it had been sent so often already.
    pub fn push_as_sent(&mut self, news: N, sent: u32) {
        self.remove(&news.key());
        if self.waiting.len() >= CAPACITY {
            self.drop_most_sent();
        }
        self.insert(news, sent);
    }

    /// Takes news for one datagram, as much as fits into `room` bytes, and counts it as sent. What
    /// was sent `limit` times is dropped; in a flood of news the limit is lower.
    pub fn take(&mut self, room: &mut usize, limit: u32) -> Vec<N> {
        let limit = self.limit_in_flood(limit);
        let keys = self.choose(room);
        keys.into_iter()
            .filter_map(|key| self.count_as_sent(&key, limit))
            .collect()
    }

    /// What misses a node in a flood reaches it when views are compared.
    fn limit_in_flood(&self, limit: u32) -> u32 {
        let floods = u32::try_from(self.waiting.len() / FLOOD).unwrap_or(u32::MAX);
        let lowered = limit / floods.saturating_add(1);
        lowered.max(MINIMUM_LIMIT.min(limit))
    }

    fn choose(&self, room: &mut usize) -> Vec<N::Key> {
        let mut keys = Vec::new();
        for (_, _, key) in &self.order {
            let length = self.waiting[key].news.encoded_length();
            if length > *room {
                break;
            }
            *room -= length;
            keys.push(key.clone());
        }
        keys
    }

    fn count_as_sent(&mut self, key: &N::Key, limit: u32) -> Option<N> {
        let Waiting { news, sent, .. } = self.remove(key)?;
        let sent = sent + 1;
        if sent < limit {
            self.insert(news.clone(), sent);
        }
        Some(news)
    }

    fn insert(&mut self, news: N, sent: u32) {
        let key = news.key();
        let number = self.next_number;
        self.next_number += 1;
        self.order.insert((sent, Reverse(number), key.clone()));
        self.waiting.insert(key, Waiting { news, sent, number });
    }

    fn remove(&mut self, key: &N::Key) -> Option<Waiting<N>> {
        let waiting = self.waiting.remove(key)?;
        self.order
            .remove(&(waiting.sent, Reverse(waiting.number), key.clone()));
        Some(waiting)
    }

    fn drop_most_sent(&mut self) {
        if let Some((_, _, key)) = self.order.pop_last() {
            self.waiting.remove(&key);
        }
    }
}
