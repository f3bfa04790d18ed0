//! HTTP endpoint for readiness checks of load balancers and for metrics.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gotham::handler::{HandlerFuture, IntoResponse as _, NewHandler};
use gotham::hyper::{StatusCode, Uri};
use gotham::state::{FromState as _, State};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

/// Whether the node is ready for new callers.
#[derive(Debug, Default)]
pub struct Readiness {
    is_ready: AtomicBool,
}

impl Readiness {
    /// Sets whether the node is ready.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Whether the node is ready.
    #[must_use]
    pub fn get(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

/// Path of the metrics; every other path is a readiness check.
const METRICS_PATH: &str = "/metrics";

/// HTTP service: serves the metrics on their path, and on any other path 200 if the node is ready and 503 if not.
pub struct HealthService;

#[derive(Clone)]
struct HealthHandler {
    readiness: Arc<Readiness>,
    metrics: Option<PrometheusHandle>,
}

impl HealthHandler {
    fn answer(&self, path: &str) -> (StatusCode, String) {
        match &self.metrics {
            Some(metrics) if path == METRICS_PATH => (StatusCode::OK, metrics.render()),
            _ if self.readiness.get() => (StatusCode::OK, String::new()),
            _ => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        }
    }
}

impl gotham::handler::Handler for HealthHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let (status, body) = self.answer(Uri::borrow_from(&state).path());
        let response = (status, mime::TEXT_PLAIN, body).into_response(&state);
        Box::pin(async move { Ok((state, response)) })
    }
}

impl NewHandler for HealthHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self::Instance> {
        Ok(self.clone())
    }
}

impl HealthService {
    /// Serves on a listener. Never returns.
    pub async fn serve(
        listener: TcpListener,
        readiness: Arc<Readiness>,
        metrics: Option<PrometheusHandle>,
    ) {
        let handler = HealthHandler { readiness, metrics };
        gotham::bind_server(listener, handler, |socket| {
            Box::pin(async move { Ok::<_, ()>(socket) })
        })
        .await;
    }
}
