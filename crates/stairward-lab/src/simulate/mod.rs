//! The deterministic simulation: the proxies' decision code on a virtual clock, under faults, with
//! its history checked.
//!
//! One seed is one run. A run holds the site's callers, six proxies, three database groups and the
//! platform's store, and one event queue. The proxies' drivers here are thin: what they decide is
//! decided by the crates `stairward-routing`, `stairward-session`, `stairward-pool`,
//! `stairward-membership` and `stairward-settings`, the same as in service. The databases are the
//! groups of `stairward-standins`.

mod caller;
mod calls;
mod configuration;
mod control;
mod database;
mod delivery;
mod edge;
mod fault;
mod faults;
mod groups;
mod layout;
mod message;
mod metrics;
mod network;
mod operators;
mod options;
mod outbox;
mod owner;
mod policy;
mod process;
mod proxy;
mod queue;
mod random;
mod report;
mod run;
mod store;
mod traffic;
mod variant;
mod world;

use std::process::ExitCode;

pub use fault::{FaultKind, UnknownFault};
pub use options::{Options, OptionsError};
pub use policy::Policy;
pub use report::Summary;
pub use run::{SimulationError, simulate};
pub use variant::BrokenVariant;

use crate::command::{Command, EXIT_FAILURE, failure, usage_error};

/// `stairward-lab simulate`.
pub const COMMAND: Command = Command {
    name: "simulate",
    summary: "run the decision code on a virtual clock under faults",
    run,
};

fn run(arguments: lexopt::Parser) -> ExitCode {
    let options = match Options::parse(arguments) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error),
    };
    let summary = match simulate(&options) {
        Ok(summary) => summary,
        Err(error) => return failure(&error),
    };
    if options.json {
        match serde_json::to_string_pretty(&summary) {
            Ok(text) => println!("{text}"),
            Err(error) => return failure(&error),
        }
    } else {
        print!("{}", summary.to_text());
    }
    if let Some(broken) = options.broken {
        report_broken(broken, &summary);
    }
    if summary.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}

fn report_broken(broken: BrokenVariant, summary: &Summary) {
    let invariant = broken.invariant();
    let count = summary.violations_of(invariant);
    if count > 0 {
        eprintln!("--break {broken}: caught by {invariant}, {count} violations");
    } else {
        eprintln!("--break {broken}: NOT caught by {invariant}");
    }
}
