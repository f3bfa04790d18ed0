//! Residency: statements run, and pass, only where their route and their tenant allow it.

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
    BOUNDED, FAR_REGION, FAR_REPLICA, LEADER_READS, NEAR_REGION, PRIMARY, World, at, describe,
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

/// A table whose routes are all bound.
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

/// A world whose leader's position is known, under routes that are bound.
fn world(residency: &Residency) -> World {
    let mut world = World::new();
    world.prove(at(1, 5));
    world.sent.clear();
    world.tell(Event::ConfigurationChanged(Arc::new(bound(2, residency))));
    world
}

#[test]
fn a_read_goes_to_a_copy_in_its_region_however_far() {
    let mut world = world(&within(&[FAR_REGION]));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let sent = world.answer(done(TransactionStatus::Idle, at(1, 5)));
    assert_eq!(sent.backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_second_try_stays_in_the_region_too() {
    let mut world = world(&within(&[FAR_REGION]));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let sent = world.answer(failed(BackendErrorCode::Busy, TransactionStatus::Idle));
    assert_eq!(sent.backend.as_str(), FAR_REPLICA);
    world.pass(Duration::from_millis(200));
    assert!(world.sent.is_empty(), "{:?}", world.sent);
    assert_eq!(world.refusal(), ResultCode::Overloaded);
}

#[test]
fn work_for_a_leader_elsewhere_is_refused_at_once_with_the_time_to_come_back() {
    let mut world = world(&within(&[FAR_REGION]));
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    let ResponseResult::Refused { code, retry_after } = world.response().result else {
        panic!("not refused");
    };
    assert_eq!(code, ResultCode::LeaderOutsideRegion);
    assert!(retry_after.is_some());
    assert!(world.sent.is_empty());
    // It is led from there now.
    let mut members = usual_backends();
    members[0] = describe(PRIMARY, BackendRole::Replica, 4);
    members[2] = describe(FAR_REPLICA, BackendRole::Primary, 5);
    world.tell(listed(members));
    world.say(session, StatementKind::Write);
    assert_eq!(world.sent[0].backend.as_str(), FAR_REPLICA);
}

fn tenant(residency: Residency) -> TenantDirectory {
    TenantDirectory::new([Tenant {
        name: TenantName::new("tenant-1").unwrap(),
        keys: vec![ApiKey::new("key-1")],
        limit: None,
        residency,
    }])
}

fn open_with_key(world: &mut World) -> SessionId {
    let session = SessionId(500);
    world.tell(Event::SessionOpened {
        session,
        database: GroupId::new(BOUNDED).unwrap(),
        key: Some(ApiKey::new("key-1")),
    });
    session
}

#[test]
fn routes_and_tenants_bind_together() {
    let mut world = world(&within(&[NEAR_REGION, FAR_REGION]));
    let both = RoutingTable {
        tenants: Some(tenant(within(&[FAR_REGION]))),
        ..bound(3, &within(&[NEAR_REGION, FAR_REGION]))
    };
    world.tell(Event::ConfigurationChanged(Arc::new(both)));
    let session = open_with_key(&mut world);
    world.say(session, StatementKind::Read);
    assert_eq!(world.sent[0].backend.as_str(), FAR_REPLICA);
}

#[test]
fn without_a_common_region_the_refusal_is_final_and_at_once() {
    let mut world = world(&within(&[NEAR_REGION]));
    let apart = RoutingTable {
        tenants: Some(tenant(within(&[FAR_REGION]))),
        ..bound(3, &within(&[NEAR_REGION]))
    };
    world.tell(Event::ConfigurationChanged(Arc::new(apart)));
    let session = open_with_key(&mut world);
    world.say(session, StatementKind::Read);
    let refused = world.response().result;
    let expected = ResponseResult::Refused {
        code: ResultCode::NoCommonRegion,
        retry_after: None,
    };
    assert_eq!(refused, expected);
    assert!(world.sent.is_empty());
}

#[test]
fn a_region_that_nobody_knows_allows_nothing() {
    let mut world = world(&within(&["nowhere"]));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    world.pass(Duration::from_millis(200));
    assert_eq!(world.refusal(), ResultCode::BackendUnavailable);
    assert!(world.sent.is_empty());
}

/// A node that holds nothing itself, with a holder in each region.
fn edge(residency: &Residency) -> World {
    let mut world = world(residency);
    world.tell(Event::NodeRegions(BTreeMap::from([
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
    world.tell(held_by(ServiceHolders {
        holders: places.to_vec(),
        forward_targets: holders,
        ..ServiceHolders::default()
    }));
    world.sent.clear();
    world
}

#[test]
fn a_statement_is_forwarded_only_through_its_regions() {
    let mut world = edge(&within(&[FAR_REGION]));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(world.forwarded[0].0, FAR_HOLDER);
    // Lost on the way: no holder of another region gets it.
    world.tell(Event::HolderUnreachable(FAR_HOLDER));
    assert_eq!(world.forwarded.len(), 1);
    assert_eq!(world.refusal(), ResultCode::NotOwner);
}

#[test]
fn unbound_statements_are_forwarded_to_the_nearest() {
    let mut world = edge(&Residency::Anywhere);
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert_eq!(world.forwarded[0].0, NEAR_HOLDER);
}

#[test]
fn without_a_holder_in_the_regions_the_client_s_node_serves_it_itself() {
    let mut world = edge(&within(&[FAR_REGION]));
    world.tell(Event::NodeRegions(BTreeMap::from([(
        NEAR_HOLDER,
        region(NEAR_REGION),
    )])));
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    assert!(world.forwarded.is_empty());
    let last = world.sent.last().expect("sent");
    assert_eq!(last.backend.as_str(), FAR_REPLICA);
}

#[test]
fn a_holder_works_residency_out_by_itself() {
    let mut world = world(&within(&[FAR_REGION]));
    world.tell(forwarded(BOUNDED, None, StatementKind::Read));
    assert_eq!(world.sent[0].backend.as_str(), FAR_REPLICA);
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

fn drawn(bits: u8) -> Residency {
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
fn both_bind_whatever_the_lists() {
    check!()
        .with_type::<(u8, u8)>()
        .for_each(|(first, second)| {
            let (first, second) = (drawn(*first), drawn(*second));
            let both = first.intersection(&second);
            for name in ["a", "b", "c"] {
                let region = region(name);
                let expected = first.allows(Some(&region)) && second.allows(Some(&region));
                assert_eq!(both.allows(Some(&region)), expected, "{first:?} {second:?}");
            }
            assert_eq!(both, second.intersection(&first));
        });
}
