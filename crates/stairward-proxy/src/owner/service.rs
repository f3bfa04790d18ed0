//! The owner service: takes and gives up back ends as the membership view and the settings change,
//! and hands streams to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use stairward_protocol::call::{CallReply, CallRequest};
use stairward_types::{BackendId, Freshness, GroupId, LogEvent, ResultCode};

use super::backend::Backend;
use super::login::Login;
use super::stream::serve_stream;
use crate::cluster::Cluster;
use crate::peer::{OwnerStream, PeerNetwork};

/// How long the successor may take to answer that it heard of a hand-over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// How this node logs in at back ends.
#[derive(Clone, Default)]
pub struct OwnerSettings {
    /// The password of every group's back-end user; none where back ends trust their network.
    pub backend_password: Option<String>,
    /// TLS towards back ends; none for plain TCP.
    pub backend_tls: Option<Arc<rustls::ClientConfig>>,
}

/// One served back end in [`OwnerStatus`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Its group.
    pub group: GroupId,
    /// Its freshness when last asked; none while it cannot be reached.
    pub freshness: Option<Freshness>,
    /// Whether it was the primary of that term.
    pub is_primary: bool,
}

/// What the owner side does at a moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerStatus {
    /// The back ends served, by name.
    pub backends: BTreeMap<BackendId, BackendReport>,
}

/// The owner side of a node.
pub struct OwnerService {
    cluster: Cluster,
    network: PeerNetwork,
    settings: OwnerSettings,
    backends: Mutex<BTreeMap<BackendId, Arc<Backend>>>,
    own: Weak<Self>,
}

impl OwnerService {
    /// A service that owns nothing yet; [`OwnerService::run`] makes it follow the cluster.
    #[must_use]
    pub fn new(cluster: Cluster, network: PeerNetwork, settings: OwnerSettings) -> Arc<Self> {
        Arc::new_cyclic(|own| Self {
            cluster,
            network,
            settings,
            backends: Mutex::default(),
            own: Weak::clone(own),
        })
    }

    /// Takes and gives up back ends as settings and membership change. Runs until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut settings = self.cluster.watch_settings();
        let mut members = self.cluster.watch_members();
        loop {
            self.follow_cluster();
            tokio::select! {
                changed = settings.changed() => if changed.is_err() { return },
                changed = members.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Serves a stream opened by an edge. Its first message must be `Open`.
    pub fn accept_stream(&self, stream: OwnerStream) {
        if let Some(service) = self.own.upgrade() {
            tokio::spawn(serve_stream(service, stream));
        }
    }

    /// Asks a back end, now, for its term, position and role.
    pub async fn ask_backend(&self, backend: &BackendId) -> CallReply {
        let refused = |code: ResultCode| CallReply::Refused {
            code: code.number(),
        };
        let Some(backend) = self.backend(backend) else {
            return refused(ResultCode::NotOwner);
        };
        match backend.ask().await {
            Ok(status) => CallReply::Backend {
                freshness: status.freshness.into(),
                is_primary: u8::from(status.is_primary()),
            },
            Err(_) => refused(ResultCode::BackendUnavailable),
        }
    }

    /// Gives every back end up: takes no new work, lets what is in flight end until `deadline`, and
    /// hands the back ends over.
    pub async fn drain(&self, deadline: Duration) {
        let until = Instant::now() + deadline;
        let backends = std::mem::take(&mut *self.lock_backends());
        for backend in backends.values() {
            backend.stopped.cancel();
        }
        while Instant::now() < until && backends.values().any(|backend| backend.is_busy()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for name in backends.keys() {
            self.hand_over(name).await;
        }
    }

    /// Tells the back end's present owner that it may take the back end now.
    async fn hand_over(&self, backend: &BackendId) {
        let Some(owners) = self.cluster.owners(backend) else {
            return;
        };
        if owners.owner == self.cluster.identity.node {
            return;
        }
        let request = CallRequest::HandOver {
            backend: backend.as_str().into(),
        };
        // Only a hint: the successor finds out by itself, later, when this is lost.
        let _ = self
            .network
            .call(owners.owner, request, HAND_OVER_TIMEOUT)
            .await;
    }

    /// What is served at the moment.
    #[must_use]
    pub fn status(&self) -> OwnerStatus {
        let backends = self.lock_backends();
        let reports = backends.values().map(|backend| {
            let status = backend.status();
            let report = BackendReport {
                group: backend.group.clone(),
                freshness: status.map(|status| status.freshness),
                is_primary: status.is_some_and(|status| status.is_primary()),
            };
            (backend.name.clone(), report)
        });
        OwnerStatus {
            backends: reports.collect(),
        }
    }

    pub(super) fn backend(&self, name: &BackendId) -> Option<Arc<Backend>> {
        self.lock_backends().get(name).cloned()
    }

    fn lock_backends(&self) -> std::sync::MutexGuard<'_, BTreeMap<BackendId, Arc<Backend>>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn follow_cluster(&self) {
        let settings = self.cluster.settings();
        let node = self.cluster.identity.node;
        let mut backends = self.lock_backends();
        let mut wanted = BTreeMap::new();
        for group in settings.groups.values() {
            for backend in group.backends.values() {
                let owners = self.cluster.owners(&backend.backend);
                if owners.is_some_and(|owners| owners.owner == node) {
                    wanted.insert(backend.backend.clone(), (group, backend));
                }
            }
        }
        backends.retain(|name, backend| {
            let keeps = wanted.contains_key(name);
            if !keeps {
                backend.stopped.cancel();
            }
            keeps
        });
        for (name, (group, settings)) in wanted {
            backends.entry(name.clone()).or_insert_with(|| {
                let login = Login {
                    address: settings.address,
                    user: group.backend_user.clone(),
                    database: group.group.to_string(),
                    application_name: format!("stairward/{node}"),
                    password: self.settings.backend_password.clone(),
                    tls: self.settings.backend_tls.clone(),
                };
                let limit = settings.connection_limit.saturating_sub(1).max(1) as usize;
                let backend = Arc::new(Backend::new(
                    name.clone(),
                    group.group.clone(),
                    self.cluster.clone(),
                    login,
                    limit,
                ));
                tokio::spawn(Arc::clone(&backend).probe());
                tracing::info!(event = LogEvent::OwnershipTaken.number(), backend = %name, "took a back end");
                backend
            });
        }
    }
}
