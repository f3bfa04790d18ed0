//! Session values, prepared statements, routes, limits, leaving back ends and planned stops.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, Event, PreparedStatement, SessionId, StatementKind, TransactionStatus,
};
use stairward_types::{AccessClass, BackendRole, GroupId, ResultCode};
use support::{
    BOUNDED, CONNECTION_LIMIT, FAR_REPLICA, Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, at,
    backend, describe, done, listed, table, usual_backends,
};

const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;

fn set(name: &str, value: &str) -> StatementKind {
    StatementKind::SetValue {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

#[test]
fn a_sessions_values_are_set_before_its_statement_and_dropped_before_anothers() {
    let mut harness = Harness::new();
    let first = harness.open(LEADER_READS);
    harness.submit(first, set("lang", "ms"));
    harness.response();
    harness.submit(first, StatementKind::Write);
    let setting = harness.answer(done(IDLE, at(1, 1)));
    assert!(matches!(setting.command, BackendCommand::SetValue { .. }));
    let write = harness.answer(done(IDLE, at(1, 2)));
    assert!(matches!(write.command, BackendCommand::Run { .. }));
    harness.response();
    let second = harness.open(LEADER_READS);
    harness.submit(second, StatementKind::Write);
    assert_eq!(harness.sent[0].command, BackendCommand::Reset);
    assert_eq!(harness.sent[0].connection, write.connection);
    assert_eq!(
        harness.sent.len(),
        1,
        "nothing runs before the session values are cleared"
    );
}

#[test]
fn a_value_that_could_not_be_set_keeps_the_statement_from_running_there() {
    let mut harness = Harness::new();
    let session = harness.open(LEADER_READS);
    harness.submit(session, set("lang", "ms"));
    harness.response();
    harness.submit(session, StatementKind::Write);
    let reply = support::failed(stairward_engine::BackendErrorCode::Failed, IDLE);
    let setting = harness.answer(reply);
    assert!(harness.closed_connections.contains(&setting.connection));
    assert!(
        harness
            .sent
            .iter()
            .all(|sent| sent.connection != setting.connection)
    );
}

#[test]
fn prepared_names_of_sessions_do_not_clash() {
    let mut harness = Harness::new();
    let prepare = |shape: &str| StatementKind::Prepare {
        name: "s1".to_owned(),
        prepared: PreparedStatement {
            access: AccessClass::Write,
            shape: shape.to_owned(),
        },
    };
    let execute = StatementKind::Execute {
        name: "s1".to_owned(),
        arguments: "a".to_owned(),
    };
    for (number, shape) in [(1, "q1"), (2, "q2")] {
        let session = harness.open(LEADER_READS);
        harness.submit(session, prepare(shape));
        harness.response();
        harness.submit(session, execute.clone());
        let prepared = harness.answer(done(IDLE, at(1, number)));
        assert!(
            matches!(&prepared.command, BackendCommand::Prepare(p) if p.shape == shape),
            "{prepared:?}"
        );
        let run = harness.answer(done(IDLE, at(1, number + 1)));
        assert!(
            matches!(&run.command, BackendCommand::Execute { prepared, .. } if prepared.shape == shape)
        );
        harness.response();
    }
}

#[test]
fn sessions_are_refused_without_configuration_and_without_a_route() {
    let mut harness = Harness::empty();
    harness.open(BOUNDED);
    harness.advance(Duration::from_millis(999));
    assert!(
        harness.refused_sessions.is_empty(),
        "the session waits for the first configuration"
    );
    harness.advance(Duration::from_millis(1));
    assert_eq!(
        harness.refused_sessions.pop().unwrap().1,
        ResultCode::NotReady
    );
    let mut harness = Harness::new();
    harness.open("nothing");
    assert_eq!(
        harness.refused_sessions.pop().unwrap().1,
        ResultCode::UnknownDatabase
    );
}

#[test]
fn sessions_that_come_before_the_first_configuration_begin_with_it() {
    let mut harness = Harness::empty();
    let served = harness.open(BOUNDED);
    let unknown = harness.open("nothing");
    let gone = harness.open(BOUNDED);
    harness.handle(Event::SessionClosed { session: gone });
    harness.handle(Event::ConfigurationChanged(Arc::new(table(1))));
    assert_eq!(harness.accepted_sessions, [served]);
    assert_eq!(
        harness.refused_sessions,
        [(unknown, ResultCode::UnknownDatabase)]
    );
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.refused_sessions.len(), 1);
}

#[test]
fn a_configuration_never_goes_back() {
    let mut harness = Harness::new();
    let mut newer = table(5);
    newer.routes.remove(&GroupId::new(BOUNDED).unwrap());
    harness.handle(Event::ConfigurationChanged(Arc::new(newer)));
    harness.handle(Event::ConfigurationChanged(Arc::new(table(4))));
    harness.open(BOUNDED);
    assert_eq!(
        harness.refused_sessions.pop().unwrap().1,
        ResultCode::UnknownDatabase
    );
}

#[test]
fn a_node_opens_no_more_than_its_share_of_connections() {
    let mut harness = Harness::new();
    harness.handle(Event::NodeCountChanged(3));
    for _ in 0..20 {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
    }
    let to_primary = harness
        .opened
        .iter()
        .filter(|(_, id)| *id == backend(PRIMARY));
    assert_eq!(
        to_primary.count(),
        usize::try_from(CONNECTION_LIMIT - 1).unwrap() / 3
    );
}

#[test]
fn a_leaving_replica_gets_reads_only_where_no_other_copy_can_be_had() {
    let mut harness = Harness::new();
    let mut backends = usual_backends();
    backends[1].is_leaving = true;
    harness.handle(listed(backends));
    harness.prove_position(at(1, 7));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_ne!(harness.sent[0].backend, backend(NEAR_REPLICA));
}

#[test]
fn nothing_is_sent_to_a_back_end_after_its_leaving_limit() {
    let mut harness = Harness::new();
    harness.handle(listed(vec![describe(FAR_REPLICA, BackendRole::Replica, 3)]));
    harness.advance(Duration::from_millis(4_100));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.advance(Duration::from_millis(500));
    let to_gone = |sent: &support::Sent| sent.backend != backend(FAR_REPLICA);
    assert!(!harness.sent.iter().any(to_gone), "{:?}", harness.sent);
}

fn stop_with(sessions: usize) -> (Harness, Vec<SessionId>) {
    let mut harness = Harness::new();
    let sessions = (0..sessions).map(|_| harness.open(LEADER_READS)).collect();
    harness.handle(Event::StopRequested);
    (harness, sessions)
}

#[test]
fn a_planned_stop_closes_sessions_at_rest_and_ends() {
    let (mut harness, sessions) = stop_with(40);
    harness.advance(Duration::from_millis(1_500));
    assert!(
        harness.closed_sessions.is_empty(),
        "new callers still arrive for a while"
    );
    harness.advance(Duration::from_millis(2_500));
    assert_eq!(harness.closed_sessions.len(), sessions.len());
    assert!(harness.is_stopped);
}

#[test]
fn a_planned_stop_cuts_no_request_that_runs() {
    let (mut harness, sessions) = stop_with(1);
    harness.advance(Duration::from_millis(2_000));
    harness.submit(sessions[0], StatementKind::Write);
    harness.advance(Duration::from_millis(500));
    assert!(harness.closed_sessions.is_empty());
    harness.answer(done(IDLE, at(1, 2)));
    harness.response();
    assert_eq!(harness.closed_sessions, sessions);
}

#[test]
fn a_planned_stop_refuses_late_work_that_its_end_would_cut() {
    let (mut harness, _) = stop_with(1);
    harness.advance(Duration::from_millis(4_600));
    let late = harness.open(LEADER_READS);
    harness.submit(late, StatementKind::Write);
    assert_eq!(harness.refusal(), ResultCode::ProxyStopping);
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
    assert!(harness.closed_sessions.contains(&late));
}

#[test]
fn a_planned_stop_gives_an_open_transaction_half_of_its_time() {
    let (mut harness, sessions) = stop_with(1);
    harness.begin(sessions[0], false, at(1, 7));
    harness.advance(Duration::from_millis(2_900));
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
    harness.submit(sessions[0], StatementKind::Write);
    harness.answer(done(OPEN, at(1, 7)));
    harness.response();
    harness.advance(Duration::from_millis(500));
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
    assert_ne!(backend(NEAR_REPLICA), harness.sent[0].backend);
}

/// Guards against a newly started node that assumes it is the only node and takes connections that others hold.
#[test]
fn a_node_that_has_just_started_assumes_others() {
    let mut harness = Harness::empty();
    let mut wide = table(1);
    for limits in wide.services.values_mut() {
        limits.connections = 41;
    }
    harness.handle(Event::ConfigurationChanged(Arc::new(wide)));
    harness.handle(listed(usual_backends()));
    harness.handle(Event::NodeCountChanged(1));
    for _ in 0..40 {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
    }
    let count = |harness: &Harness| {
        let opened = harness.opened.iter();
        opened.filter(|(_, id)| *id == backend(PRIMARY)).count()
    };
    assert_eq!(count(&harness), 5);
    harness.advance(Duration::from_secs(31));
    harness.handle(Event::NodeCountChanged(1));
    for _ in 0..40 {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
    }
    assert!(count(&harness) > 20, "{}", count(&harness));
}

/// After a power loss 295 nodes opened a connection to each of 60 back ends at once, which occupied all of
/// their slots for more than a second.
#[test]
fn a_node_that_has_not_seen_the_others_opens_only_what_it_needs() {
    let mut harness = Harness::empty();
    harness.handle(Event::ConfigurationChanged(Arc::new(table(1))));
    harness.handle(listed(usual_backends()));
    assert!(harness.opened.is_empty(), "{:?}", harness.opened);
    for _ in 0..5 {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
    }
    let to_primary = |harness: &Harness| {
        let opened = harness.opened.iter();
        opened.filter(|(_, id)| *id == backend(PRIMARY)).count()
    };
    assert_eq!(to_primary(&harness), 1);
    harness.handle(Event::NodeCountChanged(3));
    let connected: std::collections::BTreeSet<_> =
        harness.opened.iter().map(|(_, id)| id.clone()).collect();
    assert_eq!(connected.len(), usual_backends().len());
    for _ in 0..5 {
        let session = harness.open(LEADER_READS);
        harness.submit(session, StatementKind::Write);
    }
    assert!(to_primary(&harness) > 1);
}

/// After a power loss the back ends still counted a node's unneeded connections, so its successor could not
/// open them.
#[test]
fn connections_that_nobody_needs_are_closed_but_for_one() {
    let mut harness = Harness::new();
    let sessions: Vec<_> = (0..3).map(|_| harness.open(LEADER_READS)).collect();
    for session in &sessions {
        harness.submit(*session, StatementKind::Write);
    }
    for position in 1..=3 {
        harness.answer(done(IDLE, at(1, position)));
    }
    harness.responses.clear();
    let to_primary = |harness: &Harness| {
        let opened = harness.opened.iter();
        let open = opened.filter(|(connection, id)| {
            *id == backend(PRIMARY) && !harness.closed_connections.contains(connection)
        });
        open.count()
    };
    assert_eq!(to_primary(&harness), 3);
    harness.advance(Duration::from_secs(4));
    assert_eq!(to_primary(&harness), 1);
}
