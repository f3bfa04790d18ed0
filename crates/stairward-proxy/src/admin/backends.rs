//! Lists the back ends.

use gotham::handler::SimpleHandlerResult;
use gotham::state::{FromState as _, State};
use serde::Serialize;
use stairward_settings::{BackendSettings, GroupSettings};
use stairward_types::{AdminState, BackendId, GroupId, NodeId, RegionName, ServiceName, ZoneName};

use super::context::AdminContext;
use super::error::answer;
use crate::cluster::Cluster;

/// One back end in the answer to `GET /backends`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Its name.
    pub backend: BackendId,
    /// Its group.
    pub group: GroupId,
    /// The service of the group.
    pub service: ServiceName,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// `joining`, `active` or `leaving`.
    pub admin_state: &'static str,
    /// Whether it is the primary of the newest term known to this node.
    pub is_primary: bool,
    /// The node that owns it according to this node's membership view.
    pub owner: Option<NodeId>,
}

/// Handles `GET /backends`: lists all back ends of the current settings.
pub(super) async fn get_backends(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state);
    answer(Ok(list_backends(&context.cluster)))
}

fn list_backends(cluster: &Cluster) -> Vec<BackendEntry> {
    let settings = cluster.settings();
    let groups = settings.groups.values();
    groups
        .flat_map(|group| group.backends.values().map(move |backend| (group, backend)))
        .map(|(group, backend)| backend_entry(cluster, group, backend))
        .collect()
}

fn backend_entry(
    cluster: &Cluster,
    group: &GroupSettings,
    backend: &BackendSettings,
) -> BackendEntry {
    let primaries = cluster.primaries();
    let primary = primaries.get(&group.group);
    BackendEntry {
        backend: backend.backend.clone(),
        group: group.group.clone(),
        service: group.service.clone(),
        region: backend.region.clone(),
        zone: backend.zone.clone(),
        address: backend.address,
        admin_state: admin_state_name(backend.admin_state),
        is_primary: primary.is_some_and(|primary| primary.backend == backend.backend),
        owner: cluster.owners(&backend.backend).map(|owners| owners.owner),
    }
}

const fn admin_state_name(state: AdminState) -> &'static str {
    match state {
        AdminState::Joining => "joining",
        AdminState::Active => "active",
        AdminState::Leaving => "leaving",
    }
}
