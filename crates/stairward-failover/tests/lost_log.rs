//! A primary that restarted without its log is replaced although it reports that it leads, but only
//! if a replica has received more than it has.

use stairward_failover::{Event, FencingToken, LeaderEvidence};
use stairward_types::BackendRole;

mod support;

use support::{AHEAD, BEHIND, Node, OLD, backend, status, written};

/// A node that has claimed the service because the primary lacks commits, and has queried the
/// members.
fn asking() -> Node {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::LostLog);
    assert!(node.claimed_version().is_some());
    node.handle(written(7));
    node
}

#[test]
fn a_primary_behind_its_replica_is_replaced_although_it_reports_that_it_leads() {
    let mut node = asking();
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 0),
    ));
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn a_primary_that_still_has_its_log_is_not_replaced() {
    let mut node = asking();
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.answer_from_both_replicas();
    node.effects.clear();
    node.advance(3_000);
    assert!(node.promotions().is_empty());
    assert_eq!(node.claimed_version(), None, "no further attempt starts");
}

#[test]
fn a_replica_without_its_log_is_not_chosen() {
    let mut node = asking();
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 0, 0),
    ));
    node.handle(Event::StatusReply(
        backend(AHEAD),
        status(BackendRole::Replica, 0, 0),
    ));
    node.handle(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 1, 40),
    ));
    assert_eq!(node.promotions(), [(backend(BEHIND), FencingToken(7))]);
}
