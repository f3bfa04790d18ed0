//! Settings dissemination: guarantees under arbitrary schedules and under specific faults.

mod configuration_support;

use std::collections::BTreeSet;

use configuration_support::{Fleet, id};
use stairward_membership::configuration::{
    DisseminationParameters, Event, SourceStatus, StoreAnswer, neighbours,
};
use stairward_testing::check;
use stairward_types::{Duration, NodeId, Revision, Time};

const SECOND: Duration = Duration::from_secs(1);
const NODES: usize = 5;

/// Parameters under which a node becomes ready only by proof from the store, received directly or
/// through peers.
fn store_only() -> DisseminationParameters {
    DisseminationParameters {
        confirmation_timeout: Duration::from_secs(1_000_000),
        ..DisseminationParameters::default()
    }
}

fn settled_fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(nodes, DisseminationParameters::default());
    fleet.run(5 * SECOND);
    assert!((0..nodes).all(|node| fleet.is_ready(node)));
    fleet
}

fn all_hold(fleet: &Fleet, revision: Revision) -> bool {
    fleet.nodes.iter().all(|node| node.in_force == revision)
}

/// Performs one step of a schedule. The harness asserts after each event that no serving node
/// reverts to an older revision.
fn step(fleet: &mut Fleet, choice: u8, argument: u8) {
    let node = usize::from(argument) % NODES;
    let message = usize::from(argument) % fleet.messages.len().max(1);
    match choice % 12 {
        0 | 1 => fleet.advance(Duration::from_millis(u64::from(argument) * 4)),
        2 | 3 => fleet.answer_read(node),
        4..=7 => {
            if let Some(message) = fleet.messages.remove(message) {
                fleet.deliver(message);
            }
        }
        8 => {
            fleet.messages.remove(message);
        }
        9 => {
            if let Some(copy) = fleet.messages.get(message).cloned() {
                fleet.messages.push_back(copy);
            }
        }
        10 => fleet.edit(node),
        _ if argument < 128 => fleet.restart(node),
        _ => fleet.store_is_up = !fleet.store_is_up,
    }
}

#[test]
fn no_schedule_makes_a_node_serve_an_older_revision() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let mut fleet = Fleet::new(NODES, store_only());
        fleet.run(3 * SECOND);
        for (choice, argument) in schedule {
            step(&mut fleet, *choice, *argument);
        }
    });
}

/// Verifies that the harness detects the fault: the answer of a single peer, accepted without a
/// delay, is not proof.
#[test]
#[should_panic(expected = "serves 1 after 2")]
fn harness_detects_a_node_that_trusts_a_single_peer() {
    let trusting = DisseminationParameters {
        confirmation_timeout: Duration::ZERO,
        confirmations: 1,
        ..DisseminationParameters::default()
    };
    let mut fleet = Fleet::new(NODES, trusting);
    fleet.run(5 * SECOND);
    fleet.edit(0);
    fleet.messages.clear();
    fleet.store_is_up = false;
    fleet.restart(0);
    fleet.run(10 * SECOND);
}

#[test]
fn all_nodes_converge_to_the_newest_revision_after_any_schedule() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let mut fleet = Fleet::new(NODES, store_only());
        for (choice, argument) in schedule {
            step(&mut fleet, *choice, *argument);
        }
        fleet.store_is_up = true;
        fleet.run(10 * SECOND);
        assert!(all_hold(&fleet, fleet.newest));
    });
}

#[test]
fn an_edit_reaches_all_nodes_without_the_store_being_read_again() {
    let mut fleet = settled_fleet(40);
    fleet.edit(7);
    while let Some(message) = fleet.messages.pop_front() {
        fleet.deliver(message);
    }
    assert!(all_hold(&fleet, Revision(2)));
}

#[test]
fn two_nodes_of_a_region_read_the_store() {
    let fleet = settled_fleet(40);
    let watchers = fleet
        .nodes
        .iter()
        .filter(|node| node.disseminator.is_watcher());
    assert_eq!(watchers.count(), 2);
}

#[test]
fn a_watcher_stands_down_when_the_store_has_too_many_readers() {
    let mut fleet = settled_fleet(3);
    let is_watcher = |fleet: &Fleet, node: usize| fleet.nodes[node].disseminator.is_watcher();
    let watcher = (0..3).find(|node| is_watcher(&fleet, *node));
    let watcher = watcher.expect("a watcher exists");
    fleet.handle(watcher, Event::StoreAnswered(StoreAnswer::TooManyReaders));
    assert!(!is_watcher(&fleet, watcher));
    fleet.run(5 * SECOND);
    assert!(!is_watcher(&fleet, watcher));
    fleet.run(30 * SECOND);
    assert!(is_watcher(&fleet, watcher));
}

#[test]
fn while_the_store_is_down_the_known_settings_stay_trusted() {
    let mut fleet = settled_fleet(5);
    fleet.store_is_up = false;
    fleet.run(60 * SECOND);
    for node in &fleet.nodes {
        assert_eq!(
            node.disseminator.source_status(fleet.now),
            SourceStatus::StoreUnreachable
        );
        assert!(node.disseminator.trusted_until(fleet.now) > fleet.now);
        let age = node.disseminator.source_age(fleet.now);
        assert!(age.is_some_and(|age| age > 55 * SECOND));
    }
}

#[test]
fn a_node_started_while_the_store_is_down_serves_once_its_peers_confirm() {
    let mut fleet = settled_fleet(5);
    fleet.edit(0);
    fleet.run(5 * SECOND);
    fleet.store_is_up = false;
    fleet.run(10 * SECOND);
    fleet.restart(4);
    fleet.run(SECOND);
    assert!(!fleet.is_ready(4), "confirmations must be awaited first");
    fleet.run(9 * SECOND);
    assert!(fleet.is_ready(4));
    assert_eq!(fleet.nodes[4].in_force, Revision(2));
}

#[test]
fn without_store_and_peers_a_new_node_does_not_serve() {
    let mut fleet = Fleet::new(3, DisseminationParameters::default());
    fleet.store_is_up = false;
    fleet.run(60 * SECOND);
    assert!((0..3).all(|node| !fleet.is_ready(node)));
}

#[test]
fn a_node_cut_off_from_all_stops_trusting_its_settings() {
    let mut fleet = settled_fleet(5);
    let limit = DisseminationParameters::default().source_timeout;
    let last_heard = fleet.now;
    // Time passes for one node that receives nothing, while its view still contains all members.
    while fleet.now < last_heard + limit + SECOND {
        fleet.now = fleet.now + Duration::from_millis(100);
        fleet.handle(0, Event::Tick);
        if fleet.nodes[0].reads.pop_front().is_some() {
            fleet.handle(0, Event::StoreAnswered(StoreAnswer::Failed));
        }
        fleet.messages.clear();
    }
    let disseminator = &fleet.nodes[0].disseminator;
    assert_eq!(disseminator.source_status(fleet.now), SourceStatus::CutOff);
    assert!(disseminator.trusted_until(fleet.now) < fleet.now);
}

#[test]
fn a_store_that_answers_with_an_older_revision_proves_nothing() {
    let mut fleet = settled_fleet(1);
    fleet.edit(0);
    let before = fleet.nodes[0].disseminator.store_read_at();
    fleet.advance(SECOND);
    fleet.handle(0, Event::StoreAnswered(StoreAnswer::Read(Revision(1))));
    assert_eq!(fleet.nodes[0].in_force, Revision(2));
    assert_eq!(fleet.nodes[0].disseminator.store_read_at(), before);
}

#[test]
fn neighbour_relation_is_symmetric_and_sparse() {
    let members: Vec<NodeId> = (0..200).map(id).collect();
    for member in &members {
        let own = neighbours(*member, &members, 3);
        assert!((2..=6).contains(&own.len()));
        for neighbour in own {
            assert!(neighbours(neighbour, &members, 3).contains(member));
        }
    }
}

#[test]
fn neighbour_graph_has_a_small_diameter() {
    let members: Vec<NodeId> = (0..1_400).map(id).collect();
    let mut reached = BTreeSet::from([id(0)]);
    let mut frontier = vec![id(0)];
    let mut hops = 0;
    while reached.len() < members.len() {
        hops += 1;
        assert!(hops <= 8, "{} reached in {hops} hops", reached.len());
        frontier = frontier
            .iter()
            .flat_map(|node| neighbours(*node, &members, 3))
            .filter(|node| reached.insert(*node))
            .collect();
    }
}

#[test]
fn delayed_answers_do_not_make_proof_look_fresher() {
    let mut fleet = settled_fleet(2);
    let start_node: Time = fleet.now;
    fleet.store_is_up = false;
    // Answers are delayed in transit, which must not make their proof look fresher.
    fleet.advance(Duration::from_millis(1_500));
    let delayed: Vec<_> = fleet.messages.drain(..).collect();
    fleet.now = fleet.now + 60 * SECOND;
    for message in delayed {
        fleet.deliver(message);
    }
    let latest = fleet
        .nodes
        .iter()
        .filter_map(|node| node.disseminator.store_read_at());
    assert!(latest.max() <= Some(start_node));
}

#[test]
fn a_minority_that_loses_the_others_and_the_store_stops_trusting_its_settings() {
    let mut fleet = settled_fleet(5);
    // The view shrinks before the last proof from the store expires.
    fleet.set_view(0, &[0, 1]);
    fleet.set_view(1, &[0, 1]);
    fleet.store_is_up = false;
    for _ in 0..100 {
        fleet.advance(Duration::from_millis(100));
        (0..2).for_each(|node| fleet.answer_read(node));
        while let Some(message) = fleet.messages.pop_front() {
            if message.is_between(&[0, 1]) {
                fleet.deliver(message);
            }
        }
    }
    for node in &fleet.nodes[..2] {
        let status = node.disseminator.source_status(fleet.now);
        assert_eq!(status, SourceStatus::CutOff);
    }
}
