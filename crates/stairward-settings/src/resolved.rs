//! The settings tree with inheritance applied: effective settings of each service, group and back end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use stairward_types::{
    AdminState, BackendId, FenceStrength, GroupId, RegionName, Revision, ServiceName, ZoneName,
};

/// All effective settings at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResolvedSettings {
    /// The revision of the tree they were resolved from.
    pub revision: Revision,
    /// Every group, by name.
    pub groups: BTreeMap<GroupId, GroupSettings>,
    /// Every service, by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Index from back end to group, derived from `groups`.
    group_of: BTreeMap<BackendId, GroupId>,
}

impl ResolvedSettings {
    /// Creates resolved settings and the index of back ends.
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

    /// Looks up a back end: the settings of its group and its own.
    #[must_use]
    pub fn backend(&self, backend: &BackendId) -> Option<(&GroupSettings, &BackendSettings)> {
        let group = self.groups.get(self.group_of.get(backend)?)?;
        let settings = group.backends.get(backend)?;
        Some((group, settings))
    }
}

/// Effective settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Weight of the service's share of a contended back end, relative to other services.
    pub weight: u32,
}

/// Effective settings of one database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSettings {
    /// The group's name, which is also the database name that callers connect to.
    pub group: GroupId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its members, by name.
    pub backends: BTreeMap<BackendId, BackendSettings>,
    /// User name with which proxies log in to the back ends.
    pub backend_user: String,
    /// Deadline of a request that does not specify one.
    pub request_timeout: Duration,
    /// Maximum wait for a replica to reach the required position before the request is routed elsewhere.
    pub freshness_wait: Duration,
    /// Maximum staleness of a read, beyond what the session's freshness floor requires. Zero sets no
    /// bound besides the floor.
    pub maximum_staleness: Duration,
    /// What a majority must confirm before a write is acknowledged.
    pub fence: FenceStrength,
    /// Maximum time for that confirmation, after which the outcome of the write is unknown.
    pub fence_timeout: Duration,
    /// Maximum number of requests per edge that wait for a new primary.
    pub hold_queue_requests: usize,
    /// Maximum size of the requests per edge that wait for a new primary, in bytes.
    pub hold_queue_bytes: usize,
    /// Maximum time that a request waits for a new primary.
    pub hold_queue_time: Duration,
    /// Maximum number of requests that wait at one owner for one back end.
    pub admission_queue_requests: usize,
    /// Maximum share of retries, in thousandths of recent successes.
    pub retry_budget_permille: u32,
    /// Maximum time that transactions on a leaving back end may continue.
    pub leave_timeout: Duration,
    /// Largest message accepted from a caller, in bytes.
    pub maximum_message_bytes: usize,
    /// Retention time of the ledger rows of request keys.
    pub request_key_retention: Duration,
}

/// Effective settings of one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Its name.
    pub backend: BackendId,
    /// Its listening address.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// The state set by operators.
    pub admin_state: AdminState,
    /// Maximum number of connections from all proxies together.
    pub connection_limit: u32,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Maximum number of connections being opened concurrently.
    pub opening_limit: u32,
}
