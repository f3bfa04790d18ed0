//! Runs seeds of a mix of close faults on several threads, and prints the seeds that violate an invariant.
//!
//! Usage: `cargo run --release --example mixes -- MIX FROM TO THREADS [verbose]`. With `verbose`, the faults,
//! decisions and violations of each seed are printed as well. Exits with 1 if any seed violates an invariant.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use stairward_simulation::{Invariant, Mix, Report, simulate};

/// What all seeds together showed.
#[derive(Debug, Default)]
struct Totals {
    broken: u64,
    promotions: u64,
    lost: u64,
}

struct Arguments {
    mix: Mix,
    seeds: std::ops::RangeInclusive<u64>,
    threads: usize,
    is_verbose: bool,
}

fn arguments() -> Option<Arguments> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| given.get(index)?.parse::<u64>().ok();
    Some(Arguments {
        mix: Mix::named(given.first()?)?,
        seeds: number(1)?..=number(2)?,
        threads: usize::try_from(number(3)?).ok()?,
        is_verbose: given.len() > 4,
    })
}

fn print_report(mix: Mix, seed: u64, report: &Report, is_verbose: bool) {
    let mut violations = BTreeMap::<Invariant, usize>::new();
    for violation in &report.violations {
        *violations.entry(violation.invariant).or_default() += 1;
    }
    if !violations.is_empty() {
        println!("{} seed {seed}: {violations:?}", mix.name());
    }
    if is_verbose {
        let (faults, decisions) = (&report.faults, &report.decisions);
        println!("{faults:#?}\n{decisions:#?}\n{:#?}", report.violations);
    }
}

fn run_seeds(arguments: &Arguments, next: &AtomicU64, totals: &Mutex<Totals>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed > *arguments.seeds.end() {
            return;
        }
        let report = simulate(&arguments.mix.options(seed));
        print_report(arguments.mix, seed, &report, arguments.is_verbose);
        let mut totals = totals.lock().expect("no thread panics with the lock held");
        totals.broken += u64::from(!report.violations.is_empty());
        totals.promotions += report.promotions;
        totals.lost += report.acknowledged_then_lost;
    }
}

fn main() -> ExitCode {
    let Some(arguments) = arguments() else {
        let names = Mix::ALL.map(Mix::name).join(", ");
        eprintln!("usage: mixes MIX FROM TO THREADS [verbose], where MIX is one of {names}");
        return ExitCode::from(2);
    };
    let next = AtomicU64::new(*arguments.seeds.start());
    let totals = Mutex::new(Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| run_seeds(&arguments, &next, &totals));
        }
    });
    let totals = totals
        .into_inner()
        .expect("no thread panics with the lock held");
    println!(
        "{} {:?}: {} seeds with violations, {} promotions, {} acknowledged commits rolled back",
        arguments.mix.name(),
        arguments.seeds,
        totals.broken,
        totals.promotions,
        totals.lost
    );
    ExitCode::from(u8::from(totals.broken > 0))
}
