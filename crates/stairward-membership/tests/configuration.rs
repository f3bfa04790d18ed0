//! The configuration spreader: what it guarantees, under arbitrary schedules and in known trouble.

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

/// Parameters under which only the store, directly or through peers, makes a node ready.
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

/// One step of a schedule. The harness asserts after each event that no serving place goes back.
fn step(fleet: &mut Fleet, choice: u8, argument: u8) {
    let node = usize::from(argument) % NODES;
    let mail = usize::from(argument) % fleet.mail.len().max(1);
    match choice % 12 {
        0 | 1 => fleet.advance(Duration::from_millis(u64::from(argument) * 4)),
        2 | 3 => fleet.answer_read(node),
        4..=7 => {
            if let Some(mail) = fleet.mail.remove(mail) {
                fleet.deliver(mail);
            }
        }
        8 => {
            fleet.mail.remove(mail);
        }
        9 => {
            if let Some(copy) = fleet.mail.get(mail).cloned() {
                fleet.mail.push_back(copy);
            }
        }
        10 => fleet.edit(node),
        _ if argument < 128 => fleet.restart(node),
        _ => fleet.store_is_up = !fleet.store_is_up,
    }
}

#[test]
fn no_schedule_makes_a_place_serve_an_older_revision() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let mut fleet = Fleet::new(NODES, store_only());
        fleet.run(3 * SECOND);
        for (choice, argument) in schedule {
            step(&mut fleet, *choice, *argument);
        }
    });
}

/// Shows that the harness can tell: one peer's word, without a wait, is not proof.
#[test]
#[should_panic(expected = "serves 1 after 2")]
fn a_node_that_believes_any_one_peer_is_caught() {
    let credulous = DisseminationParameters {
        confirmation_timeout: Duration::ZERO,
        confirmations: 1,
        ..DisseminationParameters::default()
    };
    let mut fleet = Fleet::new(NODES, credulous);
    fleet.run(5 * SECOND);
    fleet.edit(0);
    fleet.mail.clear();
    fleet.store_is_up = false;
    fleet.restart(0);
    fleet.run(10 * SECOND);
}

#[test]
fn after_any_schedule_all_nodes_come_to_hold_the_newest_revision() {
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
    while let Some(mail) = fleet.mail.pop_front() {
        fleet.deliver(mail);
    }
    assert!(all_hold(&fleet, Revision(2)));
}

#[test]
fn two_nodes_of_a_region_read_the_store() {
    let fleet = settled_fleet(40);
    let watchers = fleet.nodes.iter().filter(|node| node.spreader.is_watcher());
    assert_eq!(watchers.count(), 2);
}

#[test]
fn a_watcher_stands_down_when_the_store_has_too_many_readers() {
    let mut fleet = settled_fleet(3);
    let is_watcher = |fleet: &Fleet, node: usize| fleet.nodes[node].spreader.is_watcher();
    let watcher = (0..3).find(|node| is_watcher(&fleet, *node));
    let watcher = watcher.expect("somebody watches");
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
            node.spreader.source_status(fleet.now),
            SourceStatus::StoreUnreachable
        );
        assert!(node.spreader.trusted_until(fleet.now) > fleet.now);
        let age = node.spreader.source_age(fleet.now);
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
    assert!(!fleet.is_ready(4), "too early to be sure");
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
    // Time passes for one node, and nothing reaches it. Its view still shows everybody.
    while fleet.now < last_heard + limit + SECOND {
        fleet.now = fleet.now + Duration::from_millis(100);
        fleet.handle(0, Event::Tick);
        if fleet.nodes[0].reads.pop_front().is_some() {
            fleet.handle(0, Event::StoreAnswered(StoreAnswer::Failed));
        }
        fleet.mail.clear();
    }
    let spreader = &fleet.nodes[0].spreader;
    assert_eq!(spreader.source_status(fleet.now), SourceStatus::CutOff);
    assert!(spreader.trusted_until(fleet.now) < fleet.now);
}

#[test]
fn a_store_that_answers_with_an_older_revision_proves_nothing() {
    let mut fleet = settled_fleet(1);
    fleet.edit(0);
    let before = fleet.nodes[0].spreader.store_read_at();
    fleet.advance(SECOND);
    fleet.handle(0, Event::StoreAnswered(StoreAnswer::Read(Revision(1))));
    assert_eq!(fleet.nodes[0].in_force, Revision(2));
    assert_eq!(fleet.nodes[0].spreader.store_read_at(), before);
}

#[test]
fn the_neighbour_relation_is_symmetric_and_few() {
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
fn the_neighbour_graph_is_a_few_hops_wide() {
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
fn ages_only_count_from_before_the_question() {
    let mut fleet = settled_fleet(2);
    let start: Time = fleet.now;
    fleet.store_is_up = false;
    // Answers wait on the way for a long time: their proof must not look younger for that.
    fleet.advance(Duration::from_millis(1_500));
    let delayed: Vec<_> = fleet.mail.drain(..).collect();
    fleet.now = fleet.now + 60 * SECOND;
    for mail in delayed {
        fleet.deliver(mail);
    }
    let latest = fleet
        .nodes
        .iter()
        .filter_map(|node| node.spreader.store_read_at());
    assert!(latest.max() <= Some(start));
}

#[test]
fn a_minority_that_loses_the_others_and_the_store_stops_trusting_its_settings() {
    let mut fleet = settled_fleet(5);
    // The view shrinks before the last proof from the store has grown old.
    fleet.show_members(0, &[0, 1]);
    fleet.show_members(1, &[0, 1]);
    fleet.store_is_up = false;
    for _ in 0..100 {
        fleet.advance(Duration::from_millis(100));
        (0..2).for_each(|node| fleet.answer_read(node));
        while let Some(mail) = fleet.mail.pop_front() {
            if mail.is_between(&[0, 1]) {
                fleet.deliver(mail);
            }
        }
    }
    for node in &fleet.nodes[..2] {
        let status = node.spreader.source_status(fleet.now);
        assert_eq!(status, SourceStatus::CutOff);
    }
}
