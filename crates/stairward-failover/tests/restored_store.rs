//! The store is restored to an older state: records are lost or older, and their versions are
//! assigned again. Guards against two nodes promoting with the same fencing token, and against a
//! primary that is not replaced because the new tokens are too low.

use std::collections::BTreeMap;

use stairward_failover::{
    Effect, Event, FailoverRecord, FencingToken, LeaderEvidence, PromotionOutcome, RecordVersion,
};
use stairward_types::{StoreRevision, Term};

mod support;

use support::{AHEAD, Node, backend, record_of, service};

/// The lease in milliseconds.
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
fn tokens_increase_although_store_revisions_went_back() {
    let mut node = Node::new("a");
    let record = (in_era(0, 900), record_of("b"));
    node.handle(shown(0, Some(record)));
    node.handle(shown(1, None));
    node.observe(LeaderEvidence::Refused);
    node.advance(LEASE + 100);
    node.observe(LeaderEvidence::Refused);
    assert_eq!(
        node.claimed_version(),
        Some(RecordVersion::absent_in_era(1))
    );
    node.handle(written(in_era(1, 12), "a"));
    node.answer_from_both_replicas();
    let token = FencingToken(StoreRevision::new(1, 12).number());
    assert!(token > FencingToken(900));
    assert_eq!(node.promotions(), [(backend(AHEAD), token)]);
}

#[test]
fn a_holder_whose_record_was_lost_keeps_its_lease() {
    let mut node = Node::new("a");
    let record = (in_era(0, 900), record_of("b"));
    node.handle(shown(0, Some(record)));
    node.advance(LEASE + 100);
    node.handle(shown(1, None));
    node.observe(LeaderEvidence::Refused);
    node.advance(LEASE - 200);
    assert_eq!(node.claimed_version(), None);
    node.advance(400);
    assert_eq!(
        node.claimed_version(),
        Some(RecordVersion::absent_in_era(1))
    );
}

#[test]
fn a_node_started_after_the_loss_respects_the_lost_lease() {
    let mut node = Node::before_any_listing("a");
    node.handle(shown(3, None));
    node.observe(LeaderEvidence::Refused);
    assert_eq!(node.claimed_version(), None);
    node.advance(LEASE + 100);
    assert_eq!(
        node.claimed_version(),
        Some(RecordVersion::absent_in_era(3))
    );
}

#[test]
fn a_record_of_an_earlier_store_era_is_ignored() {
    let mut node = Node::new("a");
    node.handle(shown(1, None));
    node.advance(LEASE + 100);
    // A late answer, and a listing that was in progress.
    node.handle(Event::Record(
        service(),
        in_era(0, 950),
        Some(record_of("b")),
    ));
    node.handle(shown(0, Some((in_era(0, 950), record_of("b")))));
    node.observe(LeaderEvidence::Refused);
    assert_eq!(
        node.claimed_version(),
        Some(RecordVersion::absent_in_era(1))
    );
}

#[test]
fn an_old_record_in_a_restored_store_does_not_confirm_a_claim() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    assert!(node.claimed_version().is_some());
    node.handle(shown(1, Some((in_era(1, 7), record_of("a")))));
    node.answer_from_both_replicas();
    node.advance(500);
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

#[test]
fn a_late_answer_from_an_earlier_store_era_confirms_no_claim() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    node.handle(shown(1, None));
    node.handle(written(in_era(0, 7), "a"));
    node.answer_from_both_replicas();
    assert!(node.promotions().is_empty(), "{:?}", node.effects);
}

#[test]
fn a_holder_completes_a_failover_claimed_before_the_loss() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    node.handle(written(in_era(0, 7), "a"));
    node.handle(shown(1, None));
    node.answer_from_both_replicas();
    assert_eq!(node.promotions(), [(backend(AHEAD), FencingToken(7))]);
}

#[test]
fn an_unanswered_promotion_is_fenced_after_the_lost_lease_expires() {
    let mut node = Node::new("a");
    node.observe(LeaderEvidence::Refused);
    node.handle(written(in_era(0, 7), "a"));
    node.answer_from_both_replicas();
    node.handle(shown(1, None));
    node.effects.clear();
    let unknown = PromotionOutcome::Unknown;
    node.handle(Event::Promotion(service(), FencingToken(7), unknown));
    node.advance(LEASE - 200);
    assert_eq!(node.claimed_version(), None);
    node.advance(400);
    assert_eq!(
        node.claimed_version(),
        Some(RecordVersion::absent_in_era(1))
    );
}

#[test]
fn the_newest_recorded_term_survives_the_loss_of_its_record() {
    let mut node = Node::new("a");
    let recorded = FailoverRecord {
        term: Term(9),
        ..record_of("b")
    };
    node.handle(shown(0, Some((in_era(0, 900), recorded))));
    node.handle(shown(1, Some((in_era(1, 20), record_of("b")))));
    node.advance(LEASE + 100);
    node.observe(LeaderEvidence::Refused);
    let recorded = node.effects.iter().find_map(|effect| match effect {
        Effect::WriteRecord(_, _, record) => Some(record.term),
        _ => None,
    });
    assert_eq!(recorded, Some(Term(9)));
}
