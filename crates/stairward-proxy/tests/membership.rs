//! Membership over real sockets on loopback: nodes find each other, notice a loss and a planned stop,
//! spread terms, and ignore packets without a valid proof.

use std::net::SocketAddr;
use std::time::Duration;

use stairward_protocol::ClusterKey;
use stairward_proxy::cluster::{Cluster, Identity, KnownPrimary, MembershipView};
use stairward_proxy::control::membership::{self, MembershipHandle, rendezvous_rule};
use stairward_types::{BackendId, GroupId, Incarnation, NodeId, RegionName, Term, ZoneName};
use tokio::net::UdpSocket;

/// Only a guard against hanging; nothing is measured here.
const GUARD: Duration = Duration::from_secs(30);

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

async fn start_three() -> [Node; 3] {
    let first = start(1, "a shared secret 16", Vec::new()).await;
    let second = start(2, "a shared secret 16", vec![first.address]).await;
    let third = start(3, "a shared secret 16", vec![first.address]).await;
    let nodes = [first, second, third];
    for node in &nodes {
        until(node, |view| numbers(view) == [1, 2, 3]).await;
    }
    nodes
}

async fn until(node: &Node, is_wanted: impl Fn(&MembershipView) -> bool) {
    let mut views = node.cluster.watch_members();
    let wanted = views.wait_for(|view| is_wanted(view));
    tokio::time::timeout(GUARD, wanted).await.unwrap().unwrap();
}

fn numbers(view: &MembershipView) -> Vec<u64> {
    view.members.iter().map(|member| member.node.0).collect()
}

#[tokio::test]
async fn three_nodes_find_each_other_and_notice_a_loss() {
    let [first, second, third] = start_three().await;
    drop(third);
    until(&first, |view| numbers(view) == [1, 2]).await;
    until(&second, |view| numbers(view) == [1, 2]).await;
}

#[tokio::test]
async fn a_planned_stop_is_announced_before_the_node_is_gone() {
    let [first, second, third] = start_three().await;
    third.handle.announce_leaving().await;
    let is_leaving = |view: &MembershipView| view.member(NodeId(3)).is_some_and(|m| m.leaving);
    until(&first, is_leaving).await;
    until(&second, is_leaving).await;
    third.handle.depart().await;
    until(&first, |view| numbers(view) == [1, 2]).await;
}

#[tokio::test]
async fn a_newer_term_known_to_one_node_reaches_the_others() {
    let [first, _second, third] = start_three().await;
    let group = GroupId::new("orders").unwrap();
    let primary = KnownPrimary {
        term: Term(7),
        backend: BackendId::new("orders-2").unwrap(),
    };
    first.cluster.learn_primary(&group, primary.clone());
    let mut primaries = third.cluster.watch_primaries();
    let arrived = primaries.wait_for(|known| known.get(&group) == Some(&primary));
    tokio::time::timeout(GUARD, arrived).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_node_without_the_cluster_key_stays_outside() {
    let [first, _second, _third] = start_three().await;
    let stranger = start(9, "some other secret", vec![first.address]).await;
    // The fourth member arrives after the stranger has knocked several times.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let fourth = start(4, "a shared secret 16", vec![first.address]).await;
    until(&first, |view| numbers(view) == [1, 2, 3, 4]).await;
    until(&fourth, |view| numbers(view) == [1, 2, 3, 4]).await;
    assert_eq!(numbers(&stranger.cluster.members()), [9]);
}
