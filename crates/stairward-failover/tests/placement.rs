//! The placement of members affects which of them leads: evacuated zones, cold members, and regions
//! where more work is allowed.

mod support;

use stairward_failover::{Event, GroupState, LeaderEvidence, Placement};
use stairward_types::BackendRole;
use support::{AHEAD, BEHIND, Node, OLD, backend, status, usual_group, written};

/// Milliseconds; longer than any delay of a claim.
const MAX_START_DELAY: u64 = 3_000;

fn evacuated() -> Placement {
    Placement {
        is_evacuated: true,
        ..Placement::default()
    }
}

fn allowed(work: u64) -> Placement {
    Placement {
        allowed_work: work,
        ..Placement::default()
    }
}

fn group(places: &[(&str, Placement)]) -> GroupState {
    let mut group = usual_group();
    for (name, placement) in places {
        group.members.get_mut(&backend(name)).unwrap().placement = *placement;
    }
    group
}

fn answer(node: &mut Node, name: &str, number: u64) {
    let status = status(BackendRole::Replica, 1, number);
    node.handle(Event::StatusReply(backend(name), status));
}

/// The member that is promoted in this group when both replicas report these log positions.
fn promoted(
    group: GroupState,
    evidence: Option<LeaderEvidence>,
    behind: u64,
    ahead: u64,
) -> String {
    let mut node = Node::new("a");
    node.set_group(group);
    if let Some(evidence) = evidence {
        node.observe(evidence);
    }
    node.advance(MAX_START_DELAY);
    assert!(node.claimed_version().is_some(), "{:?}", node.effects);
    node.handle(written(7));
    answer(&mut node, BEHIND, behind);
    answer(&mut node, AHEAD, ahead);
    let promotions = node.promotions();
    assert_eq!(promotions.len(), 1, "{:?}", node.effects);
    promotions[0].0.as_str().to_owned()
}

#[test]
fn a_leader_in_an_evacuated_zone_is_replaced_by_the_freshest_replica_elsewhere() {
    assert_eq!(promoted(group(&[(OLD, evacuated())]), None, 40, 50), AHEAD);
}

#[test]
fn the_freshest_replica_is_passed_over_if_its_zone_is_evacuated_too() {
    let group = group(&[(OLD, evacuated()), (AHEAD, evacuated())]);
    assert_eq!(promoted(group, None, 40, 50), BEHIND);
}

#[test]
fn a_failover_never_promotes_into_an_evacuated_zone() {
    let group = group(&[(AHEAD, evacuated())]);
    let lost = Some(LeaderEvidence::Refused);
    assert_eq!(promoted(group, lost, 40, 50), BEHIND);
}

#[test]
fn no_failover_starts_while_every_zone_is_evacuated() {
    let everywhere = group(&[
        (OLD, evacuated()),
        (AHEAD, evacuated()),
        (BEHIND, evacuated()),
    ]);
    let mut node = Node::new("a");
    node.set_group(everywhere.clone());
    node.advance(MAX_START_DELAY);
    assert_eq!(node.claimed_version(), None, "{:?}", node.effects);
    node.observe(LeaderEvidence::Refused);
    node.advance(MAX_START_DELAY);
    assert_eq!(node.claimed_version(), None, "{:?}", node.effects);
    // The evacuation of one zone is cancelled: the failover proceeds there.
    let mut one_back = everywhere;
    one_back
        .members
        .get_mut(&backend(BEHIND))
        .unwrap()
        .placement = Placement::default();
    node.set_group(one_back);
    node.advance(MAX_START_DELAY);
    assert!(node.claimed_version().is_some());
}

#[test]
fn an_evacuation_during_a_failover_affects_the_choice() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.set_group(group(&[(AHEAD, evacuated())]));
    node.answer_from_both_replicas();
    let promotions = node.promotions();
    assert_eq!(promotions.len(), 1);
    assert_eq!(promotions[0].0, backend(BEHIND));
}

#[test]
fn a_primary_stays_when_an_evacuation_elsewhere_is_cancelled() {
    let mut node = Node::new("a");
    node.set_group(group(&[(BEHIND, evacuated())]));
    node.advance(MAX_START_DELAY);
    node.set_group(group(&[]));
    node.advance(MAX_START_DELAY);
    assert_eq!(node.claimed_version(), None, "{:?}", node.effects);
}

#[test]
fn a_leader_moves_to_where_much_more_work_is_allowed() {
    let group = group(&[(OLD, allowed(2)), (AHEAD, allowed(2)), (BEHIND, allowed(9))]);
    assert_eq!(promoted(group, None, 50, 50), BEHIND);
}

#[test]
fn a_leader_does_not_move_for_a_small_gain_or_to_a_cold_member() {
    let cold = Placement {
        is_cold: true,
        ..allowed(9)
    };
    for places in [
        group(&[(OLD, allowed(100)), (AHEAD, allowed(110))]),
        group(&[(OLD, allowed(5)), (AHEAD, allowed(5)), (BEHIND, allowed(5))]),
        group(&[(OLD, allowed(0)), (AHEAD, cold)]),
    ] {
        let mut node = Node::new("a");
        node.set_group(places);
        node.advance(MAX_START_DELAY);
        assert_eq!(node.claimed_version(), None, "{:?}", node.effects);
    }
}

#[test]
fn a_warm_replica_is_preferred_only_among_equally_fresh_ones() {
    let cold = Placement {
        is_cold: true,
        ..Placement::default()
    };
    let lost = Some(LeaderEvidence::Refused);
    assert_eq!(promoted(group(&[(BEHIND, cold)]), lost, 50, 50), AHEAD);
    assert_eq!(promoted(group(&[(AHEAD, cold)]), lost, 50, 50), BEHIND);
    assert_eq!(promoted(group(&[(AHEAD, cold)]), lost, 40, 50), AHEAD);
}
