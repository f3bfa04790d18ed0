//! Local health score (Lifeguard: Dadgar, Phillips and Currey, 2018).

use stairward_types::Duration;

/// Maximum score. Timeouts are multiplied by the score plus one.
const MAXIMUM_SCORE: u32 = 4;

/// Estimates whether this node itself is slow. A node that repeatedly gets no answers is probably
/// slow; a higher score lengthens its timeouts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records an answered probe.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that neither a probed member nor any helper answered, or that this node was
    /// suspected or paused.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAXIMUM_SCORE);
    }

    /// Multiplies a timeout by the score plus one.
    pub fn scale(self, time: Duration) -> Duration {
        time * (self.score + 1)
    }
}
