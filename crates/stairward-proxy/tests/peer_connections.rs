//! Connections between nodes over real TCP: how streams end, and who is let in.

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
/// Only guards against a hang.
const PATIENCE: Duration = Duration::from_secs(30);

struct HandOn(mpsc::UnboundedSender<OwnerStream>);

impl PeerService for HandOn {
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
    let service = Arc::new(HandOn(sender));
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

fn introduce(nodes: &[&TestNode]) {
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

async fn in_time<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, work)
        .await
        .expect("no answer, and nothing more to wait for")
}

#[tokio::test]
async fn an_owner_that_lets_go_without_a_word_ends_the_stream() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    introduce(&[&edge, &owner]);
    let mut stream = in_time(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    let served = in_time(owner.streams.recv())
        .await
        .expect("the stream arrives");
    served.send(OwnerMessage::Admitted(BackendHint::default()));
    drop(served);
    assert!(matches!(
        in_time(stream.receive()).await,
        Some(OwnerMessage::Admitted(_))
    ));
    assert!(in_time(stream.receive()).await.is_none());
}

#[tokio::test]
async fn an_edge_that_lets_go_abandons_the_stream() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    introduce(&[&edge, &owner]);
    let stream = in_time(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    let mut served = in_time(owner.streams.recv())
        .await
        .expect("the stream arrives");
    assert!(matches!(
        in_time(served.receive()).await,
        Some(EdgeMessage::Open(_))
    ));
    drop(stream);
    assert!(matches!(
        in_time(served.receive()).await,
        Some(EdgeMessage::Abandon)
    ));
}

#[tokio::test]
async fn a_node_declared_lost_ends_its_streams_though_its_socket_stays_open() {
    let edge = start(1, KEY).await;
    let mut owner = start(2, KEY).await;
    introduce(&[&edge, &owner]);
    let mut stream = in_time(edge.network.open_stream(NodeId(2), open()))
        .await
        .expect("a stream");
    // Held, so that the owner itself ends nothing: it has gone silent.
    let _silent = in_time(owner.streams.recv())
        .await
        .expect("the stream arrives");
    let alone = MembershipView {
        members: vec![edge.member.clone()],
    };
    edge.cluster.set_members(alone);
    assert!(in_time(stream.receive()).await.is_none());
}

#[tokio::test]
async fn a_node_without_the_cluster_key_is_refused() {
    let stranger = start(1, OTHER_KEY).await;
    let owner = start(2, KEY).await;
    introduce(&[&stranger, &owner]);
    let refused = in_time(stranger.network.open_stream(NodeId(2), open())).await;
    assert!(refused.is_err());
    let call = CallRequest::QueryBackend {
        backend: "backend-1".into(),
    };
    let refused = in_time(stranger.network.call(NodeId(2), call, PATIENCE)).await;
    assert!(refused.is_err());
}

#[tokio::test]
async fn a_node_that_is_no_member_cannot_be_asked() {
    let edge = start(1, KEY).await;
    introduce(&[&edge]);
    let refused = in_time(edge.network.open_stream(NodeId(9), open())).await;
    assert!(matches!(
        refused.err(),
        Some(PeerError::UnknownNode { node: NodeId(9) })
    ));
}
