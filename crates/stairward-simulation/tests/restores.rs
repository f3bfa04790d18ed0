//! Restores of the metadata store from older copies, combined with other faults: what a restore loses stays
//! in force at the nodes that knew it.

mod support;

use std::time::Duration;

use stairward_simulation::{FaultKind, Invariant, Options};
use support::assert_holds;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;

#[track_caller]
fn assert_checked(wanted: Invariant, options: impl Fn(u64) -> Options) {
    let checked = SEEDS.map(|seed| {
        let report = assert_holds(&options(seed));
        report.checked.get(&wanted).copied().unwrap_or(0)
    });
    assert!(checked.sum::<u64>() > 0, "{wanted:?} was not checked");
}

fn with_restores(seed: u64, faults: &[FaultKind]) -> Options {
    let restores = [FaultKind::StoreRestored; 3];
    Options {
        faults: faults.iter().copied().chain(restores).collect(),
        fault_count: 12,
        max_pause_ms: 3_000,
        duration: Duration::from_secs(20),
        ..Options::new(seed)
    }
}

#[test]
fn a_leaving_back_end_gets_no_late_work_after_the_store_lost_its_announcement() {
    assert_checked(Invariant::Leaving, |seed| Options {
        drain_limit: Duration::from_secs(10),
        ..with_restores(seed, &[FaultKind::GroupLeaves, FaultKind::NodeKill])
    });
}

#[test]
fn an_evacuated_zone_gets_no_late_work_after_the_store_lost_the_evacuation() {
    assert_checked(Invariant::ZoneEvacuation, |seed| {
        with_restores(seed, &[FaultKind::Evacuation, FaultKind::NodePause])
    });
}

/// Guards against two leaders: the record that names the promoted member was lost in the restore, its leader is missing
/// from discovery, and a node starts.
#[test]
fn a_node_that_starts_after_a_restore_confirms_no_replaced_leader() {
    assert_holds(&Options {
        faults: FaultKind::with_restores(),
        fault_count: 14,
        max_pause_ms: 1_500,
        old_primaries_keep_running: true,
        ..Options::new(1_810_333)
    });
}

/// Guards against two leaders: the holder of the failover lease is killed while a promotion is unanswered, and the record
/// that names it as pending is lost in a restore.
#[test]
fn a_pending_promotion_keeps_others_unconfirmed_after_its_record_is_lost() {
    assert_holds(&Options {
        faults: FaultKind::with_restores(),
        fault_count: 14,
        max_pause_ms: 1_500,
        old_primaries_keep_running: true,
        ..Options::new(3_100_602)
    });
}

#[test]
fn a_withdrawn_key_stays_withdrawn_after_the_store_lists_it_again() {
    assert_checked(Invariant::KeyRevocation, |seed| Options {
        tenants: 7,
        connections: 20,
        ..with_restores(seed, &[FaultKind::ConfigurationChange])
    });
}

#[test]
fn one_node_at_a_time_replaces_a_primary_after_its_record_is_lost() {
    let faults = [
        FaultKind::PrimaryCrash,
        FaultKind::PrimaryLeaves,
        FaultKind::PrimaryIsolated,
        FaultKind::NodeKill,
        FaultKind::StoreResponseLost,
        FaultKind::DelayedPromotion,
        FaultKind::StorePartition,
    ];
    for old_primaries_keep_running in [false, true] {
        assert_checked(Invariant::SingleRecordWriter, |seed| Options {
            old_primaries_keep_running,
            ..with_restores(seed, &faults)
        });
    }
}

#[test]
fn synchronous_commits_are_kept_after_records_are_lost() {
    let faults = [FaultKind::PrimaryCrash, FaultKind::PrimaryIsolated];
    assert_checked(Invariant::Kept, |seed| Options {
        synchronous_replicas: 1,
        ..with_restores(seed, &faults)
    });
}
