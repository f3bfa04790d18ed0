//! Slots: a limit on concurrently running statements, and the mean time a slot is held.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::Time;

use super::message::RequestId;

/// Weight of the exponential moving average: a new measurement contributes one part in this many.
const MEAN_WEIGHT: u32 = 16;

/// Slots and the requests that hold them.
#[derive(Debug)]
pub(super) struct Slots {
    limit: usize,
    /// Requests that hold a slot, with the time each acquired it.
    holders: BTreeMap<RequestId, Time>,
    /// Moving average of the time a slot is held.
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

    /// Whether a slot is free for new work.
    pub(super) fn is_free(&self) -> bool {
        self.holders.len() < self.limit
    }

    /// Assigns a slot to new work or to the next batch of a transaction. The latter may exceed the limit,
    /// since the statements in the other slots may be waiting for row locks of that transaction.
    pub(super) fn take(&mut self, now: Time, request: RequestId) {
        self.holders.insert(request, now);
    }

    /// Releases a slot and updates the mean time.
    pub(super) fn release(&mut self, now: Time, request: RequestId) {
        if let Some(since) = self.holders.remove(&request) {
            let held = now.since(since);
            self.mean_time = (self.mean_time * (MEAN_WEIGHT - 1) + held) / MEAN_WEIGHT;
        }
    }

    /// Expected time until this many requests have been assigned a slot.
    pub(super) fn expected_wait(&self, requests: usize) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit).unwrap_or(u32::MAX);
        self.mean_time.saturating_mul(requests) / limit
    }
}
