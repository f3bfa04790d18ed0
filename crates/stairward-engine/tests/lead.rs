//! A leader counts only while its replicas confirm it: what is withheld, what is let go, and what ends.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendReply, Engine, EngineOptions, Event, LeadershipChange, ResponseResult,
    ServiceHolders, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, MemberStatus, NodeId, ResultCode, Term};

use support::{
    FAR_REPLICA, LEADER_READS, NEAR_REPLICA, PRIMARY, Sent, World, at, done, held_by, listed,
    service, table, usual_backends,
};

const LEASE: Duration = Duration::from_millis(1_000);

/// A world whose old leaders may go on.
fn world() -> World {
    let mut world = World::empty();
    let options = EngineOptions {
        leadership_lease: Some(LEASE),
        ..world.engine_options()
    };
    world.engine = Engine::new(options);
    world.tell(Event::ConfigurationChanged(Arc::new(table(1))));
    world.tell(listed(usual_backends()));
    world
}

fn word(role: BackendRole, term: u64, held: u64) -> BackendReply {
    let mut reply = done(TransactionStatus::Idle, at(1, 10));
    reply.member = Some(MemberStatus {
        role,
        term: Term(term),
        received: at(1, 10),
        held: Term(held),
    });
    reply
}

fn follows(term: u64) -> BackendReply {
    word(BackendRole::Replica, term, 0)
}

/// The oldest question for a status to a back end, taken.
fn question_to(world: &mut World, name: &str) -> Option<Sent> {
    let place = world.sent.iter().position(|sent| {
        sent.command == BackendCommand::QueryStatus && sent.backend.as_str() == name
    })?;
    Some(world.sent.remove(place))
}

fn answer_question(world: &mut World, name: &str, reply: BackendReply) {
    let sent = question_to(world, name).expect("a question");
    let connection = sent.connection;
    world.tell(Event::Reply { connection, reply });
}

/// Answers the oldest command that is not a question for a status.
fn answer_work(world: &mut World, reply: BackendReply) {
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    let place = world.sent.iter().position(is_work).expect("a command");
    let connection = world.sent.remove(place).connection;
    world.tell(Event::Reply { connection, reply });
}

/// Both replicas confirm term 1.
fn confirm(world: &mut World) {
    answer_question(world, NEAR_REPLICA, follows(1));
    answer_question(world, FAR_REPLICA, follows(1));
}

fn write(world: &mut World) {
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
}

#[test]
fn a_write_is_acknowledged_once_all_replicas_confirm_the_leader() {
    let mut world = world();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    assert!(world.responses.is_empty(), "its lead is not confirmed");
    answer_question(&mut world, NEAR_REPLICA, follows(1));
    assert!(
        world.responses.is_empty(),
        "the other may lead a later term"
    );
    answer_question(&mut world, FAR_REPLICA, follows(1));
    let result = world.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

#[test]
fn while_confirmations_follow_each_other_closely_one_replica_is_enough() {
    let mut world = world();
    write(&mut world);
    confirm(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.response();
    world.pass(LEASE * 3 / 5);
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    world.response();
    assert!(question_to(&mut world, FAR_REPLICA).is_none());
    answer_question(&mut world, NEAR_REPLICA, follows(1));
    world.pass(LEASE * 3 / 5);
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 13)));
    let result = world.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

/// The lease counts from the question, also when the answer came late.
#[test]
fn a_confirmation_counts_from_its_question() {
    let mut world = world();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.pass(Duration::from_millis(150));
    confirm(&mut world);
    world.response();
    world.pass(LEASE - Duration::from_millis(100));
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    assert!(world.responses.is_empty(), "a lease after the question");
}

#[test]
fn a_replica_on_hold_keeps_new_work_from_the_leader() {
    let mut world = world();
    write(&mut world);
    confirm(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.response();
    world.pass(LEASE * 3 / 5);
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    world.response();
    answer_question(&mut world, NEAR_REPLICA, word(BackendRole::Replica, 1, 2));
    assert_eq!(world.lead_changes.last(), Some(&LeadershipChange::Revoked));
    let before = world.sent.len();
    write(&mut world);
    let is_work = |sent: &&Sent| sent.command != BackendCommand::QueryStatus;
    assert_eq!(world.sent[before..].iter().filter(is_work).count(), 0);
}

/// The holds end when the promotion takes effect, and a replica may not have heard of the new leader yet.
#[test]
fn a_hold_that_has_ended_does_not_confirm_the_old_leader_again() {
    let mut world = world();
    write(&mut world);
    confirm(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.response();
    world.pass(LEASE * 3 / 5);
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    world.response();
    answer_question(&mut world, NEAR_REPLICA, word(BackendRole::Replica, 1, 2));
    // The other replica's word is by then older than a lease, as it is after any hold that was waited out.
    world.pass(LEASE / 2);
    write(&mut world);
    answer_question(&mut world, NEAR_REPLICA, follows(1));
    assert_eq!(world.lead_changes.last(), Some(&LeadershipChange::Revoked));
}

#[test]
fn a_leader_that_is_about_to_be_replaced_gets_nothing_more_and_is_not_believed() {
    let mut world = world();
    write(&mut world);
    confirm(&mut world);
    world.tell(Event::LeadershipRevoked(service(), Term(2)));
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    assert!(world.responses.is_empty());
    let before = world.sent.len();
    write(&mut world);
    let is_work = |sent: &&Sent| sent.command != BackendCommand::QueryStatus;
    assert_eq!(world.sent[before..].iter().filter(is_work).count(), 0);
}

/// Whoever led the announced term may be out of reach since, and no longer listed.
#[test]
fn an_announced_term_is_not_forgotten_while_one_who_may_have_led_it_is_silent() {
    let mut world = world();
    write(&mut world);
    confirm(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.response();
    world.tell(Event::LeadershipRevoked(service(), Term(2)));
    world.tell(listed(vec![
        usual_backends()[0].clone(),
        usual_backends()[2].clone(),
    ]));
    world.pass(LEASE * 2);
    write(&mut world);
    world.pass(Duration::from_millis(100));
    while let Some(sent) = question_to(&mut world, FAR_REPLICA) {
        let connection = sent.connection;
        let reply = follows(1);
        world.tell(Event::Reply { connection, reply });
    }
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    assert!(!world.sent.iter().any(is_work), "{:?}", world.sent);
}

#[test]
fn a_write_at_a_leader_that_was_replaced_ends_unknown_at_once() {
    let mut world = world();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    answer_question(&mut world, NEAR_REPLICA, follows(2));
    assert_eq!(world.refusal(), ResultCode::FenceNotProved);
}

#[test]
fn a_read_at_a_leader_that_was_replaced_goes_elsewhere() {
    let mut world = world();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Read);
    answer_work(&mut world, done(TransactionStatus::Open, at(1, 11)));
    answer_question(&mut world, NEAR_REPLICA, follows(2));
    assert!(
        world.responses.is_empty(),
        "it has not run: {:?}",
        world.responses
    );
    let ran = |sent: &Sent| matches!(sent.command, BackendCommand::Run { .. });
    assert!(!world.sent.iter().any(ran));
}

#[test]
fn what_an_unconfirmed_leader_says_of_its_position_proves_nothing() {
    let mut world = world();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    assert_eq!(world.engine.proved_position(world.now, &service()), None);
    confirm(&mut world);
    let proved = world.engine.proved_position(world.now, &service());
    assert_eq!(proved.map(|(position, _)| position), Some(at(1, 11)));
}

/// Nobody can be promoted where there is nobody else.
#[test]
fn a_leader_without_replicas_needs_no_confirmation() {
    let mut world = world();
    world.tell(listed(vec![usual_backends()[0].clone()]));
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    let result = world.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

#[test]
fn a_caller_that_leaves_while_its_answer_is_withheld_frees_the_connection() {
    let mut world = world();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.tell(Event::SessionClosed { session });
    confirm(&mut world);
    let opened = world.opened.len();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    world.response();
    let to_leader = |(_, id): &&(_, stairward_types::BackendId)| id.as_str() == PRIMARY;
    let new = world.opened[opened..].iter().filter(to_leader).count();
    assert_eq!(new, 0, "the connection was kept");
}

#[test]
fn a_node_of_the_region_is_asked_first_and_the_replicas_if_it_does_not_answer() {
    let mut world = world();
    let source = NodeId(5);
    world.tell(held_by(ServiceHolders {
        leadership_source: Some(source),
        ..ServiceHolders::default()
    }));
    write(&mut world);
    assert_eq!(world.asked_leads, [(source, service())]);
    assert!(question_to(&mut world, NEAR_REPLICA).is_none());
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.tell(Event::PeerLeadership {
        service: service(),
        possible_term: Term(1),
        asked_at: world.now,
        age: Duration::from_millis(300),
    });
    world.response();
    world.pass(LEASE);
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 12)));
    world.pass(LEASE * 3 / 10);
    assert!(question_to(&mut world, NEAR_REPLICA).is_some());
}

#[test]
fn a_peer_s_word_is_as_old_as_it_says() {
    let mut world = world();
    world.tell(held_by(ServiceHolders {
        leadership_source: Some(NodeId(5)),
        ..ServiceHolders::default()
    }));
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    world.tell(Event::PeerLeadership {
        service: service(),
        possible_term: Term(1),
        asked_at: world.now,
        age: LEASE,
    });
    assert!(world.responses.is_empty());
}

/// A question that is refused, as by a full back end, is not repeated at once.
#[test]
fn a_busy_replica_is_not_asked_again_at_once() {
    let mut world = world();
    write(&mut world);
    answer_work(&mut world, done(TransactionStatus::Idle, at(1, 11)));
    let busy = support::failed(
        stairward_engine::BackendErrorCode::Busy,
        TransactionStatus::Idle,
    );
    answer_question(&mut world, NEAR_REPLICA, busy);
    world.pass(Duration::from_millis(100));
    assert!(question_to(&mut world, NEAR_REPLICA).is_none());
    world.pass(Duration::from_millis(200));
    assert!(question_to(&mut world, NEAR_REPLICA).is_some());
}

#[test]
fn effects_of_leads_are_told_once() {
    let mut world = world();
    write(&mut world);
    answer_question(&mut world, NEAR_REPLICA, follows(2));
    answer_question(&mut world, FAR_REPLICA, follows(2));
    let revoked = world.lead_changes.iter();
    let revoked = revoked.filter(|change| **change == LeadershipChange::Revoked);
    assert!(revoked.count() <= 1);
}
