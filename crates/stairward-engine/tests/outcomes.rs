//! What a caller is told: a promise that nothing is kept only where it is provable, and a write sent once.

mod support;

use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendErrorCode, Event, ResponseResult, StatementKind, TransactionStatus,
};
use stairward_types::{OutcomeClass, ResultCode};
use support::{
    BOUNDED, LEADER_READS, PRIMARY, TIMEOUT, TRANSACTION_IDLE, World, at, backend, done, failed,
    listed,
};

const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;

#[test]
fn a_write_whose_connection_is_lost_is_unknown_and_not_sent_again() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.lose();
    assert_eq!(world.refusal(), ResultCode::BackendLostAfterSend);
    world.pass(Duration::from_secs(2));
    assert!(world.sent.is_empty(), "{:?}", world.sent);
}

#[test]
fn a_write_without_an_answer_in_time_is_unknown_and_its_connection_closed() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    let connection = world.sent[0].connection;
    world.pass(TIMEOUT);
    assert_eq!(world.refusal(), ResultCode::DeadlineAfterSend);
    assert!(world.closed_connections.contains(&connection));
}

#[test]
fn a_write_refused_by_one_that_lost_the_lead_is_not_run() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.answer(failed(BackendErrorCode::ReadOnly, IDLE));
    world.pass(Duration::from_millis(200));
    assert_eq!(world.refusal().class(), OutcomeClass::NotRun);
}

#[test]
fn a_transaction_whose_connection_is_lost_is_undone_and_goes_on_failed() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.say(session, StatementKind::Write);
    world.lose();
    let response = world.response();
    assert_eq!(response.status, TransactionStatus::Failed);
    assert!(matches!(
        response.result,
        ResponseResult::Refused {
            code: ResultCode::TransactionLost,
            ..
        }
    ));
    world.say(session, StatementKind::Read);
    assert_eq!(world.refusal(), ResultCode::ProtocolViolation);
    world.say(session, StatementKind::Rollback);
    assert_eq!(world.response().status, IDLE);
}

#[test]
fn a_commit_of_a_write_whose_answer_is_lost_is_unknown() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.say(session, StatementKind::Write);
    world.answer(done(OPEN, at(1, 7)));
    world.response();
    world.say(session, StatementKind::Commit);
    world.lose();
    assert_eq!(world.refusal(), ResultCode::BackendLostAfterSend);
}

#[test]
fn a_commit_without_a_write_keeps_nothing_whatever_became_of_it() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.say(session, StatementKind::Commit);
    world.lose();
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_request_that_cannot_be_sent_is_refused_early_with_word_of_when_to_come_back() {
    let mut world = World::empty();
    world.opens = false;
    world.tell(Event::ConfigurationChanged(std::sync::Arc::new(
        support::table(1),
    )));
    world.tell(listed(support::usual_backends()));
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.pass(support::TARGET / 4);
    let response = world.response();
    match response.result {
        ResponseResult::Refused { code, retry_after } => {
            assert_eq!(code.class(), OutcomeClass::NotRun);
            assert!(retry_after.is_some());
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_transaction_stays_on_its_connection_and_no_other_session_gets_it() {
    let mut world = World::new();
    let first = world.open(LEADER_READS);
    world.say(first, StatementKind::Begin { read_only: false });
    let begin = world.answer(done(OPEN, at(1, 7)));
    world.response();
    let second = world.open(LEADER_READS);
    world.say(second, StatementKind::Write);
    let other = world.answer(done(IDLE, at(1, 8)));
    world.response();
    world.say(first, StatementKind::Write);
    let write = world.answer(done(OPEN, at(1, 8)));
    world.response();
    assert_eq!(begin.connection, write.connection);
    assert_ne!(begin.connection, other.connection);
}

#[test]
fn a_transaction_that_rests_is_undone_and_its_caller_told() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.pass(TRANSACTION_IDLE);
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
    world.say(session, StatementKind::Write);
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_caller_that_leaves_has_its_transaction_undone() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.tell(Event::SessionClosed { session });
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
}

#[test]
fn a_caller_that_leaves_while_its_statement_runs_has_it_undone_afterwards() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 7));
    world.say(session, StatementKind::Write);
    world.tell(Event::SessionClosed { session });
    world.answer(done(OPEN, at(1, 7)));
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
    assert!(world.responses.is_empty());
}

#[test]
fn a_silent_leader_gets_no_new_write() {
    let mut world = World::new();
    let first = world.open(LEADER_READS);
    world.say(first, StatementKind::Write);
    world.opens = false;
    world.pass(Duration::from_millis(750));
    let second = world.open(LEADER_READS);
    let id = world.say(second, StatementKind::Write);
    let was_sent = world.sent.iter().any(
        |sent| matches!(&sent.command, BackendCommand::Run { id: sent_id, .. } if *sent_id == id),
    );
    assert!(!was_sent, "{:?}", world.sent);
}

/// Timed-out statements of a back end that answered others used to count as its silence for ever.
#[test]
fn a_back_end_that_answers_others_is_not_silent_because_one_answer_is_lost() {
    let mut world = World::new();
    let first = world.open(LEADER_READS);
    world.say(first, StatementKind::Write);
    world.pass(Duration::from_millis(400));
    let second = world.open(LEADER_READS);
    world.say(second, StatementKind::Write);
    let answered = world.sent.pop().unwrap();
    world.tell(Event::Reply {
        connection: answered.connection,
        reply: done(IDLE, at(1, 8)),
    });
    world.pass(TIMEOUT);
    assert_eq!(world.observed, []);
}

#[test]
fn a_lost_connection_to_the_leader_is_opened_again_to_see_whether_anything_listens() {
    let mut world = World::new();
    let primary = world
        .opened
        .iter()
        .find(|(_, id)| *id == backend(PRIMARY))
        .cloned();
    world.opened.clear();
    world.lose_connection(primary.unwrap().0);
    assert_eq!(world.opened.len(), 1);
    assert_eq!(world.opened[0].1, backend(PRIMARY));
}

#[test]
fn statements_that_make_no_sense_are_answered_and_the_session_goes_on() {
    let mut world = World::new();
    let session = world.open(BOUNDED);
    world.tell(Event::InvalidStatement { session });
    assert_eq!(world.refusal(), ResultCode::ProtocolViolation);
    world.say(session, StatementKind::Commit);
    assert_eq!(world.refusal(), ResultCode::ProtocolViolation);
    let execute = StatementKind::Execute {
        name: "none".to_owned(),
        arguments: "x".to_owned(),
    };
    world.say(session, execute);
    assert_eq!(world.refusal(), ResultCode::UnknownPreparedStatement);
}
