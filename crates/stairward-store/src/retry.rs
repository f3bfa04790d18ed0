//! Retry policy: exponential backoff with jitter, bounded in number and length.

use std::time::Duration;

/// Returns a random number of the interval [0, 1) on each call. Passed in, so that delays are
/// repeatable with a seeded generator.
pub type JitterSource = Box<dyn Fn() -> f64 + Send + Sync>;

/// How often, and after which delays, a failed request is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub attempts: u32,
    /// Maximum delay before the second attempt; doubles with each further attempt.
    pub first_delay: Duration,
    /// Upper bound on every delay.
    pub longest_delay: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts: 4,
            first_delay: Duration::from_millis(50),
            longest_delay: Duration::from_secs(2),
        }
    }
}

impl RetryPolicy {
    /// The delay after a number of failed attempts (1 after the first). Half of it is fixed, and half is
    /// scaled by `jitter`, which lies between 0 and 1.
    #[must_use]
    pub fn delay(&self, failed_attempts: u32, jitter: f64) -> Duration {
        let doublings = failed_attempts.saturating_sub(1).min(u32::BITS - 1);
        let longest = self
            .first_delay
            .saturating_mul(1 << doublings)
            .min(self.longest_delay);
        let half = longest / 2;
        half + half.mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Whether another attempt is allowed after a number of failed ones.
    #[must_use]
    pub const fn allows_another(&self, failed_attempts: u32) -> bool {
        failed_attempts < self.attempts
    }
}
