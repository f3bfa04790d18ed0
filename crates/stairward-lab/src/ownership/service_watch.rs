//! How long each back end had no owner, or nobody at all.

use std::collections::BTreeMap;

use stairward_pool::OwnerRole;
use stairward_types::{Duration, Time};

use super::claim::ClaimIndex;

/// Gaps of all back ends.
#[derive(Debug, Default)]
pub(super) struct Gaps {
    /// Times without an owner.
    pub(super) unowned: Vec<Duration>,
    /// Times without owner and standby.
    pub(super) unserved: Vec<Duration>,
    /// Back ends without an owner at the end.
    pub(super) unowned_at_end: usize,
}

/// Who uses one back end, and since when nobody does.
#[derive(Debug, Default)]
struct Service {
    users: BTreeMap<OwnerRole, ClaimIndex>,
    unowned_since: Option<Time>,
    unserved_since: Option<Time>,
}

/// Watches all back ends.
#[derive(Debug)]
pub(super) struct ServiceWatch {
    services: Vec<Service>,
    gaps: Gaps,
}

impl ServiceWatch {
    /// Gaps are counted from the first use on.
    pub(super) fn new(backends: usize) -> Self {
        let mut services = Vec::new();
        services.resize_with(backends, Service::default);
        Self {
            services,
            gaps: Gaps::default(),
        }
    }

    /// A claim begins to be used.
    pub(super) fn starts(&mut self, backend: usize, role: OwnerRole, claim: ClaimIndex, now: Time) {
        let service = &mut self.services[backend];
        service.users.insert(role, claim);
        if role == OwnerRole::Owner
            && let Some(since) = service.unowned_since.take()
        {
            self.gaps.unowned.push(now.since(since));
        }
        if let Some(since) = service.unserved_since.take() {
            self.gaps.unserved.push(now.since(since));
        }
    }

    /// A claim is used no longer, or its node has vanished or was paused.
    pub(super) fn stops(&mut self, backend: usize, role: OwnerRole, claim: ClaimIndex, now: Time) {
        let service = &mut self.services[backend];
        if service.users.get(&role) != Some(&claim) {
            return;
        }
        service.users.remove(&role);
        if role == OwnerRole::Owner {
            service.unowned_since = Some(now);
        }
        if service.users.is_empty() {
            service.unserved_since = Some(now);
        }
    }

    /// The gaps so far.
    pub(super) fn finish(self) -> Gaps {
        let mut gaps = self.gaps;
        let has_no_owner = |service: &&Service| !service.users.contains_key(&OwnerRole::Owner);
        gaps.unowned_at_end = self.services.iter().filter(has_no_owner).count();
        gaps
    }
}
