//! A leader that one node finds silent is looked at by others, so that one with little work is replaced in time, and
//! one that only that node can't reach is not.

use std::collections::BTreeSet;

use stairward_failover::{Effect, Event, LeaderEvidence};
use stairward_types::{BackendId, NodeId};

mod support;

use support::{AHEAD, Node, OLD, backend};

const ASKER: NodeId = NodeId(7);

fn suspects(node: NodeId, name: &str) -> Event {
    Event::Suspicion(node, BTreeSet::from([backend(name)]))
}

fn looks(node: &Node) -> Vec<NodeId> {
    let looks = node.effects.iter().filter_map(|effect| match effect {
        Effect::Verify { asker, .. } => Some(*asker),
        _ => None,
    });
    looks.collect()
}

#[test]
fn a_leader_that_another_node_finds_silent_is_looked_at() {
    let mut node = Node::new("a");
    node.tell(suspects(ASKER, OLD));
    assert_eq!(looks(&node), [ASKER]);
    node.pass(500);
    assert_eq!(node.claim(), None, "that alone is no reason to replace it");
}

#[test]
fn a_replica_is_not_looked_at() {
    let mut node = Node::new("a");
    node.tell(suspects(ASKER, AHEAD));
    assert!(looks(&node).is_empty());
}

#[test]
fn one_that_accepted_a_connection_is_not_looked_at_again_for_a_while() {
    let mut node = Node::new("a");
    node.tell(suspects(ASKER, OLD));
    node.pass(1_000);
    node.tell(suspects(NodeId(8), OLD));
    assert_eq!(looks(&node).len(), 1);
    node.pass(4_100);
    node.tell(suspects(ASKER, OLD));
    assert_eq!(looks(&node).len(), 2);
}

#[test]
fn one_that_was_found_silent_is_looked_at_for_whoever_asks_next() {
    let mut node = Node::new("a");
    node.tell(suspects(ASKER, OLD));
    node.tell(Event::FoundSilent(backend(OLD)));
    node.tell(suspects(NodeId(8), OLD));
    assert_eq!(looks(&node), [ASKER, NodeId(8)]);
}

/// The only node that uses a service's leader finds it silent; two that looked at it say the same.
#[test]
fn what_others_found_when_they_looked_counts_like_their_own_use() {
    let mut node = Node::new("a");
    node.tell(Event::NodeCount(100));
    node.see(LeaderEvidence::Silent);
    node.tell(Event::Verified(NodeId(2), backend(OLD)));
    node.tell(Event::Verified(NodeId(2), backend(OLD)));
    assert_eq!(node.claim(), None, "one node counts once");
    node.tell(Event::Verified(NodeId(3), backend(OLD)));
    assert!(node.claim().is_some());
}

#[test]
fn what_others_found_counts_for_a_while_only_and_only_beside_ones_own_use() {
    let mut node = Node::new("a");
    node.tell(Event::NodeCount(100));
    for other in [2, 3, 4] {
        node.tell(Event::Verified(NodeId(other), backend(OLD)));
    }
    node.pass(500);
    assert_eq!(node.claim(), None);
    node.pass(3_000);
    node.see(LeaderEvidence::Silent);
    assert_eq!(node.claim(), None);
}

/// The newest of what others were told to be silent, and how often they were told.
fn reports(node: &Node) -> (BTreeSet<BackendId>, usize) {
    let reports = node.effects.iter().filter_map(|effect| match effect {
        Effect::ReportSilent(silent) => Some(silent.clone()),
        _ => None,
    });
    let reports: Vec<_> = reports.collect();
    (reports.last().cloned().unwrap_or_default(), reports.len())
}

/// A node that lost its links told eight peers of each of 70 back ends by itself, over 194 connections a second.
#[test]
fn many_back_ends_that_fall_silent_at_once_are_told_together() {
    let mut node = Node::new("a");
    let silent: BTreeSet<BackendId> = (0..70).map(|n| backend(&format!("db-{n}"))).collect();
    for backend in &silent {
        node.tell(Event::Evidence(backend.clone(), LeaderEvidence::Silent));
    }
    let (first, times) = reports(&node);
    assert_eq!((first.len(), times), (1, 1), "the first is told at once");
    node.pass(150);
    assert_eq!(reports(&node), (silent.clone(), 2));
    // One that answers again is told too, also where it was the last.
    for backend in &silent {
        node.tell(Event::Evidence(backend.clone(), LeaderEvidence::Answered));
    }
    node.pass(150);
    assert_eq!(reports(&node).0, BTreeSet::new());
}
