//! The hold queue: requests that were not sent yet and wait for a primary.
//!
//! It is bounded in number, bytes and time. Requests are released at a bounded rate, so that a new
//! primary does not receive all of them at once.

use std::time::Duration;

use stairward_types::Time;

/// Limits of a [`HoldQueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldLimits {
    /// Maximum number of waiting requests.
    pub requests: usize,
    /// Maximum total size of waiting requests, in bytes.
    pub bytes: usize,
    /// Maximum waiting time of one request.
    pub time: Duration,
    /// Minimum time between two releases.
    pub release_interval: Duration,
}

impl Default for HoldLimits {
    fn default() -> Self {
        Self {
            requests: 1_000,
            bytes: 4 * 1024 * 1024,
            time: Duration::from_secs(10),
            release_interval: Duration::from_micros(500),
        }
    }
}

/// A reserved place in the hold queue, to be returned with [`HoldQueue::leave`].
#[derive(Debug, PartialEq, Eq)]
pub struct HoldTicket {
    bytes: usize,
}

/// Tracks the requests of a database group that wait at this edge.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldQueue {
    requests: usize,
    bytes: usize,
    next_release: Time,
}

impl HoldQueue {
    /// Reserves a place for a request of this size; `None` if the queue is full.
    pub fn enter(&mut self, bytes: usize, limits: &HoldLimits) -> Option<HoldTicket> {
        let fits = self.requests < limits.requests
            && self
                .bytes
                .checked_add(bytes)
                .is_some_and(|total| total <= limits.bytes);
        if !fits {
            return None;
        }
        self.requests += 1;
        self.bytes += bytes;
        Some(HoldTicket { bytes })
    }

    /// Returns a place.
    pub fn leave(&mut self, ticket: HoldTicket) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(ticket.bytes);
    }

    /// The time at which the next waiting request may be sent, once a primary is known.
    pub fn release_time(&mut self, now: Time, limits: &HoldLimits) -> Time {
        let release = self.next_release.max(now);
        self.next_release = release + limits.release_interval;
        release
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}
