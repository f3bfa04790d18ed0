//! Where a member runs: criteria besides its log for choosing a leader.

use stairward_types::BackendId;

use crate::event::{GroupState, MemberState};

/// A leader moves only if the new region is allowed at least this percentage of the work allowed in
/// the present one, so that a minor change of a tenant's limit moves nothing.
const MIN_MOVE_GAIN_PERCENT: u64 = 125;

/// Criteria for a member that follow from where it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Placement {
    /// Whether its zone is being evacuated; if so, it must not lead.
    pub is_evacuated: bool,
    /// Whether it has recently started and is still slow; if so, it leads only if no other member
    /// is as fresh.
    pub is_cold: bool,
    /// Weight of the service's work that is allowed in its region; equal for all members if regions
    /// don't matter.
    pub allowed_work: u64,
}

impl MemberState {
    /// Whether it may be promoted.
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

    /// Whether a member other than the leader may be promoted.
    pub(crate) fn has_successor(&self, leader: &BackendId) -> bool {
        self.successors(leader).next().is_some()
    }

    /// Whether the leader's zone is being evacuated and another member may be promoted.
    pub(crate) fn must_leave_zone(&self, leader: &BackendId) -> bool {
        let is_evacuated = self
            .members
            .get(leader)
            .is_some_and(|member| member.placement.is_evacuated);
        is_evacuated && self.has_successor(leader)
    }

    /// Whether much more of the service's work is allowed in the region of another member that is
    /// warm and may be promoted.
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
