//! What a read may be answered from: floors, proofs of the leader's position, and the leader itself.

mod support;

use std::time::Duration;

use stairward_engine::{BackendCommand, BackendErrorCode, Event, StatementKind, TransactionStatus};
use stairward_types::{BackendRole, Freshness, ResultCode, Time};
use support::{
    BOUNDED, FAR_REPLICA, LEADER_READS, NEAR_REPLICA, OWN_READS, PRIMARY, STALENESS, World, at,
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
    let mut world = World::new();
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let probe = world.answer(done(OPEN, at(1, 7)));
    assert_eq!(probe.backend, backend(PRIMARY));
    assert!(matches!(
        probe.command,
        BackendCommand::Begin {
            read_only: false,
            ..
        }
    ));
    let read = world
        .sent
        .iter()
        .find(|sent| is_run(&sent.command))
        .unwrap();
    assert_eq!(floor(&read.command), Some(at(1, 7)));
}

#[test]
fn a_proof_older_than_the_staleness_is_not_used() {
    let mut world = World::new();
    world.prove(at(1, 7));
    world.pass(STALENESS + Duration::from_millis(1));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert!(
        world.sent.iter().all(|sent| !is_run(&sent.command)),
        "{:?}",
        world.sent
    );
}

/// A copy that lags less than the allowed staleness could serve no read while writes went on.
#[test]
fn a_read_asks_for_no_more_of_the_log_than_its_staleness_demands() {
    let mut world = World::new();
    world.prove(at(1, 7));
    world.pass(STALENESS / 2);
    world.prove(at(1, 9));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(floor(&world.sent[0].command), Some(at(1, 7)));
    world.answer(done(IDLE, at(1, 7)));
    world.response();
    world.pass(STALENESS / 2 + Duration::from_millis(1));
    world.say(session, StatementKind::Read);
    let read = world.sent.iter().find(|sent| is_run(&sent.command));
    assert_eq!(floor(&read.unwrap().command), Some(at(1, 9)));
}

#[test]
fn a_position_of_a_lost_term_is_no_floor_however_young() {
    let mut world = World::new();
    world.prove(at(1, 90));
    world.pass(STALENESS / 4);
    let mut backends = usual_backends();
    backends[0] = describe(PRIMARY, BackendRole::Replica, 10);
    backends[1] = describe(NEAR_REPLICA, BackendRole::Primary, 11);
    world.tell(listed(backends));
    world.prove(at(2, 80));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(floor(&world.sent[0].command), Some(at(2, 80)));
}

#[test]
fn without_a_proof_the_read_is_refused_as_not_run() {
    let mut world = World::new();
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    world.pass(Duration::from_millis(400));
    assert_eq!(world.refusal(), ResultCode::NotFreshEnough);
}

#[test]
fn a_session_reads_its_own_commit() {
    let mut world = World::new();
    let session = world.open(OWN_READS);
    world.say(session, StatementKind::Write);
    world.answer(done(IDLE, at(1, 9)));
    world.response();
    world.say(session, StatementKind::Read);
    assert_eq!(floor(&world.sent[0].command), Some(at(1, 9)));
}

#[test]
fn a_floor_of_a_lost_term_gives_way_to_the_leaders_position_in_the_new_one() {
    let mut world = World::new();
    let session = world.open(OWN_READS);
    world.say(session, StatementKind::Write);
    world.answer(done(IDLE, at(1, 90)));
    world.response();
    // The new leader never had position 90: that commit was rolled back.
    let mut backends = usual_backends();
    backends[0] = describe(PRIMARY, BackendRole::Replica, 10);
    backends[1] = describe(NEAR_REPLICA, BackendRole::Primary, 11);
    world.tell(listed(backends));
    world.prove(at(2, 80));
    world.say(session, StatementKind::Read);
    assert_eq!(floor(&world.sent[0].command), Some(at(2, 80)));
}

#[test]
fn a_leader_read_runs_in_a_transaction_that_only_the_leader_accepts() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Read);
    let begin = world.answer(done(OPEN, at(1, 7)));
    assert_eq!(begin.backend, backend(PRIMARY));
    assert!(matches!(
        begin.command,
        BackendCommand::Begin {
            read_only: false,
            ..
        }
    ));
    let read = world.answer(done(OPEN, at(1, 7)));
    assert!(is_run(&read.command));
    assert_eq!(read.connection, begin.connection);
    assert_eq!(world.response().status, IDLE);
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
}

#[test]
fn a_leader_read_never_goes_to_one_that_denied_leading() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Read);
    world.answer(failed(BackendErrorCode::ReadOnly, IDLE));
    assert!(world.sent.is_empty(), "{:?}", world.sent);
    world.pass(Duration::from_millis(200));
    assert_eq!(
        world.refusal().class(),
        stairward_types::OutcomeClass::NotRun
    );
}

#[test]
fn a_copy_that_lags_or_is_full_is_left_for_another() {
    for code in [BackendErrorCode::NotFresh, BackendErrorCode::Busy] {
        let mut world = World::new();
        world.prove(at(1, 7));
        let session = world.open(BOUNDED);
        world.say(session, StatementKind::Read);
        let first = world.answer(failed(code, IDLE));
        let second = world.answer(failed(code, IDLE));
        let third = world.answer(failed(code, IDLE));
        assert_ne!(first.backend, second.backend);
        assert_eq!(third.backend, backend(FAR_REPLICA));
        let refusal = world.refusal();
        assert_eq!(refusal.class(), stairward_types::OutcomeClass::NotRun);
    }
}

#[test]
fn a_read_without_an_answer_is_also_sent_elsewhere_and_the_first_answer_counts() {
    let mut world = World::new();
    world.prove(at(1, 7));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    world.pass(Duration::from_millis(200));
    let reads: Vec<_> = world
        .sent
        .iter()
        .filter(|sent| is_run(&sent.command))
        .cloned()
        .collect();
    assert_eq!(reads.len(), 2, "{:?}", world.sent);
    assert_ne!(reads[0].backend, reads[1].backend);
    for read in reads {
        let connection = read.connection;
        let reply = done(IDLE, at(1, 8));
        world.tell(Event::Reply { connection, reply });
    }
    world.response();
}

#[test]
fn a_copy_read_whose_connection_is_lost_goes_elsewhere() {
    let mut world = World::new();
    world.prove(at(1, 7));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let lost = world.lose();
    let again = world.answer(done(IDLE, at(1, 7)));
    assert_ne!(lost.backend, again.backend);
    world.response();
}

/// Reads that all living copies had refused used to wait for the connection to a copy that was down.
#[test]
fn a_read_refused_by_all_living_copies_is_not_held_for_one_that_is_down() {
    let mut world = World::new();
    world.prove(at(1, 7));
    world.opens = false;
    let far = world
        .opened
        .iter()
        .find(|(_, id)| *id == backend(FAR_REPLICA))
        .map(|(connection, _)| *connection);
    world.opened.clear();
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    world.tell(Event::ConnectionLost {
        connection: far.unwrap(),
    });
    world.tell(listed(usual_backends()));
    world.refuse_openings();
    world.answer(failed(BackendErrorCode::Busy, IDLE));
    world.answer(failed(BackendErrorCode::Busy, IDLE));
    assert_eq!(
        world.refusal().class(),
        stairward_types::OutcomeClass::NotRun
    );
}

#[test]
fn a_node_that_cannot_ask_the_leader_asks_its_peers() {
    let mut world = World::new();
    let mut backends = usual_backends();
    backends.remove(0);
    world.tell(listed(backends));
    world.pass(Duration::from_millis(4_100));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(world.asked_peers, [support::service()]);
    let too_old = STALENESS + Duration::from_millis(1);
    // An age from before this node's clock began must not count as younger than it is.
    let before_the_clock = world.now.since(Time::ZERO) + Duration::from_secs(1);
    for (age, is_sent) in [
        (too_old, false),
        (before_the_clock, false),
        (Duration::ZERO, true),
    ] {
        world.tell(Event::PeerPosition {
            service: support::service(),
            freshness: at(1, 7),
            asked_at: world.now,
            age,
        });
        let reads = world.sent.iter().filter(|sent| is_run(&sent.command));
        let floors: Vec<_> = reads.map(|sent| floor(&sent.command)).collect();
        assert_eq!(floors == [Some(at(1, 7))], is_sent, "{floors:?}");
    }
}
