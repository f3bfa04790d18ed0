//! Sessions whose back ends' connections are held by other nodes: what is forwarded, and what the loss of a
//! holder means.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_engine::{
    Event, ForwardedRequest, PreparedStatement, Response, ResponseResult, SessionId, Statement,
    StatementKind, TransactionStatus,
};
use stairward_types::{
    AccessClass, BackendRole, Freshness, GroupId, NodeId, OutcomeClass, ResultCode, Revision,
};
use support::{Harness, LEADER_READS, OWN_READS, at, done, held_elsewhere, listed, usual_backends};

const FIRST: NodeId = NodeId(7);
const SECOND: NodeId = NodeId(8);
/// A session of another node, as numbered here.
const FORWARDED_SESSION: SessionId = SessionId(1_000);

/// A harness in which two other nodes hold the service's connections.
fn forwarding_node() -> Harness {
    let mut harness = Harness::new();
    harness.handle(held_elsewhere(&[FIRST, SECOND]));
    harness.sent.clear();
    harness
}

fn completed(status: TransactionStatus, position: Freshness) -> Response {
    Response {
        rows: Vec::new(),
        result: ResponseResult::Completed {
            signature: Some("signed".to_owned()),
        },
        status,
        position: Some(position),
    }
}

/// A statement as forwarded by another node.
fn forwarded(revision: u64, in_transaction: bool, kind: StatementKind) -> ForwardedRequest {
    ForwardedRequest {
        database: GroupId::new(LEADER_READS).unwrap(),
        revision: Revision(revision),
        tenant: None,
        in_transaction,
        values: BTreeMap::new(),
        prepared: None,
        commit: None,
        statement: Statement {
            id: "x1".to_owned(),
            kind,
            text: "w".to_owned(),
        },
        time_left: Duration::from_secs(1),
    }
}

impl Harness {
    /// Receives a statement of another node's only session.
    fn receive_forwarded(&mut self, forwarded: ForwardedRequest) {
        self.handle(Event::ForwardedRequest {
            session: FORWARDED_SESSION,
            forwarded: Box::new(forwarded),
        });
    }

    /// Answers the most recently forwarded statement.
    fn holder_answers(&mut self, response: Response) -> ForwardedRequest {
        let (holder, session, request, forwarded) = self.forwarded.pop().unwrap();
        self.handle(Event::ForwardAnswered {
            holder,
            session,
            request,
            response,
        });
        forwarded
    }
}

#[test]
fn a_statement_goes_to_the_first_holder_with_the_sessions_state() {
    let mut harness = forwarding_node();
    let session = harness.open(OWN_READS);
    let value = StatementKind::SetValue {
        name: "lang".to_owned(),
        value: "sk".to_owned(),
    };
    harness.submit(session, value);
    harness.response();
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.forwarded[0].0, FIRST);
    let write = harness.holder_answers(completed(TransactionStatus::Idle, at(1, 9)));
    assert_eq!(write.values["lang"], "sk");
    assert_eq!(harness.response().status, TransactionStatus::Idle);
    harness.submit(session, StatementKind::Read);
    let read = harness.holder_answers(completed(TransactionStatus::Idle, at(1, 9)));
    assert_eq!(
        read.commit,
        Some(at(1, 9)),
        "the session's commit is forwarded with the read"
    );
    assert!(harness.sent.is_empty(), "nothing runs here");
}

#[test]
fn a_transaction_stays_with_its_holder() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    assert_eq!(harness.response().status, TransactionStatus::Open);
    harness.handle(held_elsewhere(&[SECOND]));
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.forwarded[0].0, FIRST);
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.submit(session, StatementKind::Commit);
    harness.holder_answers(completed(TransactionStatus::Idle, at(1, 2)));
    assert_eq!(harness.response().status, TransactionStatus::Idle);
}

#[test]
fn a_lost_holder_leaves_a_write_unknown_and_a_read_goes_to_the_next() {
    let mut harness = forwarding_node();
    let writer = harness.open(LEADER_READS);
    harness.submit(writer, StatementKind::Write);
    harness.handle(Event::HolderLost(FIRST));
    assert_eq!(harness.refusal(), ResultCode::OwnerLostAfterSend);
    assert_eq!(harness.forwarded.len(), 1, "a write is sent once");
    harness.forwarded.clear();
    let reader = harness.open(LEADER_READS);
    harness.submit(reader, StatementKind::Read);
    harness.handle(Event::HolderLost(FIRST));
    assert_eq!(harness.forwarded.last().unwrap().0, SECOND);
    harness.handle(Event::HolderLost(SECOND));
    assert_eq!(
        harness.refusal(),
        ResultCode::NotOwner,
        "the read provably wrote nothing"
    );
}

#[test]
fn a_lost_holder_undoes_a_transaction_unless_its_commit_was_sent() {
    let begin = |harness: &mut Harness| {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Begin { read_only: false });
        harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
        harness.response();
        harness.submit(session, StatementKind::Write);
        session
    };
    let mut harness = forwarding_node();
    begin(&mut harness);
    harness.handle(Event::HolderLost(FIRST));
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
    let mut harness = forwarding_node();
    let session = begin(&mut harness);
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.submit(session, StatementKind::Commit);
    harness.handle(Event::HolderLost(FIRST));
    assert_eq!(harness.refusal(), ResultCode::OwnerLostAfterSend);
}

#[test]
fn an_answer_to_an_earlier_request_is_dropped() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Read);
    let (holder, session_id, request, _) = harness.forwarded.pop().unwrap();
    harness.advance(support::TIMEOUT);
    harness.response();
    harness.submit(session, StatementKind::Read);
    harness.handle(Event::ForwardAnswered {
        holder,
        session: session_id,
        request,
        response: completed(TransactionStatus::Idle, at(1, 1)),
    });
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
}

#[test]
fn holders_are_told_of_rollbacks_and_of_the_sessions_end() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.submit(session, StatementKind::Rollback);
    harness.response();
    assert_eq!(harness.closed_forwarded, [(FIRST, session)]);
    harness.handle(Event::SessionClosed { session });
    assert_eq!(harness.closed_forwarded.len(), 2);
}

#[test]
fn a_holder_runs_a_forwarded_statement_and_forwards_it_no_further() {
    let mut harness = Harness::new();
    harness.handle(held_elsewhere(&[FIRST]));
    let execute = StatementKind::Execute {
        name: "s1".to_owned(),
        arguments: "a".to_owned(),
    };
    harness.receive_forwarded(ForwardedRequest {
        values: BTreeMap::from([("lang".to_owned(), "sk".to_owned())]),
        prepared: Some(PreparedStatement {
            access: AccessClass::Write,
            shape: "q1".to_owned(),
        }),
        ..forwarded(1, false, execute)
    });
    for position in 1..=3 {
        harness.answer(done(TransactionStatus::Idle, at(1, position)));
    }
    assert_eq!(harness.response().status, TransactionStatus::Idle);
    assert!(harness.forwarded.is_empty());
}

/// Guards against a transaction that stays open at a holder after a late answer: the session's next statement
/// ran inside it.
#[test]
fn a_session_is_closed_at_a_holder_that_did_not_answer_in_time() {
    for kind in [
        StatementKind::Begin { read_only: false },
        StatementKind::Read,
    ] {
        // The holder stays alive, so no other is tried.
        let mut harness = forwarding_node();
        let session = harness.open(LEADER_READS);
        harness.submit(session, kind.clone());
        let end = harness.now + support::TIMEOUT;
        while harness.now < end {
            harness.handle(Event::HolderAlive(FIRST));
            harness.advance(Duration::from_millis(50));
        }
        harness.response();
        assert_eq!(harness.closed_forwarded, [(FIRST, session)]);
        // Neither the holder nor the next one answers pings.
        let mut harness = forwarding_node();
        let session = harness.open(LEADER_READS);
        harness.submit(session, kind);
        harness.advance(support::TIMEOUT);
        harness.response();
        let both = [(FIRST, session), (SECOND, session)];
        assert_eq!(harness.closed_forwarded, both);
    }
}

/// Guards against a holder that keeps the failed session and refuses everything after the caller's rollback.
#[test]
fn a_transaction_that_failed_at_its_holder_is_over_there() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.submit(session, StatementKind::Write);
    harness.holder_answers(completed(TransactionStatus::Failed, at(1, 1)));
    harness.response();
    assert_eq!(harness.closed_forwarded, [(FIRST, session)]);
}

/// Guards against answers by a holder that was cut off from the store and has an older configuration than the
/// session's node.
#[test]
fn a_holder_with_an_older_configuration_takes_nothing() {
    let mut harness = Harness::new();
    harness.receive_forwarded(forwarded(2, false, StatementKind::Write));
    assert_eq!(harness.refusal(), ResultCode::NotReady);
    assert!(harness.sent.is_empty());
}

#[test]
fn a_refusal_that_is_the_holders_own_sends_the_statement_to_the_next() {
    for code in [ResultCode::NotReady, ResultCode::UnknownDatabase] {
        let mut harness = forwarding_node();
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
        let refused = ResponseResult::Refused {
            code,
            retry_after: None,
        };
        harness.holder_answers(Response {
            result: refused,
            ..completed(TransactionStatus::Idle, at(1, 1))
        });
        assert_eq!(harness.forwarded.last().unwrap().0, SECOND);
    }
}

/// Guards against a holder that refuses a statement of its open transaction because the session's node has a
/// newer configuration: the next statement ran inside that transaction.
#[test]
fn a_holder_goes_on_with_a_transaction_whatever_the_configuration() {
    let mut harness = Harness::new();
    let begin = StatementKind::Begin { read_only: false };
    harness.receive_forwarded(forwarded(1, false, begin));
    harness.answer(done(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.receive_forwarded(forwarded(2, true, StatementKind::Write));
    harness.answer(done(TransactionStatus::Open, at(1, 1)));
    assert_eq!(harness.response().status, TransactionStatus::Open);
}

#[test]
fn a_transaction_that_its_holder_does_not_know_is_lost_and_closed_there() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Begin { read_only: false });
    harness.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.submit(session, StatementKind::Write);
    let refused = ResponseResult::Refused {
        code: ResultCode::NotReady,
        retry_after: None,
    };
    harness.holder_answers(Response {
        result: refused,
        ..completed(TransactionStatus::Idle, at(1, 1))
    });
    let response = harness.response();
    assert_eq!(response.status, TransactionStatus::Failed);
    assert_eq!(harness.closed_forwarded, [(FIRST, session)]);
}

/// Whatever fails between the two nodes, a single statement never runs in a transaction that the holder still
/// has open, and a statement of a transaction never runs outside it.
#[test]
fn nothing_runs_if_holder_and_session_disagree_on_the_transaction() {
    let mut harness = Harness::new();
    harness.receive_forwarded(forwarded(1, true, StatementKind::Write));
    assert_eq!(harness.refusal(), ResultCode::NotReady);
    harness.receive_forwarded(forwarded(
        1,
        false,
        StatementKind::Begin { read_only: false },
    ));
    let begin = harness.answer(done(TransactionStatus::Open, at(1, 1)));
    harness.response();
    harness.receive_forwarded(forwarded(1, false, StatementKind::Write));
    assert_eq!(
        harness.sent[0].command,
        stairward_engine::BackendCommand::Rollback
    );
    assert_eq!(harness.sent[0].connection, begin.connection);
    assert_ne!(harness.sent[1].connection, begin.connection);
}

/// Longer than a holder may go without answering pings.
const BEYOND_PING_TIMEOUT: Duration = Duration::from_millis(400);

#[test]
fn a_silent_holder_loses_reads_to_the_next_and_keeps_writes() {
    let mut harness = forwarding_node();
    let reader = harness.open(LEADER_READS);
    let writer = harness.open(LEADER_READS);
    harness.submit(reader, StatementKind::Read);
    harness.submit(writer, StatementKind::Write);
    assert_eq!(harness.forwarded.len(), 2);
    harness.advance(BEYOND_PING_TIMEOUT);
    assert_eq!(harness.pinged_holders, [FIRST]);
    assert_eq!(harness.forwarded.len(), 3, "a write is sent once");
    let (holder, session, ..) = harness.forwarded[2];
    assert_eq!((holder, session), (SECOND, reader));
    assert!(harness.closed_forwarded.contains(&(FIRST, reader)));
    // The late answer to the write counts, and the holder gets new work again.
    let (holder, session, request, _) = harness.forwarded[1].clone();
    harness.handle(Event::ForwardAnswered {
        holder,
        session,
        request,
        response: completed(TransactionStatus::Idle, at(1, 1)),
    });
    assert_eq!(harness.response().position, Some(at(1, 1)));
    harness.submit(writer, StatementKind::Write);
    assert_eq!(harness.forwarded.last().unwrap().0, FIRST);
}

#[test]
fn a_holder_that_answers_pings_keeps_its_work() {
    let mut harness = forwarding_node();
    let reader = harness.open(LEADER_READS);
    harness.submit(reader, StatementKind::Read);
    for _ in 0..3 {
        harness.advance(Duration::from_millis(200));
        harness.handle(Event::HolderAlive(FIRST));
    }
    assert_eq!(harness.forwarded.len(), 1);
    assert!(
        harness.pinged_holders.len() >= 2,
        "{:?}",
        harness.pinged_holders
    );
}

#[test]
fn a_silent_holder_gets_no_new_work_and_is_pinged_until_it_answers() {
    let mut harness = forwarding_node();
    let reader = harness.open(LEADER_READS);
    harness.submit(reader, StatementKind::Read);
    harness.advance(BEYOND_PING_TIMEOUT);
    harness.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    harness.response();
    harness.submit(reader, StatementKind::Write);
    assert_eq!(harness.forwarded.last().unwrap().0, SECOND);
    harness.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    harness.response();
    let asked = harness.pinged_holders.len();
    harness.advance(Duration::from_secs(2));
    assert!(harness.pinged_holders.len() >= asked + 3);
    harness.handle(Event::HolderAlive(FIRST));
    harness.submit(reader, StatementKind::Write);
    assert_eq!(harness.forwarded.last().unwrap().0, FIRST);
}

#[test]
fn what_was_never_sent_to_a_holder_goes_to_the_next_whatever_it_is() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.handle(Event::HolderUnreachable(FIRST));
    assert_eq!(harness.forwarded.last().unwrap().0, SECOND);
    harness.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    assert_eq!(harness.response().position, Some(at(1, 1)));
    harness.submit(session, StatementKind::Write);
    assert_eq!(
        harness.forwarded.last().unwrap().0,
        SECOND,
        "the first holder is silent"
    );
}

/// Guards against a ping to a holder's previous process that counts against the next one, which was never
/// pinged.
#[test]
fn a_restarted_holder_is_pinged_before_it_counts_as_silent() {
    let mut harness = forwarding_node();
    let reader = harness.open(LEADER_READS);
    harness.submit(reader, StatementKind::Write);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.pinged_holders, [FIRST]);
    harness.handle(Event::HolderLost(FIRST));
    harness.refusal();
    harness.advance(Duration::from_secs(2));
    let (asked, forwarded) = (harness.pinged_holders.len(), harness.forwarded.len());
    harness.submit(reader, StatementKind::Read);
    harness.advance(Duration::from_millis(160));
    assert_eq!(harness.pinged_holders.len(), asked + 1);
    assert_eq!(
        harness.forwarded.len(),
        forwarded + 1,
        "the holder keeps its work"
    );
}

/// Guards against a refusal that arrives after the session's node has given up and can only report an unknown
/// outcome.
#[test]
fn a_holder_refuses_an_unsent_statement_before_its_session_times_out() {
    let mut harness = Harness::new();
    let replicas = usual_backends()
        .into_iter()
        .filter(|backend| backend.role == BackendRole::Replica);
    harness.handle(listed(replicas.collect()));
    harness.advance(Duration::from_secs(20));
    harness.sent.clear();
    harness.receive_forwarded(ForwardedRequest {
        time_left: Duration::from_millis(100),
        ..forwarded(1, false, StatementKind::Write)
    });
    harness.advance(Duration::from_millis(45));
    assert_eq!(harness.refusal().class(), OutcomeClass::NotRun);
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
}

#[test]
fn a_forwarded_request_carries_the_remaining_time() {
    let mut harness = forwarding_node();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let (_, _, _, first) = harness.forwarded.pop().unwrap();
    harness.advance(Duration::from_millis(100));
    harness.handle(Event::HolderUnreachable(FIRST));
    let (_, _, _, second) = harness.forwarded.pop().unwrap();
    assert_eq!(
        second.time_left,
        first.time_left - Duration::from_millis(100)
    );
}

#[test]
fn a_holder_lets_a_statement_that_was_sent_run_on_and_keeps_its_connection() {
    let mut harness = Harness::new();
    harness.sent.clear();
    harness.receive_forwarded(ForwardedRequest {
        time_left: Duration::from_millis(100),
        ..forwarded(1, false, StatementKind::Write)
    });
    assert_eq!(harness.sent.len(), 1);
    harness.advance(Duration::from_millis(200));
    assert!(harness.closed_connections.is_empty());
    harness.answer(done(TransactionStatus::Idle, at(1, 2)));
    assert_eq!(harness.response().status, TransactionStatus::Idle);
}
