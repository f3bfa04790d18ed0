//! Incremental holder assignments equal those computed from the last membership view alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stairward_engine::ServiceHolders;
use stairward_membership::{Profile, Version};
use stairward_runtime::holders::{HolderAssignments, LocalNode};
use stairward_testing::check;
use stairward_types::{Incarnation, NodeId, RegionName, ServiceName, ZoneName};

fn region(zone: u8) -> RegionName {
    RegionName::new(format!("region-{}", zone / 2)).unwrap()
}

fn zone(zone: u8) -> ZoneName {
    ZoneName::new(format!("zone-{zone}")).unwrap()
}

fn member(node: u8, place: u8, leaving: bool) -> Profile {
    Profile {
        node: NodeId(u64::from(node)),
        version: Version::first(Incarnation(1)),
        address: SocketAddr::from(([10, 0, 0, node], 7_000)),
        region: region(place),
        zone: zone(place),
        leaving,
    }
}

fn own() -> LocalNode {
    LocalNode {
        node: NodeId(1),
        region: region(0),
        zone: zone(0),
    }
}

fn counts(holders: usize) -> BTreeMap<ServiceName, usize> {
    let service = |name| ServiceName::new(name).unwrap();
    BTreeMap::from([(service("core"), holders), (service("other"), 2)])
}

type Told = BTreeMap<ServiceName, ServiceHolders>;

#[test]
fn incremental_changes_give_the_same_holders_as_the_last_view() {
    check!()
        .with_type::<(Vec<(u8, u8, u8)>, u8)>()
        .for_each(|(changes, holders)| {
            let counts = counts(usize::from(holders % 12));
            let mut changed = HolderAssignments::default();
            let mut told = changed.set_services(&own(), &[], counts.clone());
            let mut present: BTreeMap<u8, Profile> = BTreeMap::new();
            for (node, place, change) in changes {
                if change % 4 == 0 {
                    present.remove(node);
                } else {
                    present.insert(*node, member(*node, place % 6, change % 4 == 1));
                }
                let members: Vec<_> = present.values().cloned().collect();
                told.extend(changed.set_members(&own(), &members));
                let mut anew = HolderAssignments::default();
                anew.set_members(&own(), &members);
                assert_eq!(told, anew.set_services(&own(), &members, counts.clone()));
            }
        });
}

#[test]
fn a_removed_service_leaves_no_holders_behind() {
    let members: Vec<_> = (1..=20).map(|node| member(node, node % 6, false)).collect();
    let mut view = HolderAssignments::default();
    view.set_members(&own(), &members);
    let mut told: Told = view.set_services(&own(), &members, counts(3));
    assert_eq!(told.len(), 2);
    assert!(told.values().all(|holders| !holders.holders.is_empty()));
    told.extend(view.set_services(&own(), &members, BTreeMap::new()));
    assert_eq!(told.len(), 2);
    assert!(
        told.values()
            .all(|holders| *holders == ServiceHolders::default())
    );
    assert!(view.set_members(&own(), &members[1..]).is_empty());
}

#[test]
fn an_unchanged_view_changes_no_holders() {
    let members: Vec<_> = (1..=20).map(|node| member(node, node % 6, false)).collect();
    let mut view = HolderAssignments::default();
    view.set_services(&own(), &[], counts(3));
    assert_eq!(view.set_members(&own(), &members).len(), 2);
    assert!(view.set_members(&own(), &members).is_empty());
}
