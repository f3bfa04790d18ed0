//! Connections between nodes over real TCP: how streams end, and which peers are accepted.

use std::sync::Arc;
use std::time::Duration;

use stairward_protocol::ClusterKey;
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::stream::{BackendHint, Batch, EdgeMessage, Open, OwnerMessage, WireAccess};
use stairward_proxy::cluster::{Cluster, Identity, Member, MembershipView};
use stairward_proxy::peer::{CallFuture, OwnerStream, PeerError, PeerNetwork, PeerService};
use stairward_types::{Incarnation, NodeId, RegionName, ZoneName};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const KEY: &[u8] = b"the key of the test cluster";
const OTHER_KEY: &[u8] = b"the key of another cluster";
/// Guards against hanging tests; no test depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct ForwardStreams(mpsc::UnboundedSender<OwnerStream>);

impl PeerService for ForwardStreams {
    fn accept_stream(&self, stream: OwnerStream) {
        let _ = self.0.send(stream);
    }

    fn answer_call(&self, _from: NodeId, _request: CallRequest) -> CallFuture {
        Box::pin(std::future::ready(CallReply::Done))
    }
}

struct TestNode {
    cluster: Cluster,
    network: PeerNetwork,
    streams: mpsc::UnboundedReceiver<OwnerStream>,
    member: Member,
}

async fn start(number: u64, key: &[u8]) -> TestNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let member = Member {
        node: NodeId(number),
        incarnation: Incarnation(1),
        peer_address: listener.local_addr().expect("an address"),
        region: RegionName::new("south").expect("a name"),
        zone: ZoneName::new("a").expect("a name"),
        leaving: false,
    };
    let identity = Identity {
        node: member.node,
        incarnation: member.incarnation,
        region: member.region.clone(),
        zone: member.zone.clone(),
    };
    let cluster = Cluster::new(identity, Arc::new(|_, _, _| None));
    let key = ClusterKey::new(key).expect("a long key");
    let network = PeerNetwork::new(cluster.clone(), key);
    let (sender, streams) = mpsc::unbounded_channel();
    let service = Arc::new(ForwardStreams(sender));
    network.set_service(service.clone());
    let serving = network.clone();
    tokio::spawn(async move { serving.serve(listener, service).await });
    TestNode {
        cluster,
        network,
        streams,
        member,
    }
}

fn publish_members(nodes: &[&TestNode]) {
    let members = nodes.iter().map(|node| node.member.clone()).collect();
    let view = MembershipView { members };
    nodes
        .iter()
        .for_each(|node| node.cluster.set_members(view.clone()));
}

fn open() -> Open {
    Open {
        backend: "backend-1".into(),
        service: "service-1".into(),
        access: WireAccess::Read,
        floor: None.into(),
        expected_term: 0,
        deadline_milliseconds: 1_000,
        freshness_wait_milliseconds: 0,
        request_key: "".into(),
        session_setup: Vec::new().into(),
        batch: Batch {
            sequence: 1,
            complete: 1,
            alters_session: 0,
            messages: Vec::new().into(),
        },
    }
}

async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work)
        .await
        .expect("the test timed out")
}

#[tokio::test]
async fn an_owner_that_drops_a_stream_ends_it_at_the_edge() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    publish_members(&[&edge, &owner]);
    let mut stream = with_timeout(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    let owner_stream = with_timeout(owner.streams.recv())
        .await
        .expect("the stream arrives");
    owner_stream.send(OwnerMessage::Admitted(BackendHint::default()));
    drop(owner_stream);
    assert!(matches!(
        with_timeout(stream.receive()).await,
        Some(OwnerMessage::Admitted(_))
    ));
    assert!(with_timeout(stream.receive()).await.is_none());
}

#[tokio::test]
async fn an_edge_that_drops_a_stream_abandons_it_at_the_owner() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    publish_members(&[&edge, &owner]);
    let stream = with_timeout(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    let mut owner_stream = with_timeout(owner.streams.recv())
        .await
        .expect("the stream arrives");
    assert!(matches!(
        with_timeout(owner_stream.receive()).await,
        Some(EdgeMessage::Open(_))
    ));
    drop(stream);
    assert!(matches!(
        with_timeout(owner_stream.receive()).await,
        Some(EdgeMessage::Abandon)
    ));
}

#[tokio::test]
async fn streams_to_a_node_declared_lost_end_although_its_socket_stays_open() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    publish_members(&[&edge, &owner]);
    let mut stream = with_timeout(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    // Kept alive so that the owner does not end the stream: it has only become unresponsive.
    let _silent = with_timeout(owner.streams.recv())
        .await
        .expect("the stream arrives");
    let view_without_owner = MembershipView {
        members: vec![edge.member.clone()],
    };
    edge.cluster.set_members(view_without_owner);
    assert!(with_timeout(stream.receive()).await.is_none());
}

#[tokio::test]
async fn a_node_without_the_cluster_key_is_refused() {
    let outsider = start(1, OTHER_KEY).await;
    let owner = start(2, KEY).await;
    publish_members(&[&outsider, &owner]);
    let refused = with_timeout(outsider.network.open_stream(NodeId(2), open())).await;
    assert!(refused.is_err());
    let call = CallRequest::QueryBackend {
        backend: "backend-1".into(),
    };
    let refused = with_timeout(outsider.network.call(NodeId(2), call, TEST_TIMEOUT)).await;
    assert!(refused.is_err());
}

#[tokio::test]
async fn a_stream_to_a_node_that_is_not_a_member_is_refused() {
    let edge = start(1, KEY).await;
    publish_members(&[&edge]);
    let refused = with_timeout(edge.network.open_stream(NodeId(9), open())).await;
    assert!(matches!(
        refused.err(),
        Some(PeerError::UnknownNode { node: NodeId(9) })
    ));
}
