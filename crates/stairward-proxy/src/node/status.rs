//! Reports a node's current activity to its admin interface.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use stairward_types::BackendId;

use crate::admin::{BackendActivity, NodeActivity, StatusSource};
use crate::edge::EdgeService;
use crate::owner::{BackendReport, OwnerService};

/// Collects the activity of the edge and the owner.
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

/// The handle of this process's metrics recorder, which all nodes of the process share.
pub(super) fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // If the embedding program has installed its own recorder, that one receives the
            // metrics.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
