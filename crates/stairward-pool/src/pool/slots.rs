//! Slots: how many statements run at once, and how long they take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use stairward_types::Time;

use super::message::{PoolEffect, RequestId};

/// Each new measurement counts for one part in this many of the mean.
const MEAN_WEIGHT: u32 = 16;

/// Who holds the slots, and who waits for one in the middle of a transaction.
#[derive(Debug)]
pub(super) struct Slots {
    limit: usize,
    /// Holders, with the moment each took its slot.
    holders: BTreeMap<RequestId, Time>,
    /// Transactions waiting with a further batch. They go before new work, since they hold a
    /// connection and perhaps row locks.
    waiting: VecDeque<RequestId>,
    now: Time,
    /// How long a slot is held on average.
    mean_time: Duration,
}

impl Slots {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1) as usize,
            holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            now: Time::ZERO,
            mean_time: Duration::ZERO,
        }
    }

    pub(super) fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1) as usize;
    }

    /// Whether new work may take a slot.
    pub(super) fn is_free(&self) -> bool {
        self.waiting.is_empty() && self.holders.len() < self.limit
    }

    /// Gives a free slot to new work.
    pub(super) fn take(&mut self, now: Time, request: RequestId) {
        self.holders.insert(request, now);
    }

    /// Asks for a slot for a further batch.
    pub(super) fn want(&mut self, now: Time, request: RequestId) {
        self.now = now;
        let has_one = self.holders.contains_key(&request);
        if !has_one && !self.waiting.contains(&request) {
            self.waiting.push_back(request);
        }
    }

    /// Gives free slots to the transactions that wait.
    pub(super) fn grant_waiting(&mut self, effects: &mut Vec<PoolEffect>) {
        while self.holders.len() < self.limit {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            self.holders.insert(request, self.now);
            effects.push(PoolEffect::GrantSlot(request));
        }
    }

    /// Takes a slot back.
    pub(super) fn release(&mut self, now: Time, request: RequestId) {
        self.now = now;
        if let Some(since) = self.holders.remove(&request) {
            let held = now.since(since);
            self.mean_time = (self.mean_time * (MEAN_WEIGHT - 1) + held) / MEAN_WEIGHT;
        }
    }

    /// Drops a transaction's wish for a slot.
    pub(super) fn forget(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// How long it takes until so many requests have got a slot.
    pub(super) fn time_for(&self, requests: usize) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit).unwrap_or(u32::MAX);
        self.mean_time.saturating_mul(requests) / limit
    }
}
