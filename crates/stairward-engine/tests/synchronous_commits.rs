//! A commit that a synchronous replica has confirmed is not acknowledged while a promotion may lose it, where a replaced
//! leader ends by itself and no confirmation of its leadership is needed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{Event, ResponseResult, StatementKind, TransactionStatus};
use stairward_types::{ResultCode, Term};

use support::{
    Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, at, backend, done, listed, service, table,
    usual_backends,
};

/// A harness whose service has this number of synchronous replicas.
fn harness(synchronous_replicas: u32) -> Harness {
    let mut harness = Harness::empty();
    let mut table = table(1);
    for limits in table.services.values_mut() {
        limits.synchronous_replicas = synchronous_replicas;
    }
    harness.handle(Event::ConfigurationChanged(Arc::new(table)));
    harness.handle(listed(usual_backends()));
    harness.handle(Event::NodeCountChanged(1));
    harness.positions.insert(backend(PRIMARY), at(1, 11));
    harness.prove_position(at(1, 11));
    harness.sent.clear();
    harness
}

fn promotion(leader: &str, is_pending: bool) -> Event {
    Event::PromotionRecorded {
        service: service(),
        leader: backend(leader),
        term: Term(2),
        is_pending,
    }
}

fn write(harness: &mut Harness) {
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.answer(done(TransactionStatus::Idle, at(1, 12)));
}

fn assert_completed(harness: &mut Harness) {
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

/// Guards against the loss of an acknowledged commit: an unanswered promotion may be carried out without it.
#[test]
fn a_commit_is_withheld_while_a_promotion_is_unanswered() {
    let mut harness = harness(1);
    harness.handle(promotion(NEAR_REPLICA, true));
    write(&mut harness);
    harness.advance(Duration::from_millis(200));
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
    // The leader itself was promoted under a higher token. The other's promotion may have been accepted just before.
    harness.handle(promotion(PRIMARY, false));
    harness.advance(Duration::from_millis(100));
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
    harness.advance(Duration::from_secs(4));
    harness.responses.clear();
    harness.prove_position(at(1, 11));
    harness.sent.clear();
    write(&mut harness);
    assert_completed(&mut harness);
}

#[test]
fn a_commit_ends_unknown_once_the_promotion_of_another_member_is_answered() {
    let mut harness = harness(1);
    harness.handle(promotion(NEAR_REPLICA, true));
    write(&mut harness);
    harness.handle(promotion(NEAR_REPLICA, false));
    assert_eq!(harness.refusal(), ResultCode::FenceNotProved);
}

#[test]
fn a_promotion_that_did_not_take_effect_withholds_nothing_for_long() {
    let mut harness = harness(1);
    harness.handle(promotion(NEAR_REPLICA, false));
    harness.advance(Duration::from_secs(4));
    harness.prove_position(at(1, 11));
    harness.sent.clear();
    write(&mut harness);
    assert_completed(&mut harness);
}

#[test]
fn a_commit_without_synchronous_replicas_is_passed_on() {
    let mut harness = harness(0);
    harness.handle(promotion(NEAR_REPLICA, true));
    write(&mut harness);
    assert_completed(&mut harness);
}
