//! What a node does at the moment, for its admin interface.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use stairward_types::BackendId;

use crate::admin::{BackendActivity, NodeActivity, StatusSource};
use crate::edge::EdgeService;
use crate::owner::{BackendReport, OwnerService};

/// Tells the admin interface what the edge and the owner do.
pub(super) struct ActivitySource {
    pub(super) edge: Arc<EdgeService>,
    pub(super) owner: Arc<OwnerService>,
    pub(super) draining: Arc<AtomicBool>,
}

impl StatusSource for ActivitySource {
    fn activity(&self) -> NodeActivity {
        let statistics = self.edge.statistics();
        let status = self.owner.status();
        NodeActivity {
            draining: self.draining.load(Ordering::SeqCst),
            sessions: statistics.sessions as usize,
            backends: status.backends.into_iter().map(backend_activity).collect(),
        }
    }
}

fn backend_activity((backend, report): (BackendId, BackendReport)) -> BackendActivity {
    BackendActivity {
        backend,
        role: report.role,
        lease_held: report.lease_held,
        reachable: report.freshness.is_some(),
        primary: report.is_primary,
        connections: report.connections,
        running: report.in_use,
        queued: report.queued,
    }
}

/// The recorder of this process's metrics. All nodes of a process share it.
pub(super) fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Another recorder set by the embedding program keeps the metrics for itself.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
