//! `stairward-lab report`: one page of charts from result files.

pub mod chart;
pub mod page;
mod sections;
pub mod source;

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::command::{Command, failure, usage_error};
use page::SourceRow;
use source::SourceFile;

const HELP: &str = "\
Usage: stairward-lab report FILE... [--output PAGE]

Draws result files on one HTML page: latency over time with faults, replica read share against lag,
failover gap distribution, spread of configuration and control cost against nodes.

Options:
  --output PAGE   where to write the page [default: standard output]
  -h, --help      this text

Exit codes: 0 done, 1 a file cannot be used, 2 the command line is wrong.
";

/// Draws result files on one page.
pub const COMMAND: Command = Command {
    name: "report",
    summary: "draw result files on one HTML page",
    run,
};

/// Renders results as one HTML page.
///
/// # Errors
/// [`chart::ChartError`] when a chart cannot be drawn.
pub fn render(files: &[SourceFile]) -> Result<String, chart::ChartError> {
    let rows: Vec<SourceRow> = files.iter().map(source_row).collect();
    page::render(&rows, &sections::all(files))
}

fn source_row(file: &SourceFile) -> SourceRow {
    let provenance = file.result.provenance.as_ref();
    let text = |part: Option<&str>| part.unwrap_or("-").to_owned();
    let machine = provenance.map(|provenance| {
        let machine = &provenance.machine;
        format!("{}, {} processors", machine.processor, machine.processors)
    });
    SourceRow {
        file: file.name.clone(),
        command: text(provenance.map(|provenance| provenance.command.as_str())),
        commit: text(provenance.map(|provenance| provenance.commit.as_str())),
        machine: text(machine.as_deref()),
    }
}

fn run(mut parser: lexopt::Parser) -> ExitCode {
    let mut paths: Vec<PathBuf> = Vec::new();
    let mut output: Option<PathBuf> = None;
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(Value(path))) => paths.push(path.into()),
            Ok(Some(Long("output"))) => match parser.value() {
                Ok(path) => output = Some(path.into()),
                Err(error) => return usage_error(&error),
            },
            Ok(Some(Long("help") | Short('h'))) => {
                print!("{HELP}");
                return ExitCode::SUCCESS;
            }
            Ok(Some(other)) => return usage_error(&other.unexpected()),
            Err(error) => return usage_error(&error),
        }
    }
    if paths.is_empty() {
        return usage_error(&"no result file given");
    }
    match page_of(&paths) {
        Ok(page) => write_page(&page, output),
        Err(error) => failure(&error),
    }
}

fn page_of(paths: &[PathBuf]) -> Result<String, Box<dyn std::error::Error>> {
    let files = source::read_all(paths)?;
    Ok(render(&files)?)
}

fn write_page(page: &str, output: Option<PathBuf>) -> ExitCode {
    let Some(path) = output else {
        print!("{page}");
        return ExitCode::SUCCESS;
    };
    match fs::write(&path, page) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&format!("{}: {error}", path.display())),
    }
}
