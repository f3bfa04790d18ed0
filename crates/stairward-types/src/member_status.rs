//! Status that a member of a database group reports.

use crate::{BackendRole, Freshness, Term};

/// Status that a member of a database group reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its role.
    pub role: BackendRole,
    /// The newest term that it knows.
    pub term: Term,
    /// Received log position, with the term of the last entry.
    pub received: Freshness,
    /// The member is on hold and receives no log of terms below this one; 0 if it is not on hold.
    pub held: Term,
}

impl MemberStatus {
    /// The newest term that it follows or awaits.
    #[must_use]
    pub fn awaited_term(&self) -> Term {
        self.term.max(self.received.term).max(self.held)
    }
}
