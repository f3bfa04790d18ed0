//! The duty's decisions: one holder, rising tokens, evidence before a promotion, the replica that received
//! most, and what happens when a step gets no answer.

use std::collections::BTreeSet;
use std::time::Duration;

use stairward_failover::{
    Effect, Event, FailoverStep, FencingToken, LeaderEvidence, PromotionOutcome,
};
use stairward_types::{BackendRole, NodeId, StoreRevision};

mod support;

use support::{
    AHEAD, BEHIND, Node, OLD, backend, member, record_version, service, status, usual_group,
    written,
};

#[test]
fn a_refusing_primary_is_replaced_by_the_replica_that_received_most() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn one_silent_node_promotes_nobody_and_several_do() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Silent);
    node.pass(500);
    assert_eq!(node.claim(), None);
    let silent = BTreeSet::from([backend(OLD)]);
    assert!(node.effects.contains(&Effect::ReportSilent(silent.clone())));
    node.tell(Event::Suspicion(NodeId(2), silent));
    assert!(node.claim().is_some());
}

/// Whoever told it may have come to another conclusion since, or be gone.
#[test]
fn a_report_that_is_not_repeated_no_longer_counts() {
    let mut node = Node::new("a");
    let silent = BTreeSet::from([backend(OLD)]);
    node.tell(Event::Suspicion(NodeId(2), silent.clone()));
    node.pass(3_100);
    node.see(LeaderEvidence::Silent);
    assert_eq!(node.claim(), None);
    let reports = |node: &Node| {
        let report = Effect::ReportSilent(silent.clone());
        node.effects
            .iter()
            .filter(|effect| **effect == report)
            .count()
    };
    assert_eq!(reports(&node), 1);
    node.pass(1_100);
    assert_eq!(reports(&node), 2, "its own is repeated while it holds");
}

#[test]
fn a_silent_primary_that_answers_after_all_stays() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Silent);
    let silent = BTreeSet::from([backend(OLD)]);
    node.tell(Event::Suspicion(NodeId(2), silent));
    node.tell(written(3));
    node.answer_both();
    node.tell(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.pass(500);
    assert!(node.promotions().is_empty());
}

#[test]
fn a_promotion_without_an_answer_is_decided_anew_under_a_higher_token() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    assert_eq!(node.claim(), Some(record_version(7)));
    node.tell(written(9));
    node.answer_both();
    let tokens: Vec<_> = node
        .promotions()
        .into_iter()
        .map(|(_, token)| token)
        .collect();
    assert_eq!(tokens, [FencingToken(7), FencingToken(9)]);
}

#[test]
fn a_late_promotion_is_fenced_off_by_promoting_the_one_that_leads() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    node.tell(written(9));
    node.tell(Event::StatusReply(
        backend(AHEAD),
        status(BackendRole::Primary, 2, 50),
    ));
    node.tell(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 2, 50),
    ));
    assert_eq!(
        node.promotions().last(),
        Some(&(backend(AHEAD), FencingToken(9)))
    );
}

#[test]
fn a_node_that_was_paused_after_its_claim_promotes_nobody() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.now = node.now + Duration::from_secs(4);
    node.answer_both();
    assert!(node.promotions().is_empty());
}

#[test]
fn a_leaving_primary_is_replaced_and_a_leaving_replica_not_chosen() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_leaving = true;
    group.members.get_mut(&backend(AHEAD)).unwrap().is_leaving = true;
    node.set_group(group);
    node.tell(written(4));
    node.tell(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.answer_both();
    node.pass(400);
    assert_eq!(node.promotions(), [(backend(BEHIND), FencingToken(4))]);
}

#[test]
fn a_primary_that_discovery_lost_is_replaced_after_a_while() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_listed = false;
    node.set_group(group);
    node.pass(1_000);
    assert_eq!(node.claim(), None);
    node.pass(1_000);
    assert!(node.claim().is_some());
}

/// While the store is away entries lapse, and are back within two seconds of its return.
#[test]
fn a_primary_whose_entry_lapsed_with_the_others_is_given_time_to_come_back() {
    let mut node = Node::new("a");
    let listed = |names: &[&str]| {
        let mut group = usual_group();
        for (id, member) in &mut group.members {
            member.is_listed = names.contains(&id.as_str());
        }
        group
    };
    node.set_group(listed(&[]));
    node.pass(100);
    node.set_group(listed(&[BEHIND]));
    node.pass(1_900);
    assert_eq!(node.claim(), None);
    node.pass(700);
    assert!(node.claim().is_some(), "missing after that, it is gone");
}

#[test]
fn synchronous_replicas_are_held_before_they_are_asked_and_released_afterwards() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_both();
    assert!(node.promotions().is_empty(), "they still receive");
    let holds = node
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Hold(..)));
    assert_eq!(holds.count(), 2);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Accepted,
    ));
    node.pass(500);
    let resumes = |node: &Node| {
        let resumes = node.effects.iter();
        resumes
            .filter(|effect| matches!(effect, Effect::Resume(_)))
            .count()
    };
    assert_eq!(resumes(&node), 0, "the old primary could still acknowledge");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    let target = group.members.get_mut(&backend(AHEAD)).unwrap();
    target.role = BackendRole::Primary;
    target.revision = StoreRevision::new(0, 9);
    node.set_group(group);
    assert_eq!(resumes(&node), 2);
}

/// A replica that comes while the others are held would let the old primary acknowledge again.
#[test]
fn a_replica_that_comes_meanwhile_is_held_too() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group.clone());
    node.claim_after_refusal(7);
    node.answer_both();
    node.answer_both();
    assert_eq!(node.promotions().len(), 1);
    let late = backend("db-4");
    group
        .members
        .insert(late.clone(), member(BackendRole::Replica));
    node.set_group(group);
    let is_held = node
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Hold(id, _) if *id == late));
    assert!(is_held, "{:?}", node.effects);
}

#[test]
fn synchronous_replicas_that_do_not_all_answer_give_no_promotion() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 1, 40),
    ));
    node.pass(500);
    assert!(
        node.promotions().is_empty(),
        "the other may hold an acknowledged commit"
    );
}

#[test]
fn every_step_is_logged() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    node.tell(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Accepted,
    ));
    let logged: Vec<_> = node
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Log(_, action) => Some(action.clone()),
            _ => None,
        })
        .collect();
    assert!(matches!(logged[0], FailoverStep::Began { .. }));
    assert!(matches!(logged[1], FailoverStep::Chose { .. }));
    assert!(matches!(logged[2], FailoverStep::Answered { .. }));
}

#[test]
fn a_promotion_without_an_answer_is_not_forgotten_when_the_store_is_away() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_both();
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.tell(unknown);
    node.tell(Event::RecordFailed(service()));
    // The primary is back, so that nothing else would begin an attempt.
    node.see(LeaderEvidence::Answered);
    node.effects.clear();
    node.pass(500);
    assert_eq!(node.claim(), Some(record_version(7)));
    node.tell(written(9));
    let leads = status(BackendRole::Primary, 1, 60);
    node.tell(Event::StatusReply(backend(OLD), leads));
    node.answer_both();
    node.pass(400);
    assert_eq!(node.promotions(), [(backend(OLD), FencingToken(9))]);
}
