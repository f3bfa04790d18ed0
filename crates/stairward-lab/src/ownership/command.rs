//! `stairward-lab ownership`.

use std::process::ExitCode;
use std::time::Instant;

use lexopt::prelude::*;
use serde::Serialize;

use super::fault::Fault;
use super::report::{OwnershipOptions, OwnershipReport, simulate};
use crate::command::{Command, EXIT_FAILURE, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;

const HELP: &str = "\
Usage: stairward-lab ownership [OPTIONS]

Simulates who holds the connections of back ends, on a virtual clock, with the real lease and the
real ranking, and prints what was measured as JSON. The same seed prints the same bytes; the real
time taken goes to standard error.

Options:
  --nodes N      nodes in the fleet, at least 7 [default: 100]
  --backends M   back ends, at least 1 [default: 300]
  --seed N       seed of the run [default: 1]
  --fault NAME   none, node-loss, zone-loss, pause or partition [default: node-loss]
  --json         print JSON, which is the only format
  -h, --help     this text

Exit codes: 0 done, 1 a limit was exceeded, 2 the command line is wrong.
";

/// One node per zone at least.
const MINIMUM_NODES: usize = 7;

/// Simulates the ownership of back ends.
pub const COMMAND: Command = Command {
    name: "ownership",
    summary: "simulate the ownership of back ends",
    run: run_command,
};

/// The result of `ownership`.
#[derive(Debug, Serialize)]
struct OwnershipResult {
    provenance: Provenance,
    fault: String,
    #[serde(flatten)]
    report: OwnershipReport,
}

struct Arguments {
    options: OwnershipOptions,
    fault_text: String,
    help: bool,
}

fn run_command(parser: lexopt::Parser) -> ExitCode {
    match parse(parser) {
        Ok(arguments) if arguments.help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(arguments) if arguments.options.nodes < MINIMUM_NODES => {
            usage_error(&format!("a fleet has at least {MINIMUM_NODES} nodes"))
        }
        Ok(arguments) if arguments.options.backends == 0 => {
            usage_error(&"there is at least one back end")
        }
        Ok(arguments) => run(&arguments),
        Err(error) => usage_error(&error),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        options: OwnershipOptions {
            nodes: 100,
            backends: 300,
            seed: 1,
            fault: Fault::NodeLoss,
            weakness: None,
        },
        fault_text: "node-loss".to_owned(),
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => arguments.options.nodes = parser.value()?.parse()?,
            Long("backends") => arguments.options.backends = parser.value()?.parse()?,
            Long("seed") => arguments.options.seed = parser.value()?.parse()?,
            Long("fault") => {
                arguments.fault_text = parser.value()?.string()?;
                arguments.options.fault = arguments
                    .fault_text
                    .parse()
                    .map_err(|error| lexopt::Error::Custom(Box::new(error)))?;
            }
            Long("json") => {}
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run(arguments: &Arguments) -> ExitCode {
    let started = Instant::now();
    let result = OwnershipResult {
        provenance: Provenance::of_this_process(Some(arguments.options.seed)),
        fault: arguments.fault_text.clone(),
        report: simulate(&arguments.options),
    };
    eprintln!("took {:.1} s", started.elapsed().as_secs_f64());
    let kept_limits = result.report.limit_exceeded == 0;
    let code = write_json(&result, None);
    if kept_limits {
        code
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}
