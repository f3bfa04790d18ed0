//! What the owner side tells of itself.

use std::collections::BTreeMap;

use stairward_types::{BackendId, Freshness, GroupId};

use super::backend::Backend;

/// One served back end in [`OwnerStatus`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Its group.
    pub group: GroupId,
    /// In which role this node serves it: `owner` or `standby`.
    pub role: &'static str,
    /// Whether this node holds the lease, so that it may take work.
    pub lease_held: bool,
    /// Its freshness when last asked; none while it cannot be reached.
    pub freshness: Option<Freshness>,
    /// Whether it was the primary of that term.
    pub is_primary: bool,
    /// Connections that exist for work, in any state.
    pub connections: usize,
    /// Connections lent to streams.
    pub in_use: usize,
    /// Requests that wait.
    pub queued: usize,
}

/// What the owner side does at a moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerStatus {
    /// The back ends served, by name. A back end served in both roles shows the owner's.
    pub backends: BTreeMap<BackendId, BackendReport>,
}

/// Describes a back end as it is now.
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
        in_use: load.lent,
        queued: load.waiting,
    }
}
