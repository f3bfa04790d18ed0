//! When to try again: exponential delays with jitter, bounded in number and length.

use std::time::Duration;

/// Gives a number from 0 up to, but not including, 1 at each call. Passed in, so that a seeded one
/// makes the delays repeatable.
pub type JitterSource = Box<dyn Fn() -> f64 + Send + Sync>;

/// How often, and after which delays, a failed request is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Tries in all, the first included.
    pub attempts: u32,
    /// Longest delay before the second try; doubles with each further try.
    pub first_delay: Duration,
    /// No delay is longer than this.
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
    /// The delay after so many failed tries (1 after the first): half of it fixed, half of it scaled
    /// by `jitter`, which lies between 0 and 1.
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

    /// Whether another try is allowed after so many failed ones.
    #[must_use]
    pub const fn allows_another(&self, failed_attempts: u32) -> bool {
        failed_attempts < self.attempts
    }
}
