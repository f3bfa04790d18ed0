//! Which members hold a service's connections.

use std::collections::BTreeSet;

use stairward_membership::{Candidate, rank_holders};
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
