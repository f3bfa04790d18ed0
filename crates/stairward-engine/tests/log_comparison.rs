//! A leader whose log this node has not seen complete is compared with the other members, where a replaced leader
//! ends by itself and no confirmation of its leadership is needed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendEvidence, Engine, EngineOptions, Event, ResponseResult, StatementKind,
    TransactionStatus,
};
use stairward_types::{BackendRole, Freshness, MemberStatus, Term};

use support::{
    FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, Sent, at, backend, done, listed,
    table, usual_backends,
};

/// A node that has just started.
fn harness() -> Harness {
    let mut harness = Harness::empty();
    let options = EngineOptions {
        compares_logs: true,
        ..harness.engine_options()
    };
    harness.engine = Engine::new(options);
    harness.handle(Event::ConfigurationChanged(Arc::new(table(1))));
    harness.handle(listed(usual_backends()));
    harness.handle(Event::NodeCountChanged(1));
    harness
}

/// Answers all status queries to a back end, if there are any.
fn report(harness: &mut Harness, name: &str, role: BackendRole, term: u64, received: Freshness) {
    let is_query =
        |sent: &Sent| sent.command == BackendCommand::QueryStatus && sent.backend.as_str() == name;
    while let Some(place) = harness.sent.iter().position(is_query) {
        let connection = harness.sent.remove(place).connection;
        let mut reply = done(TransactionStatus::Idle, received);
        reply.member = Some(MemberStatus {
            role,
            term: Term(term),
            received,
            held: Term(0),
        });
        harness.handle(Event::Reply { connection, reply });
        harness.complete_confirmation(connection, received);
    }
}

/// Writes at the primary, which answers with this position.
fn write(harness: &mut Harness, position: Freshness) {
    harness.positions.insert(backend(PRIMARY), position);
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    let place = harness.sent.iter().position(is_work).expect("a command");
    harness.answer_at(place, done(TransactionStatus::Idle, position));
}

fn assert_completed(harness: &mut Harness) {
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

#[test]
fn a_reply_is_passed_on_once_the_other_members_have_received_no_more() {
    let mut harness = harness();
    write(&mut harness, at(1, 11));
    assert!(harness.responses.is_empty(), "the log may lack entries");
    report(
        &mut harness,
        NEAR_REPLICA,
        BackendRole::Replica,
        1,
        at(1, 10),
    );
    assert!(harness.responses.is_empty(), "the other may have more");
    report(
        &mut harness,
        FAR_REPLICA,
        BackendRole::Replica,
        1,
        at(1, 10),
    );
    assert_completed(&mut harness);
    report(&mut harness, PRIMARY, BackendRole::Primary, 1, at(1, 11));
    harness.sent.clear();
    write(&mut harness, at(1, 12));
    assert_completed(&mut harness);
}

/// Guards against reads at a primary that started without its log before this node did.
#[test]
fn a_primary_without_its_log_is_not_trusted() {
    let mut harness = harness();
    write(&mut harness, at(1, 1));
    for replica in [NEAR_REPLICA, FAR_REPLICA] {
        report(&mut harness, replica, BackendRole::Replica, 1, at(1, 10));
    }
    assert!(harness.responses.is_empty());
    // The first report was requested before the replicas had reported.
    for _ in 0..2 {
        report(&mut harness, PRIMARY, BackendRole::Primary, 0, at(1, 1));
        harness.advance(Duration::from_millis(150));
    }
    let lost = (backend(PRIMARY), BackendEvidence::LostLog);
    assert!(harness.observed.contains(&lost), "{:?}", harness.observed);
}

#[test]
fn a_member_that_does_not_answer_is_not_awaited_for_long() {
    let mut harness = harness();
    write(&mut harness, at(1, 11));
    report(
        &mut harness,
        NEAR_REPLICA,
        BackendRole::Replica,
        1,
        at(1, 10),
    );
    harness.advance(Duration::from_millis(200));
    assert!(harness.responses.is_empty());
    harness.advance(Duration::from_millis(300));
    assert_completed(&mut harness);
}
