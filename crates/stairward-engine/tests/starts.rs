//! Back ends whose process restarts under the same id: knowledge of the previous process does not apply to
//! the new one.

mod support;

use std::time::Duration;

use stairward_engine::{BackendDescription, BackendEvidence, EngineOptions, StatementKind};
use stairward_types::{BackendRole, Freshness, Incarnation, ResultCode, StoreRevision};
use support::{Harness, LEADER_READS, NEAR_REPLICA, PRIMARY, at, backend, listed, usual_backends};

fn with_incarnations(times: [u64; 3]) -> Vec<BackendDescription> {
    let mut list = usual_backends();
    for (description, time) in list.iter_mut().zip(times) {
        description.incarnation = Some(Incarnation(time));
    }
    list
}

fn with_proof() -> Harness {
    let mut harness = Harness::new();
    harness.handle(listed(with_incarnations([1, 1, 1])));
    harness.prove_position(at(1, 5));
    harness.sent.clear();
    harness
}

#[test]
fn a_first_reported_incarnation_is_no_restart() {
    let harness = with_proof();
    assert!(harness.starts.is_empty());
}

#[test]
fn idle_connections_to_the_earlier_start_are_closed() {
    let mut harness = with_proof();
    let before: Vec<_> = harness.closed_connections.clone();
    harness.handle(listed(with_incarnations([1, 2, 1])));
    assert_eq!(harness.starts, [backend(NEAR_REPLICA)]);
    let closed = &harness.closed_connections[before.len()..];
    assert!(!closed.is_empty());
    for connection in closed {
        assert_eq!(harness.targets[connection].backend, backend(NEAR_REPLICA));
    }
}

#[test]
fn an_earlier_incarnation_is_a_restart_too() {
    let mut harness = with_proof();
    harness.handle(listed(with_incarnations([1, 1, 9])));
    harness.handle(listed(with_incarnations([1, 1, 3])));
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn leaving_of_the_previous_process_does_not_apply_to_the_new_one() {
    let mut harness = with_proof();
    let mut list = with_incarnations([1, 1, 1]);
    list[0].is_leaving = true;
    list[0].revision = StoreRevision::new(0, 7);
    harness.handle(listed(list.clone()));
    let limit = EngineOptions::default().leaving_limit.after_notice;
    harness.advance(limit + Duration::from_secs(1));
    // The new process leaves as well, with its own time limit.
    list[0].incarnation = Some(Incarnation(2));
    list[0].revision = StoreRevision::new(0, 8);
    harness.handle(listed(list));
    harness.prove_position(at(1, 5));
    harness.sent.clear();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent[0].backend.as_str(), PRIMARY);
}

#[test]
fn a_transaction_of_the_earlier_start_ends_with_its_connection() {
    let mut harness = with_proof();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 5));
    harness.handle(listed(with_incarnations([2, 1, 1])));
    harness.submit(session, StatementKind::Read);
    harness.drop_oldest();
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
}

/// Restarts the primary's process with this log position; its connections end.
fn restart_primary(harness: &mut Harness, position: Option<Freshness>) {
    match position {
        Some(position) => harness.positions.insert(backend(PRIMARY), position),
        None => harness.positions.remove(&backend(PRIMARY)),
    };
    let there: Vec<_> = harness
        .targets
        .iter()
        .filter(|(id, target)| {
            target.backend == backend(PRIMARY) && !harness.closed_connections.contains(id)
        })
        .map(|(id, _)| *id)
        .collect();
    for connection in there {
        harness.lose_connection(connection);
    }
}

fn is_written_at_primary(harness: &mut Harness) -> bool {
    harness.sent.clear();
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.advance(Duration::from_millis(50));
    harness
        .sent
        .iter()
        .any(|sent| sent.backend == backend(PRIMARY))
}

#[test]
fn a_primary_that_starts_again_with_its_log_leads() {
    for position in [at(1, 5), at(1, 6)] {
        let mut harness = with_proof();
        restart_primary(&mut harness, Some(position));
        assert!(is_written_at_primary(&mut harness));
        assert!(
            !harness
                .observed
                .contains(&(backend(PRIMARY), BackendEvidence::LostLog))
        );
    }
}

#[test]
fn a_primary_that_starts_again_without_its_log_does_not_lead_whether_it_says_so_or_not() {
    for position in [None, Some(at(0, 0)), Some(at(1, 0)), Some(at(1, 4))] {
        for list in [with_incarnations([1, 1, 1]), with_incarnations([2, 1, 1])] {
            let mut harness = with_proof();
            restart_primary(&mut harness, position);
            harness.handle(listed(list));
            assert!(!is_written_at_primary(&mut harness), "{position:?}");
            let lost = (backend(PRIMARY), BackendEvidence::LostLog);
            assert!(harness.observed.contains(&lost), "{position:?}");
        }
    }
}

#[test]
fn a_primary_that_lost_its_log_leads_again_after_a_promotion() {
    let mut harness = with_proof();
    restart_primary(&mut harness, None);
    harness.handle(listed(with_incarnations([2, 1, 1])));
    assert!(!is_written_at_primary(&mut harness));
    let mut list = with_incarnations([2, 1, 1]);
    list[0].role = BackendRole::Replica;
    list[0].revision = StoreRevision::new(0, 8);
    harness.handle(listed(list.clone()));
    list[0].role = BackendRole::Primary;
    list[0].revision = StoreRevision::new(0, 9);
    harness.positions.insert(backend(PRIMARY), at(2, 5));
    harness.handle(listed(list));
    assert!(is_written_at_primary(&mut harness));
}

/// Guards against the replacement of a healthy primary because its earlier process refused connections.
#[test]
fn what_was_observed_of_the_earlier_start_ends_with_it() {
    let mut harness = with_proof();
    harness.opens_automatically = false;
    restart_primary(&mut harness, Some(at(1, 5)));
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.refuse_openings();
    let refused = (backend(PRIMARY), BackendEvidence::Refused);
    assert!(
        harness.observed.contains(&refused),
        "{:?}",
        harness.observed
    );
    harness.observed.clear();
    harness.handle(listed(with_incarnations([2, 1, 1])));
    let answered = (backend(PRIMARY), BackendEvidence::Answered);
    assert!(
        harness.observed.contains(&answered),
        "{:?}",
        harness.observed
    );
}
