//! Back ends whose process starts again under its id: nothing that was learnt of the earlier start is true of the new one.

mod support;

use std::time::Duration;

use stairward_engine::{BackendDescription, BackendEvidence, EngineOptions, StatementKind};
use stairward_types::{BackendRole, Freshness, Incarnation, ResultCode, StoreRevision};
use support::{LEADER_READS, NEAR_REPLICA, PRIMARY, World, at, backend, listed, usual_backends};

fn born(times: [u64; 3]) -> Vec<BackendDescription> {
    let mut list = usual_backends();
    for (description, time) in list.iter_mut().zip(times) {
        description.incarnation = Some(Incarnation(time));
    }
    list
}

fn proved() -> World {
    let mut world = World::new();
    world.tell(listed(born([1, 1, 1])));
    world.prove(at(1, 5));
    world.sent.clear();
    world
}

#[test]
fn a_start_that_is_told_for_the_first_time_is_no_new_one() {
    let world = proved();
    assert!(world.starts.is_empty());
}

#[test]
fn idle_connections_to_the_earlier_start_are_closed() {
    let mut world = proved();
    let before: Vec<_> = world.closed_connections.clone();
    world.tell(listed(born([1, 2, 1])));
    assert_eq!(world.starts, [backend(NEAR_REPLICA)]);
    let closed = &world.closed_connections[before.len()..];
    assert!(!closed.is_empty());
    for connection in closed {
        assert_eq!(world.targets[connection].backend, backend(NEAR_REPLICA));
    }
}

#[test]
fn a_start_at_an_earlier_time_is_a_new_one_too() {
    let mut world = proved();
    world.tell(listed(born([1, 1, 9])));
    world.tell(listed(born([1, 1, 3])));
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn what_the_earlier_start_said_of_leaving_does_not_bind_the_new_one() {
    let mut world = proved();
    let mut list = born([1, 1, 1]);
    list[0].is_leaving = true;
    list[0].revision = StoreRevision::new(0, 7);
    world.tell(listed(list.clone()));
    let limit = EngineOptions::default().leaving_limit.after_notice;
    world.pass(limit + Duration::from_secs(1));
    // The new one leaves as well, and has its own time.
    list[0].incarnation = Some(Incarnation(2));
    list[0].revision = StoreRevision::new(0, 8);
    world.tell(listed(list));
    world.prove(at(1, 5));
    world.sent.clear();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    assert_eq!(world.sent[0].backend.as_str(), PRIMARY);
}

#[test]
fn a_transaction_of_the_earlier_start_ends_with_its_connection() {
    let mut world = proved();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 5));
    world.tell(listed(born([2, 1, 1])));
    world.say(session, StatementKind::Read);
    world.lose();
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
}

/// The primary's process starts again with this log, and its connections end.
fn restart_primary(world: &mut World, position: Option<Freshness>) {
    match position {
        Some(position) => world.positions.insert(backend(PRIMARY), position),
        None => world.positions.remove(&backend(PRIMARY)),
    };
    let there: Vec<_> = world
        .targets
        .iter()
        .filter(|(id, target)| {
            target.backend == backend(PRIMARY) && !world.closed_connections.contains(id)
        })
        .map(|(id, _)| *id)
        .collect();
    for connection in there {
        world.lose_connection(connection);
    }
}

fn is_written_at_primary(world: &mut World) -> bool {
    world.sent.clear();
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.pass(Duration::from_millis(50));
    world
        .sent
        .iter()
        .any(|sent| sent.backend == backend(PRIMARY))
}

#[test]
fn a_primary_that_starts_again_with_its_log_leads() {
    for position in [at(1, 5), at(1, 6)] {
        let mut world = proved();
        restart_primary(&mut world, Some(position));
        assert!(is_written_at_primary(&mut world));
        assert!(
            !world
                .observed
                .contains(&(backend(PRIMARY), BackendEvidence::LostLog))
        );
    }
}

#[test]
fn a_primary_that_starts_again_without_its_log_does_not_lead_whether_it_says_so_or_not() {
    for position in [None, Some(at(0, 0)), Some(at(1, 0)), Some(at(1, 4))] {
        for list in [born([1, 1, 1]), born([2, 1, 1])] {
            let mut world = proved();
            restart_primary(&mut world, position);
            world.tell(listed(list));
            assert!(!is_written_at_primary(&mut world), "{position:?}");
            let lost = (backend(PRIMARY), BackendEvidence::LostLog);
            assert!(world.observed.contains(&lost), "{position:?}");
        }
    }
}

#[test]
fn one_that_lost_its_log_leads_once_it_was_a_replica_and_is_promoted() {
    let mut world = proved();
    restart_primary(&mut world, None);
    world.tell(listed(born([2, 1, 1])));
    assert!(!is_written_at_primary(&mut world));
    let mut list = born([2, 1, 1]);
    list[0].role = BackendRole::Replica;
    list[0].revision = StoreRevision::new(0, 8);
    world.tell(listed(list.clone()));
    list[0].role = BackendRole::Primary;
    list[0].revision = StoreRevision::new(0, 9);
    world.positions.insert(backend(PRIMARY), at(2, 5));
    world.tell(listed(list));
    assert!(is_written_at_primary(&mut world));
}
