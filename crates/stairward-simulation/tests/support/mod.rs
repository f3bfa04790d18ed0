//! Running a seed that must hold.

use stairward_simulation::{Options, Report, simulate};

/// Runs a seed; fails with what struck and what the duty decided where anything is violated.
#[track_caller]
pub fn assert_holds(options: &Options) -> Report {
    let report = simulate(options);
    let first: Vec<_> = report.violations.iter().take(3).collect();
    assert!(
        first.is_empty(),
        "seed {}: {} violations, strikes {:#?}, decisions {:#?}, first {first:#?}",
        options.seed,
        report.violations.len(),
        report.faults,
        report.decisions
    );
    report
}
