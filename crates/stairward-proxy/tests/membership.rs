//! Membership over real sockets on loopback: nodes discover each other, detect a failure and a
//! planned stop, propagate terms, and ignore packets without a valid proof.

use std::net::SocketAddr;
use std::time::Duration;

use stairward_protocol::ClusterKey;
use stairward_proxy::cluster::{Cluster, Identity, KnownPrimary, MembershipView};
use stairward_proxy::control::membership::{self, MembershipHandle, rendezvous_rule};
use stairward_types::{BackendId, GroupId, Incarnation, NodeId, RegionName, Term, ZoneName};
use tokio::net::UdpSocket;

/// Guards against hanging tests; no test depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Node {
    cluster: Cluster,
    handle: MembershipHandle,
    address: SocketAddr,
}

fn key(secret: &str) -> ClusterKey {
    ClusterKey::new(secret).unwrap()
}

async fn start(node: u64, secret: &str, seeds: Vec<SocketAddr>) -> Node {
    let identity = Identity {
        node: NodeId(node),
        incarnation: Incarnation(1),
        region: RegionName::new("east").unwrap(),
        zone: ZoneName::new("east-a").unwrap(),
    };
    let cluster = Cluster::new(identity, rendezvous_rule());
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let handle = membership::run(cluster.clone(), socket, key(secret), seeds).unwrap();
    Node {
        cluster,
        handle,
        address,
    }
}

async fn start_three_nodes() -> [Node; 3] {
    let first = start(1, "a shared secret 16", Vec::new()).await;
    let second = start(2, "a shared secret 16", vec![first.address]).await;
    let third = start(3, "a shared secret 16", vec![first.address]).await;
    let nodes = [first, second, third];
    for node in &nodes {
        wait_until(node, |view| numbers(view) == [1, 2, 3]).await;
    }
    nodes
}

async fn wait_until(node: &Node, condition: impl Fn(&MembershipView) -> bool) {
    let mut views = node.cluster.watch_members();
    let reached = views.wait_for(|view| condition(view));
    tokio::time::timeout(TEST_TIMEOUT, reached)
        .await
        .unwrap()
        .unwrap();
}

fn numbers(view: &MembershipView) -> Vec<u64> {
    view.members.iter().map(|member| member.node.0).collect()
}

#[tokio::test]
async fn three_nodes_discover_each_other_and_detect_a_failure() {
    let [first, second, third] = start_three_nodes().await;
    drop(third);
    wait_until(&first, |view| numbers(view) == [1, 2]).await;
    wait_until(&second, |view| numbers(view) == [1, 2]).await;
}

#[tokio::test]
async fn a_planned_stop_is_announced_before_the_node_leaves() {
    let [first, second, third] = start_three_nodes().await;
    third.handle.announce_leaving().await;
    let is_leaving = |view: &MembershipView| view.member(NodeId(3)).is_some_and(|m| m.leaving);
    wait_until(&first, is_leaving).await;
    wait_until(&second, is_leaving).await;
    third.handle.depart().await;
    wait_until(&first, |view| numbers(view) == [1, 2]).await;
}

#[tokio::test]
async fn a_newer_term_known_to_one_node_reaches_the_others() {
    let [first, _second, third] = start_three_nodes().await;
    let group = GroupId::new("orders").unwrap();
    let primary = KnownPrimary {
        term: Term(7),
        backend: BackendId::new("orders-2").unwrap(),
    };
    first.cluster.learn_primary(&group, primary.clone());
    let mut primaries = third.cluster.watch_primaries();
    let arrived = primaries.wait_for(|known| known.get(&group) == Some(&primary));
    tokio::time::timeout(TEST_TIMEOUT, arrived)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn a_node_without_the_cluster_key_does_not_become_a_member() {
    let [first, _second, _third] = start_three_nodes().await;
    let outsider = start(9, "some other secret", vec![first.address]).await;
    // The fourth member joins after the outsider has tried to join several times.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let fourth = start(4, "a shared secret 16", vec![first.address]).await;
    wait_until(&first, |view| numbers(view) == [1, 2, 3, 4]).await;
    wait_until(&fourth, |view| numbers(view) == [1, 2, 3, 4]).await;
    assert_eq!(numbers(&outsider.cluster.members()), [9]);
}
