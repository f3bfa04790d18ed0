//! Residency: statements run and are forwarded only where both their route and their tenant allow it.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendErrorCode, Event, Holder, Residency, ResponseResult, Route, RoutingTable,
    ServiceHolders, SessionId, StatementKind, Tenant, TenantDirectory, TransactionStatus,
};
use stairward_testing::check;
use stairward_types::{
    ApiKey, BackendRole, GroupId, NodeId, RegionName, ResultCode, TenantName, ZoneName,
};
use support::{
    BOUNDED, FAR_REGION, FAR_REPLICA, Harness, LEADER_READS, NEAR_REGION, PRIMARY, at, describe,
    done, failed, forwarded, held_by, listed, service, table, usual_backends,
};

const NEAR_HOLDER: NodeId = NodeId(7);
const FAR_HOLDER: NodeId = NodeId(8);

fn region(name: &str) -> RegionName {
    RegionName::new(name).unwrap()
}

fn within(names: &[&str]) -> Residency {
    Residency::within(names.iter().map(|name| region(name)))
}

/// A table in which all routes are restricted.
fn bound(revision: u64, residency: &Residency) -> RoutingTable {
    let usual = table(revision);
    let routes = usual.routes.iter().map(|(name, route)| {
        let route = Route {
            residency: residency.clone(),
            ..Route::clone(route)
        };
        (name.clone(), Arc::new(route))
    });
    RoutingTable {
        routes: routes.collect(),
        ..usual.clone()
    }
}

/// A harness with restricted routes and a known leader position.
fn harness(residency: &Residency) -> Harness {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 5));
    harness.sent.clear();
    harness.handle(Event::ConfigurationChanged(Arc::new(bound(2, residency))));
    harness
}

#[test]
fn a_read_goes_to_a_copy_in_its_region_however_far() {
    let mut harness = harness(&within(&[FAR_REGION]));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 5)));
    assert_eq!(sent.backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_second_try_stays_in_the_region_too() {
    let mut harness = harness(&within(&[FAR_REGION]));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let sent = harness.answer(failed(BackendErrorCode::Busy, TransactionStatus::Idle));
    assert_eq!(sent.backend.as_str(), FAR_REPLICA);
    harness.advance(Duration::from_millis(200));
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
    assert_eq!(harness.refusal(), ResultCode::Overloaded);
}

#[test]
fn work_for_a_leader_elsewhere_is_refused_at_once_with_the_time_to_come_back() {
    let mut harness = harness(&within(&[FAR_REGION]));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let ResponseResult::Refused { code, retry_after } = harness.response().result else {
        panic!("not refused");
    };
    assert_eq!(code, ResultCode::LeaderOutsideRegion);
    assert!(retry_after.is_some());
    assert!(harness.sent.is_empty());
    // The leader moves to the allowed region.
    let mut members = usual_backends();
    members[0] = describe(PRIMARY, BackendRole::Replica, 4);
    members[2] = describe(FAR_REPLICA, BackendRole::Primary, 5);
    harness.handle(listed(members));
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent[0].backend.as_str(), FAR_REPLICA);
}

fn tenant(residency: Residency) -> TenantDirectory {
    TenantDirectory::new([Tenant {
        name: TenantName::new("tenant-1").unwrap(),
        keys: vec![ApiKey::new("key-1")],
        limit: None,
        residency,
    }])
}

fn open_with_key(harness: &mut Harness) -> SessionId {
    let session = SessionId(500);
    harness.handle(Event::SessionOpened {
        session,
        database: GroupId::new(BOUNDED).unwrap(),
        key: Some(ApiKey::new("key-1")),
    });
    session
}

#[test]
fn routes_and_tenants_restrict_regions_together() {
    let mut harness = harness(&within(&[NEAR_REGION, FAR_REGION]));
    let both = RoutingTable {
        tenants: Some(tenant(within(&[FAR_REGION]))),
        ..bound(3, &within(&[NEAR_REGION, FAR_REGION]))
    };
    harness.handle(Event::ConfigurationChanged(Arc::new(both)));
    let session = open_with_key(&mut harness);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.sent[0].backend.as_str(), FAR_REPLICA);
}

#[test]
fn without_a_common_region_the_refusal_is_final_and_at_once() {
    let mut harness = harness(&within(&[NEAR_REGION]));
    let apart = RoutingTable {
        tenants: Some(tenant(within(&[FAR_REGION]))),
        ..bound(3, &within(&[NEAR_REGION]))
    };
    harness.handle(Event::ConfigurationChanged(Arc::new(apart)));
    let session = open_with_key(&mut harness);
    harness.submit(session, StatementKind::Read);
    let refused = harness.response().result;
    let expected = ResponseResult::Refused {
        code: ResultCode::NoCommonRegion,
        retry_after: None,
    };
    assert_eq!(refused, expected);
    assert!(harness.sent.is_empty());
}

#[test]
fn an_unknown_region_allows_nothing() {
    let mut harness = harness(&within(&["nowhere"]));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.refusal(), ResultCode::BackendUnavailable);
    assert!(harness.sent.is_empty());
}

/// A node that holds no connections, with one holder in each region.
fn forwarding_node(residency: &Residency) -> Harness {
    let mut harness = harness(residency);
    harness.handle(Event::NodeRegions(BTreeMap::from([
        (NEAR_HOLDER, region(NEAR_REGION)),
        (FAR_HOLDER, region(FAR_REGION)),
    ])));
    let holders = vec![NEAR_HOLDER, FAR_HOLDER];
    let places = [(NEAR_HOLDER, true, "zone-a"), (FAR_HOLDER, false, "zone-b")];
    let places = places.map(|(node, is_same_region, zone)| Holder {
        node,
        is_same_region,
        zone: ZoneName::new(zone).unwrap(),
    });
    harness.handle(held_by(ServiceHolders {
        holders: places.to_vec(),
        forward_targets: holders,
        ..ServiceHolders::default()
    }));
    harness.sent.clear();
    harness
}

#[test]
fn a_statement_is_forwarded_only_through_its_regions() {
    let mut harness = forwarding_node(&within(&[FAR_REGION]));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.forwarded[0].0, FAR_HOLDER);
    // The holder is lost; no holder of another region gets the statement.
    harness.handle(Event::HolderUnreachable(FAR_HOLDER));
    assert_eq!(harness.forwarded.len(), 1);
    assert_eq!(harness.refusal(), ResultCode::NotOwner);
}

#[test]
fn unbound_statements_are_forwarded_to_the_nearest() {
    let mut harness = forwarding_node(&Residency::Anywhere);
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert_eq!(harness.forwarded[0].0, NEAR_HOLDER);
}

#[test]
fn without_a_holder_in_the_regions_the_client_s_node_serves_it_itself() {
    let mut harness = forwarding_node(&within(&[FAR_REGION]));
    harness.handle(Event::NodeRegions(BTreeMap::from([(
        NEAR_HOLDER,
        region(NEAR_REGION),
    )])));
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    assert!(harness.forwarded.is_empty());
    let last = harness.sent.last().expect("sent");
    assert_eq!(last.backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_holder_applies_residency_to_forwarded_statements() {
    let mut harness = harness(&within(&[FAR_REGION]));
    harness.handle(forwarded(BOUNDED, None, StatementKind::Read));
    assert_eq!(harness.sent[0].backend.as_str(), FAR_REPLICA);
}

#[test]
fn the_work_that_a_region_allows_counts_routes_and_tenants() {
    let regions = [region(NEAR_REGION), region(FAR_REGION)];
    assert!(table(1).allowed_work(&regions).is_empty());
    let allowed = bound(1, &within(&[FAR_REGION])).allowed_work(&regions);
    let work = &allowed[&service()];
    assert_eq!(work[&regions[0]], 0);
    assert_eq!(work[&regions[1]], 3);
    let tenants = RoutingTable {
        tenants: Some(tenant(within(&[NEAR_REGION]))),
        ..table(1)
    };
    let work = &tenants.allowed_work(&regions)[&service()];
    assert_eq!((work[&regions[0]], work[&regions[1]]), (3, 0));
}

fn residency_from_bits(bits: u8) -> Residency {
    let regions = ["a", "b", "c"];
    let named = (0..3).filter(|place| bits & (1 << place) != 0);
    let regions = named.map(|place| region(regions[place]));
    if bits & 8 != 0 {
        Residency::Anywhere
    } else {
        Residency::within(regions)
    }
}

#[test]
fn intersection_allows_exactly_the_regions_that_both_allow() {
    check!()
        .with_type::<(u8, u8)>()
        .for_each(|(first, second)| {
            let (first, second) = (residency_from_bits(*first), residency_from_bits(*second));
            let both = first.intersection(&second);
            for name in ["a", "b", "c"] {
                let region = region(name);
                let expected = first.allows(Some(&region)) && second.allows(Some(&region));
                assert_eq!(both.allows(Some(&region)), expected, "{first:?} {second:?}");
            }
            assert_eq!(both, second.intersection(&first));
        });
}
