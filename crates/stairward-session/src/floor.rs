//! How fresh an answer to a session must be.

use stairward_types::Freshness;

/// The least freshness that a copy needs to answer a session, within the session's group.
///
/// It covers the session's last acknowledged write, and everything it has read so far, so that reads
/// never go back in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SessionFloor {
    covered: Option<Freshness>,
}

impl SessionFloor {
    /// A floor that a token or a majority of the group gave.
    #[must_use]
    pub const fn starting_at(freshness: Freshness) -> Self {
        Self {
            covered: Some(freshness),
        }
    }

    /// The floor itself; `None` when nothing was seen yet.
    #[must_use]
    pub const fn get(self) -> Option<Freshness> {
        self.covered
    }

    /// Raises the floor to cover what a batch read or committed. Returns whether it changed.
    pub fn raise(&mut self, seen: Freshness) -> bool {
        let raised = self.covered.map_or(seen, |covered| covered.join(seen));
        let changed = self.covered != Some(raised);
        self.covered = Some(raised);
        changed
    }

    /// Lowers a floor that lies beyond anything the group has.
    ///
    /// A floor in a term that the group never had comes from a group that was since set up anew. It
    /// would keep every replica away from the session for good.
    pub fn clamp(&mut self, newest: Freshness) {
        if let Some(covered) = self.covered
            && covered.term > newest.term
        {
            self.covered = Some(newest);
        }
    }
}
