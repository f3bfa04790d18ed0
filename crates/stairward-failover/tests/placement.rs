//! Where members stand decides who leads: evacuated zones, cold members, regions where more of the work is allowed.

mod support;

use stairward_failover::{Event, GroupState, LeaderEvidence, Placement};
use stairward_types::BackendRole;
use support::{AHEAD, BEHIND, Node, OLD, backend, status, usual_group, written};

/// Longer than any turn that a node waits for before it acts.
const TURNS: u64 = 3_000;

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
    node.tell(Event::StatusReply(backend(name), status));
}

/// The member that is promoted when the group looks like this and both replicas answer that they hold so much.
fn promoted(
    group: GroupState,
    evidence: Option<LeaderEvidence>,
    behind: u64,
    ahead: u64,
) -> String {
    let mut node = Node::new("a");
    node.set_group(group);
    if let Some(evidence) = evidence {
        node.see(evidence);
    }
    node.pass(TURNS);
    assert!(node.claim().is_some(), "{:?}", node.effects);
    node.tell(written(7));
    answer(&mut node, BEHIND, behind);
    answer(&mut node, AHEAD, ahead);
    let promotions = node.promotions();
    assert_eq!(promotions.len(), 1, "{:?}", node.effects);
    promotions[0].0.as_str().to_owned()
}

#[test]
fn a_leader_in_an_evacuated_zone_gives_way_to_the_freshest_elsewhere() {
    assert_eq!(promoted(group(&[(OLD, evacuated())]), None, 40, 50), AHEAD);
}

#[test]
fn the_freshest_replica_is_passed_over_where_its_zone_is_evacuated_too() {
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
fn nothing_is_begun_where_every_zone_is_evacuated() {
    let everywhere = group(&[
        (OLD, evacuated()),
        (AHEAD, evacuated()),
        (BEHIND, evacuated()),
    ]);
    let mut node = Node::new("a");
    node.set_group(everywhere.clone());
    node.pass(TURNS);
    assert_eq!(node.claim(), None, "{:?}", node.effects);
    node.see(LeaderEvidence::Refused);
    node.pass(TURNS);
    assert_eq!(node.claim(), None, "{:?}", node.effects);
    // One zone is taken back: the failover goes on there.
    let mut one_back = everywhere;
    one_back
        .members
        .get_mut(&backend(BEHIND))
        .unwrap()
        .placement = Placement::default();
    node.set_group(one_back);
    node.pass(TURNS);
    assert!(node.claim().is_some());
}

#[test]
fn an_evacuation_that_comes_during_a_failover_counts_for_its_choice() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.set_group(group(&[(AHEAD, evacuated())]));
    node.answer_both();
    let promotions = node.promotions();
    assert_eq!(promotions.len(), 1);
    assert_eq!(promotions[0].0, backend(BEHIND));
}

#[test]
fn a_primary_stays_when_its_zone_is_taken_back() {
    let mut node = Node::new("a");
    node.set_group(group(&[(BEHIND, evacuated())]));
    node.pass(TURNS);
    node.set_group(group(&[]));
    node.pass(TURNS);
    assert_eq!(node.claim(), None, "{:?}", node.effects);
}

#[test]
fn a_leader_moves_where_much_more_of_the_work_is_allowed() {
    let group = group(&[(OLD, allowed(2)), (AHEAD, allowed(2)), (BEHIND, allowed(9))]);
    assert_eq!(promoted(group, None, 50, 50), BEHIND);
}

#[test]
fn a_leader_stays_where_little_or_nothing_would_be_won() {
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
        node.pass(TURNS);
        assert_eq!(node.claim(), None, "{:?}", node.effects);
    }
}

#[test]
fn of_equally_fresh_replicas_a_warm_one_leads_and_a_fresher_one_before_it() {
    let cold = Placement {
        is_cold: true,
        ..Placement::default()
    };
    let lost = Some(LeaderEvidence::Refused);
    assert_eq!(promoted(group(&[(BEHIND, cold)]), lost, 50, 50), AHEAD);
    assert_eq!(promoted(group(&[(AHEAD, cold)]), lost, 50, 50), BEHIND);
    assert_eq!(promoted(group(&[(AHEAD, cold)]), lost, 40, 50), AHEAD);
}
