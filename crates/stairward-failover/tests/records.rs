//! The services' records: who may act on a service, when, and what counts as the answer to a claim.

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
    node.see(LeaderEvidence::Refused);
    node.answer_both();
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    assert!(node.promotions().is_empty());
}

#[test]
fn while_another_holds_the_duty_this_node_waits() {
    let mut node = Node::new("a");
    let record = record_of("b");
    node.tell(Event::Record(service(), record_version(5), Some(record)));
    node.see(LeaderEvidence::Refused);
    node.pass(2_500);
    assert_eq!(node.claim(), None);
    node.pass(600);
    assert_eq!(
        node.claim(),
        Some(record_version(5)),
        "the lease has lapsed"
    );
}

#[test]
fn a_lost_race_for_the_record_is_a_lost_race() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    let record = record_of("b");
    node.tell(Event::Record(service(), record_version(5), Some(record)));
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    node.pass(1_000);
    assert!(node.promotions().is_empty());
}

/// In a fleet all nodes wrote the record at once, and all but one were refused.
#[test]
fn few_of_many_nodes_try_at_once_and_more_with_time() {
    let tries_after = |milliseconds: u64| {
        let tries = (0..400).filter(|number| {
            let mut node = Node::new(&format!("node-{number}"));
            node.tell(Event::NodeCount(400));
            node.tell(Event::Evidence(backend(OLD), LeaderEvidence::Refused));
            let end = node.now + Duration::from_millis(milliseconds);
            while node.now < end {
                node.now = node.now + Duration::from_millis(50);
                node.tell(Event::Tick);
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
        "if nobody gets it, everybody tries"
    );
}

fn other_service() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

/// A group like the usual one, of members with other names.
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
    node.tell(Event::Groups(groups));
    node
}

/// A rack's loss takes the primaries of several services at once.
#[test]
fn primaries_of_two_services_are_replaced_side_by_side() {
    let mut node = node_of_two_services();
    node.see(LeaderEvidence::Refused);
    let other_old = backend(&format!("billing-{OLD}"));
    node.tell(Event::Evidence(other_old, LeaderEvidence::Refused));
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
        "neither claim waits for the other's answer"
    );
}

#[test]
fn a_service_that_another_node_acts_on_delays_no_other_service() {
    let mut node = node_of_two_services();
    let record = record_of("b");
    node.tell(Event::Record(
        other_service(),
        record_version(5),
        Some(record),
    ));
    node.see(LeaderEvidence::Refused);
    assert_eq!(node.claim(), Some(record_version(0)));
}

#[test]
fn nothing_is_claimed_before_the_store_has_shown_the_records() {
    let mut duty = FailoverController::new(FailoverOptions::new("a"));
    let now = Time::from_millis(60_000);
    let groups = BTreeMap::from([(service(), usual_group())]);
    duty.handle(now, Event::Groups(groups));
    let refused = Event::Evidence(backend(OLD), LeaderEvidence::Refused);
    let effects = duty.handle(now, refused);
    let claims = |effect: &Effect| matches!(effect, Effect::WriteRecord(..));
    assert!(!effects.iter().any(claims));
}

/// The answer to a claim that was given up is no claim of the attempt after it.
#[test]
fn a_failed_write_that_is_no_claim_ends_no_attempt() {
    let mut node = Node::new("a");
    node.claim_after_refusal(7);
    node.tell(Event::RecordFailed(service()));
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

/// A store that loses its answers still shows the record to those who watch it.
#[test]
fn a_claim_whose_answer_is_lost_is_seen_in_the_record() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    let own = record_of("a");
    let shown = || {
        let records = BTreeMap::from([(service(), (record_version(7), own.clone()))]);
        Event::Records { era: 0, records }
    };
    node.tell(shown());
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
    // What is seen again, or answered late, is no second claim.
    let unknown = Event::Promotion(service(), FencingToken(7), PromotionOutcome::Unknown);
    node.tell(unknown);
    node.effects.clear();
    node.tell(shown());
    node.tell(written(7));
    node.answer_both();
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

/// Ten of 295 nodes wrote at once in the moment in which a holder's lease lapsed.
#[test]
fn nodes_that_wait_for_a_lease_to_lapse_take_turns_then() {
    let tries = (0..400).filter(|number| {
        let mut node = Node::new(&format!("node-{number}"));
        node.tell(Event::NodeCount(400));
        let record = record_of("other");
        node.tell(Event::Record(service(), record_version(5), Some(record)));
        node.see(LeaderEvidence::Refused);
        node.pass(3_010);
        node.claim().is_some()
    });
    let tries = tries.count();
    assert!((1..=8).contains(&tries), "{tries}");
}
