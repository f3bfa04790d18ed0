//! Runs seeds in which old primaries keep running, and prints the injected faults, the failover decisions and
//! the first violations of each seed that has any.
//!
//! Usage: `cargo run --release --example run_seed -- FROM TO [close] [restores] [all]`. With `close`, faults
//! follow each other quickly; with `restores`, the store is also restored from older copies; with `all`, every
//! violation is printed.

use stairward_simulation::{FaultKind, Options, simulate};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| {
        let text = arguments.get(index);
        text.and_then(|text| text.parse().ok()).unwrap_or(1)
    };
    let has_argument = |option: &str| arguments.iter().any(|argument| argument == option);
    let (is_close, has_restores) = (has_argument("close"), has_argument("restores"));
    let (mut violations, mut promotions, mut lost) = (0, 0, 0);
    for seed in number(0)..=number(1) {
        let mut options = Options {
            old_primaries_keep_running: true,
            ..Options::new(seed)
        };
        if is_close {
            options.faults = FaultKind::ALL.to_vec();
            options.fault_count = 14;
            options.max_pause_ms = 1_500;
        }
        if has_restores {
            options.faults = FaultKind::with_restores();
        }
        let report = simulate(&options);
        promotions += report.promotions;
        lost += report.acknowledged_then_lost;
        if !report.violations.is_empty() {
            violations += report.violations.len();
            let shown = if has_argument("all") { usize::MAX } else { 2 };
            let shown: Vec<_> = report.violations.iter().take(shown).collect();
            println!(
                "seed {seed}: {:#?}\n{:#?}\n{shown:#?}",
                report.faults, report.decisions
            );
        }
    }
    println!(
        "{violations} violations, {promotions} promotions, {lost} acknowledged commits rolled back"
    );
}
