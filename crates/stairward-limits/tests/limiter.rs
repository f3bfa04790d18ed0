//! The limiter of one node, step by step: when it lends, how long a grant is valid, and which retry
//! times it reports.

use std::collections::{BTreeMap, BTreeSet};

use stairward_limits::{
    Admission, CoordinatorTime, Effect, Event, GrantRequest, GrantResponse, LimitOptions, Limiter,
    RateLimit, Shard, TenantDemand, TenantGrant,
};
use stairward_types::{Duration, NodeId, TenantName, Time};

const OWN: NodeId = NodeId(1);
const LIFE: u64 = 77;

fn tenant() -> TenantName {
    TenantName::new("tenant-1").unwrap()
}

fn limit(rate: u64, burst: u64) -> RateLimit {
    RateLimit {
        rate_thousandths: rate * 1_000,
        burst_thousandths: burst * 1_000,
    }
}

/// A node that ranks above this one as coordinator of the tenant's shard.
fn other_coordinator() -> NodeId {
    let shard = Shard::of(&tenant());
    let ranks_first = |id: u64| {
        let mut limiter = limiter_at(Time::ZERO, &[OWN, NodeId(id)]);
        limiter.admit(Time::ZERO, &tenant());
        let effects = limiter.take_effects();
        let asks_other = |effect: &Effect| matches!(effect, Effect::RequestGrant(to, request) if to.0 == id && request.shard == shard);
        effects.iter().any(asks_other)
    };
    NodeId((2..100).find(|id| ranks_first(*id)).unwrap())
}

fn limiter_at(started: Time, nodes: &[NodeId]) -> Limiter {
    let options = LimitOptions {
        started,
        ..LimitOptions::new(OWN, LIFE)
    };
    let mut limiter = Limiter::new(options);
    let limits = BTreeMap::from([(tenant(), limit(100, 100))]);
    limiter.handle(started, Event::Limits(limits));
    limiter.handle(started, Event::RecordedFleetSize(2));
    let members = Event::Members {
        live: nodes.iter().copied().collect(),
        leaving: BTreeSet::new(),
    };
    limiter.handle(started, members);
    limiter
}

/// The request to a coordinator for the tenant's shard among the effects, if there is one.
fn request_to(limiter: &mut Limiter, coordinator: NodeId) -> Option<GrantRequest> {
    let shard = Shard::of(&tenant());
    let effects = limiter.take_effects();
    effects.into_iter().find_map(|effect| match effect {
        Effect::RequestGrant(to, request) if to == coordinator && request.shard == shard => {
            Some(request)
        }
        _ => None,
    })
}

fn grant(request: &GrantRequest, count: u32, unmet: u32) -> GrantResponse {
    GrantResponse {
        shard: request.shard,
        sequence: request.sequence,
        coordinator_time: CoordinatorTime {
            incarnation: 5,
            at: Time::from_millis(9),
        },
        nodes: 2,
        granted: vec![TenantGrant {
            tenant: tenant(),
            count,
            unmet,
            retry_after: Duration::from_millis(300),
            spacing: Duration::from_millis(10),
        }],
    }
}

#[test]
fn a_restarted_node_lends_nothing_until_earlier_loans_have_ended() {
    let started = Time::from_millis(50_000);
    let coordinator = other_coordinator();
    let mut limiter = limiter_at(started, &[OWN, coordinator]);
    let mut lent_at = None;
    for milliseconds in (0..2_000).step_by(10) {
        let now = started + Duration::from_millis(milliseconds);
        limiter.handle(now, Event::Tick);
        if let Some(request) = request_to(&mut limiter, coordinator) {
            if request.loan.is_some() {
                lent_at.get_or_insert(milliseconds);
            }
            limiter.handle(
                now,
                Event::GrantReceived(coordinator, grant(&request, 0, 0)),
            );
        }
    }
    let lent_at = lent_at.expect("it lends eventually");
    assert!((840..1_200).contains(&lent_at), "{lent_at}");
}

#[test]
fn nothing_is_lent_while_the_number_of_nodes_is_not_known() {
    let coordinator = other_coordinator();
    let mut limiter = Limiter::new(LimitOptions::new(OWN, LIFE));
    let limits = BTreeMap::from([(tenant(), limit(100, 100))]);
    limiter.handle(Time::ZERO, Event::Limits(limits));
    let members = Event::Members {
        live: BTreeSet::from([OWN, coordinator]),
        leaving: BTreeSet::new(),
    };
    limiter.handle(Time::ZERO, members);
    for milliseconds in (0..5_000).step_by(10) {
        let now = Time::from_millis(milliseconds);
        limiter.handle(now, Event::Tick);
        if let Some(request) = request_to(&mut limiter, coordinator) {
            assert_eq!((request.loan, request.nodes), (None, 0));
            let mut grant = grant(&request, 0, 0);
            grant.nodes = 0;
            limiter.handle(now, Event::GrantReceived(coordinator, grant));
        }
    }
    limiter.handle(Time::from_millis(5_000), Event::RecordedFleetSize(2));
    limiter.handle(Time::from_millis(5_500), Event::Tick);
    let request = request_to(&mut limiter, coordinator).expect("it sends another request");
    assert!(request.loan.is_some());
}

#[test]
fn a_grant_expires() {
    let coordinator = other_coordinator();
    let mut limiter = limiter_at(Time::ZERO, &[OWN, coordinator]);
    request_to(&mut limiter, coordinator);
    let now = Time::from_millis(10_000);
    // The first request has timed out; the next one contains the demand.
    limiter.handle(now, Event::Tick);
    let first = request_to(&mut limiter, coordinator).expect("a request");
    assert_eq!(limiter.admit(now, &tenant()), Admission::Waiting);
    limiter.handle(now, Event::GrantReceived(coordinator, grant(&first, 0, 0)));
    let request = request_to(&mut limiter, coordinator).expect("another request");
    assert_eq!(request.demands[0].waiting, 1);
    limiter.handle(
        now,
        Event::GrantReceived(coordinator, grant(&request, 3, 0)),
    );
    assert!(limiter.admit_waiting(now, &tenant()));
    let later = now + Duration::from_millis(499);
    assert_eq!(limiter.admit(later, &tenant()), Admission::Admitted);
    let too_late = now + Duration::from_millis(500);
    assert_ne!(limiter.admit(too_late, &tenant()), Admission::Admitted);
}

#[test]
fn denied_operations_get_increasing_retry_times() {
    let coordinator = other_coordinator();
    let mut limiter = limiter_at(Time::ZERO, &[OWN, coordinator]);
    request_to(&mut limiter, coordinator);
    let now = Time::from_millis(5_000);
    limiter.handle(now, Event::Tick);
    let request = request_to(&mut limiter, coordinator).expect("a request");
    assert_eq!(limiter.admit(now, &tenant()), Admission::Waiting);
    limiter.handle(
        now,
        Event::GrantReceived(coordinator, grant(&request, 0, 1)),
    );
    let denied: Vec<Duration> = (0..3)
        .map(|_| match limiter.admit(now, &tenant()) {
            Admission::Denied(retry) => retry,
            other => panic!("{other:?}"),
        })
        .collect();
    let expected = [300, 310, 320].map(Duration::from_millis);
    assert_eq!(denied, expected);
}

#[test]
fn a_tenant_without_a_limit_is_admitted_and_costs_no_message() {
    let mut limiter = Limiter::new(LimitOptions::new(OWN, LIFE));
    limiter.handle(Time::ZERO, Event::Limits(BTreeMap::new()));
    assert_eq!(limiter.admit(Time::ZERO, &tenant()), Admission::Admitted);
    assert_eq!(limiter.next_wake(), None);
    assert!(limiter.take_effects().is_empty());
}

#[test]
fn a_coordinator_grants_only_what_it_was_lent() {
    let mut limiter = limiter_at(Time::ZERO, &[OWN]);
    let shard = Shard::of(&tenant());
    let mut request = GrantRequest {
        shard,
        sequence: 1,
        nodes: 10,
        loan: None,
        demands: vec![TenantDemand {
            tenant: tenant(),
            waiting: 50,
            ahead: 0,
        }],
    };
    let first = limiter.answer(Time::from_millis(2_000), NodeId(9), &request);
    assert_eq!((first.granted[0].count, first.granted[0].unmet), (0, 50));
    // One of ten shares of a rate of 100, for 0.61 s.
    request.loan = Some(first.coordinator_time);
    limiter.answer(Time::from_millis(2_000), NodeId(9), &request);
    let second = limiter.answer(Time::from_millis(2_610), NodeId(9), &request);
    assert_eq!(second.granted[0].count, 6);
    // A loan for another incarnation of the coordinator does not count.
    request.loan = Some(CoordinatorTime {
        incarnation: LIFE + 1,
        at: Time::from_millis(9_000),
    });
    let third = limiter.answer(Time::from_millis(9_000), NodeId(9), &request);
    let fourth = limiter.answer(Time::from_millis(9_900), NodeId(9), &request);
    assert_eq!((third.granted[0].count, fourth.granted[0].count), (0, 0));
}

#[test]
fn a_lowered_limit_takes_effect_at_once() {
    let mut limiter = limiter_at(Time::ZERO, &[OWN]);
    let now = Time::from_millis(10_000);
    for milliseconds in (0..10_000).step_by(100) {
        limiter.handle(Time::from_millis(milliseconds), Event::Tick);
    }
    assert_eq!(limiter.admit(now, &tenant()), Admission::Waiting);
    assert!(limiter.admit_waiting(now, &tenant()));
    limiter.handle(
        now,
        Event::Limits(BTreeMap::from([(tenant(), limit(0, 0))])),
    );
    let later = now + Duration::from_secs(1);
    let admitted = (0..100).filter(|_| limiter.admit(later, &tenant()) == Admission::Admitted);
    assert_eq!(admitted.count(), 0);
}

/// Guards against a busy loop: a node that is woken at once again and again would use its whole
/// processor.
#[test]
fn the_next_wake_is_always_in_the_future() {
    let coordinator = other_coordinator();
    let mut unknown = Limiter::new(LimitOptions::new(OWN, LIFE));
    let limits = BTreeMap::from([(tenant(), limit(5, 5))]);
    unknown.handle(Time::ZERO, Event::Limits(limits));
    let known = limiter_at(Time::ZERO, &[OWN, coordinator]);
    let alone = limiter_at(Time::ZERO, &[OWN]);
    for mut limiter in [unknown, known, alone] {
        let mut now = Time::from_millis(1);
        for step in 0..2_000_u64 {
            if step % 3 == 0 {
                limiter.admit(now, &tenant());
            }
            limiter.handle(now, Event::Tick);
            if let Some(request) = request_to(&mut limiter, coordinator)
                && step % 5 > 0
            {
                limiter.handle(
                    now,
                    Event::GrantReceived(coordinator, grant(&request, 0, 1)),
                );
                limiter.handle(now, Event::Tick);
            }
            let wake = limiter.next_wake().expect("a renewal");
            assert!(wake > now, "step {step}: {wake:?} at {now:?}");
            now = wake.min(now + Duration::from_millis(25));
        }
    }
}
