//! Tenants' operations beyond their limit.

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
use support::{LEADER_READS, World, at, done};

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

/// A world whose engine knows that it is the only node.
fn alone(rate: u64) -> World {
    let mut world = World::new();
    world.tell(Event::FleetSizeRecorded(1));
    world.tell(Event::Members {
        live: BTreeSet::from([EngineOptions::default().limits.node]),
        leaving: BTreeSet::new(),
    });
    world.tell(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        limited(rate),
    ))));
    world.pass(Duration::from_secs(4));
    world
}

#[test]
fn operations_beyond_the_limit_are_refused_at_once_and_told_when_to_come_back() {
    let mut world = alone(5);
    let session = world.open_with(1, LEADER_READS, Some("key-1"));
    let mut served = 0;
    let mut retries = Vec::new();
    for _ in 0..30 {
        world.say(session, StatementKind::Write);
        if !world.sent.is_empty() {
            world.answer(done(TransactionStatus::Idle, at(1, 1)));
            served += 1;
        }
        world.pass(Duration::from_millis(130));
        match world.response().result {
            ResponseResult::Completed { .. } => {}
            ResponseResult::Refused { code, retry_after } => {
                assert_eq!(code, ResultCode::LimitReached);
                retries.push(retry_after.expect("a time to come back"));
            }
            ResponseResult::Failed(error) => panic!("{error:?}"),
        }
    }
    // The burst of 5, and 5 a second for 3.9 s.
    assert!((20..=25).contains(&served), "{served}");
    assert!(
        retries
            .iter()
            .all(|retry| *retry <= Duration::from_secs(10))
    );
}

#[test]
fn a_transaction_is_one_operation() {
    let mut world = alone(1);
    let session = world.open_with(1, LEADER_READS, Some("key-1"));
    world.begin(session, false, at(1, 1));
    for number in 2..8 {
        world.say(session, StatementKind::Write);
        world.answer(done(TransactionStatus::Open, at(1, number)));
        assert!(matches!(
            world.response().result,
            ResponseResult::Completed { .. }
        ));
    }
    world.say(session, StatementKind::Commit);
    world.answer(done(TransactionStatus::Idle, at(1, 9)));
    assert!(matches!(
        world.response().result,
        ResponseResult::Completed { .. }
    ));
}

#[test]
fn a_client_that_leaves_while_it_waits_for_its_limit_leaves_nothing_behind() {
    let mut world = World::new();
    world.tell(Event::ConfigurationChanged(Arc::new(table_of(
        2,
        limited(5),
    ))));
    let session = world.open_with(1, LEADER_READS, Some("key-1"));
    world.say(session, StatementKind::Write);
    world.tell(Event::SessionClosed { session });
    assert!(world.responses.is_empty());
    let effects = world.engine.handle(world.now, Event::Tick);
    assert!(
        effects
            .iter()
            .all(|effect| !matches!(effect, Effect::Respond { .. }))
    );
}
