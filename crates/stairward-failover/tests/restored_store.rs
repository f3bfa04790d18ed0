//! The store comes back from an older copy: records are gone or older, and their versions are given out again. Two nodes
//! promoted with the same fencing token, and a primary lost after that was not replaced since the tokens were too low.

use std::collections::BTreeMap;

use stairward_failover::{
    Effect, Event, FailoverRecord, FencingToken, LeaderEvidence, PromotionOutcome, RecordVersion,
};
use stairward_types::{StoreRevision, Term};

mod support;

use support::{AHEAD, Node, backend, record_of, service};

/// Milliseconds of a lease.
const LEASE: u64 = 3_000;

fn in_era(era: u64, revision: u64) -> RecordVersion {
    RecordVersion(StoreRevision::new(era, revision))
}

fn shown(era: u64, record: Option<(RecordVersion, FailoverRecord)>) -> Event {
    let records = record.map(|record| (service(), record));
    let records: BTreeMap<_, _> = records.into_iter().collect();
    Event::Records { era, records }
}

fn written(version: RecordVersion, holder: &str) -> Event {
    Event::RecordWritten(service(), version, record_of(holder))
}

#[test]
fn a_token_rises_although_the_stores_revisions_went_back() {
    let mut node = Node::new("a");
    let record = (in_era(0, 900), record_of("b"));
    node.tell(shown(0, Some(record)));
    node.tell(shown(1, None));
    node.see(LeaderEvidence::Refused);
    node.pass(LEASE + 100);
    node.see(LeaderEvidence::Refused);
    assert_eq!(node.claim(), Some(RecordVersion::absent_in_era(1)));
    node.tell(written(in_era(1, 12), "a"));
    node.answer_both();
    let token = FencingToken(StoreRevision::new(1, 12).number());
    assert!(token > FencingToken(900));
    assert_eq!(node.promotions(), [(backend(AHEAD), token)]);
}

#[test]
fn a_holder_whose_record_is_lost_is_left_its_lease() {
    let mut node = Node::new("a");
    let record = (in_era(0, 900), record_of("b"));
    node.tell(shown(0, Some(record)));
    node.pass(LEASE + 100);
    node.tell(shown(1, None));
    node.see(LeaderEvidence::Refused);
    node.pass(LEASE - 200);
    assert_eq!(node.claim(), None);
    node.pass(400);
    assert_eq!(node.claim(), Some(RecordVersion::absent_in_era(1)));
}

#[test]
fn a_node_that_starts_after_the_loss_leaves_the_holder_its_lease_too() {
    let mut node = Node::before_any_listing("a");
    node.tell(shown(3, None));
    node.see(LeaderEvidence::Refused);
    assert_eq!(node.claim(), None);
    node.pass(LEASE + 100);
    assert_eq!(node.claim(), Some(RecordVersion::absent_in_era(3)));
}

#[test]
fn a_record_of_the_copy_that_is_gone_is_not_believed_again() {
    let mut node = Node::new("a");
    node.tell(shown(1, None));
    node.pass(LEASE + 100);
    // A late word, and a listing that was under way.
    node.tell(Event::Record(
        service(),
        in_era(0, 950),
        Some(record_of("b")),
    ));
    node.tell(shown(0, Some((in_era(0, 950), record_of("b")))));
    node.see(LeaderEvidence::Refused);
    assert_eq!(node.claim(), Some(RecordVersion::absent_in_era(1)));
}

#[test]
fn an_own_record_that_a_restored_store_shows_is_no_answer_to_a_claim() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    assert!(node.claim().is_some());
    node.tell(shown(1, Some((in_era(1, 7), record_of("a")))));
    node.answer_both();
    node.pass(500);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

#[test]
fn a_claim_that_the_copy_that_is_gone_answers_late_is_none() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    node.tell(shown(1, None));
    node.tell(written(in_era(0, 7), "a"));
    node.answer_both();
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

#[test]
fn a_holder_goes_on_with_what_it_had_claimed_before_the_loss() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    node.tell(written(in_era(0, 7), "a"));
    node.tell(shown(1, None));
    node.answer_both();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn a_promotion_without_an_answer_is_fenced_off_after_the_lost_leases() {
    let mut node = Node::new("a");
    node.see(LeaderEvidence::Refused);
    node.tell(written(in_era(0, 7), "a"));
    node.answer_both();
    node.tell(shown(1, None));
    node.effects.clear();
    let unknown = PromotionOutcome::Unknown;
    node.tell(Event::Promotion(service(), FencingToken(7), unknown));
    node.pass(LEASE - 200);
    assert_eq!(node.claim(), None);
    node.pass(400);
    assert_eq!(node.claim(), Some(RecordVersion::absent_in_era(1)));
}

#[test]
fn the_newest_noted_term_outlasts_the_record() {
    let mut node = Node::new("a");
    let noted = FailoverRecord {
        term: Term(9),
        ..record_of("b")
    };
    node.tell(shown(0, Some((in_era(0, 900), noted))));
    node.tell(shown(1, Some((in_era(1, 20), record_of("b")))));
    node.pass(LEASE + 100);
    node.see(LeaderEvidence::Refused);
    let noted = node.effects.iter().find_map(|effect| match effect {
        Effect::WriteRecord(_, _, record) => Some(record.term),
        _ => None,
    });
    assert_eq!(noted, Some(Term(9)));
}
