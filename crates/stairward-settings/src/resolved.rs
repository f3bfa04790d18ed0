//! The settings tree after inheritance: what is in force for each group and service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use stairward_types::{
    AdminState, BackendId, FenceStrength, GroupId, RegionName, Revision, ServiceName, ZoneName,
};

/// All settings in force at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResolvedSettings {
    /// The revision of the tree they were resolved from.
    pub revision: Revision,
    /// Every group, by name.
    pub groups: BTreeMap<GroupId, GroupSettings>,
    /// Every service, by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The group of every back end, built from `groups`.
    group_of: BTreeMap<BackendId, GroupId>,
}

impl ResolvedSettings {
    /// Puts settings together.
    #[must_use]
    pub fn new(
        revision: Revision,
        groups: BTreeMap<GroupId, GroupSettings>,
        services: BTreeMap<ServiceName, ServiceSettings>,
    ) -> Self {
        let group_of = groups
            .iter()
            .flat_map(|(group, settings)| {
                let backends = settings.backends.keys();
                backends.map(move |backend| (backend.clone(), group.clone()))
            })
            .collect();
        Self {
            revision,
            groups,
            services,
            group_of,
        }
    }

    /// The group a back end is a member of, and its own settings.
    #[must_use]
    pub fn backend(&self, backend: &BackendId) -> Option<(&GroupSettings, &BackendSettings)> {
        let group = self.groups.get(self.group_of.get(backend)?)?;
        let settings = group.backends.get(backend)?;
        Some((group, settings))
    }
}

/// What is in force for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Its share of a contended back end relative to other services.
    pub weight: u32,
}

/// What is in force for one database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSettings {
    /// The group's name, also the database name callers ask for.
    pub group: GroupId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its members, by name.
    pub backends: BTreeMap<BackendId, BackendSettings>,
    /// User that proxies log in as at the back ends.
    pub backend_user: String,
    /// Deadline of a request that names none.
    pub request_timeout: Duration,
    /// How long a replica may be waited for before going elsewhere.
    pub freshness_wait: Duration,
    /// How stale, beyond the session's own floor, a read may be; zero refuses only what the floor
    /// refuses.
    pub maximum_staleness: Duration,
    /// What must be proved before a write is acknowledged.
    pub fence: FenceStrength,
    /// How long the proof may take before the outcome is called unknown.
    pub fence_timeout: Duration,
    /// Requests that may wait, per edge, for a new primary.
    pub hold_queue_requests: usize,
    /// Bytes of requests that may wait, per edge, for a new primary.
    pub hold_queue_bytes: usize,
    /// How long a request may wait for a new primary.
    pub hold_queue_time: Duration,
    /// Requests waiting at one owner for one back end.
    pub admission_queue_requests: usize,
    /// Retries allowed, in thousandths of recent successes.
    pub retry_budget_permille: u32,
    /// How long transactions on a leaving back end may go on.
    pub leave_timeout: Duration,
    /// Largest message accepted from a caller, in bytes.
    pub maximum_message_bytes: usize,
    /// How long ledger rows of request keys are kept.
    pub request_key_retention: Duration,
}

/// What is in force for one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Its name.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: RegionName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// What operators have said about it.
    pub admin_state: AdminState,
    /// Connections all proxies together may hold.
    pub connection_limit: u32,
    /// Statements that may run at once.
    pub slots: u32,
    /// New connections opened at once.
    pub opening_limit: u32,
}
