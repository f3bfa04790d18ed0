//! `stairward-lab terms`: how fast a newer term known to one node reaches all.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use lexopt::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stairward_membership::{SwimConfig, TermUpdate};
use stairward_types::{BackendId, Duration, GroupId, Term, Time};

use super::fault::Action;
use super::fleet::{Fleet, FleetOptions, TermArrival};
use super::report::Percentiles;
use crate::command::{Command, EXIT_FAILURE, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;

const HELP: &str = "\
Usage: stairward-lab terms [OPTIONS]

Simulates a fleet in which nodes, one after another, learn of a group's newer term, and prints how
long each took to reach all others, as JSON. The same seed prints the same bytes.

Options:
  --nodes N      nodes in the fleet, at least 3 [default: 1400]
  --terms N      newer terms, half a second apart [default: 100]
  --loss PERCENT share of packets lost [default: 0]
  --seed N       seed of the run [default: 1]
  --json         print JSON, which is the only format
  -h, --help     this text

Exit codes: 0 done, 1 a term did not reach all nodes, 2 the command line is wrong.
";

const MINIMUM_NODES: usize = 3;
const WARM_UP: Duration = Duration::from_secs(5);
const TERM_INTERVAL: Duration = Duration::from_millis(500);
/// After the last term, so that it may spread.
const SETTLING: Duration = Duration::from_secs(10);

/// Measures the spread of terms.
pub const COMMAND: Command = Command {
    name: "terms",
    summary: "simulate the spread of newer terms",
    run: run_command,
};

struct Arguments {
    nodes: usize,
    terms: u64,
    loss_percent: f64,
    seed: u64,
    help: bool,
}

/// The result of `terms`.
#[derive(Debug, Serialize)]
struct TermsResult {
    provenance: Provenance,
    nodes: usize,
    terms: u64,
    loss_percent: f64,
    /// Until the last node knew.
    spread_s: Option<Percentiles>,
    /// For each node by itself.
    spread_each_s: Option<Percentiles>,
    /// Terms that did not reach all nodes.
    incomplete: usize,
}

fn run_command(parser: lexopt::Parser) -> ExitCode {
    match parse(parser) {
        Ok(arguments) if arguments.help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(arguments) if arguments.nodes < MINIMUM_NODES => {
            usage_error(&format!("a fleet has at least {MINIMUM_NODES} nodes"))
        }
        Ok(arguments) => run(&arguments),
        Err(error) => usage_error(&error),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        nodes: 1_400,
        terms: 100,
        loss_percent: 0.0,
        seed: 1,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => arguments.nodes = parser.value()?.parse()?,
            Long("terms") => arguments.terms = parser.value()?.parse()?,
            Long("loss") => arguments.loss_percent = parser.value()?.parse()?,
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("json") => {}
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run(arguments: &Arguments) -> ExitCode {
    let started = Instant::now();
    let result = measure(arguments);
    eprintln!("took {:.1} s", started.elapsed().as_secs_f64());
    let is_complete = result.incomplete == 0;
    let code = write_json(&result, None);
    if is_complete {
        code
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}

fn measure(arguments: &Arguments) -> TermsResult {
    let mut fleet = Fleet::formed(&FleetOptions {
        nodes: arguments.nodes,
        seed: arguments.seed,
        config: SwimConfig::default(),
    });
    fleet.plan(Time::ZERO, Action::Lose(arguments.loss_percent / 100.0));
    fleet.run_until(Time::ZERO + WARM_UP);
    let mut rng = ChaCha8Rng::seed_from_u64(arguments.seed.wrapping_add(2));
    let mut learnt_at = BTreeMap::new();
    for number in 1..=arguments.terms {
        let node = rng.random_range(0..arguments.nodes);
        learnt_at.insert(Term(number), fleet.now());
        fleet.learn_term(node, news(number));
        fleet.run_until(fleet.now() + TERM_INTERVAL);
    }
    fleet.run_until(fleet.now() + SETTLING);
    summarise(arguments, &learnt_at, &fleet.arrivals)
}

/// Each term is of another group, so that none overtakes another.
fn news(number: u64) -> TermUpdate {
    TermUpdate {
        group: GroupId::new(format!("group-{number}")).expect("a valid name"),
        term: Term(number),
        primary: BackendId::new(format!("group-{number}-primary")).expect("a valid name"),
    }
}

fn summarise(
    arguments: &Arguments,
    learnt_at: &BTreeMap<Term, Time>,
    arrivals: &[TermArrival],
) -> TermsResult {
    let mut by_term: BTreeMap<Term, Vec<Duration>> = BTreeMap::new();
    for arrival in arrivals {
        let term = arrival.news.term;
        let took = arrival.at.since(learnt_at[&term]);
        by_term.entry(term).or_default().push(took);
    }
    let others = arguments.nodes - 1;
    let complete: Vec<Duration> = by_term
        .values()
        .filter(|times| times.len() == others)
        .filter_map(|times| times.iter().max().copied())
        .collect();
    TermsResult {
        provenance: Provenance::of_this_process(Some(arguments.seed)),
        nodes: arguments.nodes,
        terms: arguments.terms,
        loss_percent: arguments.loss_percent,
        incomplete: learnt_at.len() - complete.len(),
        spread_s: Percentiles::of(complete),
        spread_each_s: Percentiles::of(by_term.into_values().flatten().collect()),
    }
}
