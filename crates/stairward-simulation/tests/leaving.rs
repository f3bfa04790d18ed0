//! Guards against requests that reach a back end more than ten seconds after it announced that it is leaving.
//! Each node counted the time for which it may use such a back end from when it learned of the announcement.
//! A node that restarted, was partitioned from the store or was paused learned of it late: it used the back
//! end for the full time again, and counted as connected again before it stopped. Only leaving back ends that
//! are still needed are affected, because nodes use leaving back ends last; in these runs all databases of
//! the group leave.
//!
//! In the run that showed the cause, a node was killed 4.8 s after the announcement. It logged `event=407
//! name="BackendLeaving" used_for_ms=7000` without an age 5.4 s after the announcement, and `event=423
//! name="BackendLeft" sent=161 last_after_ms=6997` 12.4 s after it. A read arrived 11,311 ms after it.

mod support;

use std::time::Duration;

use stairward_simulation::{BrokenVariant, FaultKind, Invariant, Options, simulate};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

/// A run in which all databases leave, while these faults delay how nodes learn of it.
fn leaving(seed: u64, faults: &[FaultKind]) -> Options {
    let leaves = [FaultKind::GroupLeaves; 2];
    Options {
        faults: leaves.into_iter().chain(faults.iter().copied()).collect(),
        fault_count: 10,
        max_pause_ms: 3_000,
        duration: Duration::from_secs(30),
        drain_limit: Duration::from_secs(10),
        ..Options::new(seed)
    }
}

#[track_caller]
fn assert_holds(fault: FaultKind) {
    let mut checked = 0;
    for seed in SEEDS {
        let report = support::assert_holds(&leaving(seed, &[fault; 4]));
        checked += report.checked.get(&Invariant::Leaving).unwrap_or(&0);
    }
    assert!(checked > 0, "nothing was sent to a leaving back end");
}

#[test]
fn a_node_started_after_the_announcement_sends_no_late_work() {
    assert_holds(FaultKind::NodeKill);
}

#[test]
fn a_node_partitioned_during_the_announcement_sends_no_late_work() {
    assert_holds(FaultKind::StorePartition);
}

#[test]
fn a_node_paused_during_the_announcement_sends_no_late_work() {
    assert_holds(FaultKind::NodePause);
}

#[test]
fn a_node_that_ignores_leaving_back_ends_is_detected() {
    let detected = SEEDS.into_iter().any(|seed| {
        let report = simulate(&Options {
            broken: Some(BrokenVariant::IgnoredLeaving),
            ..leaving(seed, &[FaultKind::NodeKill])
        });
        let mut violations = report.violations.iter();
        violations.any(|violation| violation.invariant == Invariant::Leaving)
    });
    assert!(detected);
}
