//! Failover records: who may act on a service, when, and what counts as the answer to a claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_failover::{
    Effect, Event, FailoverController, FailoverOptions, FencingToken, GroupState, LeaderEvidence,
    PromotionOutcome,
};
use stairward_types::{ServiceName, Time};

mod support;

use support::{
    AHEAD, Node, OLD, backend, record_of, record_version, service, usual_group, written,
};

#[test]
fn nothing_is_promoted_before_the_record_is_written() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    node.answer_from_both_replicas();
    node.handle(Event::RecordFailed(service()));
    node.answer_from_both_replicas();
    assert!(node.promotions().is_empty());
}

#[test]
fn a_node_waits_while_another_holds_the_lease() {
    let mut node = Node::new("a");
    let record = record_of("b");
    node.handle(Event::Record(service(), record_version(5), Some(record)));
    node.observe(LeaderEvidence::Refused);
    node.advance(2_500);
    assert_eq!(node.claimed_version(), None);
    node.advance(600);
    assert_eq!(
        node.claimed_version(),
        Some(record_version(5)),
        "the lease has expired"
    );
}

#[test]
fn a_node_that_loses_the_race_for_the_record_promotes_nothing() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    let record = record_of("b");
    node.handle(Event::Record(service(), record_version(5), Some(record)));
    node.handle(Event::RecordFailed(service()));
    node.answer_from_both_replicas();
    node.advance(1_000);
    assert!(node.promotions().is_empty());
}

/// Guards against all nodes of a fleet writing the record at once, where all but one are refused.
#[test]
fn claims_of_a_large_fleet_are_spread_over_time() {
    let tries_after = |milliseconds: u64| {
        let tries = (0..400).filter(|number| {
            let mut node = Node::new(&format!("node-{number}"));
            node.handle(Event::NodeCount(400));
            node.handle(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
            let end = node.now + Duration::from_millis(milliseconds);
            while node.now < end {
                node.now = node.now + Duration::from_millis(50);
                node.handle(Event::Tick);
            }
            let wrote = |effect: &Effect| matches!(effect, Effect::WriteRecord(..));
            node.effects.iter().any(wrote)
        });
        tries.count()
    };
    assert!((1..=8).contains(&tries_after(0)), "{}", tries_after(0));
    let soon = tries_after(500);
    assert!((4..=30).contains(&soon), "{soon}");
    assert_eq!(
        tries_after(2_000),
        400,
        "every node claims while no claim succeeds"
    );
}

fn other_service() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

/// A group like the usual one whose members have other names.
fn other_group() -> GroupState {
    let usual = usual_group();
    let members = usual.members.into_iter();
    let renamed = members.map(|(id, member)| (backend(&format!("billing-{id}")), member));
    GroupState {
        members: renamed.collect(),
        synchronous_replicas: usual.synchronous_replicas,
    }
}

fn node_of_two_services() -> Node {
    let mut node = Node::new("a");
    let groups = BTreeMap::from([(service(), usual_group()), (other_service(), other_group())]);
    node.handle(Event::Groups(groups));
    node
}

/// The loss of a rack takes the primaries of several services at once.
#[test]
fn primaries_of_two_services_are_replaced_in_parallel() {
    let mut node = node_of_two_services();
    node.observe(LeaderEvidence::Refused);
    let other_old = backend(&format!("billing-{OLD}"));
    node.handle(Event::Evidence(other_old, LeaderEvidence::Refused));
    let claimed: BTreeSet<_> = node
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::WriteRecord(service, version, _) => Some((service.clone(), *version)),
            _ => None,
        })
        .collect();
    let first = record_version(0);
    assert_eq!(
        claimed,
        BTreeSet::from([(service(), first), (other_service(), first)]),
        "neither claim waits for the answer to the other"
    );
}

#[test]
fn a_service_that_another_node_acts_on_delays_no_other_service() {
    let mut node = node_of_two_services();
    let record = record_of("b");
    node.handle(Event::Record(
        other_service(),
        record_version(5),
        Some(record),
    ));
    node.observe(LeaderEvidence::Refused);
    assert_eq!(node.claimed_version(), Some(record_version(0)));
}

#[test]
fn nothing_is_claimed_before_the_records_are_listed() {
    let mut controller = FailoverController::new(FailoverOptions::new("a"));
    let now = Time::from_millis(60_000);
    let groups = BTreeMap::from([(service(), usual_group())]);
    controller.handle(now, Event::Groups(groups));
    let refused = Event::Evidence(backend(OLD), LeaderEvidence::Refused);
    let effects = controller.handle(now, refused);
    let claims = |effect: &Effect| matches!(effect, Effect::WriteRecord(..));
    assert!(!effects.iter().any(claims));
}

/// A late answer to an abandoned claim must not count for the next attempt.
#[test]
fn a_failed_write_other_than_the_claim_does_not_end_the_attempt() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.handle(Event::RecordFailed(service()));
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

/// A store whose answer is lost still shows the record to those who watch it.
#[test]
fn a_claim_with_a_lost_answer_is_confirmed_by_the_watched_record() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    let own = record_of("a");
    let shown = || {
        let records = BTreeMap::from([(service(), (record_version(7), own.clone()))]);
        Event::Records { era: 0, records }
    };
    node.handle(shown());
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
    // A record that is seen again, or a late answer, is not a second claim.
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.handle(unknown);
    node.effects.clear();
    node.handle(shown());
    node.handle(written(7));
    node.answer_from_both_replicas();
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Guards against a burst of writes when a lease expires: ten of 295 nodes wrote at that moment.
#[test]
fn nodes_waiting_for_a_lease_to_expire_spread_their_claims() {
    let tries = (0..400).filter(|number| {
        let mut node = Node::new(&format!("node-{number}"));
        node.handle(Event::NodeCount(400));
        let record = record_of("other");
        node.handle(Event::Record(service(), record_version(5), Some(record)));
        node.observe(LeaderEvidence::Refused);
        node.advance(3_010);
        node.claimed_version().is_some()
    });
    let tries = tries.count();
    assert!((1..=8).contains(&tries), "{tries}");
}
