//! Limits that are counted in windows: what a bucket may hold and receive so that no window admits too much.

use std::time::Duration;

use crate::rate_limit::RateLimit;

/// Operations that were admitted wait for a connection, or pass through another node, for up to so long: those of a
/// window may arrive in one that is shorter by this.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(300);
/// The part of the burst that a bucket holds. The rest of what a window allows goes to the rate. Of a whole, a half and
/// none beside the rate, a half refused least of what lay below the limit (`fleetbench run`, 72 nodes, quiet-1 and
/// trouble-2: 0.059 and 0.079 of what was owed with the whole, 0.050 and 0.074 with a half).
const HELD_BURST: f64 = 0.5;
/// A bucket holds this part of the slack at the least, so that small tenants may send some at once.
const HELD_SLACK: f64 = 0.25;

/// How a limit is counted: in any window, (rate x length + burst) x (1 + excess) + slack operations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWindow {
    /// The window's length.
    pub length: Duration,
    /// What may be admitted beyond the limit, as a part of it.
    pub excess: f64,
    /// Operations that may be admitted beyond that.
    pub slack: f64,
}

impl LimitWindow {
    /// The operations that a window may admit.
    #[must_use]
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        let counted = limit.per_second() * self.length.as_secs_f64() + limit.burst();
        counted * (1.0 + self.excess) + self.slack
    }

    /// The rate and the burst of a bucket that admits no more than a window allows, as much of it as can be had
    /// steadily. `grant_life` is how long after its grant an operation may be admitted.
    #[must_use]
    pub fn bucket(&self, limit: RateLimit, grant_life: Duration) -> RateLimit {
        if limit.rate_thousandths == 0 && limit.burst_thousandths == 0 {
            return limit;
        }
        let span = (self.length + grant_life + ARRIVAL_SPREAD).as_secs_f64();
        let allowed = self.allowed(limit);
        let wanted = (limit.burst() * HELD_BURST).max(self.slack * HELD_SLACK);
        // The rate that was sold comes first.
        let most = (allowed - limit.per_second() * span).max(1.0);
        let burst = wanted.min(most);
        let rate = ((allowed - burst) / span).max(0.0);
        RateLimit::from_operations(rate, burst)
    }
}
