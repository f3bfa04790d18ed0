//! Session values, prepared statements, routes, limits, leaving back ends and planned stops.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, Event, PreparedStatement, SessionId, StatementKind, TransactionStatus,
};
use stairward_types::{AccessClass, BackendRole, GroupId, ResultCode};
use support::{
    BOUNDED, CONNECTION_LIMIT, FAR_REPLICA, LEADER_READS, NEAR_REPLICA, PRIMARY, World, at,
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
    let mut world = World::new();
    let first = world.open(LEADER_READS);
    world.say(first, set("lang", "ms"));
    world.response();
    world.say(first, StatementKind::Write);
    let setting = world.answer(done(IDLE, at(1, 1)));
    assert!(matches!(setting.command, BackendCommand::SetValue { .. }));
    let write = world.answer(done(IDLE, at(1, 2)));
    assert!(matches!(write.command, BackendCommand::Run { .. }));
    world.response();
    let second = world.open(LEADER_READS);
    world.say(second, StatementKind::Write);
    assert_eq!(world.sent[0].command, BackendCommand::Reset);
    assert_eq!(world.sent[0].connection, write.connection);
    assert_eq!(
        world.sent.len(),
        1,
        "nothing runs before the values are gone"
    );
}

#[test]
fn a_value_that_could_not_be_set_keeps_the_statement_from_running_there() {
    let mut world = World::new();
    let session = world.open(LEADER_READS);
    world.say(session, set("lang", "ms"));
    world.response();
    world.say(session, StatementKind::Write);
    let reply = support::failed(stairward_engine::BackendErrorCode::Failed, IDLE);
    let setting = world.answer(reply);
    assert!(world.closed_connections.contains(&setting.connection));
    assert!(
        world
            .sent
            .iter()
            .all(|sent| sent.connection != setting.connection)
    );
}

#[test]
fn prepared_names_of_sessions_do_not_clash() {
    let mut world = World::new();
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
    for shape in ["q1", "q2"] {
        let session = world.open(LEADER_READS);
        world.say(session, prepare(shape));
        world.response();
        world.say(session, execute.clone());
        let prepared = world.answer(done(IDLE, at(1, 1)));
        assert!(
            matches!(&prepared.command, BackendCommand::Prepare(p) if p.shape == shape),
            "{prepared:?}"
        );
        let run = world.answer(done(IDLE, at(1, 2)));
        assert!(
            matches!(&run.command, BackendCommand::Execute { prepared, .. } if prepared.shape == shape)
        );
        world.response();
    }
}

#[test]
fn sessions_are_refused_without_configuration_and_without_a_route() {
    let mut world = World::empty();
    world.open(BOUNDED);
    world.pass(Duration::from_millis(999));
    assert!(
        world.refused_sessions.is_empty(),
        "it waits for the first configuration"
    );
    world.pass(Duration::from_millis(1));
    assert_eq!(
        world.refused_sessions.pop().unwrap().1,
        ResultCode::NotReady
    );
    let mut world = World::new();
    world.open("nothing");
    assert_eq!(
        world.refused_sessions.pop().unwrap().1,
        ResultCode::UnknownDatabase
    );
}

#[test]
fn sessions_that_come_before_the_first_configuration_begin_with_it() {
    let mut world = World::empty();
    let served = world.open(BOUNDED);
    let unknown = world.open("nothing");
    let gone = world.open(BOUNDED);
    world.tell(Event::SessionClosed { session: gone });
    world.tell(Event::ConfigurationChanged(Arc::new(table(1))));
    assert_eq!(world.accepted_sessions, [served]);
    assert_eq!(
        world.refused_sessions,
        [(unknown, ResultCode::UnknownDatabase)]
    );
    world.pass(Duration::from_secs(2));
    assert_eq!(world.refused_sessions.len(), 1);
}

#[test]
fn a_configuration_never_goes_back() {
    let mut world = World::new();
    let mut newer = table(5);
    newer.routes.remove(&GroupId::new(BOUNDED).unwrap());
    world.tell(Event::ConfigurationChanged(Arc::new(newer)));
    world.tell(Event::ConfigurationChanged(Arc::new(table(4))));
    world.open(BOUNDED);
    assert_eq!(
        world.refused_sessions.pop().unwrap().1,
        ResultCode::UnknownDatabase
    );
}

#[test]
fn a_node_opens_no_more_than_its_share_of_connections() {
    let mut world = World::new();
    world.tell(Event::NodeCountChanged(3));
    for _ in 0..20 {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
    }
    let to_primary = world
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
    let mut world = World::new();
    let mut backends = usual_backends();
    backends[1].is_leaving = true;
    world.tell(listed(backends));
    world.prove(at(1, 7));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_ne!(world.sent[0].backend, backend(NEAR_REPLICA));
}

#[test]
fn nothing_is_sent_to_a_back_end_after_its_leaving_limit() {
    let mut world = World::new();
    world.tell(listed(vec![describe(FAR_REPLICA, BackendRole::Replica, 3)]));
    world.pass(Duration::from_millis(4_100));
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.pass(Duration::from_millis(500));
    let to_gone = |sent: &support::Sent| sent.backend != backend(FAR_REPLICA);
    assert!(!world.sent.iter().any(to_gone), "{:?}", world.sent);
}

fn stop_with(sessions: usize) -> (World, Vec<SessionId>) {
    let mut world = World::new();
    let sessions = (0..sessions).map(|_| world.open(LEADER_READS)).collect();
    world.tell(Event::StopRequested);
    (world, sessions)
}

#[test]
fn a_planned_stop_closes_sessions_at_rest_and_ends() {
    let (mut world, sessions) = stop_with(40);
    world.pass(Duration::from_millis(1_500));
    assert!(
        world.closed_sessions.is_empty(),
        "callers still come for a while"
    );
    world.pass(Duration::from_millis(2_500));
    assert_eq!(world.closed_sessions.len(), sessions.len());
    assert!(world.is_stopped);
}

#[test]
fn a_planned_stop_cuts_no_request_that_runs() {
    let (mut world, sessions) = stop_with(1);
    world.pass(Duration::from_millis(2_000));
    world.say(sessions[0], StatementKind::Write);
    world.pass(Duration::from_millis(500));
    assert!(world.closed_sessions.is_empty());
    world.answer(done(IDLE, at(1, 2)));
    world.response();
    assert_eq!(world.closed_sessions, sessions);
}

#[test]
fn a_planned_stop_refuses_late_work_that_its_end_would_cut() {
    let (mut world, _) = stop_with(1);
    world.pass(Duration::from_millis(4_600));
    let late = world.open(LEADER_READS);
    world.say(late, StatementKind::Write);
    assert_eq!(world.refusal(), ResultCode::ProxyStopping);
    assert!(world.sent.is_empty(), "{:?}", world.sent);
    assert!(world.closed_sessions.contains(&late));
}

#[test]
fn a_planned_stop_gives_an_open_transaction_half_of_its_time() {
    let (mut world, sessions) = stop_with(1);
    world.begin(sessions[0], false, at(1, 7));
    world.pass(Duration::from_millis(2_900));
    assert!(world.sent.is_empty(), "{:?}", world.sent);
    world.say(sessions[0], StatementKind::Write);
    world.answer(done(OPEN, at(1, 7)));
    world.response();
    world.pass(Duration::from_millis(500));
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
    assert_ne!(backend(NEAR_REPLICA), world.sent[0].backend);
}

/// A node that had just started took itself to be the only one, and took connections that others held.
#[test]
fn a_node_that_has_just_started_assumes_others() {
    let mut world = World::empty();
    let mut wide = table(1);
    for limits in wide.services.values_mut() {
        limits.connections = 41;
    }
    world.tell(Event::ConfigurationChanged(Arc::new(wide)));
    world.tell(listed(usual_backends()));
    world.tell(Event::NodeCountChanged(1));
    for _ in 0..40 {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
    }
    let count = |world: &World| {
        let opened = world.opened.iter();
        opened.filter(|(_, id)| *id == backend(PRIMARY)).count()
    };
    assert_eq!(count(&world), 5);
    world.pass(Duration::from_secs(31));
    world.tell(Event::NodeCountChanged(1));
    for _ in 0..40 {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
    }
    assert!(count(&world) > 20, "{}", count(&world));
}

/// After a loss of power 295 nodes opened a connection to each of 60 back ends at once, which took all of their
/// slots for more than a second.
#[test]
fn a_node_that_has_not_seen_the_others_opens_only_what_it_needs() {
    let mut world = World::empty();
    world.tell(Event::ConfigurationChanged(Arc::new(table(1))));
    world.tell(listed(usual_backends()));
    assert!(world.opened.is_empty(), "{:?}", world.opened);
    for _ in 0..5 {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
    }
    let to_primary = |world: &World| {
        let opened = world.opened.iter();
        opened.filter(|(_, id)| *id == backend(PRIMARY)).count()
    };
    assert_eq!(to_primary(&world), 1);
    world.tell(Event::NodeCountChanged(3));
    let connected: std::collections::BTreeSet<_> =
        world.opened.iter().map(|(_, id)| id.clone()).collect();
    assert_eq!(connected.len(), usual_backends().len());
    for _ in 0..5 {
        let session = world.open(LEADER_READS);
        world.say(session, StatementKind::Write);
    }
    assert!(to_primary(&world) > 1);
}

/// Connections that a node held without need were lost to its successor while the back end still counted
/// them, after a loss of power.
#[test]
fn connections_that_nobody_needs_are_closed_but_for_one() {
    let mut world = World::new();
    let sessions: Vec<_> = (0..3).map(|_| world.open(LEADER_READS)).collect();
    for session in &sessions {
        world.say(*session, StatementKind::Write);
    }
    for position in 1..=3 {
        world.answer(done(IDLE, at(1, position)));
    }
    world.responses.clear();
    let to_primary = |world: &World| {
        let opened = world.opened.iter();
        let open = opened.filter(|(connection, id)| {
            *id == backend(PRIMARY) && !world.closed_connections.contains(connection)
        });
        open.count()
    };
    assert_eq!(to_primary(&world), 3);
    world.pass(Duration::from_secs(4));
    assert_eq!(to_primary(&world), 1);
}
