//! What the parts of the owner side share.

use std::sync::Arc;
use std::time::Duration;

use stairward_types::BackendId;
use tokio::sync::Notify;

use super::backend::BackendIdentity;
use crate::cluster::Cluster;
use crate::peer::PeerNetwork;

/// How this node logs in at back ends.
#[derive(Clone, Default)]
pub struct OwnerSettings {
    /// The password of every group's back-end user; none where back ends trust their network.
    pub backend_password: Option<String>,
    /// TLS towards back ends; none for plain TCP.
    pub backend_tls: Option<Arc<rustls::ClientConfig>>,
}

/// What the parts of the owner side share.
pub(super) struct OwnerContext {
    /// What is known of the cluster.
    pub cluster: Cluster,
    /// The way to other nodes.
    pub network: PeerNetwork,
    /// How to log in at back ends.
    pub settings: OwnerSettings,
    /// Fires when a role has been taken or given up, which may change what else is wanted.
    pub roles_changed: Notify,
}

impl OwnerContext {
    /// The other members of a back end's group.
    pub(super) fn other_members(&self, backend: &BackendIdentity) -> Vec<BackendId> {
        let settings = self.cluster.settings();
        let group = settings.groups.get(&backend.group);
        let members = group.into_iter().flat_map(|group| group.backends.keys());
        members
            .filter(|member| **member != backend.name)
            .cloned()
            .collect()
    }

    /// Whether the settings in force may be taken for the newest at this moment. Read at each
    /// admission: a check at intervals is late after the node was paused.
    pub(super) fn trusts_settings(&self) -> bool {
        self.cluster.clock.now() <= self.cluster.settings_trusted_until()
    }

    /// How long ledger rows of request keys are kept in a back end's group.
    pub(super) fn request_key_retention(&self, backend: &BackendIdentity) -> Duration {
        let settings = self.cluster.settings();
        let group = settings.groups.get(&backend.group);
        group.map_or(Duration::MAX, |group| group.request_key_retention)
    }
}
