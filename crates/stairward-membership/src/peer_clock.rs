//! Conversion of times on a peer's clock to this node's clock.

use stairward_types::{Duration, Time};

/// Age after which the offset is measured again. Monotonic clocks drift apart by at most about
/// 0.1 ms per second, or 3 ms within this interval.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// A bound on the offset between this node's monotonic clock and a peer's, from one request and its
/// answer.
///
/// A delay of the request or the answer makes converted times too early by up to that delay, never
/// too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// When the request was sent, on this node's clock.
    requested_at: Time,
    /// When the peer answered, on its own clock.
    answered_at: Time,
}

impl PeerClock {
    /// Creates the bound from a request sent at `requested_at` on this node's clock and answered at
    /// `answered_at` on the peer's clock.
    #[must_use]
    pub const fn new(requested_at: Time, answered_at: Time) -> Self {
        Self {
            requested_at,
            answered_at,
        }
    }

    /// Returns a time on this node's clock that is no later than `theirs` on the peer's clock;
    /// `None` if it would precede the start of this node's clock.
    #[must_use]
    pub fn local_lower_bound(&self, theirs: Time) -> Option<Time> {
        // The request was sent before the peer answered it.
        let shifted = self.requested_at.0.checked_add(theirs.0)?;
        shifted.checked_sub(self.answered_at.0).map(Time)
    }

    /// Whether the offset should be measured again, since the clocks may have drifted apart.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.requested_at) >= REFRESH_INTERVAL
    }
}
