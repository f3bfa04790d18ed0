//! Ownership of back ends among several nodes: the connection limit holds during disputes and
//! handovers.

mod owner_support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use owner_support::{
    CONNECTION_LIMIT, Outcome, PRIMARY, REPLICA, Site, TEST_TIMEOUT, open, outcome, owned_by,
    with_timeout,
};
use stairward_protocol::stream::WireAccess;
use stairward_proxy::cluster::Owners;
use stairward_types::{NodeId, ResultCode};

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_claim_ownership_do_not_exceed_the_connection_limit() {
    with_timeout(async {
        let site = Site::start_with(3, |own, _| owned_by(own.node.0)).await;
        let served = site
            .nodes
            .iter()
            .map(|node| node.wait_until_served(REPLICA));
        futures::future::select_all(served.map(Box::pin)).await;
        // Long enough for every node to retry the lock several times.
        tokio::time::sleep(Duration::from_millis(700)).await;
        let holders = site.nodes.iter().filter(|node| {
            let status = node.owner.status();
            status.backends.values().any(|report| report.lease_held)
        });
        assert!(holders.count() >= 1);
        for name in [PRIMARY, REPLICA] {
            let mut answered = 0;
            for node in &site.nodes {
                match node.read(name, "SELECT 1").await {
                    Outcome::Done { .. } => answered += 1,
                    refused => assert_eq!(refused.code(), ResultCode::NotOwner),
                }
            }
            assert_eq!(answered, 1, "exactly one node must serve {name}");
        }
        let maximum = site.connection_count.maximum.load(Ordering::SeqCst);
        assert!(
            maximum <= u64::from(CONNECTION_LIMIT),
            "{maximum} connections"
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_over_without_interrupting_transactions() {
    with_timeout(async {
        let mut site = Site::start_with(2, |_, view| {
            let remaining = view.members.iter().find(|member| !member.leaving);
            owned_by(remaining.unwrap().node.0)
        })
        .await;
        site.nodes[0].wait_until_ready().await;
        let sql = "BEGIN; SELECT 1";
        let read = open(REPLICA, WireAccess::Read, sql);
        let mut stream = site.nodes[0].stream(read).await;
        outcome(&mut stream).await.answer();
        site.announce_leaving(1);
        let owner = Arc::clone(&site.nodes[0].owner);
        let drained = tokio::spawn(async move { owner.drain(TEST_TIMEOUT).await });
        while site.nodes[0].read(REPLICA, "SELECT 1").await
            != Outcome::Refused(ResultCode::NotOwner)
        {}
        let commit = owner_support::batch(2, "COMMIT");
        stream.send(stairward_protocol::stream::EdgeMessage::Batch(commit));
        assert!(outcome(&mut stream).await.answer().contains("COMMIT"));
        drained.await.unwrap();
        site.nodes[1].wait_until_ready().await;
        let maximum = site.connection_count.maximum.load(Ordering::SeqCst);
        assert!(
            maximum <= u64::from(CONNECTION_LIMIT),
            "{maximum} connections"
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_standby_serves_beside_the_owner_with_a_small_share() {
    with_timeout(async {
        let site = Site::start_with(2, |_, _| Owners {
            owner: NodeId(1),
            standby: Some(NodeId(2)),
        })
        .await;
        site.nodes[0].wait_until_ready().await;
        site.nodes[1].wait_until_ready().await;
        let status = site.nodes[1].owner.status();
        for report in status.backends.values() {
            assert_eq!(report.role, "standby");
            assert!(report.connections <= CONNECTION_LIMIT as usize / 10);
        }
        let maximum = site.connection_count.maximum.load(Ordering::SeqCst);
        assert!(
            maximum <= u64::from(CONNECTION_LIMIT),
            "{maximum} connections"
        );
    })
    .await;
}
