//! Decisions of the controller: a single holder, increasing tokens, evidence before a promotion,
//! choice of the most advanced replica, and recovery from steps without an answer.

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
fn a_primary_that_refuses_connections_is_replaced_by_the_most_advanced_replica() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn one_report_of_a_silent_primary_is_not_enough_but_a_quorum_is() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Silent);
    node.advance(500);
    assert_eq!(node.claimed_version(), None);
    let silent = BTreeSet::from([backend(OLD)]);
    assert!(node.effects.contains(&Effect::ReportSilent(silent.clone())));
    node.handle(Event::Suspicion(NodeId(2), silent));
    assert!(node.claimed_version().is_some());
}

/// The reporting node may have changed its mind since, or be gone.
#[test]
fn a_report_that_is_not_repeated_no_longer_counts() {
    let mut node = Node::new("a");
    let silent = BTreeSet::from([backend(OLD)]);
    node.handle(Event::Suspicion(NodeId(2), silent.clone()));
    node.advance(3_100);
    node.observe(LeaderEvidence::Silent);
    assert_eq!(node.claimed_version(), None);
    let reports = |node: &Node| {
        let report = Effect::ReportSilent(silent.clone());
        node.effects
            .iter()
            .filter(|effect| **effect == report)
            .count()
    };
    assert_eq!(reports(&node), 1);
    node.advance(1_100);
    assert_eq!(reports(&node), 2, "a report is repeated while it is true");
}

#[test]
fn a_silent_primary_that_answers_the_status_query_is_not_replaced() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Silent);
    let silent = BTreeSet::from([backend(OLD)]);
    node.handle(Event::Suspicion(NodeId(2), silent));
    node.handle(written(3));
    node.answer_from_both_replicas();
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.advance(500);
    assert!(node.promotions().is_empty());
}

#[test]
fn an_unanswered_promotion_is_retried_under_a_higher_token() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    node.handle(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    assert_eq!(node.claimed_version(), Some(record_version(7)));
    node.handle(written(9));
    node.answer_from_both_replicas();
    let tokens: Vec<_> = node
        .promotions()
        .into_iter()
        .map(|(_, token)| token)
        .collect();
    assert_eq!(tokens, [FencingToken(7), FencingToken(9)]);
}

#[test]
fn an_unanswered_promotion_is_fenced_by_promoting_the_current_leader() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    node.handle(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Unknown,
    ));
    node.handle(written(9));
    node.handle(Event::StatusReply(
        backend(AHEAD),
        status(BackendRole::Primary, 2, 50),
    ));
    node.handle(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 2, 50),
    ));
    assert_eq!(
        node.promotions().last(),
        Some(&(backend(AHEAD), FencingToken(9)))
    );
}

#[test]
fn a_node_that_was_paused_after_its_claim_promotes_nothing() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.now = node.now + Duration::from_secs(4);
    node.answer_from_both_replicas();
    assert!(node.promotions().is_empty());
}

#[test]
fn a_leaving_primary_is_replaced_and_a_leaving_replica_not_chosen() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_leaving = true;
    group.members.get_mut(&backend(AHEAD)).unwrap().is_leaving = true;
    node.set_group(group);
    node.handle(written(4));
    node.handle(Event::StatusReply(
        backend(OLD),
        status(BackendRole::Primary, 1, 60),
    ));
    node.answer_from_both_replicas();
    node.advance(400);
    assert_eq!(node.promotions(), [(backend(BEHIND), FencingToken(4))]);
}

#[test]
fn an_unlisted_primary_is_replaced_after_a_delay() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.members.get_mut(&backend(OLD)).unwrap().is_listed = false;
    node.set_group(group);
    node.advance(1_000);
    assert_eq!(node.claimed_version(), None);
    node.advance(1_000);
    assert!(node.claimed_version().is_some());
}

/// While the store is unavailable entries expire; they are back within two seconds of its return.
#[test]
fn a_primary_whose_entry_expired_with_others_is_not_replaced_at_once() {
    let mut node = Node::new("a");
    let listed = |names: &[&str]| {
        let mut group = usual_group();
        for (id, member) in &mut group.members {
            member.is_listed = names.contains(&id.as_str());
        }
        group
    };
    node.set_group(listed(&[]));
    node.advance(100);
    node.set_group(listed(&[BEHIND]));
    node.advance(1_900);
    assert_eq!(node.claimed_version(), None);
    node.advance(700);
    assert!(
        node.claimed_version().is_some(),
        "still missing after the grace period"
    );
}

#[test]
fn synchronous_replicas_are_held_before_the_query_and_released_after_the_promotion() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    assert!(
        node.promotions().is_empty(),
        "the replicas are not on hold yet"
    );
    let holds = node
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Hold(..)));
    assert_eq!(holds.count(), 2);
    node.answer_from_both_replicas();
    node.handle(Event::Promotion(
        service(),
        FencingToken(7),
        PromotionOutcome::Accepted,
    ));
    node.advance(500);
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

/// A replica that joins while the others are on hold would let the old primary acknowledge commits
/// again.
#[test]
fn a_replica_that_joins_during_a_failover_is_put_on_hold() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group.clone());
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    node.answer_from_both_replicas();
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
fn nothing_is_promoted_while_a_synchronous_replica_has_not_answered() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    node.handle(Event::StatusReply(
        backend(BEHIND),
        status(BackendRole::Replica, 1, 40),
    ));
    node.advance(500);
    assert!(
        node.promotions().is_empty(),
        "the other replica may hold an acknowledged commit"
    );
}

#[test]
fn every_step_is_logged() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    node.handle(Event::Promotion(
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
fn an_unanswered_promotion_is_fenced_after_a_store_outage() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.answer_from_both_replicas();
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.handle(unknown);
    node.handle(Event::RecordFailed(service()));
    // The primary is back, so that nothing else would start an attempt.
    node.observe(LeaderEvidence::Answered);
    node.effects.clear();
    node.advance(500);
    assert_eq!(node.claimed_version(), Some(record_version(7)));
    node.handle(written(9));
    let leads = status(BackendRole::Primary, 1, 60);
    node.handle(Event::StatusReply(backend(OLD), leads));
    node.answer_from_both_replicas();
    node.advance(400);
    assert_eq!(node.promotions(), [(backend(OLD), FencingToken(9))]);
}

/// Guards against the loss of a commit that a replica received after it had restarted, which ends its hold.
#[test]
fn replicas_are_put_on_hold_again_after_an_unanswered_promotion() {
    let mut node = Node::new("a");
    let mut group = usual_group();
    group.synchronous_replicas = 1;
    node.set_group(group);
    node.claim_after_refusal(7);
    // The second answers are those of replicas on hold.
    node.answer_from_both_replicas();
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
    let outcome = PromotionOutcome::Unknown;
    node.handle(Event::Promotion(service(), FencingToken(7), outcome));
    node.effects.clear();
    node.handle(written(8));
    node.answer_from_both_replicas();
    let held = node.effects.iter().filter_map(|effect| match effect {
        Effect::Hold(id, _) => Some(id.clone()),
        _ => None,
    });
    let held: BTreeSet<_> = held.collect();
    assert_eq!(held, BTreeSet::from([backend(BEHIND), backend(AHEAD)]));
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(8))]);
}

/// Nodes withhold commits of synchronous services while a promotion is unanswered, so they must know of it.
#[test]
fn promotions_of_synchronous_services_are_announced() {
    let announces = |synchronous_replicas| {
        let mut node = Node::new("a");
        let mut group = usual_group();
        group.synchronous_replicas = synchronous_replicas;
        node.set_group(group);
        node.claim_after_refusal(7);
        node.answer_from_both_replicas();
        node.answer_from_both_replicas();
        assert_eq!(node.promotions().len(), 1, "{:?}", node.effects);
        let announced = |effect: &Effect| matches!(effect, Effect::AnnouncePromotion(..));
        node.effects.iter().any(announced)
    };
    assert!(announces(1));
    assert!(!announces(0), "nobody withholds anything");
}
