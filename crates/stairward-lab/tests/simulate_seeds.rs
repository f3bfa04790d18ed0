//! Seeds of the simulation in which a fault was found, run with all kinds of faults.
//!
//! A test that is still red is ignored here and listed in KNOWN-RED.txt; CI runs it and prints the
//! outcome.

use stairward_checker::Invariant;
use stairward_lab::simulate::{Options, simulate};

#[track_caller]
fn assert_holds(site: &str, seed: u64, invariant: Invariant) {
    let options = Options {
        site: site.to_owned(),
        seeds: seed..=seed,
        threads: 1,
        ..Options::default()
    };
    let summary = simulate(&options).expect("the simulation runs");
    assert_ne!(summary.checked_of(invariant), 0, "nothing was checked");
    assert_eq!(summary.violations_of(invariant), 0, "{}", summary.to_text());
}

/// With a slow store, settings were trusted so long that a back end got work more than 3 s after it
/// was marked as leaving.
#[test]
fn a_leaving_back_end_gets_no_work_while_the_store_is_slow() {
    assert_holds("lintas", 10, Invariant::LeavingGotWork);
}

/// A caller that left of its own accord in the middle of a transaction was counted as cut off.
#[test]
fn a_planned_stop_cuts_no_request_lintas_54() {
    assert_holds("lintas", 54, Invariant::StopCutRequest);
}
