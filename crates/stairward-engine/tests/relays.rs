//! Sessions whose back ends' connections other nodes hold: what is forwarded, and what a lost holder means.

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
use support::{LEADER_READS, OWN_READS, World, at, done, held_elsewhere, listed, usual_backends};

const FIRST: NodeId = NodeId(7);
const SECOND: NodeId = NodeId(8);
/// A session of another node, by its number here.
const GUEST: SessionId = SessionId(1_000);

/// A world in which two other nodes hold the service's connections.
fn edge() -> World {
    let mut world = World::new();
    world.tell(held_elsewhere(&[FIRST, SECOND]));
    world.sent.clear();
    world
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

/// A statement as another node forwards it.
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

impl World {
    /// Another node forwards a statement of its only session here.
    fn take_forwarded(&mut self, forwarded: ForwardedRequest) {
        self.tell(Event::ForwardedRequest {
            session: GUEST,
            forwarded: Box::new(forwarded),
        });
    }

    /// Answers the statement that was forwarded last.
    fn holder_answers(&mut self, response: Response) -> ForwardedRequest {
        let (holder, session, request, forwarded) = self.forwarded.pop().unwrap();
        self.tell(Event::ForwardAnswered {
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
    let mut world = edge();
    let session = world.open(OWN_READS);
    let value = StatementKind::SetValue {
        name: "lang".to_owned(),
        value: "sk".to_owned(),
    };
    world.say(session, value);
    world.response();
    world.say(session, StatementKind::Write);
    assert_eq!(world.forwarded[0].0, FIRST);
    let write = world.holder_answers(completed(TransactionStatus::Idle, at(1, 9)));
    assert_eq!(write.values["lang"], "sk");
    assert_eq!(world.response().status, TransactionStatus::Idle);
    world.say(session, StatementKind::Read);
    let read = world.holder_answers(completed(TransactionStatus::Idle, at(1, 9)));
    assert_eq!(
        read.commit,
        Some(at(1, 9)),
        "the session's commit goes along"
    );
    assert!(world.sent.is_empty(), "nothing runs here");
}

#[test]
fn a_transaction_stays_with_its_holder() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Begin { read_only: false });
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    assert_eq!(world.response().status, TransactionStatus::Open);
    world.tell(held_elsewhere(&[SECOND]));
    world.say(session, StatementKind::Write);
    assert_eq!(world.forwarded[0].0, FIRST);
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.say(session, StatementKind::Commit);
    world.holder_answers(completed(TransactionStatus::Idle, at(1, 2)));
    assert_eq!(world.response().status, TransactionStatus::Idle);
}

#[test]
fn a_lost_holder_leaves_a_write_unknown_and_a_read_goes_to_the_next() {
    let mut world = edge();
    let writer = world.open(LEADER_READS);
    world.say(writer, StatementKind::Write);
    world.tell(Event::HolderLost(FIRST));
    assert_eq!(world.refusal(), ResultCode::OwnerLostAfterSend);
    assert_eq!(world.forwarded.len(), 1, "a write is sent once");
    world.forwarded.clear();
    let reader = world.open(LEADER_READS);
    world.say(reader, StatementKind::Read);
    world.tell(Event::HolderLost(FIRST));
    assert_eq!(world.forwarded.last().unwrap().0, SECOND);
    world.tell(Event::HolderLost(SECOND));
    assert_eq!(
        world.refusal(),
        ResultCode::NotOwner,
        "it provably wrote nothing"
    );
}

#[test]
fn a_lost_holder_undoes_a_transaction_unless_its_commit_was_sent() {
    let begin = |world: &mut World| {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Begin { read_only: false });
        world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
        world.response();
        world.say(session, StatementKind::Write);
        session
    };
    let mut world = edge();
    begin(&mut world);
    world.tell(Event::HolderLost(FIRST));
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
    let mut world = edge();
    let session = begin(&mut world);
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.say(session, StatementKind::Commit);
    world.tell(Event::HolderLost(FIRST));
    assert_eq!(world.refusal(), ResultCode::OwnerLostAfterSend);
}

#[test]
fn an_answer_to_an_earlier_request_is_dropped() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Read);
    let (holder, session_id, request, _) = world.forwarded.pop().unwrap();
    world.pass(support::TIMEOUT);
    world.response();
    world.say(session, StatementKind::Read);
    world.tell(Event::ForwardAnswered {
        holder,
        session: session_id,
        request,
        response: completed(TransactionStatus::Idle, at(1, 1)),
    });
    assert!(world.responses.is_empty(), "{:?}", world.responses);
}

#[test]
fn holders_hear_of_a_rolled_back_transaction_and_of_the_sessions_end() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Begin { read_only: false });
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.say(session, StatementKind::Rollback);
    world.response();
    assert_eq!(world.closed_forwarded, [(FIRST, session)]);
    world.tell(Event::SessionClosed { session });
    assert_eq!(world.closed_forwarded.len(), 2);
}

#[test]
fn a_holder_runs_a_forwarded_statement_and_forwards_it_no_further() {
    let mut world = World::new();
    world.tell(held_elsewhere(&[FIRST]));
    let execute = StatementKind::Execute {
        name: "s1".to_owned(),
        arguments: "a".to_owned(),
    };
    world.take_forwarded(ForwardedRequest {
        values: BTreeMap::from([("lang".to_owned(), "sk".to_owned())]),
        prepared: Some(PreparedStatement {
            access: AccessClass::Write,
            shape: "q1".to_owned(),
        }),
        ..forwarded(1, false, execute)
    });
    for position in 1..=3 {
        world.answer(done(TransactionStatus::Idle, at(1, position)));
    }
    assert_eq!(world.response().status, TransactionStatus::Idle);
    assert!(world.forwarded.is_empty());
}

/// A statement that its holder answered too late left a transaction open there, and the session's next
/// statement ran inside it.
#[test]
fn a_holder_that_did_not_answer_in_time_forgets_the_session() {
    for kind in [
        StatementKind::Begin { read_only: false },
        StatementKind::Read,
    ] {
        // It gives signs of life, so that nobody else is asked.
        let mut world = edge();
        let session = world.open(LEADER_READS);
        world.say(session, kind.clone());
        let end = world.now + support::TIMEOUT;
        while world.now < end {
            world.tell(Event::HolderAlive(FIRST));
            world.pass(Duration::from_millis(50));
        }
        world.response();
        assert_eq!(world.closed_forwarded, [(FIRST, session)]);
        // It gives none, nor does the next.
        let mut world = edge();
        let session = world.open(LEADER_READS);
        world.say(session, kind);
        world.pass(support::TIMEOUT);
        world.response();
        let both = [(FIRST, session), (SECOND, session)];
        assert_eq!(world.closed_forwarded, both);
    }
}

/// The holder kept the session failed, and refused all that came after the caller had rolled back.
#[test]
fn a_transaction_that_failed_at_its_holder_is_over_there() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Begin { read_only: false });
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.say(session, StatementKind::Write);
    world.holder_answers(completed(TransactionStatus::Failed, at(1, 1)));
    world.response();
    assert_eq!(world.closed_forwarded, [(FIRST, session)]);
}

/// A holder that was cut from the store answered by an older configuration than the session's own node had in
/// force.
#[test]
fn a_holder_with_an_older_configuration_takes_nothing() {
    let mut world = World::new();
    world.take_forwarded(forwarded(2, false, StatementKind::Write));
    assert_eq!(world.refusal(), ResultCode::NotReady);
    assert!(world.sent.is_empty());
}

#[test]
fn a_refusal_that_is_the_holders_own_sends_the_statement_to_the_next() {
    for code in [ResultCode::NotReady, ResultCode::UnknownDatabase] {
        let mut world = edge();
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
        let refused = ResponseResult::Refused {
            code,
            retry_after: None,
        };
        world.holder_answers(Response {
            result: refused,
            ..completed(TransactionStatus::Idle, at(1, 1))
        });
        assert_eq!(world.forwarded.last().unwrap().0, SECOND);
    }
}

/// A configuration that reached the session's node first made the holder refuse a statement of a transaction
/// that it had open; the next one ran inside it.
#[test]
fn a_holder_goes_on_with_a_transaction_whatever_the_configuration() {
    let mut world = World::new();
    let begin = StatementKind::Begin { read_only: false };
    world.take_forwarded(forwarded(1, false, begin));
    world.answer(done(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.take_forwarded(forwarded(2, true, StatementKind::Write));
    world.answer(done(TransactionStatus::Open, at(1, 1)));
    assert_eq!(world.response().status, TransactionStatus::Open);
}

#[test]
fn a_transaction_that_its_holder_does_not_know_is_lost_and_closed_there() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Begin { read_only: false });
    world.holder_answers(completed(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.say(session, StatementKind::Write);
    let refused = ResponseResult::Refused {
        code: ResultCode::NotReady,
        retry_after: None,
    };
    world.holder_answers(Response {
        result: refused,
        ..completed(TransactionStatus::Idle, at(1, 1))
    });
    let response = world.response();
    assert_eq!(response.status, TransactionStatus::Failed);
    assert_eq!(world.closed_forwarded, [(FIRST, session)]);
}

/// Whatever went wrong between the two nodes: a statement by itself never runs in a transaction that the
/// holder still has open, and one of a transaction never outside it.
#[test]
fn a_holder_and_its_guest_agree_on_the_transaction_or_nothing_runs() {
    let mut world = World::new();
    world.take_forwarded(forwarded(1, true, StatementKind::Write));
    assert_eq!(world.refusal(), ResultCode::NotReady);
    world.take_forwarded(forwarded(
        1,
        false,
        StatementKind::Begin { read_only: false },
    ));
    let begin = world.answer(done(TransactionStatus::Open, at(1, 1)));
    world.response();
    world.take_forwarded(forwarded(1, false, StatementKind::Write));
    assert_eq!(
        world.sent[0].command,
        stairward_engine::BackendCommand::Rollback
    );
    assert_eq!(world.sent[0].connection, begin.connection);
    assert_ne!(world.sent[1].connection, begin.connection);
}

/// Longer than a holder may stay without a sign of life.
const LONG_SILENCE: Duration = Duration::from_millis(400);

#[test]
fn a_holder_without_a_sign_of_life_loses_reads_to_the_next_and_keeps_writes() {
    let mut world = edge();
    let reader = world.open(LEADER_READS);
    let writer = world.open(LEADER_READS);
    world.say(reader, StatementKind::Read);
    world.say(writer, StatementKind::Write);
    assert_eq!(world.forwarded.len(), 2);
    world.pass(LONG_SILENCE);
    assert_eq!(world.asked_holders, [FIRST]);
    assert_eq!(world.forwarded.len(), 3, "a write is sent once");
    let (holder, session, ..) = world.forwarded[2];
    assert_eq!((holder, session), (SECOND, reader));
    assert!(world.closed_forwarded.contains(&(FIRST, reader)));
    // Its late answer to the write counts, and new work goes to it again.
    let (holder, session, request, _) = world.forwarded[1].clone();
    world.tell(Event::ForwardAnswered {
        holder,
        session,
        request,
        response: completed(TransactionStatus::Idle, at(1, 1)),
    });
    assert_eq!(world.response().position, Some(at(1, 1)));
    world.say(writer, StatementKind::Write);
    assert_eq!(world.forwarded.last().unwrap().0, FIRST);
}

#[test]
fn a_holder_that_gives_a_sign_of_life_keeps_its_work() {
    let mut world = edge();
    let reader = world.open(LEADER_READS);
    world.say(reader, StatementKind::Read);
    for _ in 0..3 {
        world.pass(Duration::from_millis(200));
        world.tell(Event::HolderAlive(FIRST));
    }
    assert_eq!(world.forwarded.len(), 1);
    assert!(world.asked_holders.len() >= 2, "{:?}", world.asked_holders);
}

#[test]
fn a_silent_holder_gets_no_new_work_and_is_asked_until_it_is_heard() {
    let mut world = edge();
    let reader = world.open(LEADER_READS);
    world.say(reader, StatementKind::Read);
    world.pass(LONG_SILENCE);
    world.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    world.response();
    world.say(reader, StatementKind::Write);
    assert_eq!(world.forwarded.last().unwrap().0, SECOND);
    world.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    world.response();
    let asked = world.asked_holders.len();
    world.pass(Duration::from_secs(2));
    assert!(world.asked_holders.len() >= asked + 3);
    world.tell(Event::HolderAlive(FIRST));
    world.say(reader, StatementKind::Write);
    assert_eq!(world.forwarded.last().unwrap().0, FIRST);
}

#[test]
fn what_was_never_sent_to_a_holder_goes_to_the_next_whatever_it_is() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.tell(Event::HolderUnreachable(FIRST));
    assert_eq!(world.forwarded.last().unwrap().0, SECOND);
    world.holder_answers(completed(TransactionStatus::Idle, at(1, 1)));
    assert_eq!(world.response().position, Some(at(1, 1)));
    world.say(session, StatementKind::Write);
    assert_eq!(
        world.forwarded.last().unwrap().0,
        SECOND,
        "the first is silent"
    );
}

/// The question to a holder's earlier life counted against its next one, which was never asked.
#[test]
fn a_holder_that_is_back_is_asked_before_it_counts_as_silent() {
    let mut world = edge();
    let reader = world.open(LEADER_READS);
    world.say(reader, StatementKind::Write);
    world.pass(Duration::from_millis(200));
    assert_eq!(world.asked_holders, [FIRST]);
    world.tell(Event::HolderLost(FIRST));
    world.refusal();
    world.pass(Duration::from_secs(2));
    let (asked, forwarded) = (world.asked_holders.len(), world.forwarded.len());
    world.say(reader, StatementKind::Read);
    world.pass(Duration::from_millis(160));
    assert_eq!(world.asked_holders.len(), asked + 1);
    assert_eq!(world.forwarded.len(), forwarded + 1, "it keeps its work");
}

/// Its own node, which gave up first, could only say that it did not know whether the statement had run.
#[test]
fn a_holder_that_can_t_send_a_statement_says_so_while_that_is_an_answer() {
    let mut world = World::new();
    let replicas = usual_backends()
        .into_iter()
        .filter(|backend| backend.role == BackendRole::Replica);
    world.tell(listed(replicas.collect()));
    world.pass(Duration::from_secs(20));
    world.sent.clear();
    world.take_forwarded(ForwardedRequest {
        time_left: Duration::from_millis(100),
        ..forwarded(1, false, StatementKind::Write)
    });
    world.pass(Duration::from_millis(45));
    assert_eq!(world.refusal().class(), OutcomeClass::NotRun);
    assert!(world.sent.is_empty(), "{:?}", world.sent);
}

#[test]
fn a_session_s_node_tells_how_long_it_waits() {
    let mut world = edge();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    let (_, _, _, first) = world.forwarded.pop().unwrap();
    world.pass(Duration::from_millis(100));
    world.tell(Event::HolderUnreachable(FIRST));
    let (_, _, _, second) = world.forwarded.pop().unwrap();
    assert_eq!(
        second.time_left,
        first.time_left - Duration::from_millis(100)
    );
}

#[test]
fn a_holder_lets_a_statement_that_was_sent_run_on_and_keeps_its_connection() {
    let mut world = World::new();
    world.sent.clear();
    world.take_forwarded(ForwardedRequest {
        time_left: Duration::from_millis(100),
        ..forwarded(1, false, StatementKind::Write)
    });
    assert_eq!(world.sent.len(), 1);
    world.pass(Duration::from_millis(200));
    assert!(world.closed_connections.is_empty());
    world.answer(done(TransactionStatus::Idle, at(1, 2)));
    assert_eq!(world.response().status, TransactionStatus::Idle);
}
