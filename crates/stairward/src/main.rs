//! The `stairward` command line.
//!
//! Each command is a module in `command`; this file only picks one and turns its result into an exit
//! code. The codes are listed in docs/RESULT_CODES.md.

#![forbid(unsafe_code)]

mod admin_client;
mod arguments;
mod command;
mod failure;
mod logging;

use std::process::ExitCode;

use arguments::Arguments;
use failure::Failure;

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

fn main() -> ExitCode {
    let result = run(Arguments::from_environment());
    match result {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("stairward: {failure}");
            failure.exit_code()
        }
    }
}

fn run(mut arguments: Arguments) -> Result<ExitCode, Failure> {
    let Some(name) = arguments.command()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    match name.as_str() {
        "serve" => command::serve::run(arguments),
        "check" => command::check::run(arguments),
        "demo" => command::demo::run(arguments),
        "settings" => command::settings::run(arguments),
        "backend" => command::backend::run(arguments),
        "status" => command::status::run(arguments),
        _ => failure::UnknownCommandSnafu { name }.fail(),
    }
}
