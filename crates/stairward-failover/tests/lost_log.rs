//! A primary that has started again without its log: it is replaced though it answers that it leads, and only if a
//! replica holds more than it does.

use stairward_failover::{Event, FencingToken, LeaderEvidence};
use stairward_types::BackendRole;

mod support;

use support::{AHEAD, BEHIND, Node, OLD, backend, status, written};

/// A node that has claimed the duty since the primary lacks commits, and asked the replicas.
fn asking() -> Node {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::LostLog);
    assert!(node.claim().is_some());
    node.tell(written(7));
    node
}

#[test]
fn one_that_holds_less_than_a_replica_is_replaced_though_it_says_that_it_leads() {
    let mut node = asking();
    node.tell(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 0),
    ));
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn one_that_has_its_log_stays() {
    let mut node = asking();
    node.tell(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.answer_both();
    node.effects.clear();
    node.pass(3_000);
    assert!(node.promotions().is_empty());
    assert_eq!(node.claim(), None, "it is not looked at again");
}

#[test]
fn a_replica_without_its_log_is_not_chosen() {
    let mut node = asking();
    node.tell(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 0, 0),
    ));
    node.tell(Event::StatusReply(
        backend(AHEAD),
        status(BackendRole::Replica, 0, 0),
    ));
    node.tell(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 1, 40),
    ));
    assert_eq!(node.promotions(), [(backend(BEHIND), FencingToken(7))]);
}
