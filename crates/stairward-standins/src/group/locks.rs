//! Row locks of transactions and advisory locks of sessions.

use std::collections::{BTreeMap, VecDeque};

use crate::ConnectionNumber;
use crate::sql::LockKey;

/// All locks of a member. Their number is bounded by the rows that open transactions have changed.
#[derive(Debug, Default)]
pub struct Locks {
    held: BTreeMap<LockKey, ConnectionNumber>,
    waiting: VecDeque<(ConnectionNumber, ConnectionNumber)>,
    advisory: BTreeMap<AdvisoryKey, AdvisoryLock>,
}

/// The key of an advisory lock: a pair of 32-bit numbers, or one of 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdvisoryKey {
    /// Two numbers.
    Pair(i64, i64),
    /// One number.
    Single(i64),
}

#[derive(Debug)]
struct AdvisoryLock {
    holder: ConnectionNumber,
    count: u64,
}

impl Locks {
    /// Another connection that holds one of the locks.
    #[must_use]
    pub fn conflict(
        &self,
        wanted: &[LockKey],
        connection: ConnectionNumber,
    ) -> Option<ConnectionNumber> {
        let mut holders = wanted.iter().filter_map(|key| self.held.get(key));
        holders.find(|holder| **holder != connection).copied()
    }

    /// Takes locks that nobody else holds.
    pub fn take(&mut self, wanted: Vec<LockKey>, connection: ConnectionNumber) {
        for key in wanted {
            self.held.insert(key, connection);
        }
    }

    /// Frees all row locks of a connection; returns those who waited for it, in order.
    pub fn release(&mut self, connection: ConnectionNumber) -> Vec<ConnectionNumber> {
        self.held.retain(|_, holder| *holder != connection);
        let waited = |(_, holder): &(ConnectionNumber, ConnectionNumber)| *holder == connection;
        let freed = self.waiting.iter().filter(|entry| waited(entry));
        let freed: Vec<ConnectionNumber> = freed.map(|(waiter, _)| *waiter).collect();
        self.waiting.retain(|entry| !waited(entry));
        freed
    }

    /// Notes that a connection waits for another. Returns false when that would be a deadlock.
    pub fn wait(&mut self, waiter: ConnectionNumber, holder: ConnectionNumber) -> bool {
        let mut next = holder;
        for _ in 0..=self.waiting.len() {
            if next == waiter {
                return false;
            }
            let waits_for = self.waiting.iter().find(|(waiter, _)| *waiter == next);
            match waits_for {
                Some((_, holder)) => next = *holder,
                None => break,
            }
        }
        self.waiting.push_back((waiter, holder));
        true
    }

    /// Forgets that a connection waits.
    pub fn stop_waiting(&mut self, connection: ConnectionNumber) {
        self.waiting.retain(|(waiter, _)| *waiter != connection);
    }

    /// Takes an advisory lock unless another session holds it. Returns whether it is held now.
    pub fn try_advisory(&mut self, key: AdvisoryKey, connection: ConnectionNumber) -> bool {
        let lock = self.advisory.entry(key).or_insert(AdvisoryLock {
            holder: connection,
            count: 0,
        });
        if lock.holder != connection {
            return false;
        }
        lock.count += 1;
        true
    }

    /// Gives an advisory lock back once. Returns whether the session held it.
    pub fn unlock_advisory(&mut self, key: AdvisoryKey, connection: ConnectionNumber) -> bool {
        let Some(lock) = self.advisory.get_mut(&key) else {
            return false;
        };
        if lock.holder != connection {
            return false;
        }
        lock.count -= 1;
        if lock.count == 0 {
            self.advisory.remove(&key);
        }
        true
    }

    /// Gives all advisory locks of a session back.
    pub fn unlock_all_advisory(&mut self, connection: ConnectionNumber) {
        self.advisory.retain(|_, lock| lock.holder != connection);
    }
}
