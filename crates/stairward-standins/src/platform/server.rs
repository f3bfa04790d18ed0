//! Start, faults and shutdown of the HTTP server.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::event::{StoreEvent, StoreFault};
use super::http::{Api, Shared, router};
use super::store::{ObjectStore, StoreConfig};

/// Longest sleep without a look at the store.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// How to start the platform's stand-in.
#[derive(Debug, Clone, Copy)]
pub struct PlatformStandinConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Limits and delays.
    pub store: StoreConfig,
}

impl Default for PlatformStandinConfig {
    /// A free port on 127.0.0.1 and the default limits.
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            store: StoreConfig::default(),
        }
    }
}

/// Why the platform's stand-in could not be started.
#[derive(Debug, Snafu)]
pub enum PlatformStartError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    ListenPlatform {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// The running stand-in. Dropping it stops the server and closes all connections.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

impl PlatformStandin {
    /// Starts the server with an empty store.
    ///
    /// # Errors
    /// [`PlatformStartError`] when the address cannot be listened on.
    pub async fn start(config: PlatformStandinConfig) -> Result<Self, PlatformStartError> {
        let address = config.listen;
        let context = || ListenPlatformSnafu { address };
        let listener = TcpListener::bind(address).await;
        let listener = listener.with_context(|_| context())?;
        let address = listener.local_addr().with_context(|_| context())?;
        let shared = Arc::new(Shared::new(ObjectStore::new(config.store)));
        let server = tokio::spawn(serve(listener, Arc::clone(&shared)));
        let clock = tokio::spawn(keep_time(Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            tasks: [server, clock],
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends a fault.
    pub fn inject(&self, fault: StoreFault) {
        self.shared.feed(StoreEvent::Fault(fault));
    }

    /// Stops the server: closes the listener and all connections.
    pub async fn shutdown(mut self) {
        self.shared.connections.sever_all();
        for task in &mut self.tasks {
            task.abort();
            // An aborted task ends with an error that says just this.
            drop(task.await);
        }
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.shared.connections.sever_all();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let router = router(Api(Arc::clone(&shared)));
    gotham::bind_server(listener, router, move |stream| {
        let stream = shared.connections.add(stream);
        futures::future::ready(Ok::<_, ()>(stream))
    })
    .await;
}

/// Wakes the store when it wants to be woken.
async fn keep_time(shared: Arc<Shared>) {
    loop {
        let rest = shared.wake_at().map(|at| at.since(shared.now()));
        let rest = rest.unwrap_or(LONGEST_SLEEP).min(LONGEST_SLEEP);
        let slept = tokio::time::timeout(rest, shared.rescheduled.notified()).await;
        if slept.is_err() {
            shared.feed(StoreEvent::Wake);
        }
    }
}
