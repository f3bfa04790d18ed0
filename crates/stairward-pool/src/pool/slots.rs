//! Slots: how many statements run at once before new work waits, and how long they take.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::Time;

use super::message::RequestId;

/// Each new measurement counts for one part in this many of the mean.
const MEAN_WEIGHT: u32 = 16;

/// Who holds the slots.
#[derive(Debug)]
pub(super) struct Slots {
    limit: usize,
    /// Holders, with the moment each took its slot.
    holders: BTreeMap<RequestId, Time>,
    /// How long a slot is held on average.
    mean_time: Duration,
}

impl Slots {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1) as usize,
            holders: BTreeMap::new(),
            mean_time: Duration::ZERO,
        }
    }

    pub(super) fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1) as usize;
    }

    /// Whether new work may take a slot.
    pub(super) fn is_free(&self) -> bool {
        self.holders.len() < self.limit
    }

    /// Gives a slot to new work, or to the next batch of a transaction, which may pass the limit: the
    /// statements that hold the other slots may wait for row locks of that very transaction.
    pub(super) fn take(&mut self, now: Time, request: RequestId) {
        self.holders.insert(request, now);
    }

    /// Takes a slot back.
    pub(super) fn release(&mut self, now: Time, request: RequestId) {
        if let Some(since) = self.holders.remove(&request) {
            let held = now.since(since);
            self.mean_time = (self.mean_time * (MEAN_WEIGHT - 1) + held) / MEAN_WEIGHT;
        }
    }

    /// How long it takes until so many requests have got a slot.
    pub(super) fn time_for(&self, requests: usize) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit).unwrap_or(u32::MAX);
        self.mean_time.saturating_mul(requests) / limit
    }
}
