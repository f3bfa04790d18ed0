//! The hold queue: requests not yet sent that wait for a primary.
//!
//! Bounded in number, bytes and time; released one after another at a bounded rate, so that a new
//! primary isn't met by everything at once.

use std::time::Duration;

use stairward_types::Time;

/// Bounds of a [`HoldQueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldLimits {
    /// Requests that may wait.
    pub requests: usize,
    /// Bytes of requests that may wait.
    pub bytes: usize,
    /// How long one request may wait.
    pub time: Duration,
    /// Least time between two releases.
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

/// A place in the hold queue; give it back with [`HoldQueue::leave`].
#[derive(Debug, PartialEq, Eq)]
pub struct HoldTicket {
    bytes: usize,
}

/// Counts the requests of a group that wait at this edge.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldQueue {
    requests: usize,
    bytes: usize,
    next_release: Time,
}

impl HoldQueue {
    /// Takes a place for a request of so many bytes; `None` when the queue is full.
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

    /// Gives a place back.
    pub fn leave(&mut self, ticket: HoldTicket) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(ticket.bytes);
    }

    /// The moment at which the next waiting request may be sent, now that a primary is known.
    pub fn release_time(&mut self, now: Time, limits: &HoldLimits) -> Time {
        let release = self.next_release.max(now);
        self.next_release = release + limits.release_interval;
        release
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}
