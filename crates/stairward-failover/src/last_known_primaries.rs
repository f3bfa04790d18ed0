//! The member of each service that last reported the primary role.

use std::collections::BTreeMap;

use stairward_types::{BackendId, BackendRole, ServiceName};

use crate::event::{GroupState, MemberState};

/// Remembers primaries. One that service discovery no longer lists stays known as missing until
/// another member leads.
#[derive(Debug, Default)]
pub struct LastKnownPrimaries {
    last: BTreeMap<ServiceName, (BackendId, MemberState)>,
}

impl LastKnownPrimaries {
    /// Remembers the primaries among the listed members, and adds those that are missing to their
    /// group.
    pub fn add_missing_primaries(&mut self, groups: &mut BTreeMap<ServiceName, GroupState>) {
        for (service, group) in groups {
            let primaries = group
                .members
                .iter()
                .filter(|(_, member)| member.role == BackendRole::Primary);
            if let Some((id, member)) = primaries.max_by_key(|(_, member)| member.revision) {
                self.last
                    .insert(service.clone(), (id.clone(), member.clone()));
                continue;
            }
            let Some((id, member)) = self.last.get(service) else {
                continue;
            };
            if !group.members.contains_key(id) {
                let missing = MemberState {
                    is_listed: false,
                    ..member.clone()
                };
                group.members.insert(id.clone(), missing);
            }
        }
    }
}
