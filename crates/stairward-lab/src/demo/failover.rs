//! The failover gap: how long a group's writes could not complete after its primary was lost.

use std::time::Duration;

use stairward_types::GroupId;

use crate::load::tally::WriteTiming;

/// The loss of a group's primary and the election that followed. Times count from the start of the
/// load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failover {
    /// The group.
    pub group: GroupId,
    /// When the primary was lost.
    pub lost_at: Duration,
    /// When the group elected the next one.
    pub elected_at: Duration,
}

/// Measures from the first write that could not complete, or from the loss if that was due earlier,
/// to the first write that completed on the new primary. None when no write completed after it.
#[must_use]
pub fn failover_gap(failover: &Failover, writes: &[WriteTiming]) -> Option<Duration> {
    let of_group = || {
        writes
            .iter()
            .filter(|write| write.group == failover.group && write.ended > failover.lost_at)
    };
    let recovered = of_group()
        .filter(|write| write.answered && write.ended >= failover.elected_at)
        .map(|write| write.ended)
        .min()?;
    let completed_on_old =
        |write: &&WriteTiming| write.answered && write.ended < failover.elected_at;
    let first_stalled = of_group()
        .filter(|write| !completed_on_old(write))
        .map(|write| write.due)
        .min()?;
    Some(recovered.saturating_sub(first_stalled.max(failover.lost_at)))
}
