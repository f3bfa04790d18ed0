//! Ranking of the members that hold a service's connections.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use stairward_membership::{Candidate, HolderRanking};
use stairward_testing::check;
use stairward_types::{NodeId, RegionName, ServiceName, ZoneName};

struct Fleet {
    members: Vec<(NodeId, RegionName, ZoneName)>,
}

impl Fleet {
    fn new(nodes: u64) -> Self {
        let member = |node: u64| {
            let zone = node % 3;
            (
                NodeId(node),
                RegionName::new(format!("region-{zone}")).unwrap(),
                ZoneName::new(format!("zone-{zone}")).unwrap(),
            )
        };
        Self {
            members: (0..nodes).map(member).collect(),
        }
    }

    fn holders(&self, service: &str, count: usize, leaving: &[u64]) -> Vec<NodeId> {
        let candidates = self.members.iter().map(|(node, region, zone)| Candidate {
            node: *node,
            region,
            zone,
            leaving: leaving.contains(&node.0),
        });
        let service = ServiceName::new(service).unwrap();
        let mut ranking = HolderRanking::default();
        ranking.set_services(&BTreeMap::from([(service.clone(), count)]));
        ranking.set_members(candidates);
        ranking.holders(&service).to_vec()
    }
}

#[test]
fn holders_cover_all_zones_up_to_the_requested_count() {
    let fleet = Fleet::new(90);
    let holders = fleet.holders("core", 11, &[]);
    assert_eq!(holders.len(), 11);
    let zones: BTreeSet<_> = holders.iter().map(|node| node.0 % 3).collect();
    assert_eq!(zones.len(), 3);
    assert_ne!(holders, fleet.holders("other", 11, &[]));
}

#[test]
fn a_member_that_leaves_moves_few_holders() {
    let fleet = Fleet::new(90);
    let before = fleet.holders("core", 11, &[]);
    let after = fleet.holders("core", 11, &[before[0].0]);
    let kept = before.iter().filter(|node| after.contains(node)).count();
    assert_eq!(kept, 10);
    assert!(!after.contains(&before[0]));
}

/// Reference implementation: sorts every zone completely, then merges them in round-robin order.
fn reference_ranking(members: &[(NodeId, u8, bool)], service: &str, count: usize) -> Vec<NodeId> {
    let mut zones: BTreeMap<u8, Vec<(Reverse<u64>, NodeId)>> = BTreeMap::new();
    for (node, zone, _) in members.iter().filter(|(_, _, leaving)| !leaving) {
        let score = xxhash_rust::xxh3::xxh3_64_with_seed(service.as_bytes(), node.0);
        zones
            .entry(*zone)
            .or_default()
            .push((Reverse(score), *node));
    }
    let mut ranked = Vec::new();
    for zone in zones.values_mut() {
        zone.sort_unstable();
        ranked.extend(zone.iter().copied().enumerate());
    }
    ranked.sort_unstable();
    let holders = ranked.into_iter().take(count);
    holders.map(|(_, (_, node))| node).collect()
}

/// The region and zone with this number.
fn place(zone: u8) -> (RegionName, ZoneName) {
    let region = RegionName::new(format!("region-{}", zone / 2)).unwrap();
    (region, ZoneName::new(format!("zone-{zone}")).unwrap())
}

/// Replaces the members of a ranking.
fn update_members(
    ranking: &mut HolderRanking,
    members: &[(NodeId, u8, bool)],
) -> BTreeSet<ServiceName> {
    let names: Vec<_> = members.iter().map(|(_, zone, _)| place(*zone)).collect();
    let candidates = members.iter().zip(&names);
    ranking.set_members(candidates.map(|(member, names)| Candidate {
        node: member.0,
        region: &names.0,
        zone: &names.1,
        leaving: member.2,
    }))
}

/// Each generated entry makes a member join, leave, announce its stop or move to another zone.
#[test]
fn incremental_ranking_matches_a_full_sort_after_every_change() {
    check!()
        .with_type::<(Vec<(u8, u8, u8)>, u8, u8)>()
        .for_each(|(drawn, count, other_count)| {
            let services = [("core", *count), ("other", *other_count)];
            let counts = services.map(|(service, count)| {
                let service = ServiceName::new(service).unwrap();
                (service, usize::from(count % 40))
            });
            let counts = BTreeMap::from(counts);
            let mut ranking = HolderRanking::default();
            ranking.set_services(&counts);
            let mut present: BTreeMap<NodeId, (u8, bool)> = BTreeMap::new();
            for (index, (node, zone, change)) in drawn.iter().enumerate() {
                let node = NodeId(u64::from(*node));
                match change % 8 {
                    0 | 1 => _ = present.remove(&node),
                    2 => _ = present.insert(node, (zone % 6, true)),
                    _ => _ = present.insert(node, (zone % 6, false)),
                }
                // Some changes are applied together with the next one.
                let is_last = index + 1 == drawn.len();
                if change / 8 % 3 == 0 && !is_last {
                    continue;
                }
                let members: Vec<_> = present
                    .iter()
                    .map(|(node, (zone, leaving))| (*node, *zone, *leaving))
                    .collect();
                let before = counts
                    .keys()
                    .map(|service| ranking.holders(service).to_vec());
                let before: Vec<_> = before.collect();
                let changed = update_members(&mut ranking, &members);
                for ((service, count), before) in counts.iter().zip(before) {
                    let expected = reference_ranking(&members, service.as_str(), *count);
                    assert_eq!(ranking.holders(service), expected);
                    assert!(before == expected || changed.contains(service));
                }
            }
        });
}

#[test]
fn a_service_is_ranked_when_added_and_dropped_when_removed() {
    let mut ranking = HolderRanking::default();
    let members: Vec<_> = (0..12).map(|node| (NodeId(node), 0, false)).collect();
    update_members(&mut ranking, &members);
    let core = ServiceName::new("core").unwrap();
    let counts = BTreeMap::from([(core.clone(), 3)]);
    assert_eq!(
        ranking.set_services(&counts),
        BTreeSet::from([core.clone()])
    );
    assert_eq!(
        ranking.holders(&core),
        reference_ranking(&members, "core", 3)
    );
    assert!(ranking.set_services(&counts).is_empty());
    ranking.set_services(&BTreeMap::new());
    assert!(ranking.holders(&core).is_empty());
}

#[test]
fn a_holder_that_rejoins_in_another_zone_is_reported_as_a_change() {
    let mut ranking = HolderRanking::default();
    let core = ServiceName::new("core").unwrap();
    ranking.set_services(&BTreeMap::from([(core.clone(), 3)]));
    update_members(&mut ranking, &[(NodeId(1), 0, false)]);
    let changed = update_members(&mut ranking, &[(NodeId(1), 1, false)]);
    assert_eq!(changed, BTreeSet::from([core]));
}
