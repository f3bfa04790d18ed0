//! The minimum freshness of answers to a session.

use stairward_types::Freshness;

/// The minimum freshness that a back end of the session's group needs to answer the session.
///
/// It covers the session's last acknowledged write (read-your-writes) and everything that the session
/// has read (monotonic reads).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SessionFloor {
    covered: Option<Freshness>,
}

impl SessionFloor {
    /// Creates a floor from a token or from the answer of a majority of the group.
    #[must_use]
    pub const fn starting_at(freshness: Freshness) -> Self {
        Self {
            covered: Some(freshness),
        }
    }

    /// The floor; `None` before the session has read or written anything.
    #[must_use]
    pub const fn get(self) -> Option<Freshness> {
        self.covered
    }

    /// Raises the floor to cover the freshness that a batch read or committed. Returns whether it changed.
    pub fn raise(&mut self, seen: Freshness) -> bool {
        let raised = self.covered.map_or(seen, |covered| covered.join(seen));
        let changed = self.covered != Some(raised);
        self.covered = Some(raised);
        changed
    }

    /// Lowers a floor whose term is beyond the newest term of the group.
    ///
    /// Such a floor dates from before the group was set up again, and would exclude every replica
    /// from the session permanently.
    pub fn clamp(&mut self, newest: Freshness) {
        if let Some(covered) = self.covered
            && covered.term > newest.term
        {
            self.covered = Some(newest);
        }
    }
}
