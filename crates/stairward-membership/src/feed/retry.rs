//! Backoff for reads of a store that does not answer.

use stairward_types::Duration;

/// Delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay of a watcher, on which followers depend.
const MAXIMUM_WATCHER_DELAY: Duration = Duration::from_millis(400);
/// Maximum delay of other nodes. During an outage hundreds of them retry, every call is billed, and
/// their watchers notify them when the store is back. Must be shorter than the smallest `contactMs`
/// of a deployment (4 s) minus the time a configuration may take to arrive.
const MAXIMUM_FOLLOWER_DELAY: Duration = Duration::from_millis(2_000);

/// Retry state of one reader since the store last answered it.
#[derive(Debug, Clone, Default)]
pub struct StoreRetry {
    failures: u32,
}

impl StoreRetry {
    /// Resets the delay after an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed or rejected read and returns the delay before the next one. `jitter`, from
    /// 0 to 1, spreads nodes that failed at the same time.
    pub fn record_failure(&mut self, is_watcher: bool, jitter: f64) -> Duration {
        let maximum = if is_watcher {
            MAXIMUM_WATCHER_DELAY
        } else {
            MAXIMUM_FOLLOWER_DELAY
        };
        let delay = INITIAL_DELAY * 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        // Between 75% and 100% of the delay.
        delay.min(maximum).mul_f64(0.75 + jitter / 4.0)
    }
}
