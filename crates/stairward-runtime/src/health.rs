//! The readiness answer, for whoever sends callers to the node, and the node's figures.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gotham::handler::{HandlerFuture, IntoResponse as _, NewHandler};
use gotham::hyper::StatusCode;
use gotham::state::State;
use tokio::net::TcpListener;

/// Whether the node is ready for new callers.
#[derive(Debug, Default)]
pub struct Readiness {
    is_ready: AtomicBool,
}

impl Readiness {
    /// Says whether the node is ready.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Whether the node is ready.
    #[must_use]
    pub fn get(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

/// Answers health questions over HTTP: 200 when the node is ready, 503 when not, on any path.
pub struct HealthService;

#[derive(Clone)]
struct ReadinessHandler {
    readiness: Arc<Readiness>,
}

impl gotham::handler::Handler for ReadinessHandler {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let status = if self.readiness.get() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let response = (status, mime::TEXT_PLAIN, "").into_response(&state);
        Box::pin(async move { Ok((state, response)) })
    }
}

impl NewHandler for ReadinessHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self::Instance> {
        Ok(self.clone())
    }
}

impl HealthService {
    /// Serves on a listener. Runs for ever.
    pub async fn serve(listener: TcpListener, readiness: Arc<Readiness>) {
        let handler = ReadinessHandler { readiness };
        gotham::bind_server(listener, handler, |socket| {
            Box::pin(async move { Ok::<_, ()>(socket) })
        })
        .await;
    }
}
