//! How long leaving back ends get work: limited by the earliest possible announcement as well as by this
//! node's notice.

mod support;

use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendDescription, Event, LeavingChange, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, ResultCode, StoreRevision, Time};
use support::{
    BOUNDED, FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, at, backend, describe,
    done, usual_backends,
};

/// The engine's defaults, counted from the notice and from the announcement.
const AFTER_NOTICE: Duration = Duration::from_secs(4);
const AFTER_ANNOUNCEMENT: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(1);

fn leaving(mut description: BackendDescription) -> BackendDescription {
    description.is_leaving = true;
    description
}

/// A list in which the primary leaves, with changes since the given time.
fn primary_leaves(since: Option<Time>) -> Event {
    let mut list = usual_backends();
    list[0].is_leaving = true;
    list[0].revision = StoreRevision::new(0, 9);
    Event::BackendsListed { list, since }
}

fn with_proof() -> Harness {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 5));
    harness.sent.clear();
    harness
}

/// Whether a write is sent to the leader now.
fn is_write_sent(harness: &mut Harness) -> bool {
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let is_sent = !harness.sent.is_empty();
    if is_sent {
        harness.answer(done(TransactionStatus::Idle, at(1, 6)));
        harness.response();
    } else {
        harness.advance(Duration::from_millis(300));
        harness.refusal();
    }
    is_sent
}

#[test]
fn a_fresh_announcement_limits_use_from_the_notice() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE - STEP);
    assert!(is_write_sent(&mut harness));
    harness.advance(STEP);
    assert!(!is_write_sent(&mut harness));
}

#[test]
fn an_earlier_announcement_shortens_the_use() {
    let mut harness = with_proof();
    let since = harness.now;
    harness.advance(Duration::from_secs(5));
    harness.handle(primary_leaves(Some(since)));
    harness.advance(AFTER_ANNOUNCEMENT - Duration::from_secs(5) - STEP);
    assert!(is_write_sent(&mut harness));
    harness.advance(STEP);
    assert!(!is_write_sent(&mut harness));
}

#[test]
fn an_announcement_of_unknown_age_ends_the_use() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(None));
    assert!(!is_write_sent(&mut harness));
}

#[test]
fn an_unlisted_back_end_is_used_until_the_announcement_limit() {
    let mut harness = with_proof();
    let since = harness.now;
    harness.advance(Duration::from_secs(5));
    let list = usual_backends()[1..].to_vec();
    harness.handle(Event::BackendsListed {
        list,
        since: Some(since),
    });
    assert!(is_write_sent(&mut harness));
    harness.advance(AFTER_ANNOUNCEMENT - Duration::from_secs(5));
    assert!(!is_write_sent(&mut harness));
}

#[test]
fn a_back_end_first_listed_as_leaving_is_not_used() {
    let mut harness = with_proof();
    let mut list = usual_backends();
    list.truncate(1);
    list.push(leaving(describe("db-4", BackendRole::Replica, 9)));
    let since = Some(harness.now);
    harness.handle(Event::BackendsListed { list, since });
    harness.advance(Duration::from_millis(100));
    let opened: Vec<_> = harness.opened.iter().map(|(_, backend)| backend).collect();
    assert!(!opened.contains(&&backend("db-4")), "{opened:?}");
}

#[test]
fn a_repeated_announcement_does_not_extend_the_use() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE / 2);
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE / 2);
    assert!(!is_write_sent(&mut harness));
}

#[test]
fn a_statement_whose_connection_was_set_up_too_late_is_not_sent() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE - Duration::from_millis(100));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Read);
    assert!(matches!(
        harness.sent[0].command,
        BackendCommand::Begin { .. }
    ));
    harness.advance(Duration::from_millis(200));
    harness.answer(done(TransactionStatus::Open, at(1, 6)));
    let commands: Vec<_> = harness.sent.iter().map(|sent| &sent.command).collect();
    assert_eq!(commands, [&BackendCommand::Rollback]);
}

#[test]
fn a_transaction_in_which_nothing_has_run_does_not_begin_late() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE - Duration::from_millis(100));
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 6));
    harness.advance(Duration::from_millis(200));
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_transaction_that_has_begun_its_work_goes_on() {
    let mut harness = with_proof();
    harness.handle(primary_leaves(Some(harness.now)));
    harness.advance(AFTER_NOTICE - Duration::from_millis(100));
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 6));
    harness.submit(session, StatementKind::Read);
    harness.answer(done(TransactionStatus::Open, at(1, 6)));
    harness.response();
    harness.advance(Duration::from_millis(200));
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn leaving_changes_report_the_announcement_and_sent_statements() {
    let mut harness = with_proof();
    let since = harness.now;
    harness.advance(Duration::from_secs(1));
    harness.handle(primary_leaves(Some(since)));
    assert!(is_write_sent(&mut harness));
    harness.advance(AFTER_NOTICE + Duration::from_secs(1));
    let began = LeavingChange::Started {
        age: Some(Duration::from_secs(1)),
        used_for: AFTER_NOTICE,
    };
    let over = LeavingChange::Expired {
        sent: 1,
        last_after: Duration::ZERO,
    };
    assert_eq!(harness.leaving, [began, over]);
    harness.handle(Event::BackendsListed {
        list: usual_backends(),
        since: Some(harness.now),
    });
    assert_eq!(harness.leaving[2..], [LeavingChange::Cancelled]);
}

#[test]
fn reads_move_from_a_leaving_replica_to_others() {
    let mut harness = with_proof();
    let mut list = usual_backends();
    list[1].is_leaving = true;
    list[1].revision = StoreRevision::new(0, 9);
    let since = Some(harness.now);
    harness.handle(Event::BackendsListed { list, since });
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let used = harness.sent[0].backend.as_str();
    assert!([PRIMARY, FAR_REPLICA].contains(&used) && used != NEAR_REPLICA);
}
