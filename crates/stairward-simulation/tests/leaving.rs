//! Requests reached a back end more than ten seconds after it had said that it leaves. Each node counted the time for
//! which it may use such a back end from when it heard of it, and a node that had started again since heard late: it used
//! the back end to the full once more, and counted as in touch again before it stopped. A node that was cut off from the
//! store, or stood still, did the same. It took a leaving back end that was still needed, which nodes take last: here all
//! copies leave.
//!
//! What settled it, from a node that was killed 4.8 s after the word: `event=407 name="BackendLeaving"
//! used_for_ms=7000` without an age 5.4 s after the word, `event=423 name="BackendLeft" sent=161 last_after_ms=6997` 12.4 s
//! after it, and a read that arrived 11,311 ms after it.

mod support;

use std::time::Duration;

use stairward_simulation::{BrokenVariant, FaultKind, Invariant, Options, simulate};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

/// A run in which back ends leave that are needed, while these faults make nodes hear of it late.
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
    assert!(checked > 0, "nothing was sent to a back end that leaves");
}

#[test]
fn a_node_that_started_after_the_word_sends_no_late_work() {
    assert_holds(FaultKind::NodeKill);
}

#[test]
fn a_node_that_was_cut_off_from_the_word_sends_no_late_work() {
    assert_holds(FaultKind::StorePartition);
}

#[test]
fn a_node_that_stood_still_sends_no_late_work() {
    assert_holds(FaultKind::NodePause);
}

#[test]
fn a_node_that_hears_of_nothing_that_leaves_is_caught() {
    let caught = SEEDS.into_iter().any(|seed| {
        let report = simulate(&Options {
            broken: Some(BrokenVariant::IgnoredLeaving),
            ..leaving(seed, &[FaultKind::NodeKill])
        });
        let mut violations = report.violations.iter();
        violations.any(|violation| violation.invariant == Invariant::Leaving)
    });
    assert!(caught);
}
