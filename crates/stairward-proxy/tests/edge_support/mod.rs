//! Nodes with an edge and an owner in front of a group of three simulated databases, connected over
//! TCP.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod raw;
pub mod scripted;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_protocol::ClusterKey;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_proxy::cluster::{Cluster, Identity, Member, MembershipView, Owners};
use stairward_proxy::edge::{EdgeService, EdgeSettings};
use stairward_proxy::owner::{OwnerService, OwnerSettings};
use stairward_proxy::peer::{CallFuture, OwnerStream, PeerNetwork, PeerService};
use stairward_session::TokenKey;
use stairward_settings::{BackendSettings, GroupSettings, ResolvedSettings, ServiceSettings};
use stairward_standins::group::{GroupConfig, MemberConfig};
use stairward_standins::server::{DatabaseGroup, DatabaseGroupConfig};
use stairward_types::{
    AdminState, BackendId, FenceStrength, GroupId, Incarnation, NodeId, RegionName, Revision,
    ServiceName, ZoneName,
};
use tokio::net::TcpListener;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

pub const DATABASE: &str = "shelf";
/// Time limit of a test; reached only if it hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub fn identity(node: u64) -> Identity {
    Identity {
        node: NodeId(node),
        incarnation: Incarnation(1),
        region: RegionName::new("kul").unwrap(),
        zone: ZoneName::new("kul-a").unwrap(),
    }
}

pub fn backend_names() -> Vec<BackendId> {
    ["a", "b", "c"]
        .into_iter()
        .map(|name| BackendId::new(name).unwrap())
        .collect()
}

fn backend(name: &BackendId, address: SocketAddr) -> BackendSettings {
    BackendSettings {
        backend: name.clone(),
        address,
        region: RegionName::new("kul").unwrap(),
        zone: ZoneName::new("kul-a").unwrap(),
        admin_state: AdminState::Active,
        connection_limit: 40,
        slots: 5,
        opening_limit: 8,
    }
}

pub fn resolved_settings(addresses: &[(BackendId, SocketAddr)], revision: u64) -> ResolvedSettings {
    let group = GroupId::new(DATABASE).unwrap();
    let service = ServiceName::new("reader-core").unwrap();
    let backends = addresses
        .iter()
        .map(|(name, address)| (name.clone(), backend(name, *address)))
        .collect();
    let group_settings = GroupSettings {
        group: group.clone(),
        service: service.clone(),
        backends,
        backend_user: "stairward".to_owned(),
        request_timeout: Duration::from_secs(20),
        freshness_wait: Duration::from_millis(50),
        maximum_staleness: Duration::ZERO,
        fence: FenceStrength::Position,
        fence_timeout: Duration::from_secs(2),
        hold_queue_requests: 100,
        hold_queue_bytes: 1_000_000,
        hold_queue_time: Duration::from_secs(15),
        admission_queue_requests: 1_000,
        retry_budget_permille: 200,
        leave_timeout: Duration::from_secs(5),
        maximum_message_bytes: 256 * 1024,
        request_key_retention: Duration::from_secs(3_600),
    };
    ResolvedSettings::new(
        Revision(revision),
        [(group, group_settings)].into(),
        [(service, ServiceSettings { weight: 1 })].into(),
    )
}

/// Handles streams and calls from peers on a test node.
struct NodeService {
    owner: Arc<OwnerService>,
    edge: Arc<EdgeService>,
}

impl PeerService for NodeService {
    fn accept_stream(&self, stream: OwnerStream) {
        self.owner.accept_stream(stream);
    }

    fn answer_call(&self, _from: NodeId, request: CallRequest) -> CallFuture {
        if let Some(reply) = self.edge.answer_call(&request) {
            return Box::pin(async move { reply });
        }
        let owner = Arc::clone(&self.owner);
        Box::pin(async move {
            match request {
                CallRequest::QueryBackend { backend } => {
                    let backend = BackendId::new(backend.as_str()).unwrap();
                    owner.probe_backend(&backend).await
                }
                _ => CallReply::Done,
            }
        })
    }
}

/// One proxy node.
pub struct Node {
    pub cluster: Cluster,
    pub edge: Arc<EdgeService>,
    pub owner: Arc<OwnerService>,
    pub address: SocketAddr,
    accept_task: tokio::task::JoinHandle<()>,
}

/// Binds the peer listeners, whose addresses must be known before the nodes start.
async fn peer_listeners(count: u64) -> (Vec<TcpListener>, MembershipView) {
    let mut listeners = Vec::new();
    let mut members = Vec::new();
    for node in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let identity = identity(node);
        members.push(Member {
            node: identity.node,
            incarnation: identity.incarnation,
            peer_address: listener.local_addr().unwrap(),
            region: identity.region,
            zone: identity.zone,
            leaving: false,
        });
        listeners.push(listener);
    }
    (listeners, MembershipView { members })
}

pub fn token_key() -> TokenKey {
    TokenKey::new(*b"a key for tests only")
}

impl Node {
    async fn start(
        number: u64,
        peers: TcpListener,
        view: &MembershipView,
        settings: &ResolvedSettings,
        edge_settings: EdgeSettings,
    ) -> Self {
        // Node 1 owns all backends.
        let rule = Arc::new(|_: &MembershipView, _: &BackendId, _: &BackendSettings| {
            Some(Owners {
                owner: NodeId(1),
                standby: None,
            })
        });
        let cluster = Cluster::new(identity(number), rule);
        cluster.set_members(view.clone());
        cluster.apply_settings(settings.clone());
        let key = ClusterKey::new(*b"a cluster key for tests").unwrap();
        let network = PeerNetwork::new(cluster.clone(), key);
        let owner = OwnerService::new(cluster.clone(), network.clone(), OwnerSettings::default());
        let edge = EdgeService::new(cluster.clone(), network.clone(), edge_settings);
        let service = NodeService {
            owner: Arc::clone(&owner),
            edge: Arc::clone(&edge),
        };
        let service: Arc<dyn PeerService> = Arc::new(service);
        network.set_service(Arc::clone(&service));
        tokio::spawn(async move { network.serve(peers, service).await });
        tokio::spawn(Arc::clone(&owner).run());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accept_task = tokio::spawn(Arc::clone(&edge).serve(listener));
        Self {
            cluster,
            edge,
            owner,
            address,
            accept_task,
        }
    }

    pub fn config(&self) -> tokio_postgres::Config {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.address.ip().to_string())
            .port(self.address.port())
            .user("reader")
            .dbname(DATABASE);
        config
    }

    pub async fn connect(&self) -> Client {
        connect_with(&self.config()).await
    }

    /// Waits until the edge no longer accepts connections.
    pub async fn wait_until_stopped(self) {
        self.accept_task.await.unwrap();
    }
}

pub async fn connect_with(config: &tokio_postgres::Config) -> Client {
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Proxy nodes in front of a group of three simulated databases.
pub struct Site {
    pub databases: DatabaseGroup,
    pub nodes: Vec<Node>,
    pub settings: ResolvedSettings,
}

impl Site {
    /// One node with trust authentication.
    pub async fn start() -> Self {
        Self::start_with(1, &EdgeSettings::with_trust_authentication(token_key())).await
    }

    pub async fn start_with(nodes: u64, edge_settings: &EdgeSettings) -> Self {
        let members: Vec<MemberConfig> =
            backend_names().into_iter().map(MemberConfig::new).collect();
        let config = DatabaseGroupConfig::new(GroupConfig::new(DATABASE, members));
        let databases = DatabaseGroup::start(config).await.unwrap();
        let addresses: Vec<_> = databases
            .addresses()
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        let settings = resolved_settings(&addresses, 1);
        let (listeners, view) = peer_listeners(nodes).await;
        let mut started = Vec::new();
        for (number, listener) in (1..).zip(listeners) {
            let node = Node::start(number, listener, &view, &settings, edge_settings.clone());
            started.push(node.await);
        }
        Self {
            databases,
            nodes: started,
            settings,
        }
    }

    pub fn node(&self) -> &Node {
        &self.nodes[0]
    }

    /// Connects and creates a table `books (id, title)`.
    pub async fn connect_with_table(&self) -> Client {
        let client = self.node().connect().await;
        client
            .batch_execute("CREATE TABLE books (id integer PRIMARY KEY, title text)")
            .await
            .unwrap();
        client
    }
}

/// The first column of the first row returned by a simple query.
pub async fn simple_value(client: &Client, text: &str) -> Option<String> {
    let messages = client.simple_query(text).await.unwrap();
    messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// The result code in an error message of the form `SWnnnn`.
pub fn result_code(error: &tokio_postgres::Error) -> Option<u16> {
    let message = error.as_db_error()?.message();
    message.strip_prefix("SW")?.get(..4)?.parse().ok()
}

/// Runs a test body with a time limit.
pub async fn with_timeout<F: Future>(body: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, body)
        .await
        .expect("the test timed out")
}
