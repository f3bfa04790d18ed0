//! What a member of a database group says of itself when it is asked.

use crate::{BackendRole, Freshness, Term};

/// What a member of a database group says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its role.
    pub role: BackendRole,
    /// The newest term that it knows.
    pub term: Term,
    /// How much of the log it has received, with the term of the last entry.
    pub received: Freshness,
    /// Below which term it was told not to receive; 0 where it receives.
    pub held: Term,
}

impl MemberStatus {
    /// The newest term that it follows or waits for.
    #[must_use]
    pub fn awaited_term(&self) -> Term {
        self.term.max(self.received.term).max(self.held)
    }
}
