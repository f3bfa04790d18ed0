//! Which holder a tenant's statements go to.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendErrorCode, BackendReply, Event, Holder, Response, ResponseResult,
    ServiceHolders, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, NodeId, ResultCode, ZoneName};
use support::tenants::{FIRST, name, table_of, tenant, world};
use support::{
    LEADER_READS, OWN_READS, PRIMARY, World, at, done, failed, held_by, listed, service,
    usual_backends,
};

/// The node of the engines under test.
const OWN: NodeId = NodeId(0);

fn places(world: &mut World, near: &[NodeId], far: &[NodeId]) {
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
    world.tell(held_by(ServiceHolders {
        forward_targets: if others.contains(&OWN) {
            Vec::new()
        } else {
            others
        },
        holders: all,
        ..ServiceHolders::default()
    }));
}

/// Where the only statement of each of many tenants goes; the node itself where it is not forwarded.
fn destinations(near: &[NodeId], far: &[NodeId]) -> Vec<NodeId> {
    let tenants = (0..24).map(|n| tenant(&format!("t{n}"), &[&format!("k{n}")]));
    let mut world = World::new();
    world.tell(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        tenants.collect(),
    ))));
    places(&mut world, near, far);
    let destination = |n: u64| {
        let session = world.open_with(n + 1, LEADER_READS, Some(&format!("k{n}")));
        world.say(session, StatementKind::Write);
        let forwarded = world.forwarded.pop();
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
    // Without a holder near by, a far one of the tenant's own.
    let elsewhere = destinations(&[], &far);
    assert!(elsewhere.iter().all(|node| far.contains(node)));
}

/// A world whose leader is in the far zone, and whose leader's position is known.
fn led_from_afar() -> World {
    let mut world = world();
    let mut members = usual_backends();
    members[0].role = BackendRole::Replica;
    members[2].role = BackendRole::Primary;
    world.tell(listed(members));
    world
}

#[test]
fn what_the_leader_must_take_goes_to_a_holder_beside_it_and_reads_to_one_near_by() {
    let mut world = led_from_afar();
    places(&mut world, &[NodeId(7)], &[NodeId(20), NodeId(21)]);
    let session = world.open_with(1, LEADER_READS, Some("key-1"));
    world.say(session, StatementKind::Write);
    let (holder, ..) = world.forwarded.pop().unwrap();
    assert!([NodeId(20), NodeId(21)].contains(&holder), "{holder:?}");
    let session = world.open_with(2, OWN_READS, Some("key-1"));
    world.say(session, StatementKind::Read);
    let (holder, ..) = world.forwarded.pop().unwrap();
    assert_eq!(holder, NodeId(7));
}

fn behind() -> BackendReply {
    failed(BackendErrorCode::NotFresh, TransactionStatus::Idle)
}

#[test]
fn a_holder_whose_copies_are_behind_sends_a_forwarded_read_back_at_once() {
    let mut world = led_from_afar();
    places(&mut world, &[OWN], &[NodeId(20)]);
    world.tell(Event::PeerPosition {
        service: service(),
        freshness: at(1, 5),
        asked_at: world.now,
        age: Duration::ZERO,
    });
    world.tell(support::forwarded(
        OWN_READS,
        Some(name(FIRST)),
        StatementKind::Read,
    ));
    // Both copies of this zone are behind; the leader is in the other one.
    for _ in 0..2 {
        let sent = world.sent.iter().position(|sent| is_run(&sent.command));
        let sent = world.sent.remove(sent.expect("sent"));
        world.tell(Event::Reply {
            connection: sent.connection,
            reply: behind(),
        });
    }
    assert_eq!(world.refusal(), ResultCode::NotFreshEnough);
}

fn is_run(command: &BackendCommand) -> bool {
    matches!(command, BackendCommand::Run { .. })
}

#[test]
fn a_read_that_found_copies_behind_goes_on_to_a_holder_beside_the_leader_once() {
    let mut world = led_from_afar();
    places(&mut world, &[NodeId(7)], &[NodeId(20)]);
    let session = world.open_with(1, OWN_READS, Some("key-1"));
    world.say(session, StatementKind::Read);
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
        let (holder, session, request, _) = world.forwarded.pop().unwrap();
        assert_eq!(holder, expected);
        let response = refused.clone();
        world.tell(Event::ForwardAnswered {
            holder,
            session,
            request,
            response,
        });
    }
    assert!(world.forwarded.is_empty());
    assert_eq!(world.refusal(), ResultCode::NotFreshEnough);
}

#[test]
fn the_holders_beside_a_back_end_share_its_connections() {
    let mut world = world();
    places(&mut world, &[OWN], &[NodeId(20)]);
    // Of 11, one is for the holder in the other zone, and of the rest one is left to other tenants.
    for number in 0..12 {
        let session = world.open_with(number + 1, LEADER_READS, Some("key-1"));
        world.say(session, StatementKind::Write);
    }
    let to = |world: &World, name: &str| {
        let opened = world.opened.iter();
        opened.filter(|(_, id)| id.as_str() == name).count()
    };
    assert!(to(&world, PRIMARY) >= 9, "{:?}", world.opened);
    // One that stands elsewhere keeps to a single connection.
    places(&mut world, &[NodeId(7)], &[OWN, NodeId(20)]);
    let before = to(&world, PRIMARY);
    let session = world.open_with(20, LEADER_READS, Some("key-1"));
    world.say(session, StatementKind::Write);
    assert_eq!(to(&world, PRIMARY), before);
}

#[test]
fn a_tenant_whose_holder_is_lost_goes_to_the_next_one() {
    let mut world = world();
    places(&mut world, &[NodeId(7), NodeId(8)], &[]);
    let session = world.open_with(1, OWN_READS, Some("key-1"));
    world.say(session, StatementKind::Read);
    let (first, ..) = world.forwarded.pop().unwrap();
    world.tell(Event::HolderLost(first));
    let (second, ..) = world.forwarded.pop().unwrap();
    assert_ne!(first, second);
}

#[test]
fn a_node_keeps_no_connection_to_back_ends_that_others_hold() {
    let mut world = world();
    places(&mut world, &[OWN], &[NodeId(20)]);
    let session = world.open_with(1, LEADER_READS, Some("key-1"));
    world.say(session, StatementKind::Write);
    // While the statement runs, others turn out to hold the service.
    places(&mut world, &[NodeId(7)], &[NodeId(20)]);
    while !world.sent.is_empty() {
        world.answer(done(TransactionStatus::Idle, at(1, 5)));
    }
    world.response();
    world.pass(Duration::from_secs(2));
    assert_eq!(world.engine.statistics().connections, 0);
}

#[test]
fn clients_without_a_key_go_to_a_holder_beside_the_leader_too() {
    let mut world = led_from_afar();
    let mut open = table_of(3, vec![tenant(FIRST, &["key-1"])]);
    for route in open.routes.values_mut() {
        Arc::make_mut(route).is_public = true;
    }
    world.tell(Event::ConfigurationChanged(Arc::new(open)));
    places(&mut world, &[NodeId(7)], &[NodeId(20)]);
    let session = world.open_with(1, LEADER_READS, None);
    world.say(session, StatementKind::Write);
    assert_eq!(world.forwarded.pop().unwrap().0, NodeId(20));
}
