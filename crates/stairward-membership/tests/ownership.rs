//! Rendezvous ranking: distance, leaving members and stability.

use stairward_membership::{Candidate, Ranking, rank_owners};
use stairward_types::{BackendId, NodeId, RegionName, ZoneName};

struct Member {
    node: u64,
    region: RegionName,
    zone: ZoneName,
    leaving: bool,
}

fn member(node: u64, region: &str, zone: &str) -> Member {
    Member {
        node,
        region: RegionName::new(region).unwrap(),
        zone: ZoneName::new(zone).unwrap(),
        leaving: false,
    }
}

fn rank(members: &[Member], backend: &str, region: &str, zone: &str) -> Option<Ranking> {
    let candidates = members.iter().map(|member| Candidate {
        node: NodeId(member.node),
        region: &member.region,
        zone: &member.zone,
        leaving: member.leaving,
    });
    let backend = BackendId::new(backend).unwrap();
    let region = RegionName::new(region).unwrap();
    let zone = ZoneName::new(zone).unwrap();
    rank_owners(candidates, &backend, &region, &zone)
}

/// Twelve nodes in two regions, with two zones per region and three nodes per zone.
fn fleet() -> Vec<Member> {
    (0..12)
        .map(|node| {
            let region = ["east", "west"][node as usize / 6];
            let zone = ["east-a", "east-b", "west-a", "west-b"][node as usize / 3];
            member(node, region, zone)
        })
        .collect()
}

fn backends() -> Vec<String> {
    (0..200).map(|number| format!("db-{number}")).collect()
}

#[test]
fn no_member_means_no_owner() {
    assert_eq!(rank(&[], "db-1", "east", "east-a"), None);
}

#[test]
fn a_single_member_owns_without_standby() {
    let ranking = rank(&[member(7, "west", "west-a")], "db-1", "east", "east-a").unwrap();
    assert_eq!((ranking.owner, ranking.standby), (NodeId(7), None));
}

#[test]
fn owner_and_standby_are_in_the_zone_of_the_back_end() {
    for backend in backends() {
        let ranking = rank(&fleet(), &backend, "west", "west-a").unwrap();
        assert!((6..9).contains(&ranking.owner.0));
        assert!((6..9).contains(&ranking.standby.unwrap().0));
        assert_ne!(Some(ranking.owner), ranking.standby);
    }
}

#[test]
fn back_ends_of_a_lost_zone_move_within_the_region() {
    let mut members = fleet();
    members.retain(|member| member.zone.as_str() != "west-a");
    for backend in backends() {
        let ranking = rank(&members, &backend, "west", "west-a").unwrap();
        assert!((9..12).contains(&ranking.owner.0));
    }
}

#[test]
fn a_leaving_member_owns_only_when_nobody_else_is_left() {
    let mut members = fleet();
    for member in &mut members {
        member.leaving = member.node != 2;
    }
    let ranking = rank(&members, "db-1", "west", "west-a").unwrap();
    assert_eq!(ranking.owner, NodeId(2));
    assert!((6..9).contains(&ranking.standby.unwrap().0));
}

#[test]
fn the_loss_of_a_member_moves_only_its_own_back_ends_to_the_standby() {
    let before = fleet();
    let mut after = fleet();
    after.retain(|member| member.node != 7);
    for backend in backends() {
        let old = rank(&before, &backend, "west", "west-a").unwrap();
        let new = rank(&after, &backend, "west", "west-a").unwrap();
        let expected = if old.owner == NodeId(7) {
            old.standby.unwrap()
        } else {
            old.owner
        };
        assert_eq!(new.owner, expected);
    }
}

#[test]
fn back_ends_spread_over_the_members_of_a_zone() {
    let mut owned = [0_usize; 12];
    for backend in backends() {
        let ranking = rank(&fleet(), &backend, "west", "west-a").unwrap();
        owned[usize::try_from(ranking.owner.0).unwrap()] += 1;
    }
    assert!(owned[6..9].iter().all(|count| (45..=90).contains(count)));
}
