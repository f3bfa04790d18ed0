//! Members that service discovery no longer lists.
//!
//! Such a member may be running and cut off, or may be back soon, and may be the only one that holds
//! commits that were acknowledged because it had received them. The log of one that has left as
//! planned passes to its successor.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{BackendId, ServiceName, Time};

use crate::event::GroupState;

/// How long a member that is no longer listed counts. While the primary goes on, the other replicas
/// receive within this time all that the member had received.
const RETENTION: Duration = Duration::from_secs(60);

/// The former members of one service.
#[derive(Debug, Default)]
struct FormerGroup {
    /// When each of them was missed.
    missed_at: BTreeMap<BackendId, Time>,
    /// The number of members before any of them was missed.
    size: usize,
}

/// The former members of all services.
#[derive(Debug, Default)]
pub(crate) struct FormerMembers {
    groups: BTreeMap<ServiceName, FormerGroup>,
}

impl FormerMembers {
    /// Notes a change of a service's members.
    pub fn update(
        &mut self,
        now: Time,
        service: &ServiceName,
        before: &GroupState,
        after: &GroupState,
    ) {
        let former = self.groups.entry(service.clone()).or_default();
        if former.missed_at.is_empty() {
            former.size = before.members.len();
        }
        let members = before.members.keys();
        for id in members.filter(|id| !after.members.contains_key(*id)) {
            former.missed_at.entry(id.clone()).or_insert(now);
        }
        former
            .missed_at
            .retain(|id, at| !after.members.contains_key(id) && now < *at + RETENTION);
        if former.missed_at.is_empty() {
            self.groups.remove(service);
        }
    }

    /// The number of members that a service misses and that no other member has replaced.
    pub fn missing(&self, now: Time, service: &ServiceName, group: &GroupState) -> usize {
        let Some(former) = self.groups.get(service) else {
            return 0;
        };
        let is_counted = |at: &&Time| now < **at + RETENTION;
        let missed = former.missed_at.values().filter(is_counted).count();
        missed.min(former.size.saturating_sub(group.members.len()))
    }
}
