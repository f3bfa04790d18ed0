//! The `stairward` command line.
//!
//! Each command is a module of `command`; [`run`] selects one and turns its result into an exit
//! code. The codes are listed in docs/RESULT_CODES.md. Commands print to a writer that the caller
//! passes, so that tests can run them without starting a process.

#![forbid(unsafe_code)]

mod admin_client;
mod arguments;
mod command;
mod failure;
mod logging;
mod output;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::Arguments;
use failure::{EXIT_SUCCESS, Failure};
use output::Output;

const HELP: &str = "\
stairward: a database proxy for PostgreSQL with session consistency

Usage: stairward COMMAND [OPTIONS]

Commands:
  serve      run a node
  check      check a process file or a settings tree
  demo       run a whole site on loopback addresses and check every answer
  settings   read and edit the settings tree
  backend    list back ends, or mark them as joining or leaving
  status     show what a node knows and does

`stairward COMMAND --help` describes a command.
";

/// Runs a command line, given without the program's name. Prints results to `output` and errors to
/// standard error. Returns the exit code.
pub fn run(
    arguments: impl IntoIterator<Item = OsString>,
    output: &mut (dyn std::io::Write + Send),
) -> ExitCode {
    ExitCode::from(run_to_exit_code(arguments, output))
}

/// Like [`run`], but returns the exit code as a number.
pub fn run_to_exit_code(
    arguments: impl IntoIterator<Item = OsString>,
    output: &mut (dyn std::io::Write + Send),
) -> u8 {
    let mut output = Output::new(output);
    run_command(Arguments::new(arguments), &mut output).unwrap_or_else(|failure| {
        eprintln!("stairward: {failure}");
        failure.exit_code()
    })
}

fn run_command(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let Some(name) = arguments.command()? else {
        output.text(HELP);
        return Ok(EXIT_SUCCESS);
    };
    match name.as_str() {
        "serve" => command::serve::run(arguments, output),
        "check" => command::check::run(arguments, output),
        "demo" => command::demo::run(arguments, output),
        "settings" => command::settings::run(arguments, output),
        "backend" => command::backend::run(arguments, output),
        "status" => command::status::run(arguments, output),
        _ => failure::UnknownCommandSnafu { name }.fail(),
    }
}
