//! Runs a range of seeds with all kinds of faults and prints violations: `seeds FIRST LAST`.

use stairward_simulation::{Options, simulate};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        let argument = arguments.next();
        argument
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (first, last) = (number(1), number(200));
    let (mut violations, mut promotions, mut succeeded, mut failed) = (0, 0, 0, 0);
    for seed in first..=last {
        let report = simulate(&Options::new(seed));
        if let Some(violation) = report.violations.first() {
            println!("seed {seed}: {violation:?}, faults {:?}", report.faults);
        }
        violations += report.violations.len();
        promotions += report.promotions;
        succeeded += report.succeeded;
        failed += report.failed;
    }
    println!(
        "seeds {first}..{last}: {violations} violations, {promotions} promotions, {succeeded} statements succeeded, {failed} did not"
    );
}
