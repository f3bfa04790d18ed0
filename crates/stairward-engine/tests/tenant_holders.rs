//! Selection of the holder for a tenant's statements.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendErrorCode, BackendReply, Event, Holder, Response, ResponseResult,
    ServiceHolders, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, NodeId, ResultCode, ZoneName};
use support::tenants::{FIRST, harness, name, table_of, tenant};
use support::{
    Harness, LEADER_READS, OWN_READS, PRIMARY, at, done, failed, held_by, listed, service,
    usual_backends,
};

/// The node under test.
const OWN: NodeId = NodeId(0);

fn places(harness: &mut Harness, near: &[NodeId], far: &[NodeId]) {
    let place = |nodes: &[NodeId], is_same_region| -> Vec<Holder> {
        let nodes = nodes.iter();
        nodes
            .map(|node| Holder {
                node: *node,
                is_same_region,
                zone: ZoneName::new(if is_same_region { "zone-a" } else { "zone-b" }).unwrap(),
            })
            .collect()
    };
    let all = [place(near, true), place(far, false)].concat();
    let others: Vec<_> = all.iter().map(|holder| holder.node).collect();
    harness.handle(held_by(ServiceHolders {
        forward_targets: if others.contains(&OWN) {
            Vec::new()
        } else {
            others
        },
        holders: all,
        ..ServiceHolders::default()
    }));
}

/// The nodes to which single statements of many tenants go; this node if not forwarded.
fn destinations(near: &[NodeId], far: &[NodeId]) -> Vec<NodeId> {
    let tenants = (0..24).map(|n| tenant(&format!("t{n}"), &[&format!("k{n}")]));
    let mut harness = Harness::new();
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        tenants.collect(),
    ))));
    places(&mut harness, near, far);
    let destination = |n: u64| {
        let session = harness.open_with(n + 1, LEADER_READS, Some(&format!("k{n}")));
        harness.submit(session, StatementKind::Write);
        let forwarded = harness.forwarded.pop();
        forwarded.map_or(OWN, |(holder, ..)| holder)
    };
    (0..24).map(destination).collect()
}

#[test]
fn a_tenants_statements_go_to_one_holder_of_the_own_region() {
    let near = [NodeId(7), NodeId(8), OWN];
    let far = [NodeId(20), NodeId(21)];
    let first = destinations(&near, &far);
    let used: BTreeSet<NodeId> = first.iter().copied().collect();
    assert_eq!(used, BTreeSet::from(near));
    assert_eq!(first, destinations(&near, &far));
    // Without a holder in the region, the tenant's holder in the other one is used.
    let elsewhere = destinations(&[], &far);
    assert!(elsewhere.iter().all(|node| far.contains(node)));
}

/// A harness whose leader is in the far zone.
fn leader_in_far_zone() -> Harness {
    let mut harness = harness();
    let mut members = usual_backends();
    members[0].role = BackendRole::Replica;
    members[2].role = BackendRole::Primary;
    harness.handle(listed(members));
    harness
}

#[test]
fn leader_work_goes_to_a_holder_in_its_zone_and_reads_to_a_near_one() {
    let mut harness = leader_in_far_zone();
    places(&mut harness, &[NodeId(7)], &[NodeId(20), NodeId(21)]);
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    let (holder, ..) = harness.forwarded.pop().unwrap();
    assert!([NodeId(20), NodeId(21)].contains(&holder), "{holder:?}");
    let session = harness.open_with(2, OWN_READS, Some("key-1"));
    harness.submit(session, StatementKind::Read);
    let (holder, ..) = harness.forwarded.pop().unwrap();
    assert_eq!(holder, NodeId(7));
}

fn behind() -> BackendReply {
    failed(BackendErrorCode::NotFresh, TransactionStatus::Idle)
}

#[test]
fn a_holder_whose_copies_are_behind_sends_a_forwarded_read_back_at_once() {
    let mut harness = leader_in_far_zone();
    places(&mut harness, &[OWN], &[NodeId(20)]);
    harness.handle(Event::PeerPosition {
        service: service(),
        freshness: at(1, 5),
        asked_at: harness.now,
        age: Duration::ZERO,
    });
    harness.handle(support::forwarded(
        OWN_READS,
        Some(name(FIRST)),
        StatementKind::Read,
    ));
    // Both replicas of this zone lag behind; the leader is in the other zone.
    for _ in 0..2 {
        let sent = harness.sent.iter().position(|sent| is_run(&sent.command));
        let sent = harness.sent.remove(sent.expect("sent"));
        harness.handle(Event::Reply {
            connection: sent.connection,
            reply: behind(),
        });
    }
    assert_eq!(harness.refusal(), ResultCode::NotFreshEnough);
}

fn is_run(command: &BackendCommand) -> bool {
    matches!(command, BackendCommand::Run { .. })
}

#[test]
fn a_stale_read_is_forwarded_once_to_a_holder_in_the_leaders_zone() {
    let mut harness = leader_in_far_zone();
    places(&mut harness, &[NodeId(7)], &[NodeId(20)]);
    let session = harness.open_with(1, OWN_READS, Some("key-1"));
    harness.submit(session, StatementKind::Read);
    let refused = Response {
        rows: Vec::new(),
        result: ResponseResult::Refused {
            code: ResultCode::NotFreshEnough,
            retry_after: None,
        },
        status: TransactionStatus::Idle,
        position: None,
    };
    for expected in [NodeId(7), NodeId(20)] {
        let (holder, session, request, _) = harness.forwarded.pop().unwrap();
        assert_eq!(holder, expected);
        let response = refused.clone();
        harness.handle(Event::ForwardAnswered {
            holder,
            session,
            request,
            response,
        });
    }
    assert!(harness.forwarded.is_empty());
    assert_eq!(harness.refusal(), ResultCode::NotFreshEnough);
}

#[test]
fn the_holders_in_a_back_ends_zone_share_its_connections() {
    let mut harness = harness();
    places(&mut harness, &[OWN], &[NodeId(20)]);
    // Of 11 connections one is for the holder in the other zone, and one of the rest is left to other
    // tenants.
    for number in 0..12 {
        let session = harness.open_with(number + 1, LEADER_READS, Some("key-1"));
        harness.submit(session, StatementKind::Write);
    }
    let to = |harness: &Harness, name: &str| {
        let opened = harness.opened.iter();
        opened.filter(|(_, id)| id.as_str() == name).count()
    };
    assert!(to(&harness, PRIMARY) >= 9, "{:?}", harness.opened);
    // A holder in another zone keeps to a single connection.
    places(&mut harness, &[NodeId(7)], &[OWN, NodeId(20)]);
    let before = to(&harness, PRIMARY);
    let session = harness.open_with(20, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    assert_eq!(to(&harness, PRIMARY), before);
}

#[test]
fn a_tenant_whose_holder_is_lost_goes_to_the_next_one() {
    let mut harness = harness();
    places(&mut harness, &[NodeId(7), NodeId(8)], &[]);
    let session = harness.open_with(1, OWN_READS, Some("key-1"));
    harness.submit(session, StatementKind::Read);
    let (first, ..) = harness.forwarded.pop().unwrap();
    harness.handle(Event::HolderLost(first));
    let (second, ..) = harness.forwarded.pop().unwrap();
    assert_ne!(first, second);
}

#[test]
fn a_node_keeps_no_connection_to_back_ends_that_others_hold() {
    let mut harness = harness();
    places(&mut harness, &[OWN], &[NodeId(20)]);
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    // While the statement runs, other nodes become the holders.
    places(&mut harness, &[NodeId(7)], &[NodeId(20)]);
    while !harness.sent.is_empty() {
        harness.answer(done(TransactionStatus::Idle, at(1, 5)));
    }
    harness.response();
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.engine.statistics().connections, 0);
}

#[test]
fn clients_without_a_key_go_to_a_holder_beside_the_leader_too() {
    let mut harness = leader_in_far_zone();
    let mut open = table_of(3, vec![tenant(FIRST, &["key-1"])]);
    for route in open.routes.values_mut() {
        Arc::make_mut(route).is_public = true;
    }
    harness.handle(Event::ConfigurationChanged(Arc::new(open)));
    places(&mut harness, &[NodeId(7)], &[NodeId(20)]);
    let session = harness.open_with(1, LEADER_READS, None);
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.forwarded.pop().unwrap().0, NodeId(20));
}
