//! `stairward-lab configuration`.

use std::process::ExitCode;
use std::time::Instant;

use lexopt::prelude::*;
use serde::Serialize;

use super::fault::Fault;
use super::fleet::NodeVariant;
use super::report::{ConfigurationReport, RunOptions, simulate};
use super::tree::LARGEST_GROUPS;
use crate::command::{Command, EXIT_FAILURE, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;

const HELP: &str = "\
Usage: stairward-lab configuration [OPTIONS]

Simulates the spreading of settings through a fleet on a virtual clock and prints what was measured
as JSON. The same seed prints the same bytes; the real time taken goes to standard error.

Options:
  --nodes N      nodes in the fleet [default: 1400]
  --edits N      edits made [default: 20]
  --seed N       seed of the run [default: 1]
  --fault NAME   none, store-down[=SECONDS], region-partition[=SECONDS], lost-replies or
                 node-failures[=N] [default: none]
  --json         print JSON, which is the only format
  -h, --help     this text

Exit codes: 0 done, 1 a node served older settings than before or was not reached, 2 the command
line is wrong.
";

/// Simulates the spreading of settings.
pub const COMMAND: Command = Command {
    name: "configuration",
    summary: "simulate the spreading of settings through a fleet",
    run: run_command,
};

/// The result of `configuration`.
#[derive(Debug, Serialize)]
struct ConfigurationResult {
    provenance: Provenance,
    seed: u64,
    fault: String,
    #[serde(flatten)]
    report: ConfigurationReport,
}

struct Arguments {
    run: RunOptions,
    fault_text: String,
    help: bool,
}

fn run_command(parser: lexopt::Parser) -> ExitCode {
    let arguments = match parse(parser) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error),
    };
    if arguments.help {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let started = Instant::now();
    let report = simulate(&arguments.run);
    eprintln!("took {:.1} s", started.elapsed().as_secs_f64());
    let is_good = report.reverted == 0 && report.unreached == 0;
    let written = write_json(
        &ConfigurationResult {
            provenance: Provenance::of_this_process(Some(arguments.run.seed)),
            seed: arguments.run.seed,
            fault: arguments.fault_text,
            report,
        },
        None,
    );
    if is_good {
        written
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        run: RunOptions {
            nodes: 1_400,
            edits: 20,
            seed: 1,
            fault: Fault::None,
            groups_per_service: LARGEST_GROUPS,
            variant: NodeVariant::Correct,
        },
        fault_text: "none".to_owned(),
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => arguments.run.nodes = parser.value()?.parse()?,
            Long("edits") => arguments.run.edits = parser.value()?.parse()?,
            Long("seed") => arguments.run.seed = parser.value()?.parse()?,
            Long("fault") => {
                arguments.fault_text = parser.value()?.string()?;
                arguments.run.fault = arguments
                    .fault_text
                    .parse()
                    .map_err(|error| lexopt::Error::Custom(Box::new(error)))?;
            }
            Long("json") => {}
            Long("help") | Short('h') => arguments.help = true,
            _ => return Err(argument.unexpected()),
        }
    }
    if arguments.run.nodes == 0 || arguments.run.edits == 0 {
        return Err("--nodes and --edits must be at least 1".into());
    }
    Ok(arguments)
}
