//! Reasons to replace a primary, and when they apply.

use stairward_types::{BackendId, ServiceName, Time};

use super::FailoverController;
use crate::event::GroupState;

/// Reason to replace a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    Refused,
    Silent,
    LostLog,
    Leaving,
    Evacuated,
    Missing,
    Leaderless,
    Held,
    Misplaced,
}

impl Trigger {
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Refused => "nothing listens at the primary's address",
            Self::Silent => "enough nodes get no response from the primary",
            Self::LostLog => "the primary lacks commits that it had acknowledged",
            Self::Leaving => "the primary is leaving",
            Self::Evacuated => "the primary's zone is being evacuated",
            Self::Missing => "discovery no longer lists the primary",
            Self::Leaderless => "no member reports the primary role",
            Self::Held => "replicas are on hold for a later term that does not start",
            Self::Misplaced => "more of the work is allowed in another region",
        }
    }

    pub(super) const fn is_planned(self) -> bool {
        match self {
            Self::Leaving | Self::Evacuated | Self::Missing | Self::Held | Self::Misplaced => true,
            Self::Refused | Self::Silent | Self::LostLog | Self::Leaderless => false,
        }
    }
}

/// Whether the leader of a group, which may be healthy, must be replaced as planned.
pub(super) fn must_move_leader(group: &GroupState, leader: &BackendId) -> bool {
    let member = group.members.get(leader);
    let is_leaving = member.is_some_and(|member| member.is_leaving && member.is_listed);
    is_leaving || group.must_leave_zone(leader) || group.is_misplaced(leader)
}

/// Maximum number of nodes that must find a primary silent, however large the fleet is.
const MAX_SUSPICION_QUORUM: u32 = 3;
/// Minimum number of listed entries for the loss of half of them to count as a mass expiry: the
/// size of one database group.
const MIN_MASS_EXPIRY: usize = 3;

impl FailoverController {
    /// Detects that many entries expired together: then the store was unavailable, and their
    /// members most likely are not.
    pub(super) fn detect_mass_expiry(&mut self, now: Time, listed_before: usize) {
        if listed_before >= MIN_MASS_EXPIRY && self.listed_members * 2 <= listed_before {
            self.mass_expiry_at = Some(now);
        }
    }

    pub(super) fn record_revocation(&mut self, now: Time, service: ServiceName, is_revoked: bool) {
        if is_revoked {
            self.revoked_since.entry(service).or_insert(now);
        } else {
            self.revoked_since.remove(&service);
        }
    }

    pub(super) fn trigger(&self, now: Time, service: &ServiceName) -> Option<Trigger> {
        let group = self.groups.get(service)?;
        let missing_since = self.missing_since.get(service);
        let grace_is_over = self
            .mass_expiry_at
            .is_none_or(|at| now >= at + self.options.mass_expiry_grace);
        let is_missing_too_long = grace_is_over
            && missing_since
                .is_some_and(|since| now >= *since + self.options.missing_primary_delay);
        let Some(leader) = Self::announced_leader(group) else {
            return is_missing_too_long.then_some(Trigger::Leaderless);
        };
        let member = group.members.get(leader)?;
        if self.evidence.is_refused(leader) {
            return Some(Trigger::Refused);
        }
        if self.evidence.suspect_count(now, leader) >= self.suspicion_quorum() {
            return Some(Trigger::Silent);
        }
        if self.evidence.has_lost_log(leader) {
            return Some(Trigger::LostLog);
        }
        if member.is_leaving && member.is_listed {
            return Some(Trigger::Leaving);
        }
        if group.must_leave_zone(leader) {
            return Some(Trigger::Evacuated);
        }
        if is_missing_too_long {
            return Some(Trigger::Missing);
        }
        let revoked_since = self.revoked_since.get(service);
        let is_held_too_long =
            revoked_since.is_some_and(|since| now >= *since + self.options.missing_primary_delay);
        if is_held_too_long {
            return Some(Trigger::Held);
        }
        group.is_misplaced(leader).then_some(Trigger::Misplaced)
    }

    pub(super) fn suspicion_quorum(&self) -> usize {
        if self.node_count == 1 {
            return 1;
        }
        let share = (self.node_count * self.options.suspicion_percent).div_ceil(100);
        usize::try_from(share.clamp(2, MAX_SUSPICION_QUORUM)).unwrap_or(2)
    }

    pub(super) fn track_missing_primary(&mut self, now: Time, service: &ServiceName) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let has_replica = group.members.values().any(|member| member.is_listed);
        let leader = Self::announced_leader(group).and_then(|id| group.members.get(id));
        let is_missing = has_replica && !leader.is_some_and(|leader| leader.is_listed);
        if is_missing {
            self.missing_since.entry(service.clone()).or_insert(now);
        } else {
            self.missing_since.remove(service);
        }
    }
}
