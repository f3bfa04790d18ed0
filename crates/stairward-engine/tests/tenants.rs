//! Tenants: known, revoked and unknown keys, and connections that serve a single tenant.

mod support;

use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendCommand, Event, ResponseResult, SessionId, StatementKind, TenantDirectory,
    TransactionStatus,
};
use stairward_testing::check;
use stairward_types::{ApiKey, GroupId, NodeId, ResultCode};
use support::tenants::{FIRST, SECOND, both, forwarded, harness, name, table_of, tenant};
use support::{Harness, LEADER_READS, OWN_READS, at, done, held_elsewhere, service};

#[test]
fn a_client_without_a_known_key_is_refused_at_once() {
    let mut harness = harness();
    for (session, key) in [
        (1, None),
        (2, Some("")),
        (3, Some("key-9")),
        (4, Some("KEY-1")),
    ] {
        harness.open_with(session, LEADER_READS, key);
    }
    let codes: Vec<_> = harness
        .refused_sessions
        .iter()
        .map(|(_, code)| *code)
        .collect();
    assert_eq!(codes, [ResultCode::NotAuthenticated; 4]);
}

#[test]
fn a_public_route_asks_for_no_key_and_its_statements_carry_no_tenant() {
    let mut harness = Harness::new();
    let mut table = table_of(2, both());
    for route in table.routes.values_mut() {
        Arc::make_mut(route).is_public = true;
    }
    harness.handle(Event::ConfigurationChanged(Arc::new(table)));
    let session = harness.open_with(1, LEADER_READS, None);
    harness.submit(session, StatementKind::Write);
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 1)));
    assert_eq!(harness.tenant_of(sent.connection), None);
}

#[test]
fn a_key_that_two_tenants_claim_belongs_to_neither() {
    let directory = TenantDirectory::new(vec![
        tenant(FIRST, &["shared", "own"]),
        tenant(SECOND, &["shared"]),
    ]);
    assert!(directory.tenant_by_key(&ApiKey::new("shared")).is_none());
    let holder = directory.tenant_by_key(&ApiKey::new("own")).unwrap();
    assert_eq!(holder.name, name(FIRST));
    assert!(directory.active_tenant(&name(FIRST)).is_some());
    assert!(
        directory.active_tenant(&name(SECOND)).is_none(),
        "the tenant has no valid key left"
    );
}

#[test]
fn statements_run_on_connections_of_their_own_tenant() {
    let mut harness = harness();
    let first = harness.open_with(1, LEADER_READS, Some("key-1"));
    let second = harness.open_with(2, LEADER_READS, Some("key-2"));
    harness.submit(first, StatementKind::Write);
    harness.submit(second, StatementKind::Write);
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 1)));
    assert_eq!(harness.tenant_of(sent.connection).as_deref(), Some(FIRST));
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 2)));
    assert_eq!(harness.tenant_of(sent.connection).as_deref(), Some(SECOND));
}

/// Many tenants share fewer connections than there are tenants, in any order of events.
#[test]
fn no_sequence_of_events_runs_a_statement_on_another_tenants_connection() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let tenants = (0..8).map(|n| tenant(&format!("t{n}"), &[&format!("k{n}")]));
        let mut harness = Harness::new();
        harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
            2,
            tenants.collect(),
        ))));
        let sessions: Vec<_> = (0..8)
            .map(|n| harness.open_with(n + 1, LEADER_READS, Some(&format!("k{n}"))))
            .collect();
        for (action, which) in steps.iter().take(60) {
            let session = sessions[usize::from(which % 8)];
            match action % 5 {
                0 => {
                    harness.submit(session, StatementKind::Write);
                }
                1 => {
                    harness.submit(session, StatementKind::Read);
                }
                2 if !harness.sent.is_empty() => {
                    let is_begin = matches!(harness.sent[0].command, BackendCommand::Begin { .. });
                    let status = if is_begin {
                        TransactionStatus::Open
                    } else {
                        TransactionStatus::Idle
                    };
                    harness.answer(done(status, at(1, 1)));
                }
                3 if !harness.sent.is_empty() => {
                    harness.drop_oldest();
                }
                _ => harness.advance(Duration::from_millis(u64::from(*which) * 7)),
            }
            for sent in &harness.sent {
                if let BackendCommand::Run { id, .. } = &sent.command {
                    let owner = harness.tenant_of(sent.connection);
                    let asked = harness
                        .session_of_statement
                        .get(id)
                        .expect("a statement of a session");
                    let expected = format!("t{}", asked.0 - 1);
                    assert_eq!(owner.as_deref(), Some(expected.as_str()));
                }
            }
        }
    });
}

#[test]
fn an_idle_connection_of_another_tenant_is_closed_for_room() {
    let mut harness = Harness::new();
    let tenants = (0..9).map(|n| tenant(&format!("t{n}"), &[&format!("k{n}")]));
    let mut table = table_of(2, tenants.collect());
    table.services.get_mut(&service()).unwrap().connections = 4;
    harness.handle(Event::ConfigurationChanged(Arc::new(table)));
    for n in 0..9 {
        let session = harness.open_with(n + 1, LEADER_READS, Some(&format!("k{n}")));
        harness.submit(session, StatementKind::Write);
        harness.answer(done(TransactionStatus::Idle, at(1, n + 1)));
        assert_eq!(
            harness.responses.pop().unwrap().1.status,
            TransactionStatus::Idle
        );
    }
    assert!(!harness.closed_connections.is_empty());
}

#[test]
fn a_withdrawn_key_ends_idle_sessions_and_rolls_their_transactions_back() {
    let mut harness = harness();
    let idle = harness.open_with(1, LEADER_READS, Some("key-1"));
    let open = harness.open_with(2, LEADER_READS, Some("key-1"));
    let other_key = harness.open_with(3, LEADER_READS, Some("key-1b"));
    harness.begin(open, false, at(1, 1));
    let left = vec![tenant(FIRST, &["key-1b"]), tenant(SECOND, &["key-2"])];
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(3, left))));
    assert_eq!(harness.closed_sessions, [idle, open]);
    let commands: Vec<_> = harness.sent.iter().map(|sent| &sent.command).collect();
    assert_eq!(commands, [&BackendCommand::Rollback]);
    harness.answer(done(TransactionStatus::Idle, at(1, 1)));
    harness.submit(other_key, StatementKind::Write);
    harness.answer(done(TransactionStatus::Idle, at(1, 2)));
    assert!(matches!(
        harness.response().result,
        ResponseResult::Completed { .. }
    ));
    harness.open_with(4, LEADER_READS, Some("key-1"));
    assert_eq!(harness.refused_sessions[0].1, ResultCode::NotAuthenticated);
}

#[test]
fn what_runs_as_its_key_is_withdrawn_is_answered_and_nothing_runs_after_it() {
    let mut harness = harness();
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
        3,
        vec![tenant(SECOND, &["key-2"])],
    ))));
    assert!(harness.closed_sessions.is_empty());
    harness.answer(done(TransactionStatus::Idle, at(1, 1)));
    assert!(matches!(
        harness.response().result,
        ResponseResult::Completed { .. }
    ));
    assert_eq!(harness.closed_sessions, [session]);
}

#[test]
fn what_waits_as_its_key_is_withdrawn_is_refused_as_not_run() {
    let mut harness = harness();
    harness.opens_automatically = false;
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    assert!(harness.sent.is_empty());
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
        3,
        vec![tenant(SECOND, &["key-2"])],
    ))));
    assert_eq!(harness.refusal(), ResultCode::NotAuthenticated);
    assert_eq!(harness.closed_sessions, [session]);
}

#[test]
fn a_holder_runs_forwarded_statements_only_for_tenants_that_it_knows() {
    let mut harness = harness();
    for (session, by) in [(1_001, None), (1_002, Some("tenant-9"))] {
        harness.handle(Event::ForwardedRequest {
            session: SessionId(session),
            forwarded: Box::new(forwarded(by)),
        });
        assert_eq!(harness.refusal(), ResultCode::NotAuthenticated);
    }
    harness.handle(Event::ForwardedRequest {
        session: SessionId(1_003),
        forwarded: Box::new(forwarded(Some(SECOND))),
    });
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 1)));
    assert_eq!(harness.tenant_of(sent.connection).as_deref(), Some(SECOND));
}

#[test]
fn a_forwarded_statement_names_its_tenant_and_never_its_key() {
    let mut harness = harness();
    harness.handle(held_elsewhere(&[NodeId(7)]));
    let session = harness.open_with(1, OWN_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    let (_, _, _, forwarded) = harness.forwarded.pop().unwrap();
    assert_eq!(forwarded.tenant, Some(name(FIRST)));
    assert!(!format!("{forwarded:?}").contains("key-1"));
}

#[test]
fn keys_show_in_no_debug_output() {
    let key = ApiKey::new("key-1");
    let directory = TenantDirectory::new(both());
    let event = Event::SessionOpened {
        session: SessionId(1),
        database: GroupId::new(LEADER_READS).unwrap(),
        key: Some(key.clone()),
    };
    let mut harness = harness();
    harness.open_with(1, LEADER_READS, Some("key-1"));
    for text in [
        format!("{key:?}"),
        format!("{directory:?}"),
        format!("{event:?}"),
        format!("{:?}", harness.engine),
    ] {
        assert!(!text.contains("key-1"), "{text}");
    }
}
