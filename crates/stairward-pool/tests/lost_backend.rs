//! Refusal codes of a pool whose back end is lost, and its lease with it.

use std::time::Duration;

use stairward_pool::BackendPool;
use stairward_pool::pool::{
    BackendState, ConnectionRequest, PoolEffect, PoolEvent, PoolSettings, RequestId,
};
use stairward_types::{
    AccessClass, AdminState, BackendRole, Freshness, ResultCode, ServiceName, Term, Time,
};

fn pool() -> BackendPool {
    BackendPool::new(PoolSettings {
        admin_state: AdminState::Active,
        connections: 4,
        slots: 2,
        opening_limit: 2,
        queue_limit: 4,
        leave_timeout: Duration::from_millis(500),
    })
}

fn ask(pool: &mut BackendPool) -> Vec<PoolEffect> {
    let now = Time::from_millis(10);
    let request = ConnectionRequest {
        request: RequestId(1),
        service: ServiceName::new("a").unwrap(),
        weight: 1,
        access: AccessClass::Read,
        floor: None,
        expected_term: Term(0),
        deadline: Time::from_millis(1_000),
        freshness_wait: Duration::ZERO,
    };
    pool.handle(now, PoolEvent::Requested(request))
}

fn refused_with(effects: &[PoolEffect], wanted: ResultCode) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, PoolEffect::Refuse { code, .. } if *code == wanted))
}

#[test]
fn a_lost_back_end_is_unavailable_even_if_its_lease_expired_first() {
    let mut pool = pool();
    let now = Time::from_millis(1);
    let probed = BackendState {
        freshness: Freshness::default(),
        role: BackendRole::Replica,
    };
    pool.handle(now, PoolEvent::LeaseHeld(true));
    pool.handle(now, PoolEvent::Probed(probed));
    pool.handle(now, PoolEvent::ProbeFailed);
    pool.handle(now, PoolEvent::LeaseHeld(false));
    let effects = ask(&mut pool);
    assert!(
        refused_with(&effects, ResultCode::BackendUnavailable),
        "{effects:?}"
    );
}

#[test]
fn without_a_lease_requests_are_refused_as_not_owner() {
    let effects = ask(&mut pool());
    assert!(refused_with(&effects, ResultCode::NotOwner), "{effects:?}");
}

#[test]
fn a_lock_held_elsewhere_is_refused_as_not_owner_after_a_failed_probe() {
    let mut pool = pool();
    let now = Time::from_millis(1);
    pool.handle(now, PoolEvent::ProbeFailed);
    pool.handle(now, PoolEvent::LockHeldElsewhere);
    let effects = ask(&mut pool);
    assert!(refused_with(&effects, ResultCode::NotOwner), "{effects:?}");
}
