//! Back ends that send a reply again, at any later moment.

mod support;

use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendErrorCode, BackendReply, ConnectionId, Event, ReplyDoubt,
    ResponseResult, StatementKind, TransactionStatus,
};
use stairward_types::{Freshness, OutcomeClass};
use support::{BOUNDED, Harness, LEADER_READS, Sent, at, done, failed};

const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;

/// A success with a signature.
fn signed(signature: &str, status: TransactionStatus, position: Freshness) -> BackendReply {
    BackendReply {
        result: Ok(Some(signature.to_owned())),
        ..done(status, position)
    }
}

/// A refusal at a log position.
fn busy(position: Freshness) -> BackendReply {
    BackendReply {
        position: Some(position),
        ..failed(BackendErrorCode::Busy, IDLE)
    }
}

fn repeat(harness: &mut Harness, connection: ConnectionId, reply: &BackendReply) {
    let reply = reply.clone();
    harness.handle(Event::Reply { connection, reply });
}

/// The signature in the only response.
#[track_caller]
fn response_signature(harness: &mut Harness) -> Option<String> {
    match harness.response().result {
        ResponseResult::Completed { signature } => signature,
        other => panic!("no success: {other:?}"),
    }
}

/// The doubts reported since the last call.
fn doubts(harness: &mut Harness) -> Vec<ReplyDoubt> {
    let records = std::mem::take(&mut harness.doubted_replies);
    records.into_iter().map(|record| record.doubt).collect()
}

fn begin(harness: &Harness) -> &Sent {
    let is_begin = |sent: &&Sent| matches!(sent.command, BackendCommand::Begin { .. });
    harness.sent.iter().find(is_begin).expect("no begin")
}

#[test]
fn a_repeated_answer_is_not_given_to_the_next_caller() {
    let mut harness = Harness::new();
    let first = harness.open(LEADER_READS);
    harness.submit(first, StatementKind::Write);
    let reply = signed("first", IDLE, at(1, 10));
    let connection = harness.answer(reply.clone()).connection;
    assert_eq!(response_signature(&mut harness).as_deref(), Some("first"));

    let second = harness.open(LEADER_READS);
    harness.submit(second, StatementKind::Write);
    assert_eq!(harness.sent[0].connection, connection);
    repeat(&mut harness, connection, &reply);
    assert_eq!(harness.responses, Vec::new());
    assert_eq!(doubts(&mut harness), [ReplyDoubt::RepeatedSignature]);
    harness.answer(signed("second", IDLE, at(1, 11)));
    assert_eq!(response_signature(&mut harness).as_deref(), Some("second"));
}

#[test]
fn a_repeated_answer_on_an_idle_connection_is_left_out() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let reply = signed("first", IDLE, at(1, 10));
    let connection = harness.answer(reply.clone()).connection;
    response_signature(&mut harness);
    for _ in 0..3 {
        repeat(&mut harness, connection, &reply);
    }
    assert_eq!(harness.closed_connections, Vec::new());
    assert_eq!(doubts(&mut harness), [ReplyDoubt::RepeatedSignature; 3]);
    harness.submit(session, StatementKind::Write);
    harness.answer(signed("second", IDLE, at(1, 11)));
    assert_eq!(response_signature(&mut harness).as_deref(), Some("second"));
}

#[test]
fn a_repeated_refusal_is_no_promise_that_a_later_write_did_not_run() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let reply = busy(at(1, 10));
    let connection = harness.answer(reply.clone()).connection;
    let ResponseResult::Refused { code, .. } = harness.response().result else {
        panic!("not refused");
    };
    assert_eq!(code.class(), OutcomeClass::NotRun);

    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent[0].connection, connection);
    repeat(&mut harness, connection, &reply);
    let ResponseResult::Refused { code, .. } = harness.response().result else {
        panic!("not refused");
    };
    assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
    assert_eq!(harness.closed_connections, [connection]);
}

#[test]
fn a_refusal_at_a_later_position_is_a_promise() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    for number in 10..13 {
        harness.submit(session, StatementKind::Write);
        harness.answer(busy(at(1, number)));
        let code = harness.refusal();
        assert_eq!(code.class(), OutcomeClass::NotRun);
    }
    assert_eq!(doubts(&mut harness), []);
}

#[test]
fn a_refusal_repeated_after_later_commits_is_left_out() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    let refusals = [busy(at(1, 10)), busy(at(1, 12))];
    for refusal in &refusals {
        harness.submit(session, StatementKind::Write);
        harness.answer(refusal.clone());
        harness.refusal();
    }
    harness.submit(session, StatementKind::Write);
    let connection = harness.sent[0].connection;
    repeat(&mut harness, connection, &refusals[0]);
    assert_eq!(harness.responses, Vec::new());
    assert_eq!(doubts(&mut harness), [ReplyDoubt::EarlierPosition]);
    harness.answer(signed("own", IDLE, at(1, 13)));
    assert_eq!(response_signature(&mut harness).as_deref(), Some("own"));
}

#[test]
fn a_read_whose_refusal_may_be_a_repetition_is_retried_on_another_connection() {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 10));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let reply = busy(at(1, 10));
    while !harness.sent.is_empty() {
        harness.answer(reply.clone());
    }
    harness.refusal();
    harness.submit(session, StatementKind::Read);
    let connection = harness.sent[0].connection;
    repeat(&mut harness, connection, &reply);
    assert_eq!(harness.closed_connections, [connection]);
    assert_eq!(harness.responses, Vec::new());
    assert_ne!(harness.sent[0].connection, connection);
    harness.answer(signed("own", IDLE, at(1, 10)));
    assert_eq!(response_signature(&mut harness).as_deref(), Some("own"));
}

#[test]
fn an_answer_without_a_signature_is_not_given_to_a_caller() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 10));
    harness.submit(session, StatementKind::Write);
    let connection = harness.sent[0].connection;
    repeat(&mut harness, connection, &done(OPEN, at(1, 10)));
    assert_eq!(harness.responses, Vec::new());
    assert_eq!(doubts(&mut harness), [ReplyDoubt::MissingSignature]);
    harness.answer(signed("own", OPEN, at(1, 10)));
    assert_eq!(response_signature(&mut harness).as_deref(), Some("own"));
}

#[test]
fn a_write_acknowledged_inside_a_transaction_of_nobody_is_not_acknowledged_to_its_caller() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.answer(signed("own", OPEN, at(1, 10)));
    let code = harness.refusal();
    assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
    assert_eq!(doubts(&mut harness), [ReplyDoubt::UnexpectedShape]);
}

#[test]
fn a_repeated_begin_starts_no_transaction_before_it_is_confirmed() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 10));
    let connection = begin_again(&mut harness, session);
    // The repetition of the first begin, then the refusal of the second.
    repeat(&mut harness, connection, &done(OPEN, at(1, 10)));
    assert_eq!(harness.responses, Vec::new());
    repeat(&mut harness, connection, &busy(at(1, 10)));
    assert_eq!(harness.closed_connections, [connection]);
    harness.sent.retain(|sent| sent.connection != connection);
    // It begins on a new connection.
    assert_ne!(begin(&harness).connection, connection);
    harness.answer(done(OPEN, at(1, 10)));
    assert_eq!(harness.response().status, OPEN);
}

#[test]
fn a_begin_that_equals_an_earlier_one_is_confirmed_by_another_one() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 10));
    let connection = begin_again(&mut harness, session);
    harness.answer(done(OPEN, at(1, 10)));
    assert_eq!(harness.responses, Vec::new());
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
    harness.answer(done(IDLE, at(1, 10)));
    assert_eq!(begin(&harness).connection, connection);
    harness.answer(done(OPEN, at(1, 10)));
    assert_eq!(harness.response().status, OPEN);
}

#[test]
fn a_begin_at_a_later_position_needs_no_confirmation() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 10));
    begin_again(&mut harness, session);
    harness.answer(done(OPEN, at(1, 11)));
    assert_eq!(harness.response().status, OPEN);
}

/// Rolls the open transaction back, and begins another one on the same connection.
fn begin_again(harness: &mut Harness, session: stairward_engine::SessionId) -> ConnectionId {
    harness.submit(session, StatementKind::Rollback);
    harness.answer(done(IDLE, at(1, 10)));
    harness.response();
    harness.submit(session, StatementKind::Begin { read_only: false });
    begin(harness).connection
}

#[test]
fn a_repeated_refusal_of_a_begin_ends_the_connection() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    let reply = busy(at(1, 10));
    let connection = harness.answer(reply.clone()).connection;
    harness.responses.clear();
    harness.submit(session, StatementKind::Begin { read_only: false });
    assert_eq!(begin(&harness).connection, connection);
    repeat(&mut harness, connection, &reply);
    assert_eq!(harness.closed_connections, [connection]);
    assert_ne!(begin(&harness).connection, connection);
}

#[test]
fn an_answer_repeated_after_many_others_is_not_given_to_a_caller() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let old = signed("old", IDLE, at(1, 10));
    let connection = harness.answer(old.clone()).connection;
    harness.response();
    harness.opened.clear();
    for number in 0..5_000 {
        harness.submit(session, StatementKind::Write);
        if harness.sent[0].connection == connection {
            repeat(&mut harness, connection, &old);
            assert_eq!(harness.responses, Vec::new(), "after {number} others");
        }
        let own = format!("own-{number}");
        harness.answer(signed(&own, IDLE, at(1, 11 + number)));
        assert_eq!(response_signature(&mut harness), Some(own));
    }
    // The signatures of a connection take a limited amount of memory.
    assert_eq!(harness.closed_connections, [connection]);
    assert_eq!(harness.opened.len(), 1);
}

#[test]
#[ignore = "listed in KNOWN-RED.txt"]
fn a_refused_set_up_is_no_promise_that_the_write_after_it_did_not_run() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    let set_up = done(IDLE, at(1, 10));
    let set = |value: &str| StatementKind::SetValue {
        name: "zone".to_owned(),
        value: value.to_owned(),
    };
    harness.submit(session, set("a"));
    harness.response();
    harness.submit(session, StatementKind::Write);
    harness.answer(set_up.clone());
    let connection = harness.answer(signed("first", IDLE, at(1, 10))).connection;
    harness.response();
    harness.submit(session, set("b"));
    harness.response();
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent[0].connection, connection);
    // The repetition of the first set-up's reply, then the refusal of the second set-up.
    repeat(&mut harness, connection, &set_up);
    assert!(harness.sent.iter().any(Sent::runs_statement));
    repeat(&mut harness, connection, &busy(at(1, 10)));
    let code = harness.refusal();
    assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
}

#[test]
#[ignore = "listed in KNOWN-RED.txt"]
fn a_begin_refused_after_two_repetitions_is_no_promise_about_a_write() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 10));
    let connection = begin_again(&mut harness, session);
    // Both replies of the first transaction come again, then the replies to begin, rollback and begin.
    repeat(&mut harness, connection, &done(OPEN, at(1, 10)));
    repeat(&mut harness, connection, &done(IDLE, at(1, 10)));
    repeat(&mut harness, connection, &done(OPEN, at(1, 10)));
    let began = harness.responses.pop();
    harness.submit(session, StatementKind::Write);
    repeat(&mut harness, connection, &done(IDLE, at(1, 10)));
    repeat(&mut harness, connection, &busy(at(1, 10)));
    // The refused begin leaves the write outside any transaction, where it is committed.
    let answer = harness.responses.pop();
    assert_eq!((began.is_some(), answer), (true, None));
}

/// What requests have cost a back end that refuses everything.
#[derive(Debug, PartialEq, Eq)]
struct Cost {
    commands: usize,
    openings: usize,
    closings: usize,
}

/// Refuses all commands at one log position until none is left.
fn refuse_all(harness: &mut Harness) -> usize {
    let mut commands = 0;
    while !harness.sent.is_empty() {
        harness.answer(busy(at(1, 10)));
        commands += 1;
    }
    commands
}

/// The cost of requests, one after the other, to a back end that refuses all of them at one log position.
fn cost_of(harness: &mut Harness, kind: &StatementKind, requests: usize) -> Cost {
    harness.opened.clear();
    harness.closed_connections.clear();
    let mut commands = 0;
    for _ in 0..requests {
        let session = harness.open(LEADER_READS);
        harness.submit(session, kind.clone());
        commands += refuse_all(harness);
        harness.response();
        harness.handle(Event::SessionClosed { session });
        harness.advance(Duration::from_millis(10));
    }
    Cost {
        commands,
        openings: harness.opened.len(),
        closings: harness.closed_connections.len(),
    }
}

#[test]
fn refusals_of_an_overloaded_back_end_do_not_multiply_its_connections() {
    let begin = StatementKind::Begin { read_only: false };
    for kind in [StatementKind::Write, StatementKind::Read, begin] {
        let cost = cost_of(&mut Harness::new(), &kind, 100);
        println!("{kind:?}: {cost:?}");
        assert!(
            cost.openings <= 100 && cost.commands <= 200,
            "{kind:?}: {cost:?}"
        );
    }
}

#[test]
fn one_read_ends_a_limited_number_of_connections_of_an_overloaded_back_end() {
    let mut harness = Harness::new();
    // Each connection has been refused something once.
    let sessions: Vec<_> = (0..8).map(|_| harness.open(LEADER_READS)).collect();
    for session in &sessions {
        harness.submit(*session, StatementKind::Read);
    }
    refuse_all(&mut harness);
    harness.responses.clear();
    let cost = cost_of(&mut harness, &StatementKind::Read, 1);
    println!("{cost:?}");
    assert!(cost.closings <= 5 && cost.commands <= 5, "{cost:?}");
}
