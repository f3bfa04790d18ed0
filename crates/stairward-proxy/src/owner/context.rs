//! State shared by the modules of the owner side.

use std::sync::Arc;
use std::time::Duration;

use stairward_types::BackendId;
use tokio::sync::Notify;

use super::backend::BackendIdentity;
use crate::cluster::Cluster;
use crate::peer::PeerNetwork;

/// How this node authenticates to back ends.
#[derive(Clone, Default)]
pub struct OwnerSettings {
    /// The password of every group's back-end user; none where back ends require no password.
    pub backend_password: Option<String>,
    /// TLS configuration for back-end connections; none for plain TCP.
    pub backend_tls: Option<Arc<rustls::ClientConfig>>,
}

/// State shared by the modules of the owner side.
pub(super) struct OwnerContext {
    /// This node's view of the cluster.
    pub cluster: Cluster,
    /// Connections to other nodes.
    pub network: PeerNetwork,
    /// How to authenticate to back ends.
    pub settings: OwnerSettings,
    /// Notified when a role was acquired or released, which may change the set of roles to serve.
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

    /// Whether the current settings are trusted to be the newest. Checked at each admission,
    /// because a periodic check would run late after the process was paused.
    pub(super) fn has_trusted_settings(&self) -> bool {
        self.cluster.clock.now() <= self.cluster.settings_trusted_until()
    }

    /// Retention of request-key ledger rows in a back end's group.
    pub(super) fn request_key_retention(&self, backend: &BackendIdentity) -> Duration {
        let settings = self.cluster.settings();
        let group = settings.groups.get(&backend.group);
        group.map_or(Duration::MAX, |group| group.request_key_retention)
    }
}
