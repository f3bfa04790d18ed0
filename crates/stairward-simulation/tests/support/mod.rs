//! Support for tests: runs a seed that must hold all invariants.

use stairward_simulation::{Options, Report, simulate};

/// Runs a seed. Panics with the injected faults and failover decisions if an invariant is violated.
#[track_caller]
pub fn assert_holds(options: &Options) -> Report {
    let report = simulate(options);
    let first: Vec<_> = report.violations.iter().take(3).collect();
    assert!(
        first.is_empty(),
        "seed {}: {} violations, faults {:#?}, decisions {:#?}, first {first:#?}",
        options.seed,
        report.violations.len(),
        report.faults,
        report.decisions
    );
    report
}
