//! Which members hold a service's connections.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use stairward_membership::{Candidate, HolderIndex, rank_holders};
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
        rank_holders(candidates, &ServiceName::new(service).unwrap(), count)
    }
}

#[test]
fn each_zone_has_holders_and_no_more_are_named_than_asked_for() {
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

/// The ranking in its plain form: every zone sorted whole, then taken in turn.
fn plainly_ranked(members: &[(NodeId, u8, bool)], service: &str, count: usize) -> Vec<NodeId> {
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

#[test]
fn the_index_names_the_holders_that_sorting_everything_does() {
    check!()
        .with_type::<(Vec<(u16, u8, bool)>, u8)>()
        .for_each(|(drawn, count)| {
            let unique: BTreeMap<u64, (u8, bool)> = drawn
                .iter()
                .map(|(node, zone, leaving)| (u64::from(*node), (zone % 6, *leaving)))
                .collect();
            let members: Vec<_> = unique
                .into_iter()
                .map(|(node, (zone, leaving))| (NodeId(node), zone, leaving))
                .collect();
            let names: Vec<_> = members
                .iter()
                .map(|(_, zone, _)| {
                    let region = RegionName::new(format!("region-{}", zone / 2)).unwrap();
                    (region, ZoneName::new(format!("zone-{zone}")).unwrap())
                })
                .collect();
            let candidates = members.iter().zip(&names).map(|(member, names)| Candidate {
                node: member.0,
                region: &names.0,
                zone: &names.1,
                leaving: member.2,
            });
            let index = HolderIndex::new(candidates);
            let count = usize::from(count % 40);
            for service in ["core", "other"] {
                let name = ServiceName::new(service).unwrap();
                let plain = plainly_ranked(&members, service, count);
                assert_eq!(index.holders(&name, count), plain);
            }
        });
}
