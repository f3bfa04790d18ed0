//! Warm-up: back ends that have just started get few requests, from one node, and none that a warm one can take.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendDescription, Event, ResponseResult, RoutingTable, ServiceHolders,
    ServiceLimits, StatementKind, TransactionStatus,
};
use stairward_testing::check;
use stairward_types::{NodeId, ResultCode, Time};
use support::{
    BOUNDED, CONNECTION_LIMIT, FAR_REPLICA, LEADER_READS, NEAR_REPLICA, PRIMARY, World, at, done,
    forwarded, held_by, listed, service, table, usual_backends,
};

/// Requests a second that a cold back end may get from all nodes; one node spends half.
const RATE: u64 = 8;
const SHARE: usize = 4;
const COLD: Duration = Duration::from_secs(20);
/// This node, as the engine's options name it.
const OWN: NodeId = NodeId(0);
const OTHER: NodeId = NodeId(9);

fn limited(revision: u64) -> RoutingTable {
    let limits = ServiceLimits {
        connections: CONNECTION_LIMIT,
        synchronous_replicas: 0,
        cold_rate_thousandths: Some(RATE * 1_000),
    };
    RoutingTable {
        services: BTreeMap::from([(service(), limits)]),
        ..table(revision)
    }
}

fn backends(cold: &[&str], left: Duration) -> Vec<BackendDescription> {
    let mut list = usual_backends();
    for backend in &mut list {
        if cold.contains(&backend.id.as_str()) {
            backend.cold_left = left;
        }
    }
    list
}

/// A settled node, the first holder, whose service has these cold members.
fn world(cold: &[&str]) -> World {
    let mut world = World::new();
    world.tell(Event::NodeCountChanged(3));
    world.pass(Duration::from_secs(2));
    world.tell(Event::ConfigurationChanged(Arc::new(limited(2))));
    world.tell(held_by(ServiceHolders {
        first_ranked: Some(OWN),
        ..ServiceHolders::default()
    }));
    world.prove(at(1, 5));
    world.tell(listed(backends(cold, COLD)));
    world.sent.clear();
    world
}

fn write(world: &mut World) -> Option<stairward_engine::Response> {
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    if world.sent.is_empty() {
        world.pass(Duration::from_millis(200));
    } else {
        world.answer(done(TransactionStatus::Idle, at(1, 6)));
    }
    world.responses.pop().map(|(_, response)| response)
}

fn is_done(response: Option<stairward_engine::Response>) -> bool {
    matches!(
        response.map(|response| response.result),
        Some(ResponseResult::Completed { .. })
    )
}

#[test]
fn reads_go_to_warm_copies() {
    let mut world = world(&[PRIMARY, NEAR_REPLICA]);
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(world.sent[0].backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_service_without_a_rate_has_no_cold_back_ends() {
    let mut world = world(&[PRIMARY, NEAR_REPLICA]);
    world.tell(Event::ConfigurationChanged(Arc::new(table(3))));
    for _ in 0..20 {
        assert!(is_done(write(&mut world)));
    }
}

#[test]
fn a_cold_leader_gets_its_share_and_the_rest_is_told_when_to_come_back() {
    let mut world = world(&[PRIMARY]);
    for _ in 0..SHARE {
        assert!(is_done(write(&mut world)));
    }
    let refused = write(&mut world).expect("answered");
    let ResponseResult::Refused { code, retry_after } = refused.result else {
        panic!("not refused");
    };
    assert_eq!(code, ResultCode::Overloaded);
    assert!(retry_after.is_some_and(|after| after <= Duration::from_secs(1)));
    // In the next second there is room again, and a warm leader has no limit.
    world.pass(Duration::from_millis(1_300));
    assert!(is_done(write(&mut world)));
    world.tell(listed(backends(&[], Duration::ZERO)));
    for _ in 0..20 {
        assert!(is_done(write(&mut world)));
    }
}

#[test]
fn transactions_are_not_begun_at_a_cold_leader() {
    let mut world = world(&[PRIMARY]);
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Begin { read_only: false });
    assert_eq!(world.refusal(), ResultCode::Overloaded);
    assert!(world.sent.is_empty());
}

#[test]
fn others_forward_to_the_first_holder() {
    let mut world = world(&[PRIMARY]);
    world.tell(held_by(ServiceHolders {
        first_ranked: Some(OTHER),
        ..ServiceHolders::default()
    }));
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    assert_eq!(world.forwarded.len(), 1);
    assert_eq!(world.forwarded[0].0, OTHER);
    // What any copy can take is not forwarded.
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(world.forwarded.len(), 1);
}

#[test]
fn a_node_that_is_not_the_first_holder_sends_nothing_for_others() {
    let mut world = world(&[PRIMARY]);
    world.tell(held_by(ServiceHolders {
        first_ranked: Some(OTHER),
        ..ServiceHolders::default()
    }));
    world.tell(forwarded(LEADER_READS, None, StatementKind::Write));
    assert_eq!(world.refusal(), ResultCode::NotOwner);
    assert!(world.sent.is_empty());
}

#[test]
fn a_node_that_has_lost_sight_of_half_the_others_sends_nothing() {
    let mut world = world(&[PRIMARY]);
    world.tell(Event::NodeCountChanged(1));
    let refused = write(&mut world).expect("answered");
    assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    world.tell(Event::NodeCountChanged(2));
    assert!(is_done(write(&mut world)));
}

#[test]
fn a_node_sends_nothing_to_a_cold_back_end_in_its_first_second() {
    let mut world = World::empty();
    world.now = Time::from_millis(10);
    world.tell(Event::ConfigurationChanged(Arc::new(limited(1))));
    world.tell(listed(backends(&[PRIMARY], COLD)));
    world.tell(Event::NodeCountChanged(3));
    world.tell(held_by(ServiceHolders {
        first_ranked: Some(OWN),
        ..ServiceHolders::default()
    }));
    let refused = write(&mut world).expect("answered");
    assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    world.pass(Duration::from_secs(1));
    assert!(is_done(write(&mut world)));
}

#[test]
fn an_entry_that_only_repeats_itself_does_not_prolong_it() {
    let mut world = world(&[PRIMARY]);
    world.pass(COLD / 2);
    world.tell(listed(backends(&[PRIMARY], COLD)));
    world.pass(COLD / 2);
    assert!(!world.engine.is_cold(world.now, &support::backend(PRIMARY)));
    // It was gone, and is back: cold anew.
    world.tell(listed(backends(&[], Duration::ZERO)[1..].to_vec()));
    world.tell(listed(backends(&[PRIMARY], COLD)));
    assert!(world.engine.is_cold(world.now, &support::backend(PRIMARY)));
    // A value that grows is believed.
    world.pass(COLD / 2);
    world.tell(listed(backends(&[PRIMARY], COLD * 2)));
    world.pass(COLD);
    assert!(world.engine.is_cold(world.now, &support::backend(PRIMARY)));
}

/// Answers what was sent at once, and notes when statements were.
fn answer_all(world: &mut World, sent_at: &mut BTreeMap<String, VecDeque<Time>>) {
    while let Some(sent) = world.sent.first().cloned() {
        if matches!(sent.command, BackendCommand::Run { .. }) {
            let times = sent_at.entry(sent.backend.as_str().to_owned());
            let times = times.or_default();
            times.push_back(world.now);
            let is_over = |at: &Time| world.now.since(*at) >= Duration::from_secs(1);
            while times.front().is_some_and(is_over) {
                times.pop_front();
            }
            assert!(times.len() <= SHARE, "{times:?}");
        }
        let status = match sent.command {
            BackendCommand::Begin { .. } => TransactionStatus::Open,
            _ => TransactionStatus::Idle,
        };
        world.answer(done(status, at(1, 9)));
    }
}

#[test]
fn no_second_holds_more_than_the_share() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut world = world(&[PRIMARY, NEAR_REPLICA, FAR_REPLICA]);
        let mut sent_at = BTreeMap::new();
        for (kind, detail) in steps {
            if *kind < 60 {
                for _ in 0..u32::from(*detail) / 8 {
                    world.pass(Duration::from_millis(20));
                    answer_all(&mut world, &mut sent_at);
                }
                continue;
            }
            let database = if kind % 2 == 0 { BOUNDED } else { LEADER_READS };
            let session = world.open(database);
            let statement = if detail % 3 == 0 {
                StatementKind::Read
            } else {
                StatementKind::Write
            };
            world.say(session, statement);
            answer_all(&mut world, &mut sent_at);
        }
    });
}
