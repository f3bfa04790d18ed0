//! The ownership rule of a running node: rendezvous ranking over the membership view.

use std::sync::Arc;

use stairward_membership::{Candidate, rank_owners};
use stairward_settings::BackendSettings;
use stairward_types::BackendId;

use crate::cluster::{Member, MembershipView, Owners, OwnershipRule};

/// Ranks members by rendezvous hashing, preferring the back end's zone, then its region.
#[must_use]
pub fn rendezvous_rule() -> OwnershipRule {
    Arc::new(rank)
}

fn rank(view: &MembershipView, backend: &BackendId, settings: &BackendSettings) -> Option<Owners> {
    let candidates = view.members.iter().map(candidate);
    let ranking = rank_owners(candidates, backend, &settings.region, &settings.zone)?;
    Some(Owners {
        owner: ranking.owner,
        standby: ranking.standby,
    })
}

fn candidate(member: &Member) -> Candidate<'_> {
    Candidate {
        node: member.node,
        region: &member.region,
        zone: &member.zone,
        leaving: member.leaving,
    }
}
