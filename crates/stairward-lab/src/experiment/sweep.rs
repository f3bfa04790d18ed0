//! `stairward-lab sweep`: demos with each of several lags and seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;

use crate::command::{Command, comma_separated, failure, usage_error};
use crate::demo::fault::FaultKind;
use crate::demo::report::DemoReport;
use crate::demo::{DemoError, DemoOptions, run_demo};
use crate::output::write_json;
use crate::site::Site;

const HELP: &str = "\
Usage: stairward-lab sweep [OPTIONS]

Runs a demo with each of the lags and seeds given, one after the other, and writes all reports as
one list, without their time series. Draw it with `stairward-lab report`.

Options:
  --site NAME        lintas or krvny-most [default: lintas]
  --seconds N        length of each run [default: 10]
  --lag-ms N,N...    lags of the replicas [default: 0]
  --seeds N,N...     seeds [default: 1]
  --fault KIND       as for `stairward demo`; may be given several times
  --output FILE      write the result there instead of standard output
  -h, --help         this text

Exit codes: 0 done, 1 a run failed or violated an invariant, 2 the command line is wrong.
";

/// Runs demos over lags and seeds.
pub const COMMAND: Command = Command {
    name: "sweep",
    summary: "run demos with each of several lags and seeds",
    run,
};

#[derive(Debug)]
struct Arguments {
    site: String,
    seconds: u64,
    lags: Vec<u64>,
    seeds: Vec<u64>,
    faults: Vec<String>,
    output: Option<PathBuf>,
    help: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        site: "lintas".to_owned(),
        seconds: 10,
        lags: vec![0],
        seeds: vec![1],
        faults: Vec::new(),
        output: None,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("site") => arguments.site = parser.value()?.string()?,
            Long("seconds") => arguments.seconds = parser.value()?.parse()?,
            Long("lag-ms") => arguments.lags = parser.value()?.parse_with(comma_separated)?,
            Long("seeds") => arguments.seeds = parser.value()?.parse_with(comma_separated)?,
            Long("fault") => arguments.faults.push(parser.value()?.string()?),
            Long("output") => arguments.output = Some(parser.value()?.into()),
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run(parser: lexopt::Parser) -> ExitCode {
    let arguments = match parse(parser) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error),
    };
    if arguments.help {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let site = match Site::named(&arguments.site) {
        Ok(site) => site,
        Err(error) => return usage_error(&error),
    };
    let faults = match FaultKind::parse_list(arguments.faults.iter().map(String::as_str)) {
        Ok(faults) => faults,
        Err(error) => return usage_error(&error),
    };
    let reports = match sweep(&site, &faults, &arguments) {
        Ok(reports) => reports,
        Err(error) => return failure(&error),
    };
    let written = write_json(&reports, arguments.output.as_deref());
    if !reports.iter().all(DemoReport::is_clean) {
        return failure(&"at least one run violated an invariant");
    }
    written
}

fn sweep(
    site: &Site,
    faults: &[FaultKind],
    arguments: &Arguments,
) -> Result<Vec<DemoReport>, DemoError> {
    let mut reports = Vec::new();
    for &lag in &arguments.lags {
        for &seed in &arguments.seeds {
            let options = DemoOptions {
                site: site.clone(),
                length: Duration::from_secs(arguments.seconds),
                seed,
                faults: faults.to_vec(),
                replica_lag: Duration::from_millis(lag),
                show_progress: true,
            };
            let mut report = run_demo(&options)?;
            report.load.series.clear();
            reports.push(report);
        }
    }
    Ok(reports)
}
