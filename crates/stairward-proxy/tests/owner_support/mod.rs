//! Test nodes that run only the owner side, in front of a group of stand-in databases.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stairward_protocol::ClusterKey;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::stream::{
    Batch, EdgeMessage, Open, OwnerMessage, WireAccess, WireTransactionStatus,
};
use stairward_proxy::cluster::{Cluster, Identity, Member, MembershipView, Owners};
use stairward_proxy::owner::{OwnerService, OwnerSettings};
use stairward_proxy::peer::{CallFuture, EdgeStream, OwnerStream, PeerNetwork, PeerService};
use stairward_settings::{BackendSettings, GroupSettings, ResolvedSettings, ServiceSettings};
use stairward_standins::group::{GroupConfig, MemberConfig};
use stairward_standins::server::{DatabaseGroup, DatabaseGroupConfig};
use stairward_standins::{GroundTruth, Observation};
use stairward_types::{
    AdminState, BackendId, FenceStrength, Freshness, GroupId, Incarnation, NodeId, RegionName,
    ResultCode, Revision, ServiceName, Time, ZoneName,
};
use tokio::net::TcpListener;

/// Time limit of a test; it is exceeded only if the test hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const DATABASE: &str = "books";
pub const PRIMARY: &str = "books-1";
pub const REPLICA: &str = "books-2";
pub const OTHER_REPLICA: &str = "books-3";
pub const CONNECTION_LIMIT: u32 = 20;

pub fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

/// Runs a test body with a timeout.
pub async fn with_timeout(body: impl Future<Output = ()>) {
    tokio::time::timeout(TEST_TIMEOUT, body)
        .await
        .expect("the test timed out");
}

struct NodeService {
    owner: Arc<OwnerService>,
}

impl PeerService for NodeService {
    fn accept_stream(&self, stream: OwnerStream) {
        self.owner.accept_stream(stream);
    }

    fn answer_call(&self, _from: NodeId, request: CallRequest) -> CallFuture {
        let owner = Arc::clone(&self.owner);
        Box::pin(async move {
            match request {
                CallRequest::QueryBackend { backend } => {
                    let backend = BackendId::new(backend.as_str()).unwrap();
                    owner.probe_backend(&backend).await
                }
                CallRequest::HandOver { backend } => {
                    owner.handle_handover(&BackendId::new(backend.as_str()).unwrap());
                    CallReply::Done
                }
                _ => CallReply::Done,
            }
        })
    }
}

/// One node with an owner side.
pub struct Node {
    pub cluster: Cluster,
    pub owner: Arc<OwnerService>,
    pub network: PeerNetwork,
}

/// Counts the open connections of each back end and their maximum over all back ends.
#[derive(Default)]
pub struct ConnectionCount {
    open: Mutex<BTreeMap<BackendId, u32>>,
    pub maximum: AtomicU64,
}

impl ConnectionCount {
    fn observe(&self, truth: &GroundTruth) {
        let mut open = self.open.lock().unwrap();
        let count = open.entry(truth.backend.clone()).or_default();
        match truth.observation {
            Observation::ConnectionOpened { .. } => *count += 1,
            Observation::ConnectionClosed { .. } => *count -= 1,
            _ => {}
        }
        self.maximum.fetch_max(u64::from(*count), Ordering::SeqCst);
    }
}

pub struct Site {
    pub databases: DatabaseGroup,
    pub nodes: Vec<Node>,
    pub settings: ResolvedSettings,
    pub connection_count: Arc<ConnectionCount>,
    view: MembershipView,
}

impl Site {
    /// Starts one node that owns all back ends.
    pub async fn start() -> Self {
        Self::start_with(1, |_, _| owned_by(1)).await
    }

    /// Starts several nodes. The rule selects the owners according to the view of the evaluating
    /// node.
    pub async fn start_with(
        nodes: u64,
        rule: impl Fn(&Identity, &MembershipView) -> Owners + Clone + Send + Sync + 'static,
    ) -> Self {
        let connection_count = Arc::new(ConnectionCount::default());
        let databases = start_databases(Arc::clone(&connection_count)).await;
        let settings = resolved_settings(&databases);
        let (listeners, view) = peer_listeners(nodes).await;
        let mut started = Vec::new();
        for (number, listener) in (1..).zip(listeners) {
            let identity = identity(number);
            let rule = rule.clone();
            let own = identity.clone();
            let rule = Arc::new(
                move |view: &MembershipView, _: &BackendId, _: &BackendSettings| {
                    Some(rule(&own, view))
                },
            );
            let cluster = Cluster::new(identity, rule);
            cluster.set_members(view.clone());
            cluster.apply_settings(settings.clone());
            let key = ClusterKey::new(*b"a cluster key for tests").unwrap();
            let network = PeerNetwork::new(cluster.clone(), key);
            let owner =
                OwnerService::new(cluster.clone(), network.clone(), OwnerSettings::default());
            let service: Arc<dyn PeerService> = Arc::new(NodeService {
                owner: Arc::clone(&owner),
            });
            network.set_service(Arc::clone(&service));
            let serving = network.clone();
            tokio::spawn(async move { serving.serve(listener, service).await });
            tokio::spawn(Arc::clone(&owner).run());
            started.push(Node {
                cluster,
                owner,
                network,
            });
        }
        Self {
            databases,
            nodes: started,
            settings,
            connection_count,
            view,
        }
    }

    /// Starts one node, waits until it is ready, and creates the table `books (id, title)`.
    pub async fn with_table() -> Self {
        let site = Self::start().await;
        site.nodes[0].wait_until_ready().await;
        let created = site.nodes[0]
            .write("CREATE TABLE books (id int PRIMARY KEY, title text)")
            .await;
        assert!(matches!(created, Outcome::Done { .. }), "{created:?}");
        site
    }

    /// Applies changed settings at every node.
    pub fn change_settings(&mut self, change: impl Fn(&mut GroupSettings)) {
        let revision = Revision(self.settings.revision.0 + 1);
        let mut groups = self.settings.groups.clone();
        groups.values_mut().for_each(change);
        let services = self.settings.services.clone();
        self.settings = ResolvedSettings::new(revision, groups, services);
        for node in &self.nodes {
            node.cluster.apply_settings(self.settings.clone());
        }
    }

    /// Marks a node as leaving in the view of every node.
    pub fn announce_leaving(&mut self, node: u64) {
        for member in &mut self.view.members {
            member.leaving |= member.node == NodeId(node);
        }
        for node in &self.nodes {
            node.cluster.set_members(self.view.clone());
        }
    }
}

pub fn owned_by(node: u64) -> Owners {
    Owners {
        owner: NodeId(node),
        standby: None,
    }
}

async fn start_databases(connection_count: Arc<ConnectionCount>) -> DatabaseGroup {
    let members = [PRIMARY, REPLICA, OTHER_REPLICA].map(|name| {
        let mut member = MemberConfig::new(backend(name));
        member.connection_limit = 100;
        member
    });
    let mut config = DatabaseGroupConfig::new(GroupConfig::new(DATABASE, members.to_vec()));
    config.observer = Some(Arc::new(move |truth| connection_count.observe(&truth)));
    DatabaseGroup::start(config).await.unwrap()
}

fn identity(number: u64) -> Identity {
    Identity {
        node: NodeId(number),
        incarnation: Incarnation(1),
        region: RegionName::new("kul").unwrap(),
        zone: ZoneName::new("kul-a").unwrap(),
    }
}

async fn peer_listeners(count: u64) -> (Vec<TcpListener>, MembershipView) {
    let mut listeners = Vec::new();
    let mut members = Vec::new();
    for number in 1..=count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let identity = identity(number);
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

fn resolved_settings(databases: &DatabaseGroup) -> ResolvedSettings {
    let group = GroupId::new(DATABASE).unwrap();
    let service = ServiceName::new("reader-core").unwrap();
    let backends = databases.addresses().iter().map(|(name, address)| {
        let settings = BackendSettings {
            backend: name.clone(),
            address: *address,
            region: RegionName::new("kul").unwrap(),
            zone: ZoneName::new("kul-a").unwrap(),
            admin_state: AdminState::Active,
            connection_limit: CONNECTION_LIMIT,
            slots: 5,
            opening_limit: 4,
        };
        (name.clone(), settings)
    });
    let group_settings = GroupSettings {
        group: group.clone(),
        service: service.clone(),
        backends: backends.collect(),
        backend_user: "stairward".to_owned(),
        request_timeout: Duration::from_secs(20),
        freshness_wait: Duration::from_millis(50),
        maximum_staleness: Duration::ZERO,
        fence: FenceStrength::Position,
        fence_timeout: Duration::from_millis(500),
        hold_queue_requests: 100,
        hold_queue_bytes: 1_000_000,
        hold_queue_time: Duration::from_secs(15),
        admission_queue_requests: 100,
        retry_budget_permille: 200,
        leave_timeout: Duration::from_millis(200),
        maximum_message_bytes: 256 * 1024,
        request_key_retention: Duration::from_secs(3_600),
    };
    ResolvedSettings::new(
        Revision(1),
        [(group, group_settings)].into(),
        [(service, ServiceSettings { weight: 1 })].into(),
    )
}

/// A simple query as a frontend message.
pub fn query(sql: &str) -> Vec<u8> {
    let mut message = vec![b'Q'];
    message.extend(u32::try_from(sql.len() + 5).unwrap().to_be_bytes());
    message.extend(sql.as_bytes());
    message.push(0);
    message
}

pub fn batch(sequence: u32, sql: &str) -> Batch {
    Batch {
        sequence,
        complete: 1,
        alters_session: 0,
        messages: query(sql).into(),
    }
}

/// An `Open` for one statement; tests adjust its fields.
pub fn open(name: &str, access: WireAccess, sql: &str) -> Open {
    Open {
        backend: name.into(),
        service: "reader-core".into(),
        access,
        floor: None.into(),
        expected_term: 0,
        deadline_milliseconds: 10_000,
        freshness_wait_milliseconds: 0,
        request_key: "".into(),
        session_setup: Vec::new().into(),
        batch: batch(1, sql),
    }
}

/// How a batch ended, with the responses received before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Done {
        answer: String,
        status: WireTransactionStatus,
        code: ResultCode,
        freshness: Freshness,
    },
    Refused(ResultCode),
    Unknown {
        answer: String,
        code: ResultCode,
    },
    TransactionLost,
    StreamLost,
}

impl Outcome {
    /// The responses of a completed batch, as lossy text.
    pub fn answer(&self) -> &str {
        match self {
            Self::Done { answer, .. } => answer,
            other => panic!("the batch did not complete: {other:?}"),
        }
    }

    pub fn code(&self) -> ResultCode {
        match self {
            Self::Done { code, .. } | Self::Refused(code) | Self::Unknown { code, .. } => *code,
            other => panic!("the outcome has no result code: {other:?}"),
        }
    }
}

/// Receives messages from the owner until the batch has ended.
pub async fn outcome(stream: &mut EdgeStream) -> Outcome {
    let mut answer = String::new();
    while let Some(message) = stream.receive().await {
        match message {
            OwnerMessage::Admitted(_) => {}
            OwnerMessage::Answer { messages } => {
                let bytes = u32::try_from(messages.bytes.len()).unwrap();
                answer.push_str(&String::from_utf8_lossy(&messages.bytes));
                stream.send(EdgeMessage::Credit { bytes });
            }
            OwnerMessage::BatchDone {
                status, code, hint, ..
            } => {
                return Outcome::Done {
                    answer,
                    status,
                    code: ResultCode::from_number(code).unwrap(),
                    freshness: hint.freshness.into(),
                };
            }
            OwnerMessage::Refused { code, .. } => {
                return Outcome::Refused(ResultCode::from_number(code).unwrap());
            }
            OwnerMessage::OutcomeUnknown { code, .. } => {
                let code = ResultCode::from_number(code).unwrap();
                return Outcome::Unknown { answer, code };
            }
            OwnerMessage::TransactionLost { .. } => return Outcome::TransactionLost,
        }
    }
    Outcome::StreamLost
}

impl Node {
    pub async fn stream(&self, open: Open) -> EdgeStream {
        let own = self.cluster.identity.node;
        self.network.open_stream(own, open).await.unwrap()
    }

    pub async fn run(&self, open: Open) -> Outcome {
        outcome(&mut self.stream(open).await).await
    }

    pub async fn read(&self, name: &str, sql: &str) -> Outcome {
        self.run(open(name, WireAccess::Read, sql)).await
    }

    pub async fn write(&self, sql: &str) -> Outcome {
        self.run(open(PRIMARY, WireAccess::Write, sql)).await
    }

    /// Waits until every back end serves reads.
    pub async fn wait_until_ready(&self) {
        for name in [PRIMARY, REPLICA, OTHER_REPLICA] {
            self.wait_until_served(name).await;
        }
    }

    pub async fn wait_until_served(&self, name: &str) {
        while !matches!(self.read(name, "SELECT 1").await, Outcome::Done { .. }) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The number of rows in `books` on the primary.
    pub async fn rows(&self) -> usize {
        let read = self.read(PRIMARY, "SELECT id FROM books").await;
        let answer = read.answer().to_owned();
        let tag = answer.split("SELECT ").last().unwrap_or_default();
        tag.trim_end_matches('\0').parse().unwrap()
    }

    pub fn now(&self) -> Time {
        self.cluster.clock.now()
    }
}
