//! A small fleet over real sockets that runs only peer calls, the configuration driver and a store.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_membership::configuration::DisseminationParameters;
use stairward_protocol::ClusterKey;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_proxy::cluster::{Cluster, Identity, Member, MembershipView};
use stairward_proxy::control::configuration::{self, ConfigurationHandle};
use stairward_proxy::control::membership::rendezvous_rule;
use stairward_proxy::peer::{CallFuture, OwnerStream, PeerNetwork, PeerService};
use stairward_settings::{Change, Edit, SettingsOption, SettingsPath, SettingsTree};
use stairward_standins::platform::{PlatformStandin, PlatformStandinConfig};
use stairward_store::{PlatformClient, PlatformClientSettings, RetryPolicy, create_settings};
use stairward_types::{ChangeId, Incarnation, NodeId, RegionName, Revision, ZoneName};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Guards against hanging tests; no test depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TREE: &str = include_str!("../../../../examples/lintas.toml");

/// A node that runs only the configuration part.
pub struct TestNode {
    pub cluster: Cluster,
    pub configuration: ConfigurationHandle,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The nodes and their store.
pub struct TestFleet {
    pub store: PlatformStandin,
    pub nodes: Vec<TestNode>,
}

struct Service(ConfigurationHandle);

impl PeerService for Service {
    fn accept_stream(&self, _stream: OwnerStream) {}

    fn answer_call(&self, from: NodeId, request: CallRequest) -> CallFuture {
        let configuration = self.0.clone();
        Box::pin(async move {
            match request {
                CallRequest::ExchangeSettings(exchange) => {
                    configuration.handle_exchange(from, exchange).await
                }
                _ => CallReply::Done,
            }
        })
    }
}

impl TestFleet {
    /// Starts nodes that are members of the same view, and a store with the Lintas settings at
    /// revision 1.
    pub async fn start(nodes: u64) -> Self {
        let fleet = Self::start_without_settings(nodes).await;
        let client = client(&fleet.store);
        create_settings(&client, tree()).await.expect("created");
        for node in &fleet.nodes {
            node.wait_until_ready().await;
        }
        fleet
    }

    /// Like [`TestFleet::start`], with a store that contains no settings.
    pub async fn start_without_settings(nodes: u64) -> Self {
        let store = PlatformStandin::start(PlatformStandinConfig::default())
            .await
            .expect("a free port");
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
        };
        for node in 1..=nodes {
            let node = start_node(node, 1, &fleet.store).await;
            fleet.nodes.push(node);
        }
        fleet.publish_members();
        fleet
    }

    /// Replaces a node with a new incarnation on another port.
    pub async fn restart(&mut self, index: usize) {
        let identity = Arc::clone(&self.nodes[index].cluster.identity);
        let incarnation = identity.incarnation.0 + 1;
        self.nodes[index] = start_node(identity.node.0, incarnation, &self.store).await;
        self.publish_members();
    }

    /// Waits until all nodes have applied a revision.
    pub async fn wait_until_all_at(&self, revision: Revision) {
        for node in &self.nodes {
            wait_until(|| node.cluster.settings().revision == revision).await;
        }
    }

    fn publish_members(&self) {
        let members = self.nodes.iter().map(TestNode::member).collect();
        let view = MembershipView { members };
        for node in &self.nodes {
            node.cluster.set_members(view.clone());
        }
    }
}

impl TestNode {
    /// Waits until the node may serve clients.
    pub async fn wait_until_ready(&self) {
        let ready = tokio::time::timeout(TEST_TIMEOUT, self.configuration.wait_until_ready());
        ready
            .await
            .expect("the test timed out")
            .expect("the driver runs");
    }

    fn member(&self) -> Member {
        let identity = &self.cluster.identity;
        Member {
            node: identity.node,
            incarnation: identity.incarnation,
            peer_address: self.address,
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            leaving: false,
        }
    }
}

async fn start_node(node: u64, incarnation: u64, store: &PlatformStandin) -> TestNode {
    let identity = Identity {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        region: RegionName::new("malaysia").expect("a name"),
        zone: ZoneName::new("kul-a").expect("a name"),
    };
    let cluster = Cluster::new(identity, rendezvous_rule());
    let key = ClusterKey::new("a shared secret 16").expect("long enough");
    let network = PeerNetwork::new(cluster.clone(), key);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (configuration, driver) = configuration::start(
        cluster.clone(),
        network.clone(),
        Arc::new(client(store)),
        DisseminationParameters::default(),
    );
    let service = Arc::new(Service(configuration.clone()));
    let serving = tokio::spawn(async move {
        let _ = network.serve(listener, service).await;
    });
    let tasks = vec![serving, tokio::spawn(driver.run())];
    TestNode {
        cluster,
        configuration,
        address,
        tasks,
    }
}

/// A store client with short timeouts and few retries.
pub fn client(store: &PlatformStandin) -> PlatformClient {
    let settings = PlatformClientSettings {
        request_timeout: Duration::from_secs(1),
        retry: RetryPolicy {
            attempts: 3,
            first_delay: Duration::from_millis(1),
            longest_delay: Duration::from_millis(4),
        },
        ..PlatformClientSettings::new(vec![store.address()])
    };
    PlatformClient::new(settings, Box::new(|| 0.0)).expect("a client")
}

pub fn tree() -> SettingsTree {
    SettingsTree::from_toml(TREE).expect("a valid tree")
}

/// An edit that sets the weight at the root.
pub fn weight_edit(change_id: u64, based_on: Revision, weight: u64) -> Edit {
    Edit {
        change_id: ChangeId(change_id),
        based_on,
        changes: vec![Change::Set {
            path: SettingsPath::Root,
            option: SettingsOption::Weight,
            value: weight.into(),
        }],
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the test timed out");
}
