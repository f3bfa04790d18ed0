//! `stairward-lab membership`.

use std::process::ExitCode;
use std::time::Instant;

use lexopt::prelude::*;
use serde::Serialize;
use stairward_membership::SwimConfig;

use super::fault::Fault;
use super::fleet::FleetOptions;
use super::report::{MembershipReport, simulate};
use crate::command::{Command, EXIT_FAILURE, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;

const HELP: &str = "\
Usage: stairward-lab membership [OPTIONS]

Simulates the membership of a fleet on a virtual clock and prints what was measured as JSON. The
same seed prints the same bytes; the real time taken goes to standard error.

Options:
  --nodes N      nodes in the fleet, at least 3 [default: 1400]
  --seed N       seed of the run [default: 1]
  --fault NAME   none, node-loss, zone-loss, region-partition[=SECONDS], mass-restart,
                 packet-loss=PERCENT% or pause [default: node-loss]
  --json         print JSON, which is the only format
  -h, --help     this text

Exit codes: 0 done, 1 the views did not converge, 2 the command line is wrong.
";

/// Smallest fleet that is simulated.
const MINIMUM_NODES: usize = 3;

/// Simulates the membership of a fleet.
pub const COMMAND: Command = Command {
    name: "membership",
    summary: "simulate the membership of a fleet",
    run: run_command,
};

/// The result of `membership`.
#[derive(Debug, Serialize)]
struct MembershipResult {
    provenance: Provenance,
    fault: String,
    #[serde(flatten)]
    report: MembershipReport,
}

struct Arguments {
    nodes: usize,
    seed: u64,
    fault_text: String,
    fault: Fault,
    help: bool,
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
        seed: 1,
        fault_text: "node-loss".to_owned(),
        fault: Fault::NodeLoss,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => arguments.nodes = parser.value()?.parse()?,
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("fault") => {
                arguments.fault_text = parser.value()?.string()?;
                arguments.fault = arguments
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
    let options = FleetOptions {
        nodes: arguments.nodes,
        seed: arguments.seed,
        config: SwimConfig::default(),
    };
    let result = MembershipResult {
        provenance: Provenance::of_this_process(Some(arguments.seed)),
        fault: arguments.fault_text.clone(),
        report: simulate(&options, arguments.fault),
    };
    eprintln!("took {:.1} s", started.elapsed().as_secs_f64());
    let has_converged = result.report.converged;
    let code = write_json(&result, None);
    if has_converged {
        code
    } else {
        ExitCode::from(EXIT_FAILURE)
    }
}
