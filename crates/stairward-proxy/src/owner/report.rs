//! Status of the owner side, for the admin interface.

use std::collections::BTreeMap;

use stairward_types::{BackendId, Freshness, GroupId};

use super::backend::Backend;

/// One served back end in [`OwnerStatus`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Its group.
    pub group: GroupId,
    /// The role in which this node serves it: `owner` or `standby`.
    pub role: &'static str,
    /// Whether this node holds the lease and may admit work.
    pub lease_held: bool,
    /// Its freshness in the last probe; none while it is unreachable.
    pub freshness: Option<Freshness>,
    /// Whether it was the primary in the last probe.
    pub is_primary: bool,
    /// Working connections in any state.
    pub connections: usize,
    /// Connections in use by streams.
    pub in_use: usize,
    /// Queued requests.
    pub queued: usize,
}

/// A snapshot of the owner side.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerStatus {
    /// The served back ends by name. A back end served in both roles is shown as owner.
    pub backends: BTreeMap<BackendId, BackendReport>,
}

/// Takes a snapshot of a back end.
pub(super) fn report(backend: &Backend) -> BackendReport {
    let load = backend.load();
    let state = backend.state();
    BackendReport {
        group: backend.identity.group.clone(),
        role: backend.identity.role.name(),
        lease_held: backend.lease_is_held(),
        freshness: state.map(|state| state.freshness),
        is_primary: backend.is_primary(),
        connections: load.connections,
        in_use: load.in_use,
        queued: load.queued,
    }
}
