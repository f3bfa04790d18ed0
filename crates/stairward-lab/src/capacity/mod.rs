//! `stairward-lab capacity`: recomputes the numbers of docs/CAPACITY.md from measured slopes.

pub mod model;
pub mod slopes;
pub mod table;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::command::{Command, failure, usage_error};
use slopes::Slopes;

const HELP: &str = "\
Usage: stairward-lab capacity [--slopes FILE] [--page FILE] [--write]

Recomputes the table of the capacity page from the measured slopes, prints it, and says whether the
page agrees. Run it in the root of the working copy, or name the files.

Options:
  --slopes FILE   the measured slopes [default: results/slopes.json]
  --page FILE     the page [default: docs/CAPACITY.md]
  --write         replace the page's table instead of comparing it
  -h, --help      this text

Exit codes: 0 the page agrees, 1 it does not or a file cannot be used, 2 the command line is wrong.
";

/// Recomputes the capacity page.
pub const COMMAND: Command = Command {
    name: "capacity",
    summary: "recompute the capacity page from the measured slopes",
    run,
};

#[derive(Debug)]
struct Arguments {
    slopes: PathBuf,
    page: PathBuf,
    write: bool,
    help: bool,
}

impl Default for Arguments {
    fn default() -> Self {
        Self {
            slopes: "results/slopes.json".into(),
            page: "docs/CAPACITY.md".into(),
            write: false,
            help: false,
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("slopes") => arguments.slopes = parser.value()?.into(),
            Long("page") => arguments.page = parser.value()?.into(),
            Long("write") => arguments.write = true,
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
    let table = match Slopes::read(&arguments.slopes) {
        Ok(slopes) => table::render(&slopes),
        Err(error) => return failure(&error),
    };
    print!("{table}");
    let done = if arguments.write {
        write(&arguments.page, &table)
    } else {
        agrees(&arguments.page, &table)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => failure(&problem),
    }
}

/// Whether a page holds this table.
///
/// # Errors
/// What is wrong, for people.
pub fn agrees(page: &Path, table: &str) -> Result<(), String> {
    let text = fs::read_to_string(page).map_err(|error| format!("{}: {error}", page.display()))?;
    match table::generated_part(&text) {
        None => Err(format!("{} has no markers of a table", page.display())),
        Some(part) if part == table.trim() => Ok(()),
        Some(_) => Err(format!(
            "{} does not agree with the slopes; run with --write",
            page.display()
        )),
    }
}

fn write(page: &Path, table: &str) -> Result<(), String> {
    let text = fs::read_to_string(page).map_err(|error| format!("{}: {error}", page.display()))?;
    let text = table::with_table(&text, table)
        .ok_or_else(|| format!("{} has no markers of a table", page.display()))?;
    fs::write(page, text).map_err(|error| format!("{}: {error}", page.display()))
}
