//! A complete node: binds its listeners, starts its parts, and stops them in order.

mod embedded;
mod error;
mod listeners;
mod service;
mod status;
mod tls;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::RngExt as _;
use snafu::ResultExt as _;
use stairward_membership::configuration::DisseminationParameters;
use stairward_protocol::ClusterKey;
use stairward_session::TokenKey;
use stairward_settings::ProcessSettings;
use stairward_settings::process::Secret;
use stairward_store::{PlatformClient, PlatformClientSettings};
use stairward_types::{Incarnation, LogEvent, NodeId};

pub use embedded::{EmbeddedNode, EmbeddedNodeError};
pub use error::NodeError;
pub use listeners::NodeListeners;

use crate::admin::{AdminOptions, AdminService, AdminToken};
use crate::cluster::{Cluster, Identity};
use crate::control::configuration::{self, ConfigurationHandle};
use crate::control::membership::{self, MembershipHandle, rendezvous_rule};
use crate::edge::{EdgeService, EdgeSettings, EdgeStatistics};
use crate::owner::{OwnerService, OwnerSettings};
use crate::peer::{PeerNetwork, PeerService};
use error::{ClusterKeySnafu, PlatformSnafu, SocketSnafu};
use service::NodeService;
use status::{ActivitySource, metrics_handle};

/// Fraction of the drain timeout reserved for handing over back ends after the clients have
/// drained.
const HANDOVER_SHARE: f64 = 0.2;

/// Interval at which the owner is told whether the settings are still trusted to be the newest.
const SETTINGS_TRUST_INTERVAL: Duration = Duration::from_millis(100);

/// Time to send the last replies to peers during a planned stop, even if its time limit is over.
const MIN_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A running node.
pub struct Node {
    cluster: Cluster,
    addresses: NodeAddresses,
    network: PeerNetwork,
    edge: Arc<EdgeService>,
    owner: Arc<OwnerService>,
    membership: MembershipHandle,
    configuration: ConfigurationHandle,
    admin: AdminService,
    draining: Arc<AtomicBool>,
}

/// The addresses at which a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For clients.
    pub client: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peer: SocketAddr,
    /// For the admin interface.
    pub admin: SocketAddr,
}

impl Node {
    /// Starts all parts. Clients are served once the settings are confirmed to be the newest.
    ///
    /// # Errors
    /// [`NodeError`] when a file or a socket is unusable.
    pub async fn start(
        settings: &ProcessSettings,
        listeners: NodeListeners,
    ) -> Result<Self, NodeError> {
        let addresses = listeners.addresses()?;
        let key = ClusterKey::new(load_cluster_key(settings)?).context(ClusterKeySnafu)?;
        let identity = identity(settings, addresses.peer);
        let cluster = Cluster::new(identity, rendezvous_rule());
        let network = PeerNetwork::new(cluster.clone(), key.clone());
        let platform = Arc::new(platform_client(settings)?);

        let (configuration, driver) = configuration::start(
            cluster.clone(),
            network.clone(),
            platform,
            DisseminationParameters::default(),
        );
        let seeds = settings.cluster.seeds.clone();
        let membership = membership::run(cluster.clone(), listeners.membership, key, seeds)
            .context(SocketSnafu)?;
        let owner = OwnerService::new(cluster.clone(), network.clone(), owner_settings(settings)?);
        let edge = EdgeService::new(cluster.clone(), network.clone(), edge_settings(settings)?);
        let service: Arc<dyn PeerService> = Arc::new(NodeService {
            cluster: cluster.clone(),
            edge: Arc::clone(&edge),
            owner: Arc::clone(&owner),
            membership: membership.clone(),
            configuration: configuration.clone(),
        });
        network.set_service(Arc::clone(&service));

        tokio::spawn(driver.run());
        tokio::spawn(serve_peers(network.clone(), listeners.peer, service));
        tokio::spawn(Arc::clone(&owner).run());
        tokio::spawn(forward_peer_digests(
            membership.clone(),
            configuration.clone(),
        ));
        tokio::spawn(forward_machine_addresses(
            membership.clone(),
            configuration.clone(),
        ));
        tokio::spawn(forward_settings_trust(
            Arc::downgrade(&owner),
            cluster.clone(),
        ));
        tokio::spawn(serve_when_ready(
            Arc::clone(&edge),
            listeners.client,
            configuration.clone(),
        ));

        let draining = Arc::new(AtomicBool::new(false));
        let admin = AdminService::start(
            listeners.admin,
            AdminOptions {
                token: load_admin_token(settings)?,
                tls: tls::server_config(settings.admin.tls.as_ref())?,
                cluster: cluster.clone(),
                configuration: configuration.clone(),
                status: Arc::new(ActivitySource {
                    edge: Arc::clone(&edge),
                    owner: Arc::clone(&owner),
                    draining: Arc::clone(&draining),
                }),
                metrics: metrics_handle(),
            },
        )
        .context(SocketSnafu)?;
        tracing::info!(
            event = LogEvent::NodeStarted.number(),
            node = cluster.identity.node.0,
            client = %addresses.client,
            peer = %addresses.peer,
            admin = %addresses.admin,
            "node started"
        );
        Ok(Self {
            cluster,
            addresses,
            network,
            edge,
            owner,
            membership,
            configuration,
            admin,
            draining,
        })
    }

    /// This node's ID.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.cluster.identity.node
    }

    /// The node's view of the cluster.
    #[must_use]
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// The addresses at which it listens.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The edge's counters.
    #[must_use]
    pub fn statistics(&self) -> EdgeStatistics {
        self.edge.statistics()
    }

    /// The handle for reading and editing the settings.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationHandle {
        &self.configuration
    }

    /// Reloads certificates, keys and users, which apply to new connections.
    ///
    /// # Errors
    /// [`NodeError`]; the ones in use are kept in that case.
    pub fn reload_files(&self, settings: &ProcessSettings) -> Result<(), NodeError> {
        let renewed = edge_settings(settings)?;
        self.edge.set_tls(renewed.tls);
        self.edge.set_users(renewed.users);
        tracing::info!(
            event = LogEvent::CertificatesReloaded.number(),
            "reloaded certificates, keys and users"
        );
        Ok(())
    }

    /// Performs a planned stop: announces it, refuses new sessions, lets running work finish, hands
    /// over the back ends, and leaves the cluster. `timeout` limits the time for running work.
    pub async fn stop(self, timeout: Duration) {
        tracing::info!(
            event = LogEvent::DrainStarted.number(),
            "planned stop started"
        );
        let stopping_since = Instant::now();
        self.draining.store(true, Ordering::SeqCst);
        let handover_time = timeout.mul_f64(HANDOVER_SHARE);
        self.membership.announce_leaving().await;
        self.edge.drain(timeout.saturating_sub(handover_time)).await;
        self.owner.drain(handover_time).await;
        // The last replies to edges of other nodes may still be queued.
        let time_left = timeout.saturating_sub(stopping_since.elapsed());
        let flush_timeout = time_left.max(MIN_FLUSH_TIMEOUT);
        if tokio::time::timeout(flush_timeout, self.network.flush())
            .await
            .is_err()
        {
            tracing::warn!(
                event = LogEvent::PeerLost.number(),
                "timed out sending the last replies to peers"
            );
        }
        self.membership.depart().await;
        self.admin.stop();
        tracing::info!(
            event = LogEvent::DrainFinished.number(),
            "planned stop finished"
        );
    }
}

fn identity(settings: &ProcessSettings, peer_address: SocketAddr) -> Identity {
    // A machine's clock may step back across a restart. A node that finds a higher incarnation of
    // itself in the cluster switches to an even higher one.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    Identity {
        node: settings.node_id(peer_address),
        incarnation: Incarnation(incarnation),
        region: settings.node.region.clone(),
        zone: settings.node.zone.clone(),
    }
}

fn platform_client(settings: &ProcessSettings) -> Result<PlatformClient, NodeError> {
    let client_settings = PlatformClientSettings::new(settings.platform.addresses.clone());
    let jitter = Box::new(|| rand::rng().random_range(0.0..1.0));
    PlatformClient::new(client_settings, jitter).context(PlatformSnafu)
}

fn load_cluster_key(settings: &ProcessSettings) -> Result<Vec<u8>, NodeError> {
    let key = settings.load_cluster_key().map_err(|problem| vec![problem]);
    Ok(key.map_err(NodeError::from_problems)?.expose().to_vec())
}

fn load_admin_token(settings: &ProcessSettings) -> Result<Option<AdminToken>, NodeError> {
    let Some(source) = &settings.admin.token else {
        return Ok(None);
    };
    let secret = source
        .load()
        .map_err(|problem| NodeError::from_problems(vec![problem]))?;
    Ok(secret.expose_text().map(AdminToken::new))
}

fn owner_settings(settings: &ProcessSettings) -> Result<OwnerSettings, NodeError> {
    let secret = settings
        .backends
        .password
        .load()
        .map_err(|problem| NodeError::from_problems(vec![problem]))?;
    let password = secret
        .expose_text()
        .filter(|text| !text.is_empty())
        .map(str::to_owned);
    Ok(OwnerSettings {
        backend_password: password,
        backend_tls: tls::client_config(settings.backends.root_certificate_file.as_deref())?,
    })
}

fn edge_settings(settings: &ProcessSettings) -> Result<EdgeSettings, NodeError> {
    let token_key = settings
        .load_token_key()
        .map_err(|problem| NodeError::from_problems(vec![problem]))?;
    let users = settings
        .callers
        .users
        .load()
        .map_err(NodeError::from_problems)?;
    let users = users
        .into_iter()
        .filter_map(|(user, secret)| Some((user, secret.expose_text()?.to_owned())))
        .collect::<crate::edge::Users>();
    let mut edge = EdgeSettings::with_trust_authentication(token_key_from(&token_key));
    // Embedded nodes without users accept any client; a process file always names a users file.
    edge.users = (!users.is_empty()).then_some(users);
    edge.tls = tls::server_config(settings.callers.tls.as_ref())?;
    edge.maximum_clients = settings.callers.maximum_clients as usize;
    Ok(edge)
}

fn token_key_from(secret: &Secret) -> TokenKey {
    TokenKey::new(secret.expose())
}

async fn serve_peers(
    network: PeerNetwork,
    listener: tokio::net::TcpListener,
    service: Arc<dyn PeerService>,
) {
    if let Err(error) = network.serve(listener, service).await {
        tracing::error!(event = LogEvent::ListenerFailed.number(), %error,
            "the peer listener failed; peers are not served");
    }
}

async fn serve_when_ready(
    edge: Arc<EdgeService>,
    listener: tokio::net::TcpListener,
    configuration: ConfigurationHandle,
) {
    if configuration.wait_until_ready().await.is_ok() {
        tracing::info!(
            event = LogEvent::NodeReady.number(),
            "the node is ready and serves clients"
        );
        edge.serve(listener).await;
    }
}

async fn forward_peer_digests(membership: MembershipHandle, configuration: ConfigurationHandle) {
    use tokio::sync::broadcast::error::RecvError;
    let mut digests = membership.peer_digests();
    loop {
        match digests.recv().await {
            Ok(digest) => configuration.note_peer_revision(digest.node, digest.settings_revision),
            // The next datagram carries the revision again.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

/// Tells the owner periodically whether newer settings may be in effect on other nodes, in which
/// case it admits no new work.
async fn forward_settings_trust(owner: Weak<OwnerService>, cluster: Cluster) {
    let mut checks = tokio::time::interval(SETTINGS_TRUST_INTERVAL);
    loop {
        checks.tick().await;
        let Some(owner) = owner.upgrade() else {
            return;
        };
        let is_trusted = cluster.clock.now() <= cluster.settings_trusted_until();
        owner.set_configuration_age(if is_trusted {
            Duration::ZERO
        } else {
            Duration::MAX
        });
    }
}

async fn forward_machine_addresses(
    membership: MembershipHandle,
    configuration: ConfigurationHandle,
) {
    let mut machines = configuration.watch_machines();
    while machines.changed().await.is_ok() {
        let addresses = machines
            .borrow_and_update()
            .iter()
            .map(|machine| machine.address)
            .collect();
        membership.set_machine_addresses(addresses).await;
    }
}
