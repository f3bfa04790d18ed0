//! The operations of a tenant that a node may admit, and an estimate of its demand.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_types::Time;

/// Time constant of the average demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// How much expected demand is requested in advance: the time of two round trips to another region.
const PREFETCH_TIME: Duration = Duration::from_millis(250);
/// Maximum number of operations requested in advance.
const MAX_PREFETCH: f64 = 200.0;

/// State of one tenant at one node.
#[derive(Debug, Default)]
pub(crate) struct Allowance {
    /// Granted operations with their expiry, oldest first.
    granted: VecDeque<(Time, u32)>,
    /// Waiting operations.
    pub waiting: u32,
    /// Until then nothing is requested, and new operations are denied: the coordinator had no room.
    pub denied_until: Time,
    /// Until then nothing is requested, and new operations wait.
    pub requests_paused_until: Time,
    /// When there is expected to be room for the next operation that is denied.
    next_slot: Time,
    spacing: Duration,
    demand: f64,
    demand_at: Time,
}

impl Allowance {
    /// Counts a new operation in the demand.
    pub fn record_demand(&mut self, now: Time) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    fn demand_now(&self, now: Time) -> f64 {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Whether more may be requested from the coordinator.
    pub fn may_request(&self, now: Time) -> bool {
        now >= self.denied_until && now >= self.requests_paused_until
    }

    /// Uses one granted operation; returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.drop_expired(now);
        let Some((_, count)) = self.granted.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.granted.pop_front();
        }
        true
    }

    fn drop_expired(&mut self, now: Time) {
        while self.granted.front().is_some_and(|(end, _)| *end <= now) {
            self.granted.pop_front();
        }
    }

    /// The number of operations that may be admitted now.
    pub fn available(&mut self, now: Time) -> u32 {
        self.drop_expired(now);
        self.granted.iter().map(|(_, count)| *count).sum()
    }

    /// The number of waiting operations without a grant. A grant that has arrived is used for a
    /// waiting operation only after its message was applied; requesting that operation again would
    /// waste what is granted for it.
    pub fn unmet(&mut self, now: Time) -> u32 {
        self.waiting.saturating_sub(self.available(now))
    }

    /// Whether more operations wait than are granted, including grants that may have expired: those
    /// are dropped with the next renewal.
    pub fn lacks_grants(&self) -> bool {
        let granted: u32 = self.granted.iter().map(|(_, count)| *count).sum();
        self.waiting > granted
    }

    /// Adds a grant.
    pub fn grant(&mut self, until: Time, count: u32) {
        if count > 0 {
            self.granted.push_back((until, count));
        }
    }

    /// The number of operations to request in advance.
    pub fn prefetch(&mut self, now: Time) -> u32 {
        let rate = self.demand_now(now) / DEMAND_WINDOW.as_secs_f64();
        let expected = (rate * PREFETCH_TIME.as_secs_f64())
            .floor()
            .min(MAX_PREFETCH);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and MOST_AHEAD"
        )]
        let expected = expected as u32;
        expected.saturating_sub(self.available(now))
    }

    /// Whether the remaining grants are so few that more should be requested in advance.
    pub fn runs_low(&mut self, now: Time) -> bool {
        let prefetch = self.prefetch(now);
        prefetch > self.available(now)
    }

    /// Denies operations until a given time, after a coordinator had no room for some that wait.
    pub fn deny_until(&mut self, now: Time, until: Time, first: Duration, spacing: Duration) {
        self.denied_until = until;
        self.next_slot = now + first;
        self.spacing = spacing;
    }

    /// When an operation that is denied now should be retried: each one later than the one before.
    pub fn next_retry(&mut self, now: Time) -> Duration {
        let room = self.next_slot.max(now + self.spacing);
        self.next_slot = room + self.spacing;
        room.since(now)
    }

    /// Whether the state equals that of a new tenant, so that it can be dropped.
    pub fn is_idle(&mut self, now: Time) -> bool {
        self.waiting == 0 && self.available(now) == 0 && self.demand_now(now) < 0.01
    }
}
