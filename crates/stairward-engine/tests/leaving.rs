//! For how long back ends that leave get work: from when they can have said so, not only from when it was heard.

mod support;

use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendDescription, Event, LeavingChange, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, ResultCode, StoreRevision, Time};
use support::{
    BOUNDED, FAR_REPLICA, LEADER_READS, NEAR_REPLICA, PRIMARY, World, at, backend, describe, done,
    usual_backends,
};

/// The engine's defaults: from hearing, and from when it can have been said.
const AFTER_HEARING: Duration = Duration::from_secs(4);
const AFTER_BEGIN: Duration = Duration::from_secs(6);
const PIECE: Duration = Duration::from_millis(1);

fn leaving(mut description: BackendDescription) -> BackendDescription {
    description.is_leaving = true;
    description
}

/// A list in which the primary leaves, and which is new since a moment.
fn primary_leaves(since: Option<Time>) -> Event {
    let mut list = usual_backends();
    list[0].is_leaving = true;
    list[0].revision = StoreRevision::new(0, 9);
    Event::BackendsListed { list, since }
}

fn proved() -> World {
    let mut world = World::new();
    world.prove(at(1, 5));
    world.sent.clear();
    world
}

/// Whether a write is sent to the leader now.
fn is_used(world: &mut World) -> bool {
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    let is_sent = !world.sent.is_empty();
    if is_sent {
        world.answer(done(TransactionStatus::Idle, at(1, 6)));
        world.response();
    } else {
        world.pass(Duration::from_millis(300));
        world.refusal();
    }
    is_sent
}

#[test]
fn one_that_has_just_said_so_is_used_from_hearing() {
    let mut world = proved();
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING - PIECE);
    assert!(is_used(&mut world));
    world.pass(PIECE);
    assert!(!is_used(&mut world));
}

#[test]
fn one_that_may_have_said_so_earlier_is_used_for_less() {
    let mut world = proved();
    let since = world.now;
    world.pass(Duration::from_secs(5));
    world.tell(primary_leaves(Some(since)));
    world.pass(AFTER_BEGIN - Duration::from_secs(5) - PIECE);
    assert!(is_used(&mut world));
    world.pass(PIECE);
    assert!(!is_used(&mut world));
}

#[test]
fn one_that_may_have_said_so_at_any_time_is_not_used() {
    let mut world = proved();
    world.tell(primary_leaves(None));
    assert!(!is_used(&mut world));
}

#[test]
fn one_that_is_gone_is_used_from_when_it_can_have_gone() {
    let mut world = proved();
    let since = world.now;
    world.pass(Duration::from_secs(5));
    let list = usual_backends()[1..].to_vec();
    world.tell(Event::BackendsListed {
        list,
        since: Some(since),
    });
    assert!(is_used(&mut world));
    world.pass(AFTER_BEGIN - Duration::from_secs(5));
    assert!(!is_used(&mut world));
}

#[test]
fn one_that_is_first_heard_of_as_leaving_is_not_used() {
    let mut world = proved();
    let mut list = usual_backends();
    list.truncate(1);
    list.push(leaving(describe("db-4", BackendRole::Replica, 9)));
    let since = Some(world.now);
    world.tell(Event::BackendsListed { list, since });
    world.pass(Duration::from_millis(100));
    let opened: Vec<_> = world.opened.iter().map(|(_, backend)| backend).collect();
    assert!(!opened.contains(&&backend("db-4")), "{opened:?}");
}

#[test]
fn news_that_come_twice_give_no_time_twice() {
    let mut world = proved();
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING / 2);
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING / 2);
    assert!(!is_used(&mut world));
}

#[test]
fn a_statement_whose_connection_was_set_up_too_late_is_not_sent() {
    let mut world = proved();
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING - Duration::from_millis(100));
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Read);
    assert!(matches!(
        world.sent[0].command,
        BackendCommand::Begin { .. }
    ));
    world.pass(Duration::from_millis(200));
    world.answer(done(TransactionStatus::Open, at(1, 6)));
    let commands: Vec<_> = world.sent.iter().map(|sent| &sent.command).collect();
    assert_eq!(commands, [&BackendCommand::Rollback]);
}

#[test]
fn a_transaction_in_which_nothing_has_run_does_not_begin_late() {
    let mut world = proved();
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING - Duration::from_millis(100));
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 6));
    world.pass(Duration::from_millis(200));
    world.say(session, StatementKind::Write);
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_transaction_that_has_begun_its_work_goes_on() {
    let mut world = proved();
    world.tell(primary_leaves(Some(world.now)));
    world.pass(AFTER_HEARING - Duration::from_millis(100));
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 6));
    world.say(session, StatementKind::Read);
    world.answer(done(TransactionStatus::Open, at(1, 6)));
    world.response();
    world.pass(Duration::from_millis(200));
    world.say(session, StatementKind::Write);
    assert_eq!(world.sent.len(), 1);
}

#[test]
fn it_is_told_what_was_heard_and_what_was_sent() {
    let mut world = proved();
    let since = world.now;
    world.pass(Duration::from_secs(1));
    world.tell(primary_leaves(Some(since)));
    assert!(is_used(&mut world));
    world.pass(AFTER_HEARING + Duration::from_secs(1));
    let began = LeavingChange::Started {
        age: Some(Duration::from_secs(1)),
        used_for: AFTER_HEARING,
    };
    let over = LeavingChange::Expired {
        sent: 1,
        last_after: Duration::ZERO,
    };
    assert_eq!(world.leaving, [began, over]);
    world.tell(Event::BackendsListed {
        list: usual_backends(),
        since: Some(world.now),
    });
    assert_eq!(world.leaving[2..], [LeavingChange::Cancelled]);
}

#[test]
fn reads_leave_it_for_copies_that_stay() {
    let mut world = proved();
    let mut list = usual_backends();
    list[1].is_leaving = true;
    list[1].revision = StoreRevision::new(0, 9);
    let since = Some(world.now);
    world.tell(Event::BackendsListed { list, since });
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let used = world.sent[0].backend.as_str();
    assert!([PRIMARY, FAR_REPLICA].contains(&used) && used != NEAR_REPLICA);
}
