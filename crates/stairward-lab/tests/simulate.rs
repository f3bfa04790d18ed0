//! The simulation is repeatable, clean without a broken decision, and catches broken ones.

use std::time::Duration;

use stairward_checker::Invariant;
use stairward_lab::simulate::{BrokenVariant, FaultKind, Options, simulate};

fn options(seed: u64, faults: &[FaultKind]) -> Options {
    Options {
        seeds: seed..=seed,
        faults: faults.to_vec(),
        load_time: Duration::from_secs(4),
        threads: 1,
        ..Options::default()
    }
}

fn broken(variant: BrokenVariant, seed: u64, faults: &[FaultKind]) -> Options {
    Options {
        broken: Some(variant),
        ..options(seed, faults)
    }
}

#[track_caller]
fn assert_caught(options: &Options) {
    let invariant = options.broken.unwrap().invariant();
    let summary = simulate(options).unwrap();
    assert!(!summary.is_clean());
    assert_ne!(summary.violations_of(invariant), 0, "{}", summary.to_text());
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let options = options(5, &[FaultKind::ProxyKill, FaultKind::PrimaryCutoff]);
    let first = serde_json::to_string(&simulate(&options).unwrap()).unwrap();
    let second = serde_json::to_string(&simulate(&options).unwrap()).unwrap();
    assert_eq!(first, second);
}

#[test]
fn a_run_without_faults_is_clean_and_checks_something() {
    let summary = simulate(&options(1, &[])).unwrap();
    assert!(summary.is_clean(), "{}", summary.to_text());
    for invariant in [
        Invariant::OwnReads,
        Invariant::ReplacedPrimaryAck,
        Invariant::MixedTransactions,
        Invariant::ForeignAnswer,
        Invariant::RanTwice,
        Invariant::ConfigurationReverted,
    ] {
        assert_ne!(summary.checked_of(invariant), 0, "{invariant}");
    }
}

#[test]
fn a_read_below_the_floor_is_caught() {
    assert_caught(&broken(BrokenVariant::Floor, 1, &[]));
}

#[test]
fn answers_matched_by_arrival_are_caught() {
    assert_caught(&broken(BrokenVariant::Multiplex, 1, &[]));
}

#[test]
fn a_revision_that_goes_back_is_caught() {
    let faults = [FaultKind::RacingEdits];
    assert_caught(&Options {
        seeds: 1..=3,
        load_time: Duration::from_secs(6),
        threads: 3,
        ..broken(BrokenVariant::Revision, 1, &faults)
    });
}

#[test]
fn an_acknowledgement_without_proof_is_caught() {
    let faults = [FaultKind::PrimaryCutoff];
    assert_caught(&Options {
        seeds: 1..=4,
        load_time: Duration::from_secs(10),
        threads: 4,
        ..broken(BrokenVariant::Fence, 1, &faults)
    });
}

#[test]
fn work_for_a_leaving_back_end_is_caught() {
    let faults = [FaultKind::BackendLeaving];
    assert_caught(&Options {
        seeds: 1..=2,
        load_time: Duration::from_secs(12),
        threads: 2,
        ..broken(BrokenVariant::Leaving, 1, &faults)
    });
}

#[test]
fn a_planned_stop_that_exits_at_once_is_caught() {
    let faults = [FaultKind::PlannedStop];
    assert_caught(&Options {
        seeds: 1..=4,
        load_time: Duration::from_secs(8),
        threads: 4,
        ..broken(BrokenVariant::Drain, 1, &faults)
    });
}

#[test]
fn a_connection_returned_in_a_transaction_is_caught() {
    assert_caught(&Options {
        seeds: 1..=6,
        load_time: Duration::from_secs(8),
        threads: 6,
        ..broken(BrokenVariant::PoolReset, 1, &[])
    });
}

#[test]
fn a_request_sent_again_after_an_unknown_outcome_is_caught() {
    let faults = [FaultKind::PrimaryCutoff, FaultKind::ProxyKill];
    assert_caught(&Options {
        seeds: 1..=6,
        load_time: Duration::from_secs(8),
        threads: 6,
        ..broken(BrokenVariant::Retry, 1, &faults)
    });
}
