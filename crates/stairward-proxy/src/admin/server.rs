//! Starts and stops the admin interface.

use std::net::SocketAddr;
use std::sync::Arc;

use gotham::bind_server;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;

use super::authorization::AdminToken;
use super::connection::{AdminConnection, Transport};
use super::context::AdminContext;
use super::routes::router;
use super::status::StatusSource;
use crate::cluster::Cluster;
use crate::control::configuration::ConfigurationHandle;

/// Maximum number of open connections; further ones are closed on accept.
const MAXIMUM_CONNECTIONS: usize = 256;
/// Time limit of a TLS handshake.
const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Options of the admin interface.
pub struct AdminOptions {
    /// Required from clients that are not on loopback; without a token they are rejected.
    pub token: Option<AdminToken>,
    /// TLS configuration; plain HTTP without it.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// The node's view of the cluster.
    pub cluster: Cluster,
    /// Handle for reading and editing the settings.
    pub configuration: ConfigurationHandle,
    /// Source of the node's activity.
    pub status: Arc<dyn StatusSource>,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

/// A running admin interface. Stops when dropped.
pub struct AdminService {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl AdminService {
    /// Serves on a listener.
    ///
    /// # Errors
    /// When the listener's local address cannot be determined.
    pub fn start(listener: TcpListener, options: AdminOptions) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let acceptor = options.tls.clone().map(TlsAcceptor::from);
        let permits = Arc::new(Semaphore::new(MAXIMUM_CONNECTIONS));
        let router = router(AdminContext::new(options));
        let accepting = tokio::spawn(async move {
            bind_server(listener, router, move |socket| {
                let admission = Admission {
                    acceptor: acceptor.clone(),
                    permits: Arc::clone(&permits),
                    stopped: stopped.clone(),
                };
                Box::pin(admission.admit(socket))
            })
            .await;
        });
        Ok(Self {
            address,
            accepting,
            stop,
        })
    }

    /// The address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and closes the open ones.
    pub fn stop(&self) {
        self.accepting.abort();
        self.stop.send_replace(true);
    }
}

impl Drop for AdminService {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Admits one accepted connection: takes a permit and performs the TLS handshake.
struct Admission {
    acceptor: Option<TlsAcceptor>,
    permits: Arc<Semaphore>,
    stopped: watch::Receiver<bool>,
}

impl Admission {
    async fn admit(self, socket: TcpStream) -> Result<AdminConnection, ()> {
        let permit = self.permits.try_acquire_owned().map_err(|_| ())?;
        let transport = match self.acceptor {
            None => Transport::Plain(socket),
            Some(acceptor) => {
                let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(socket));
                let stream = handshake.await.map_err(|_| ())?.map_err(|_| ())?;
                Transport::Tls(Box::new(stream))
            }
        };
        Ok(AdminConnection::new(transport, permit, self.stopped))
    }
}
