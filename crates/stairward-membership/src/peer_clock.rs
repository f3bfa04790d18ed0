//! What a node can say of moments on another node's clock.

use stairward_types::{Duration, Time};

/// After this long a peer is asked again. Steady clocks drift apart by about 0.1 ms a second at the worst, which is
/// 3 ms until then.
const ASKED_AGAIN_AFTER: Duration = Duration::from_secs(30);

/// A bound between this node's steady clock and a peer's, from one question and its answer.
///
/// Whatever held the question or its answer up, moments are placed too early by as much, and never too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// When the peer was asked, on this node's clock.
    asked_at: Time,
    /// When the peer answered, on its own clock.
    answered_at: Time,
}

impl PeerClock {
    /// The bound of a question, sent at `asked_at` on this node's clock, which the peer answered at `answered_at` on its
    /// own.
    #[must_use]
    pub const fn new(asked_at: Time, answered_at: Time) -> Self {
        Self {
            asked_at,
            answered_at,
        }
    }

    /// A moment on this node's clock that is no later than one on the peer's. None where that is before this node's
    /// clock began.
    #[must_use]
    pub fn local_lower_bound(&self, theirs: Time) -> Option<Time> {
        // When the peer answered, it had been asked.
        let shifted = self.asked_at.0.checked_add(theirs.0)?;
        shifted.checked_sub(self.answered_at.0).map(Time)
    }

    /// Whether the peer is to be asked again, since the clocks may have drifted apart.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        now.since(self.asked_at) >= ASKED_AGAIN_AFTER
    }
}
