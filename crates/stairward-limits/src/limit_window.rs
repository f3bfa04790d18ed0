//! Limits counted in windows: the rate and burst of a bucket for which no window admits too much.

use std::time::Duration;

use crate::rate_limit::RateLimit;

/// Admitted operations may wait for a connection or pass through another node for up to this long,
/// so those of one window may arrive within a window that is shorter by it.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(300);
/// Fraction of the burst that a bucket holds; the rest of what a window allows goes to the rate. Of
/// the whole burst, a half and none, a half refused the least of the operations below the limit
/// (`fleetbench run`, 72 nodes, quiet-1 and trouble-2: 0.059 and 0.079 of what was owed with the
/// whole, 0.050 and 0.074 with a half).
const BURST_FRACTION: f64 = 0.5;
/// Fraction of the slack that a bucket holds at least, so that small tenants may send several
/// operations at once.
const MIN_SLACK_FRACTION: f64 = 0.25;

/// How a limit is counted: any window may admit (rate x length + burst) x (1 + excess) + slack
/// operations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWindow {
    /// The window's length.
    pub length: Duration,
    /// Tolerance beyond the limit, as a fraction of it.
    pub excess: f64,
    /// Number of operations that may be admitted beyond that.
    pub slack: f64,
}

impl LimitWindow {
    /// The number of operations that a window may admit.
    #[must_use]
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        let counted = limit.per_second() * self.length.as_secs_f64() + limit.burst();
        counted * (1.0 + self.excess) + self.slack
    }

    /// The rate and burst of a bucket that admits no more than a window allows, and as much of that
    /// as possible at a steady rate. `grant_life` is how long after its grant an operation may be
    /// admitted.
    #[must_use]
    pub fn bucket(&self, limit: RateLimit, grant_life: Duration) -> RateLimit {
        if limit.rate_thousandths == 0 && limit.burst_thousandths == 0 {
            return limit;
        }
        let span = (self.length + grant_life + ARRIVAL_SPREAD).as_secs_f64();
        let allowed = self.allowed(limit);
        let wanted = (limit.burst() * BURST_FRACTION).max(self.slack * MIN_SLACK_FRACTION);
        // The rate of the limit takes precedence over the burst.
        let most = (allowed - limit.per_second() * span).max(1.0);
        let burst = wanted.min(most);
        let rate = ((allowed - burst) / span).max(0.0);
        RateLimit::from_operations(rate, burst)
    }
}
