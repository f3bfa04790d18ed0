//! Where a member stands: what speaks for or against it as leader, besides its log.

use stairward_types::BackendId;

use crate::event::{GroupState, MemberState};

/// A leader moves only where this much more of the service's work is allowed, in percent: a change of a tenant's
/// limit that hardly matters moves nothing.
const MIN_MOVE_GAIN_PERCENT: u64 = 125;

/// A member's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Placement {
    /// Whether its zone is evacuated: it must not lead.
    pub is_evacuated: bool,
    /// Whether it has just started and is slow: it leads only where no other is as fresh.
    pub is_cold: bool,
    /// The weight of the service's work that may be done in its region; the same for all members where regions
    /// don't matter.
    pub allowed_work: u64,
}

impl MemberState {
    /// Whether it may be made leader.
    #[must_use]
    pub const fn may_lead(&self) -> bool {
        self.is_listed && !self.is_leaving && !self.placement.is_evacuated
    }
}

impl GroupState {
    fn successors<'a>(&'a self, leader: &'a BackendId) -> impl Iterator<Item = &'a MemberState> {
        let others = self.members.iter().filter(move |(id, _)| *id != leader);
        others
            .map(|(_, member)| member)
            .filter(|member| member.may_lead())
    }

    /// Whether a member other than the leader may be made leader.
    pub(crate) fn has_successor(&self, leader: &BackendId) -> bool {
        self.successors(leader).next().is_some()
    }

    /// Whether the leader's zone is evacuated while another member may lead.
    pub(crate) fn must_leave_zone(&self, leader: &BackendId) -> bool {
        let is_evacuated = self
            .members
            .get(leader)
            .is_some_and(|member| member.placement.is_evacuated);
        is_evacuated && self.has_successor(leader)
    }

    /// Whether much more of the service's work is allowed where another, warm member stands.
    pub(crate) fn is_misplaced(&self, leader: &BackendId) -> bool {
        let Some(member) = self.members.get(leader).filter(|member| member.is_listed) else {
            return false;
        };
        let allowed = member.placement.allowed_work;
        let successors = self
            .successors(leader)
            .filter(|member| !member.placement.is_cold);
        let best = successors
            .map(|member| member.placement.allowed_work)
            .max()
            .unwrap_or_default();
        best > allowed && best.saturating_mul(100) >= allowed.saturating_mul(MIN_MOVE_GAIN_PERCENT)
    }
}
