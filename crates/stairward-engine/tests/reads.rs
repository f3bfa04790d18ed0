//! What may answer a read: floors, proofs of the leader's position, and the leader itself.

mod support;

use std::time::Duration;

use stairward_engine::{BackendCommand, BackendErrorCode, Event, StatementKind, TransactionStatus};
use stairward_types::{BackendRole, Freshness, ResultCode, Time};
use support::{
    BOUNDED, FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, OWN_READS, PRIMARY, STALENESS, at,
    backend, describe, done, failed, listed, usual_backends,
};

const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;

fn floor(command: &BackendCommand) -> Option<Freshness> {
    match command {
        BackendCommand::Run { floor, .. }
        | BackendCommand::Execute { floor, .. }
        | BackendCommand::Begin { floor, .. } => *floor,
        _ => None,
    }
}

fn is_run(command: &BackendCommand) -> bool {
    matches!(command, BackendCommand::Run { .. })
}

#[test]
fn a_read_waits_until_the_leaders_position_is_proved() {
    let mut harness = Harness::new();
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let probe = harness.answer(done(OPEN, at(1, 7)));
    assert_eq!(probe.backend, backend(PRIMARY));
    assert!(matches!(
        probe.command,
        BackendCommand::Begin {
            read_only: false,
            ..
        }
    ));
    let read = harness
        .sent
        .iter()
        .find(|sent| is_run(&sent.command))
        .unwrap();
    assert_eq!(floor(&read.command), Some(at(1, 7)));
}

#[test]
fn a_proof_older_than_the_staleness_is_not_used() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 7));
    harness.advance(STALENESS + Duration::from_millis(1));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert!(
        harness.sent.iter().all(|sent| !is_run(&sent.command)),
        "{:?}",
        harness.sent
    );
}

/// Guards against floors so high that a replica which lags less than the allowed staleness can serve no read
/// while writes go on.
#[test]
fn a_read_floor_is_no_higher_than_its_staleness_requires() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 7));
    harness.advance(STALENESS / 2);
    harness.prove_position(at(1, 9));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(floor(&harness.sent[0].command), Some(at(1, 7)));
    harness.answer(done(IDLE, at(1, 7)));
    harness.response();
    harness.advance(STALENESS / 2 + Duration::from_millis(1));
    harness.submit(session, StatementKind::Read);
    let read = harness.sent.iter().find(|sent| is_run(&sent.command));
    assert_eq!(floor(&read.unwrap().command), Some(at(1, 9)));
}

#[test]
fn a_position_of_a_lost_term_is_no_floor_however_recent() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 90));
    harness.advance(STALENESS / 4);
    let mut backends = usual_backends();
    backends[0] = describe(PRIMARY, BackendRole::Replica, 10);
    backends[1] = describe(NEAR_REPLICA, BackendRole::Primary, 11);
    harness.handle(listed(backends));
    harness.prove_position(at(2, 80));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(floor(&harness.sent[0].command), Some(at(2, 80)));
}

#[test]
fn without_a_proof_the_read_is_refused_as_not_run() {
    let mut harness = Harness::new();
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    harness.advance(Duration::from_millis(400));
    assert_eq!(harness.refusal(), ResultCode::NotFreshEnough);
}

#[test]
fn a_session_reads_its_own_commit() {
    let mut harness = Harness::new();
    let session = harness.open(OWN_READS);
    harness.submit(session, StatementKind::Write);
    harness.answer(done(IDLE, at(1, 9)));
    harness.response();
    harness.submit(session, StatementKind::Read);
    assert_eq!(floor(&harness.sent[0].command), Some(at(1, 9)));
}

#[test]
fn a_floor_of_a_lost_term_gives_way_to_the_leaders_position_in_the_new_one() {
    let mut harness = Harness::new();
    let session = harness.open(OWN_READS);
    harness.submit(session, StatementKind::Write);
    harness.answer(done(IDLE, at(1, 90)));
    harness.response();
    // The new leader never had position 90: that commit was rolled back.
    let mut backends = usual_backends();
    backends[0] = describe(PRIMARY, BackendRole::Replica, 10);
    backends[1] = describe(NEAR_REPLICA, BackendRole::Primary, 11);
    harness.handle(listed(backends));
    harness.prove_position(at(2, 80));
    harness.submit(session, StatementKind::Read);
    assert_eq!(floor(&harness.sent[0].command), Some(at(2, 80)));
}

#[test]
fn a_leader_read_runs_in_a_transaction_that_only_the_leader_accepts() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Read);
    let begin = harness.answer(done(OPEN, at(1, 7)));
    assert_eq!(begin.backend, backend(PRIMARY));
    assert!(matches!(
        begin.command,
        BackendCommand::Begin {
            read_only: false,
            ..
        }
    ));
    let read = harness.answer(done(OPEN, at(1, 7)));
    assert!(is_run(&read.command));
    assert_eq!(read.connection, begin.connection);
    assert_eq!(harness.response().status, IDLE);
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
}

#[test]
fn a_leader_read_never_goes_to_one_that_denied_leading() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Read);
    harness.answer(failed(BackendErrorCode::ReadOnly, IDLE));
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
    harness.advance(Duration::from_millis(200));
    assert_eq!(
        harness.refusal().class(),
        stairward_types::OutcomeClass::NotRun
    );
}

#[test]
fn a_lagging_or_busy_back_end_is_replaced_by_another() {
    for code in [BackendErrorCode::NotFresh, BackendErrorCode::Busy] {
        let mut harness = Harness::new();
        harness.prove_position(at(1, 7));
        let session = harness.open(BOUNDED);
        harness.submit(session, StatementKind::Read);
        let first = harness.answer(failed(code, IDLE));
        let second = harness.answer(failed(code, IDLE));
        let third = harness.answer(failed(code, IDLE));
        assert_ne!(first.backend, second.backend);
        assert_eq!(third.backend, backend(FAR_REPLICA));
        let refusal = harness.refusal();
        assert_eq!(refusal.class(), stairward_types::OutcomeClass::NotRun);
    }
}

#[test]
fn a_read_without_an_answer_is_also_sent_elsewhere_and_the_first_answer_counts() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 7));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    harness.advance(Duration::from_millis(200));
    harness.sent.retain(|sent| is_run(&sent.command));
    assert_eq!(harness.sent.len(), 2, "{:?}", harness.sent);
    assert_ne!(harness.sent[0].backend, harness.sent[1].backend);
    for _ in 0..2 {
        harness.answer(done(IDLE, at(1, 8)));
    }
    harness.response();
}

#[test]
fn a_copy_read_whose_connection_is_lost_goes_elsewhere() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 7));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let lost = harness.drop_oldest();
    let again = harness.answer(done(IDLE, at(1, 7)));
    assert_ne!(lost.backend, again.backend);
    harness.response();
}

/// Guards against a read that waits for a connection to a failed replica after all live ones refused it.
#[test]
fn a_read_refused_by_all_live_back_ends_does_not_wait_for_a_failed_one() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 7));
    harness.opens_automatically = false;
    let far = harness
        .opened
        .iter()
        .find(|(_, id)| *id == backend(FAR_REPLICA))
        .map(|(connection, _)| *connection);
    harness.opened.clear();
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    harness.handle(Event::ConnectionLost {
        connection: far.unwrap(),
    });
    harness.handle(listed(usual_backends()));
    harness.refuse_openings();
    harness.answer(failed(BackendErrorCode::Busy, IDLE));
    harness.answer(failed(BackendErrorCode::Busy, IDLE));
    assert_eq!(
        harness.refusal().class(),
        stairward_types::OutcomeClass::NotRun
    );
}

#[test]
fn a_node_that_cannot_ask_the_leader_asks_its_peers() {
    let mut harness = Harness::new();
    let mut backends = usual_backends();
    backends.remove(0);
    harness.handle(listed(backends));
    harness.advance(Duration::from_millis(4_100));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.queried_positions, [support::service()]);
    let too_old = STALENESS + Duration::from_millis(1);
    // An age that predates this node's clock must not count as younger than it is.
    let before_the_clock = harness.now.since(Time::ZERO) + Duration::from_secs(1);
    for (age, is_sent) in [
        (too_old, false),
        (before_the_clock, false),
        (Duration::ZERO, true),
    ] {
        harness.handle(Event::PeerPosition {
            service: support::service(),
            freshness: at(1, 7),
            asked_at: harness.now,
            age,
        });
        let reads = harness.sent.iter().filter(|sent| is_run(&sent.command));
        let floors: Vec<_> = reads.map(|sent| floor(&sent.command)).collect();
        assert_eq!(floors == [Some(at(1, 7))], is_sent, "{floors:?}");
    }
}
