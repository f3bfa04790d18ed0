//! Time for code without access to a clock: always passed in.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

pub use std::time::Duration;

/// A time on the local monotonic clock, in microseconds since an arbitrary start.
///
/// Times of different nodes must not be compared. Send remaining durations between nodes instead.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time elapsed since `earlier`; zero if it is in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time this many milliseconds after the start.
    #[must_use]
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000)
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(microseconds(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(microseconds(duration)))
    }
}
