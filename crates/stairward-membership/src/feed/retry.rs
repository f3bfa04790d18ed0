//! How soon a store that did not answer is tried again.

use stairward_types::Duration;

/// Pause after the first try without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause of a watcher, which others hear from.
const LONGEST_PAUSE_OF_WATCHER: Duration = Duration::from_millis(400);
/// Longest pause of any other node: hundreds of them try a store that is down, each try is priced, and their
/// watchers tell them when it is back. Shorter than the shortest `contactMs` of a deployment (4 s) less the time
/// that a configuration may take there.
const LONGEST_PAUSE_OF_FOLLOWER: Duration = Duration::from_millis(2_000);

/// Tries of one reader since the store last answered it.
#[derive(Debug, Clone, Default)]
pub struct StoreRetry {
    failures: u32,
}

impl StoreRetry {
    /// The store answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The store did not answer, or turned this node away: the pause before the next try. `jitter`, from 0 to 1,
    /// keeps the nodes that failed together apart.
    pub fn record_failure(&mut self, is_watcher: bool, jitter: f64) -> Duration {
        let longest = if is_watcher {
            LONGEST_PAUSE_OF_WATCHER
        } else {
            LONGEST_PAUSE_OF_FOLLOWER
        };
        let doubled = FIRST_PAUSE * 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        // Three quarters to all of it.
        doubled.min(longest).mul_f64(0.75 + jitter / 4.0)
    }
}
