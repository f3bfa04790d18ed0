//! Outcomes reported to callers: "not run" only if provable, and no write is sent twice.

mod support;

use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendErrorCode, Event, ResponseResult, StatementKind, TransactionStatus,
};
use stairward_types::{OutcomeClass, ResultCode};
use support::{
    BOUNDED, Harness, LEADER_READS, PRIMARY, TIMEOUT, TRANSACTION_IDLE, at, backend, done, failed,
    listed,
};

const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;

#[test]
fn a_write_whose_connection_is_lost_is_unknown_and_not_sent_again() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.drop_oldest();
    assert_eq!(harness.refusal(), ResultCode::BackendLostAfterSend);
    harness.advance(Duration::from_secs(2));
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
}

#[test]
fn a_write_without_an_answer_in_time_is_unknown_and_its_connection_closed() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let connection = harness.sent[0].connection;
    harness.advance(TIMEOUT);
    assert_eq!(harness.refusal(), ResultCode::DeadlineAfterSend);
    assert!(harness.closed_connections.contains(&connection));
}

#[test]
fn a_write_refused_by_one_that_lost_the_lead_is_not_run() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.answer(failed(BackendErrorCode::ReadOnly, IDLE));
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.refusal().class(), OutcomeClass::NotRun);
}

#[test]
fn a_transaction_whose_connection_is_lost_is_undone_and_goes_on_failed() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.submit(session, StatementKind::Write);
    harness.drop_oldest();
    let response = harness.response();
    assert_eq!(response.status, TransactionStatus::Failed);
    assert!(matches!(
        response.result,
        ResponseResult::Refused {
            code: ResultCode::TransactionLost,
            ..
        }
    ));
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.refusal(), ResultCode::ProtocolViolation);
    harness.submit(session, StatementKind::Rollback);
    assert_eq!(harness.response().status, IDLE);
}

#[test]
fn a_commit_of_a_write_whose_answer_is_lost_is_unknown() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.submit(session, StatementKind::Write);
    harness.answer(done(OPEN, at(1, 7)));
    harness.response();
    harness.submit(session, StatementKind::Commit);
    harness.drop_oldest();
    assert_eq!(harness.refusal(), ResultCode::BackendLostAfterSend);
}

#[test]
fn a_commit_without_a_write_keeps_nothing_whatever_became_of_it() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.submit(session, StatementKind::Commit);
    harness.drop_oldest();
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_request_that_cannot_be_sent_is_refused_early_with_word_of_when_to_come_back() {
    let mut harness = Harness::empty();
    harness.opens_automatically = false;
    harness.handle(Event::ConfigurationChanged(std::sync::Arc::new(
        support::table(1),
    )));
    harness.handle(listed(support::usual_backends()));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.advance(support::TARGET / 4);
    let response = harness.response();
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
    let mut harness = Harness::new();
    let first = harness.open(LEADER_READS);
    harness.submit(first, StatementKind::Begin { read_only: false });
    let begin = harness.answer(done(OPEN, at(1, 7)));
    harness.response();
    let second = harness.open(LEADER_READS);
    harness.submit(second, StatementKind::Write);
    let other = harness.answer(done(IDLE, at(1, 8)));
    harness.response();
    harness.submit(first, StatementKind::Write);
    let write = harness.answer(done(OPEN, at(1, 8)));
    harness.response();
    assert_eq!(begin.connection, write.connection);
    assert_ne!(begin.connection, other.connection);
}

#[test]
fn an_idle_transaction_is_rolled_back_and_its_caller_told() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.advance(TRANSACTION_IDLE);
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_caller_that_leaves_has_its_transaction_undone() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.handle(Event::SessionClosed { session });
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
}

#[test]
fn a_caller_that_leaves_while_its_statement_runs_has_it_undone_afterwards() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 7));
    harness.submit(session, StatementKind::Write);
    harness.handle(Event::SessionClosed { session });
    harness.answer(done(OPEN, at(1, 7)));
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
    assert!(harness.responses.is_empty());
}

#[test]
fn a_silent_leader_gets_no_new_write() {
    let mut harness = Harness::new();
    let first = harness.open(LEADER_READS);
    harness.submit(first, StatementKind::Write);
    harness.opens_automatically = false;
    harness.advance(Duration::from_millis(750));
    let second = harness.open(LEADER_READS);
    let id = harness.submit(second, StatementKind::Write);
    let was_sent = harness.sent.iter().any(
        |sent| matches!(&sent.command, BackendCommand::Run { id: sent_id, .. } if *sent_id == id),
    );
    assert!(!was_sent, "{:?}", harness.sent);
}

/// Guards against a back end that counts as silent for ever because one reply timed out, although it answers
/// others.
#[test]
fn a_back_end_that_answers_others_is_not_silent_because_one_answer_is_lost() {
    let mut harness = Harness::new();
    let first = harness.open(LEADER_READS);
    harness.submit(first, StatementKind::Write);
    harness.advance(Duration::from_millis(400));
    let second = harness.open(LEADER_READS);
    harness.submit(second, StatementKind::Write);
    harness.answer_at(harness.sent.len() - 1, done(IDLE, at(1, 8)));
    harness.advance(TIMEOUT);
    assert_eq!(harness.observed, []);
}

#[test]
fn a_lost_connection_to_the_leader_is_opened_again_to_see_whether_anything_listens() {
    let mut harness = Harness::new();
    let primary = harness
        .opened
        .iter()
        .find(|(_, id)| *id == backend(PRIMARY))
        .cloned();
    harness.opened.clear();
    harness.lose_connection(primary.unwrap().0);
    assert_eq!(harness.opened.len(), 1);
    assert_eq!(harness.opened[0].1, backend(PRIMARY));
}

#[test]
fn invalid_statements_are_refused_and_the_session_continues() {
    let mut harness = Harness::new();
    let session = harness.open(BOUNDED);
    harness.handle(Event::InvalidStatement { session });
    assert_eq!(harness.refusal(), ResultCode::ProtocolViolation);
    harness.submit(session, StatementKind::Commit);
    assert_eq!(harness.refusal(), ResultCode::ProtocolViolation);
    let execute = StatementKind::Execute {
        name: "none".to_owned(),
        arguments: "x".to_owned(),
    };
    harness.submit(session, execute);
    assert_eq!(harness.refusal(), ResultCode::UnknownPreparedStatement);
}
