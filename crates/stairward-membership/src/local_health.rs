//! How far a node trusts its own judgement (Lifeguard: Dadgar, Phillips and Currey, 2018).

use stairward_types::Duration;

/// Highest score: times are stretched up to one more than this.
const MAXIMUM_SCORE: u32 = 4;

/// A node that keeps missing answers, while others do not, is probably slow itself. Its score then
/// grows, and with it the time it gives others to answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// A probe was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// No one answered, not even those asked to help; or this node was itself suspected.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAXIMUM_SCORE);
    }

    /// A time stretched by the score.
    pub fn stretch(self, time: Duration) -> Duration {
        time * (self.score + 1)
    }
}
