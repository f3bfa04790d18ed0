//! `stairward-lab hollow`: many nodes in one process, each with its own socket, running the control
//! code of a real node and serving no requests. Measures what control costs a node.

mod measurement;

use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use serde::Serialize;

use crate::command::{Command, failure, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;
use measurement::{HollowMeasurement, measure};

const HELP: &str = "\
Usage: stairward-lab hollow [OPTIONS]

Runs many nodes in one process over loopback UDP, waits until each sees all, and prints the
processor time, memory and traffic of a node as JSON. The nodes run membership and nothing else.

Options:
  --nodes N      nodes, 3 to 2000 [default: 100]
  --seconds N    how long is measured [default: 20]
  --json         print JSON, which is the only format
  -h, --help     this text

Exit codes: 0 done, 1 the nodes did not find each other, 2 the command line is wrong.
";

/// Nodes in one process; the rest of the 20,000 descriptors is left to sockets of other parts.
const NODE_RANGE: std::ops::RangeInclusive<usize> = 3..=2_000;

/// Measures what control costs a node.
pub const COMMAND: Command = Command {
    name: "hollow",
    summary: "measure what control costs a node, many in one process",
    run: run_command,
};

/// The result of `hollow`.
#[derive(Debug, Serialize)]
struct HollowResult {
    provenance: Provenance,
    #[serde(flatten)]
    measurement: HollowMeasurement,
}

struct Arguments {
    nodes: usize,
    seconds: u64,
    help: bool,
}

fn run_command(parser: lexopt::Parser) -> ExitCode {
    match parse(parser) {
        Ok(arguments) if arguments.help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(arguments) if !NODE_RANGE.contains(&arguments.nodes) => {
            usage_error(&"--nodes must be from 3 to 2000")
        }
        Ok(arguments) => run(&arguments),
        Err(error) => usage_error(&error),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        nodes: 100,
        seconds: 20,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => arguments.nodes = parser.value()?.parse()?,
            Long("seconds") => arguments.seconds = parser.value()?.parse()?,
            Long("json") => {}
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run(arguments: &Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let time = Duration::from_secs(arguments.seconds.max(1));
    match runtime.block_on(measure(arguments.nodes, time)) {
        Ok(measurement) => write_json(
            &HollowResult {
                provenance: Provenance::of_this_process(None),
                measurement,
            },
            None,
        ),
        Err(error) => failure(&error),
    }
}
