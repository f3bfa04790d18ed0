//! A leader that one node finds silent is probed by others, so that one with little traffic is
//! replaced in time, and one that only that node can't reach is not replaced.

use std::collections::BTreeSet;

use stairward_failover::{Effect, Event, LeaderEvidence};
use stairward_types::{BackendId, NodeId};

mod support;

use support::{AHEAD, Node, OLD, backend};

const ASKER: NodeId = NodeId(7);

fn suspicion(node: NodeId, name: &str) -> Event {
    Event::Suspicion(node, BTreeSet::from([backend(name)]))
}

fn probe_requests(node: &Node) -> Vec<NodeId> {
    let probe_requests = node.effects.iter().filter_map(|effect| match effect {
        Effect::Verify { asker, .. } => Some(*asker),
        _ => None,
    });
    probe_requests.collect()
}

#[test]
fn a_leader_that_another_node_finds_silent_is_probed() {
    let mut node = Node::new("a");
    node.handle(suspicion(ASKER, OLD));
    assert_eq!(probe_requests(&node), [ASKER]);
    node.advance(500);
    assert_eq!(
        node.claimed_version(),
        None,
        "one report is no reason to replace the leader"
    );
}

#[test]
fn a_silent_replica_is_not_probed() {
    let mut node = Node::new("a");
    node.handle(suspicion(ASKER, AHEAD));
    assert!(probe_requests(&node).is_empty());
}

#[test]
fn a_leader_that_accepted_a_connection_is_not_probed_again_soon() {
    let mut node = Node::new("a");
    node.handle(suspicion(ASKER, OLD));
    node.advance(1_000);
    node.handle(suspicion(NodeId(8), OLD));
    assert_eq!(probe_requests(&node).len(), 1);
    node.advance(4_100);
    node.handle(suspicion(ASKER, OLD));
    assert_eq!(probe_requests(&node).len(), 2);
}

#[test]
fn a_leader_found_silent_is_probed_again_for_the_next_node() {
    let mut node = Node::new("a");
    node.handle(suspicion(ASKER, OLD));
    node.handle(Event::FoundSilent(backend(OLD)));
    node.handle(suspicion(NodeId(8), OLD));
    assert_eq!(probe_requests(&node), [ASKER, NodeId(8)]);
}

/// The only node that uses the leader of a service finds it silent, and two nodes that probed it
/// agree.
#[test]
fn probe_results_of_peers_count_towards_the_quorum() {
    let mut node = Node::new("a");
    node.handle(Event::NodeCount(100));
    node.observe(LeaderEvidence::Silent);
    node.handle(Event::Verified(NodeId(2), backend(OLD)));
    node.handle(Event::Verified(NodeId(2), backend(OLD)));
    assert_eq!(node.claimed_version(), None, "a node counts once");
    node.handle(Event::Verified(NodeId(3), backend(OLD)));
    assert!(node.claimed_version().is_some());
}

#[test]
fn probe_results_expire_and_count_only_with_own_evidence() {
    let mut node = Node::new("a");
    node.handle(Event::NodeCount(100));
    for other in [2, 3, 4] {
        node.handle(Event::Verified(NodeId(other), backend(OLD)));
    }
    node.advance(500);
    assert_eq!(node.claimed_version(), None);
    node.advance(3_000);
    node.observe(LeaderEvidence::Silent);
    assert_eq!(node.claimed_version(), None);
}

/// The back ends in the last report to other nodes, and the number of reports.
fn reports(node: &Node) -> (BTreeSet<BackendId>, usize) {
    let reports = node.effects.iter().filter_map(|effect| match effect {
        Effect::ReportSilent(silent) => Some(silent.clone()),
        _ => None,
    });
    let reports: Vec<_> = reports.collect();
    (reports.last().cloned().unwrap_or_default(), reports.len())
}

/// Guards against one report per back end: a node that lost its network sent eight peers a report
/// for each of 70 back ends, over 194 connections a second.
#[test]
fn back_ends_that_fall_silent_together_are_reported_together() {
    let mut node = Node::new("a");
    let silent: BTreeSet<BackendId> = (0..70).map(|n| backend(&format!("db-{n}"))).collect();
    for backend in &silent {
        node.handle(Event::Evidence(backend.clone(), LeaderEvidence::Silent));
    }
    let (first, times) = reports(&node);
    assert_eq!(
        (first.len(), times),
        (1, 1),
        "the first is reported at once"
    );
    node.advance(150);
    assert_eq!(reports(&node), (silent.clone(), 2));
    // A recovery is reported too, also that of the last silent back end.
    for backend in &silent {
        node.handle(Event::Evidence(backend.clone(), LeaderEvidence::Answered));
    }
    node.advance(150);
    assert_eq!(reports(&node).0, BTreeSet::new());
}
