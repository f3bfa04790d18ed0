//! Operations of tenants beyond their limit.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    Effect, EngineOptions, Event, ResponseResult, StatementKind, Tenant, TransactionStatus,
};
use stairward_limits::RateLimit;
use stairward_types::ResultCode;
use support::tenants::{FIRST, table_of, tenant};
use support::{Harness, LEADER_READS, at, done};

fn limited(rate: u64) -> Vec<Tenant> {
    let limit = RateLimit {
        rate_thousandths: rate * 1_000,
        burst_thousandths: rate * 1_000,
    };
    vec![Tenant {
        limit: Some(limit),
        ..tenant(FIRST, &["key-1"])
    }]
}

/// A harness whose engine knows that it is the only node.
fn single_node(rate: u64) -> Harness {
    let mut harness = Harness::new();
    harness.handle(Event::FleetSizeRecorded(1));
    harness.handle(Event::Members {
        live: BTreeSet::from([EngineOptions::default().limits.node]),
        leaving: BTreeSet::new(),
    });
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        limited(rate),
    ))));
    harness.advance(Duration::from_secs(4));
    harness
}

#[test]
fn operations_beyond_the_limit_are_refused_at_once_and_told_when_to_come_back() {
    let mut harness = single_node(5);
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    let mut served = 0;
    let mut retries = Vec::new();
    for _ in 0..30 {
        harness.submit(session, StatementKind::Write);
        if !harness.sent.is_empty() {
            harness.answer(done(TransactionStatus::Idle, at(1, 1)));
            served += 1;
        }
        harness.advance(Duration::from_millis(130));
        match harness.response().result {
            ResponseResult::Completed { .. } => {}
            ResponseResult::Refused { code, retry_after } => {
                assert_eq!(code, ResultCode::LimitReached);
                retries.push(retry_after.expect("a retry delay"));
            }
            ResponseResult::Failed(error) => panic!("{error:?}"),
        }
    }
    // The burst of 5, plus 5 per second for 3.9 s.
    assert!((20..=25).contains(&served), "{served}");
    assert!(
        retries
            .iter()
            .all(|retry| *retry <= Duration::from_secs(10))
    );
}

#[test]
fn a_transaction_is_one_operation() {
    let mut harness = single_node(1);
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.begin(session, false, at(1, 1));
    for number in 2..8 {
        harness.submit(session, StatementKind::Write);
        harness.answer(done(TransactionStatus::Open, at(1, number)));
        assert!(matches!(
            harness.response().result,
            ResponseResult::Completed { .. }
        ));
    }
    harness.submit(session, StatementKind::Commit);
    harness.answer(done(TransactionStatus::Idle, at(1, 9)));
    assert!(matches!(
        harness.response().result,
        ResponseResult::Completed { .. }
    ));
}

#[test]
fn a_client_that_leaves_while_it_waits_for_its_limit_leaves_nothing_behind() {
    let mut harness = Harness::new();
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        limited(5),
    ))));
    let session = harness.open_with(1, LEADER_READS, Some("key-1"));
    harness.submit(session, StatementKind::Write);
    harness.handle(Event::SessionClosed { session });
    assert!(harness.responses.is_empty());
    let effects = harness.engine.handle(harness.now, Event::Tick);
    assert!(
        effects
            .iter()
            .all(|effect| !matches!(effect, Effect::Respond { .. }))
    );
}
