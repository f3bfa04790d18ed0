//! Warm-up: back ends that have just started get few requests, from one node, and none that a warm one can
//! take.

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
    BOUNDED, CONNECTION_LIMIT, FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, at, done,
    forwarded, held_by, listed, service, table, usual_backends,
};

/// Requests per second to a cold back end from all nodes; one node uses half of them.
const RATE: u64 = 8;
const SHARE: usize = 4;
const COLD: Duration = Duration::from_secs(20);
/// The node under test.
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

/// The first-ranked holder, past its startup delay, with these cold back ends.
fn harness(cold: &[&str]) -> Harness {
    let mut harness = Harness::new();
    harness.handle(Event::NodeCountChanged(3));
    harness.advance(Duration::from_secs(2));
    harness.handle(Event::ConfigurationChanged(Arc::new(limited(2))));
    harness.handle(held_by(ServiceHolders {
        first_ranked: Some(OWN),
        ..ServiceHolders::default()
    }));
    harness.prove_position(at(1, 5));
    harness.handle(listed(backends(cold, COLD)));
    harness.sent.clear();
    harness
}

fn write(harness: &mut Harness) -> Option<stairward_engine::Response> {
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    if harness.sent.is_empty() {
        harness.advance(Duration::from_millis(200));
    } else {
        harness.answer(done(TransactionStatus::Idle, at(1, 6)));
    }
    harness.responses.pop().map(|(_, response)| response)
}

fn is_done(response: Option<stairward_engine::Response>) -> bool {
    matches!(
        response.map(|response| response.result),
        Some(ResponseResult::Completed { .. })
    )
}

#[test]
fn reads_go_to_warm_copies() {
    let mut harness = harness(&[PRIMARY, NEAR_REPLICA]);
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.sent[0].backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_service_without_a_rate_has_no_cold_back_ends() {
    let mut harness = harness(&[PRIMARY, NEAR_REPLICA]);
    harness.handle(Event::ConfigurationChanged(Arc::new(table(3))));
    for _ in 0..20 {
        assert!(is_done(write(&mut harness)));
    }
}

#[test]
fn a_cold_leader_gets_its_share_and_the_rest_is_told_when_to_come_back() {
    let mut harness = harness(&[PRIMARY]);
    for _ in 0..SHARE {
        assert!(is_done(write(&mut harness)));
    }
    let refused = write(&mut harness).expect("answered");
    let ResponseResult::Refused { code, retry_after } = refused.result else {
        panic!("not refused");
    };
    assert_eq!(code, ResultCode::Overloaded);
    assert!(retry_after.is_some_and(|after| after <= Duration::from_secs(1)));
    // In the next second the limit allows requests again, and a warm leader has no limit.
    harness.advance(Duration::from_millis(1_300));
    assert!(is_done(write(&mut harness)));
    harness.handle(listed(backends(&[], Duration::ZERO)));
    for _ in 0..20 {
        assert!(is_done(write(&mut harness)));
    }
}

#[test]
fn transactions_are_not_begun_at_a_cold_leader() {
    let mut harness = harness(&[PRIMARY]);
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    assert_eq!(harness.refusal(), ResultCode::Overloaded);
    assert!(harness.sent.is_empty());
}

#[test]
fn other_nodes_forward_to_the_first_ranked_holder() {
    let mut harness = harness(&[PRIMARY]);
    harness.handle(held_by(ServiceHolders {
        first_ranked: Some(OTHER),
        ..ServiceHolders::default()
    }));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.forwarded.len(), 1);
    assert_eq!(harness.forwarded[0].0, OTHER);
    // Requests that any back end can take are not forwarded.
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.forwarded.len(), 1);
}

#[test]
fn a_node_that_is_not_the_first_holder_sends_nothing_for_others() {
    let mut harness = harness(&[PRIMARY]);
    harness.handle(held_by(ServiceHolders {
        first_ranked: Some(OTHER),
        ..ServiceHolders::default()
    }));
    harness.handle(forwarded(LEADER_READS, None, StatementKind::Write));
    assert_eq!(harness.refusal(), ResultCode::NotOwner);
    assert!(harness.sent.is_empty());
}

#[test]
fn a_node_that_sees_less_than_half_of_the_others_sends_nothing() {
    let mut harness = harness(&[PRIMARY]);
    harness.handle(Event::NodeCountChanged(1));
    let refused = write(&mut harness).expect("answered");
    assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    harness.handle(Event::NodeCountChanged(2));
    assert!(is_done(write(&mut harness)));
}

#[test]
fn a_node_sends_nothing_to_a_cold_back_end_in_its_first_second() {
    let mut harness = Harness::empty();
    harness.now = Time::from_millis(10);
    harness.handle(Event::ConfigurationChanged(Arc::new(limited(1))));
    harness.handle(listed(backends(&[PRIMARY], COLD)));
    harness.handle(Event::NodeCountChanged(3));
    harness.handle(held_by(ServiceHolders {
        first_ranked: Some(OWN),
        ..ServiceHolders::default()
    }));
    let refused = write(&mut harness).expect("answered");
    assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    harness.advance(Duration::from_secs(1));
    assert!(is_done(write(&mut harness)));
}

#[test]
fn a_repeated_description_does_not_extend_the_warm_up() {
    let mut harness = harness(&[PRIMARY]);
    harness.advance(COLD / 2);
    harness.handle(listed(backends(&[PRIMARY], COLD)));
    harness.advance(COLD / 2);
    assert!(
        !harness
            .engine
            .is_cold(harness.now, &support::backend(PRIMARY))
    );
    // It was unlisted and is listed again: cold anew.
    harness.handle(listed(backends(&[], Duration::ZERO)[1..].to_vec()));
    harness.handle(listed(backends(&[PRIMARY], COLD)));
    assert!(
        harness
            .engine
            .is_cold(harness.now, &support::backend(PRIMARY))
    );
    // An increased value extends the warm-up.
    harness.advance(COLD / 2);
    harness.handle(listed(backends(&[PRIMARY], COLD * 2)));
    harness.advance(COLD);
    assert!(
        harness
            .engine
            .is_cold(harness.now, &support::backend(PRIMARY))
    );
}

/// Answers all sent commands at once and records when statements were sent.
fn answer_all(harness: &mut Harness, sent_at: &mut BTreeMap<String, VecDeque<Time>>) {
    while let Some(sent) = harness.sent.first().cloned() {
        if matches!(sent.command, BackendCommand::Run { .. }) {
            let times = sent_at.entry(sent.backend.as_str().to_owned());
            let times = times.or_default();
            times.push_back(harness.now);
            let is_over = |at: &Time| harness.now.since(*at) >= Duration::from_secs(1);
            while times.front().is_some_and(is_over) {
                times.pop_front();
            }
            assert!(times.len() <= SHARE, "{times:?}");
        }
        let status = match sent.command {
            BackendCommand::Begin { .. } => TransactionStatus::Open,
            _ => TransactionStatus::Idle,
        };
        harness.answer(done(status, at(1, 9)));
    }
}

#[test]
fn no_second_holds_more_than_the_share() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut harness = harness(&[PRIMARY, NEAR_REPLICA, FAR_REPLICA]);
        let mut sent_at = BTreeMap::new();
        for (kind, detail) in steps {
            if *kind < 60 {
                for _ in 0..u32::from(*detail) / 8 {
                    harness.advance(Duration::from_millis(20));
                    answer_all(&mut harness, &mut sent_at);
                }
                continue;
            }
            let database = if kind % 2 == 0 { BOUNDED } else { LEADER_READS };
            let session = harness.open(database);
            let statement = if detail % 3 == 0 {
                StatementKind::Read
            } else {
                StatementKind::Write
            };
            harness.submit(session, statement);
            answer_all(&mut harness, &mut sent_at);
        }
    });
}
