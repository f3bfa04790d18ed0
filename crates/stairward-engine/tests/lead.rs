//! A leader is trusted only while its replicas confirm it: which replies are withheld, released or rejected.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, BackendEvidence, BackendReply, ConnectionId, Engine, EngineOptions, Event,
    LeadershipChange, ResponseResult, ServiceHolders, StatementKind, TransactionStatus,
};
use stairward_types::{BackendRole, MemberStatus, NodeId, ResultCode, Term};

use support::{
    FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, Sent, at, backend, describe, done,
    held_by, listed, service, table, usual_backends,
};

const LEASE: Duration = Duration::from_millis(1_000);

/// A harness in which a replaced leader may keep answering.
fn harness() -> Harness {
    harness_with(false)
}

fn harness_with(promotions_are_fenced: bool) -> Harness {
    let mut harness = Harness::empty();
    let options = EngineOptions {
        leadership_lease: Some(LEASE),
        promotions_are_fenced,
        ..harness.engine_options()
    };
    harness.engine = Engine::new(options);
    harness.handle(Event::ConfigurationChanged(Arc::new(table(1))));
    harness.handle(listed(usual_backends()));
    harness
}

fn status_report(role: BackendRole, term: u64, held: u64) -> BackendReply {
    let mut reply = done(TransactionStatus::Idle, at(1, 10));
    reply.member = Some(MemberStatus {
        role,
        term: Term(term),
        received: at(1, 10),
        held: Term(held),
    });
    reply
}

fn following(term: u64) -> BackendReply {
    status_report(BackendRole::Replica, term, 0)
}

/// Removes and returns the oldest status query to a back end.
fn status_query_to(harness: &mut Harness, name: &str) -> Option<Sent> {
    let place = harness.sent.iter().position(|sent| {
        sent.command == BackendCommand::QueryStatus && sent.backend.as_str() == name
    })?;
    Some(harness.sent.remove(place))
}

fn answer_status_query(harness: &mut Harness, name: &str, reply: BackendReply) {
    let sent = status_query_to(harness, name).expect("a status query");
    report(harness, sent.connection, reply);
}

/// Answers a status query, and confirms the answer if it equals an earlier one.
fn report(harness: &mut Harness, connection: ConnectionId, reply: BackendReply) {
    let position = reply.position;
    harness.handle(Event::Reply { connection, reply });
    if let Some(position) = position {
        harness.complete_confirmation(connection, position);
    }
}

/// Answers the oldest command that is not a status query.
fn answer_work(harness: &mut Harness, reply: BackendReply) {
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    let place = harness.sent.iter().position(is_work).expect("a command");
    harness.answer_at(place, reply);
}

/// Both replicas confirm term 1.
fn confirm(harness: &mut Harness) {
    answer_status_query(harness, NEAR_REPLICA, following(1));
    answer_status_query(harness, FAR_REPLICA, following(1));
}

fn write(harness: &mut Harness) {
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
}

#[test]
fn a_write_is_acknowledged_once_all_replicas_confirm_the_leader() {
    let mut harness = harness();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    assert!(
        harness.responses.is_empty(),
        "its leadership is not confirmed"
    );
    answer_status_query(&mut harness, NEAR_REPLICA, following(1));
    assert!(
        harness.responses.is_empty(),
        "the other may lead a later term"
    );
    answer_status_query(&mut harness, FAR_REPLICA, following(1));
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

#[test]
fn one_replica_is_enough_while_confirmations_are_continuous() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.advance(LEASE * 3 / 5);
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    harness.response();
    assert!(status_query_to(&mut harness, FAR_REPLICA).is_none());
    answer_status_query(&mut harness, NEAR_REPLICA, following(1));
    harness.advance(LEASE * 3 / 5);
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 13)));
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

/// The lease counts from the query even if the reply is late.
#[test]
fn a_confirmation_counts_from_its_query() {
    let mut harness = harness();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.advance(Duration::from_millis(150));
    confirm(&mut harness);
    harness.response();
    harness.advance(LEASE - Duration::from_millis(100));
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    assert!(
        harness.responses.is_empty(),
        "a lease has passed since the query"
    );
}

#[test]
fn a_replica_on_hold_keeps_new_work_from_the_leader() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.advance(LEASE * 3 / 5);
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    harness.response();
    answer_status_query(
        &mut harness,
        NEAR_REPLICA,
        status_report(BackendRole::Replica, 1, 2),
    );
    assert_eq!(
        harness.leadership_changes.last(),
        Some(&LeadershipChange::Revoked)
    );
    let before = harness.sent.len();
    write(&mut harness);
    let is_work = |sent: &&Sent| sent.command != BackendCommand::QueryStatus;
    assert_eq!(harness.sent[before..].iter().filter(is_work).count(), 0);
}

/// Holds end when the promotion takes effect; a replica may not know the new leader yet.
#[test]
fn a_hold_that_has_ended_does_not_confirm_the_old_leader_again() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.advance(LEASE * 3 / 5);
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    harness.response();
    answer_status_query(
        &mut harness,
        NEAR_REPLICA,
        status_report(BackendRole::Replica, 1, 2),
    );
    // By now the other replica's report is older than a lease, as after any hold that was waited out.
    harness.advance(LEASE / 2);
    write(&mut harness);
    answer_status_query(&mut harness, NEAR_REPLICA, following(1));
    assert_eq!(
        harness.leadership_changes.last(),
        Some(&LeadershipChange::Revoked)
    );
}

#[test]
fn a_leader_about_to_be_replaced_gets_no_work_and_is_not_trusted() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    harness.handle(Event::LeadershipRevoked(service(), Term(2)));
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    assert!(harness.responses.is_empty());
    let before = harness.sent.len();
    write(&mut harness);
    let is_work = |sent: &&Sent| sent.command != BackendCommand::QueryStatus;
    assert_eq!(harness.sent[before..].iter().filter(is_work).count(), 0);
}

/// The leader of the announced term may be unreachable and unlisted since.
#[test]
fn an_announced_term_is_kept_while_a_possible_leader_is_unreachable() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.handle(Event::LeadershipRevoked(service(), Term(2)));
    harness.handle(listed(vec![
        usual_backends()[0].clone(),
        usual_backends()[2].clone(),
    ]));
    harness.advance(LEASE * 2);
    write(&mut harness);
    harness.advance(Duration::from_millis(100));
    while let Some(sent) = status_query_to(&mut harness, FAR_REPLICA) {
        report(&mut harness, sent.connection, following(1));
    }
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    assert!(!harness.sent.iter().any(is_work), "{:?}", harness.sent);
}

/// Answers every status query to a back end with the same report.
fn answer_status_queries(harness: &mut Harness, name: &str, reply: &BackendReply) {
    while let Some(sent) = status_query_to(harness, name) {
        report(harness, sent.connection, reply.clone());
    }
}

/// Guards against forgetting a term that has begun: its leader's last report came from before, and the other members
/// have not received anything of it.
#[test]
fn an_announced_term_is_kept_until_its_possible_leader_reports_another() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.handle(Event::LeadershipRevoked(service(), Term(2)));
    harness.advance(LEASE / 5);
    write(&mut harness);
    let on_hold = status_report(BackendRole::Replica, 1, 2);
    answer_status_queries(&mut harness, NEAR_REPLICA, &on_hold);
    answer_status_queries(&mut harness, FAR_REPLICA, &on_hold);
    harness.handle(listed(vec![
        describe(PRIMARY, BackendRole::Replica, 2),
        describe(NEAR_REPLICA, BackendRole::Primary, 3),
        describe(FAR_REPLICA, BackendRole::Replica, 2),
    ]));
    harness.handle(Event::PromotionEnded(service()));
    harness.advance(LEASE / 5);
    answer_status_queries(&mut harness, PRIMARY, &following(1));
    answer_status_queries(&mut harness, FAR_REPLICA, &following(1));
    let last = |harness: &Harness| harness.leadership_changes.last().copied();
    assert_eq!(last(&harness), Some(LeadershipChange::Revoked));
    let leads = status_report(BackendRole::Primary, 2, 0);
    answer_status_queries(&mut harness, NEAR_REPLICA, &leads);
    harness.advance(LEASE / 5);
    answer_status_queries(&mut harness, PRIMARY, &following(1));
    answer_status_queries(&mut harness, FAR_REPLICA, &following(1));
    assert_eq!(last(&harness), Some(LeadershipChange::Confirmed));
}

fn recorded(leader: &str, term: u64) -> Event {
    Event::PromotionRecorded {
        service: service(),
        leader: backend(leader),
        term: Term(term),
        is_pending: false,
    }
}

/// Answers all commands that are not status queries.
fn answer_all_work(harness: &mut Harness) {
    let is_work = |sent: &Sent| sent.command != BackendCommand::QueryStatus;
    while harness.sent.iter().any(is_work) {
        answer_work(harness, done(TransactionStatus::Idle, at(2, 12)));
    }
}

/// Term 3 was announced before [`FAR_REPLICA`] was promoted, which started term 2. [`NEAR_REPLICA`], which might have
/// been promoted as well, is gone for good, and the old leader has come back.
fn promoted_while_a_member_is_gone(mut harness: Harness, earlier: Option<Event>) -> Harness {
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.handle(Event::LeadershipRevoked(service(), Term(3)));
    if let Some(earlier) = earlier {
        harness.handle(earlier);
    }
    harness.handle(recorded(FAR_REPLICA, 3));
    harness.handle(listed(vec![
        describe(PRIMARY, BackendRole::Replica, 2),
        describe(FAR_REPLICA, BackendRole::Primary, 3),
    ]));
    let leads = status_report(BackendRole::Primary, 2, 0);
    for _ in 0..25 {
        harness.advance(LEASE / 5);
        write(&mut harness);
        answer_all_work(&mut harness);
        answer_status_queries(&mut harness, FAR_REPLICA, &leads);
        answer_status_queries(&mut harness, PRIMARY, &following(2));
    }
    harness
}

/// Guards against a service that nobody serves any more: a member that is gone can't report that it was not promoted.
#[test]
fn an_announced_term_ends_with_the_promotion_that_the_record_names() {
    let harness = promoted_while_a_member_is_gone(harness(), None);
    let last = harness.leadership_changes.last();
    assert_eq!(last, Some(&LeadershipChange::Confirmed));
    let used = harness.engine.newest_used_term(&service());
    assert_eq!(used, Term(3), "a later holder must announce a later term");
}

/// Guards against two leaders: the unanswered promotion of a member that is out of reach may have been carried out,
/// unless the platform refuses it for its fencing token.
#[test]
fn an_announced_term_is_kept_while_the_promotion_of_another_member_is_unanswered() {
    let confirms = |promotions_are_fenced| {
        let unanswered = Event::PromotionRecorded {
            service: service(),
            leader: backend(NEAR_REPLICA),
            term: Term(2),
            is_pending: true,
        };
        let harness = harness_with(promotions_are_fenced);
        let harness = promoted_while_a_member_is_gone(harness, Some(unanswered));
        let changes = &harness.leadership_changes;
        changes.contains(&LeadershipChange::Confirmed)
    };
    assert!(!confirms(false));
    assert!(confirms(true));
}

/// A replica may still be on hold for the announced term, or a node may be told of it again.
#[test]
fn a_term_that_is_over_is_not_announced_again() {
    let mut harness = promoted_while_a_member_is_gone(harness(), None);
    harness.handle(Event::LeadershipRevoked(service(), Term(3)));
    let on_hold = status_report(BackendRole::Replica, 2, 3);
    for _ in 0..15 {
        harness.advance(LEASE / 5);
        write(&mut harness);
        answer_all_work(&mut harness);
        answer_status_queries(&mut harness, PRIMARY, &on_hold);
    }
    assert_eq!(harness.engine.announced_term(&service()), Term(2));
    harness.handle(Event::LeadershipRevoked(service(), Term(4)));
    assert_eq!(harness.engine.announced_term(&service()), Term(4));
}

/// Guards against two leaders: the platform counts terms without those that were announced only, so that the next leader may
/// start the term that is over.
#[test]
fn a_leader_of_the_term_that_was_over_supersedes_the_present_one() {
    let mut harness = promoted_while_a_member_is_gone(harness(), None);
    let leads = status_report(BackendRole::Primary, 2, 0);
    for _ in 0..15 {
        harness.advance(LEASE / 5);
        write(&mut harness);
        answer_all_work(&mut harness);
        answer_status_queries(&mut harness, PRIMARY, &following(3));
        answer_status_queries(&mut harness, FAR_REPLICA, &leads);
    }
    assert_eq!(harness.engine.announced_term(&service()), Term(3));
}

/// Guards against two leaders as a node that has just started may see them: the new one is missing from discovery,
/// and the only replica that is left was cut off when it was promoted.
#[test]
fn an_old_leader_is_not_confirmed_while_the_recorded_one_is_not_listed() {
    let mut harness = harness();
    harness.handle(recorded(NEAR_REPLICA, 2));
    harness.handle(listed(vec![
        describe(PRIMARY, BackendRole::Primary, 1),
        describe(FAR_REPLICA, BackendRole::Replica, 3),
    ]));
    write(&mut harness);
    answer_status_queries(&mut harness, FAR_REPLICA, &following(1));
    harness.advance(LEASE / 5);
    answer_status_queries(&mut harness, FAR_REPLICA, &following(1));
    let is_confirmed = harness
        .leadership_changes
        .contains(&LeadershipChange::Confirmed);
    assert!(!is_confirmed, "{:?}", harness.leadership_changes);
    assert!(harness.responses.is_empty());
}

/// Guards against two leaders: an unanswered promotion may be carried out at any time, whatever the members report.
#[test]
fn no_leader_is_confirmed_while_a_later_promotion_is_pending() {
    let mut harness = harness();
    let pending = |is_pending| Event::PromotionRecorded {
        service: service(),
        leader: backend(PRIMARY),
        term: Term(2),
        is_pending,
    };
    harness.handle(pending(true));
    harness.positions.insert(backend(PRIMARY), at(1, 11));
    let is_confirmed =
        |harness: &Harness| harness.leadership_changes.last() == Some(&LeadershipChange::Confirmed);
    let write_and_report = |harness: &mut Harness| {
        for _ in 0..25 {
            harness.advance(LEASE / 5);
            write(harness);
            answer_status_queries(harness, NEAR_REPLICA, &following(1));
            answer_status_queries(harness, FAR_REPLICA, &following(1));
        }
    };
    write_and_report(&mut harness);
    assert!(!is_confirmed(&harness), "{:?}", harness.leadership_changes);
    harness.handle(pending(false));
    write_and_report(&mut harness);
    assert!(is_confirmed(&harness), "{:?}", harness.leadership_changes);
}

/// Guards against two leaders: a node that may have missed announcements relies on its peers.
#[test]
fn no_leader_is_confirmed_before_the_peers_were_consulted() {
    let mut harness = harness();
    harness.handle(Event::ConsultationNeeded);
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
    harness.handle(Event::PeersConsulted);
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

/// The recorded leader needs no more than its members' confirmation, also if its term was announced with a higher
/// number than the one that it started.
#[test]
fn the_recorded_leader_is_confirmed_by_its_members() {
    let mut harness = harness();
    harness.handle(recorded(PRIMARY, 3));
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
}

/// A promotion that was accepted and never took effect does not end the old leader's use for good.
#[test]
fn a_recorded_leader_that_follows_an_earlier_term_supersedes_no_one() {
    let mut harness = harness();
    harness.handle(recorded(NEAR_REPLICA, 2));
    harness.positions.insert(backend(PRIMARY), at(1, 11));
    write(&mut harness);
    confirm(&mut harness);
    let is_confirmed =
        |harness: &Harness| harness.leadership_changes.last() == Some(&LeadershipChange::Confirmed);
    assert!(!is_confirmed(&harness), "it may take effect at any moment");
    for _ in 0..20 {
        harness.advance(LEASE / 5);
        write(&mut harness);
        answer_status_queries(&mut harness, NEAR_REPLICA, &following(1));
        answer_status_queries(&mut harness, FAR_REPLICA, &following(1));
    }
    assert!(is_confirmed(&harness), "{:?}", harness.leadership_changes);
}

#[test]
fn a_write_at_a_replaced_leader_ends_unknown_at_once() {
    let mut harness = harness();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    answer_status_query(&mut harness, NEAR_REPLICA, following(2));
    assert_eq!(harness.refusal(), ResultCode::FenceNotProved);
}

#[test]
fn a_read_at_a_replaced_leader_does_not_run_there() {
    let mut harness = harness();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Read);
    answer_work(&mut harness, done(TransactionStatus::Open, at(1, 11)));
    answer_status_query(&mut harness, NEAR_REPLICA, following(2));
    assert!(
        harness.responses.is_empty(),
        "it has not run: {:?}",
        harness.responses
    );
    let ran = |sent: &Sent| matches!(sent.command, BackendCommand::Run { .. });
    assert!(!harness.sent.iter().any(ran));
}

#[test]
fn an_unconfirmed_leaders_position_is_no_proof() {
    let mut harness = harness();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    assert_eq!(
        harness.engine.proved_position(harness.now, &service()),
        None
    );
    confirm(&mut harness);
    let proved = harness.engine.proved_position(harness.now, &service());
    assert_eq!(proved.map(|(position, _)| position), Some(at(1, 11)));
}

/// Without other members nobody can be promoted.
#[test]
fn a_leader_without_replicas_needs_no_confirmation() {
    let mut harness = harness();
    harness.handle(listed(vec![usual_backends()[0].clone()]));
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    let result = harness.response().result;
    assert!(
        matches!(result, ResponseResult::Completed { .. }),
        "{result:?}"
    );
}

#[test]
fn a_caller_that_disconnects_during_withholding_frees_the_connection() {
    let mut harness = harness();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.handle(Event::SessionClosed { session });
    confirm(&mut harness);
    let opened = harness.opened.len();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    harness.response();
    let to_leader = |(_, id): &&(_, stairward_types::BackendId)| id.as_str() == PRIMARY;
    let new = harness.opened[opened..].iter().filter(to_leader).count();
    assert_eq!(new, 0, "the connection was kept");
}

#[test]
fn the_leadership_source_is_queried_before_the_replicas() {
    let mut harness = harness();
    let source = NodeId(5);
    harness.handle(held_by(ServiceHolders {
        leadership_source: Some(source),
        ..ServiceHolders::default()
    }));
    write(&mut harness);
    assert_eq!(harness.queried_leaderships, [(source, service())]);
    assert!(status_query_to(&mut harness, NEAR_REPLICA).is_none());
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.handle(Event::PeerLeadership {
        service: service(),
        possible_term: Term(1),
        asked_at: harness.now,
        age: Duration::from_millis(300),
    });
    harness.response();
    harness.advance(LEASE);
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 12)));
    harness.advance(LEASE * 3 / 10);
    assert!(status_query_to(&mut harness, NEAR_REPLICA).is_some());
}

#[test]
fn a_peers_leadership_report_is_dated_by_its_age() {
    let mut harness = harness();
    harness.handle(held_by(ServiceHolders {
        leadership_source: Some(NodeId(5)),
        ..ServiceHolders::default()
    }));
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.handle(Event::PeerLeadership {
        service: service(),
        possible_term: Term(1),
        asked_at: harness.now,
        age: LEASE,
    });
    assert!(harness.responses.is_empty());
}

/// A refused query, for example by a busy back end, is not repeated at once.
#[test]
fn a_busy_replica_is_not_queried_again_at_once() {
    let mut harness = harness();
    write(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    let busy = support::failed(
        stairward_engine::BackendErrorCode::Busy,
        TransactionStatus::Idle,
    );
    answer_status_query(&mut harness, NEAR_REPLICA, busy);
    harness.advance(Duration::from_millis(100));
    assert!(status_query_to(&mut harness, NEAR_REPLICA).is_none());
    harness.advance(Duration::from_millis(200));
    assert!(status_query_to(&mut harness, NEAR_REPLICA).is_some());
}

#[test]
fn a_leadership_change_is_reported_once() {
    let mut harness = harness();
    write(&mut harness);
    answer_status_query(&mut harness, NEAR_REPLICA, following(2));
    answer_status_query(&mut harness, FAR_REPLICA, following(2));
    let revoked = harness.leadership_changes.iter();
    let revoked = revoked.filter(|change| **change == LeadershipChange::Revoked);
    assert!(revoked.count() <= 1);
}

/// Guards against acknowledging a commit that was rolled back: its leader has been replaced and follows the new one, of
/// which it reports the term, while discovery still names it as the primary.
#[test]
fn a_withheld_write_is_not_acknowledged_in_a_later_term() {
    let mut harness = harness();
    harness.handle(Event::NodeCountChanged(1));
    harness.positions.insert(backend(PRIMARY), at(1, 11));
    write(&mut harness);
    harness.handle(Event::LeadershipRevoked(service(), Term(2)));
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    assert!(harness.responses.is_empty());
    harness.advance(LEASE / 10);
    answer_status_query(&mut harness, PRIMARY, following(2));
    answer_status_queries(&mut harness, NEAR_REPLICA, &following(2));
    answer_status_queries(&mut harness, FAR_REPLICA, &following(2));
    assert_eq!(harness.refusal(), ResultCode::FenceNotProved);
    let is_confirmed = harness
        .leadership_changes
        .contains(&LeadershipChange::Confirmed);
    assert!(!is_confirmed, "{:?}", harness.leadership_changes);
}

/// Guards against a primary that has started again without its log, at a node that does not know what it had
/// acknowledged: its replicas have received more than it shows.
#[test]
fn a_leader_that_lacks_what_its_replicas_have_received_is_not_trusted() {
    let mut harness = harness();
    harness.handle(Event::NodeCountChanged(1));
    harness.positions.insert(backend(PRIMARY), at(1, 1));
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 1)));
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
    let mut status = status_report(BackendRole::Primary, 0, 0);
    status.member = status.member.map(|member| MemberStatus {
        received: at(1, 1),
        ..member
    });
    harness.advance(LEASE / 5);
    answer_status_query(&mut harness, PRIMARY, status);
    assert_eq!(
        harness.observed,
        [(backend(PRIMARY), BackendEvidence::LostLog)]
    );
    assert_eq!(harness.refusal(), ResultCode::FenceNotProved);
}

/// A replica's report may be newer than the leader's reply; the leader's own report settles it.
#[test]
fn a_leader_whose_reply_is_older_than_a_replicas_report_is_trusted_after_its_own_report() {
    let mut harness = harness();
    harness.handle(Event::NodeCountChanged(1));
    harness.positions.insert(backend(PRIMARY), at(1, 9));
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 9)));
    assert!(harness.responses.is_empty(), "{:?}", harness.responses);
    harness.advance(LEASE / 5);
    let leads = status_report(BackendRole::Primary, 1, 0);
    answer_status_query(&mut harness, PRIMARY, leads);
    harness.response();
}

/// Guards against a leader that is confirmed by a report from before a later term began.
#[test]
fn a_repeated_status_report_is_not_believed_before_it_is_confirmed() {
    let mut harness = harness();
    write(&mut harness);
    confirm(&mut harness);
    answer_work(&mut harness, done(TransactionStatus::Idle, at(1, 11)));
    harness.response();
    harness.advance(LEASE * 3 / 5);
    write(&mut harness);
    let connection = status_query_to(&mut harness, NEAR_REPLICA)
        .expect("a status query")
        .connection;
    let reply = following(1);
    harness.handle(Event::Reply { connection, reply });
    let on_connection = harness
        .sent
        .iter()
        .filter(|sent| sent.connection == connection);
    let commands: Vec<_> = on_connection.map(|sent| sent.command.clone()).collect();
    let begin = BackendCommand::Begin {
        read_only: true,
        floor: None,
    };
    assert_eq!(commands, [begin, BackendCommand::Rollback]);
    // The reply to the query comes in place of the confirmation's.
    let reply = following(2);
    harness.handle(Event::Reply { connection, reply });
    assert_eq!(harness.closed_connections, [connection]);
}
