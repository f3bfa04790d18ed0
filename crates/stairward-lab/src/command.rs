//! The subcommands of `stairward-lab`.
//!
//! To add one, give its module a `pub const COMMAND: Command` and list it in [`COMMANDS`].

use std::process::ExitCode;
use std::str::FromStr;

/// Exit code of a command that ran but found something wrong.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of a command line that cannot be understood.
pub const EXIT_USAGE: u8 = 2;

/// One subcommand of `stairward-lab`.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// What it is called on the command line.
    pub name: &'static str,
    /// One line for the list of commands.
    pub summary: &'static str,
    /// Parses what follows the name, `--help` included, and runs it.
    pub run: fn(lexopt::Parser) -> ExitCode,
}

/// Every subcommand, in the order of the list that `--help` prints.
pub const COMMANDS: &[Command] = &[
    crate::load::command::COMMAND,
    crate::membership::command::COMMAND,
    crate::membership::terms::COMMAND,
    crate::hollow::COMMAND,
    crate::ownership::command::COMMAND,
    crate::report::COMMAND,
    crate::compare::COMMAND,
    crate::configuration::command::COMMAND,
    crate::capacity::COMMAND,
    crate::experiment::bench::COMMAND,
    crate::experiment::idle::COMMAND,
    crate::experiment::sweep::COMMAND,
    crate::simulate::COMMAND,
];

/// Reads the subcommand's name from the command line and runs it.
#[must_use]
pub fn run(mut arguments: lexopt::Parser) -> ExitCode {
    match arguments.next() {
        Ok(Some(lexopt::Arg::Value(name))) => run_named(&name.to_string_lossy(), arguments),
        Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
            print!("{}", usage());
            ExitCode::SUCCESS
        }
        Ok(Some(other)) => usage_error(&other.unexpected()),
        Ok(None) => usage_error(&"no command given"),
        Err(error) => usage_error(&error),
    }
}

fn run_named(name: &str, arguments: lexopt::Parser) -> ExitCode {
    match COMMANDS.iter().find(|command| command.name == name) {
        Some(command) => (command.run)(arguments),
        None => usage_error(&format!("there is no command `{name}`")),
    }
}

/// Reports a command line that cannot be understood, and gives the exit code for it.
#[must_use]
pub fn usage_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("stairward-lab: {error}; see --help");
    ExitCode::from(EXIT_USAGE)
}

/// Reports a command that could not do its work, and gives the exit code for it.
#[must_use]
pub fn failure(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("stairward-lab: {error}");
    ExitCode::from(EXIT_FAILURE)
}

/// Parses an option's value that holds one or more values with commas between.
///
/// # Errors
///
/// The error of the first value that cannot be parsed.
pub fn comma_separated<T: FromStr>(text: &str) -> Result<Vec<T>, T::Err> {
    text.split(',').map(str::parse).collect()
}

/// The text of `stairward-lab --help`.
#[must_use]
pub fn usage() -> String {
    let mut text = String::from(
        "Usage: stairward-lab COMMAND [OPTIONS]\n\nEmulates sites, runs experiments and writes reports.\n\nCommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("  {:<14} {}\n", command.name, command.summary));
    }
    text.push_str("\n`stairward-lab COMMAND --help` explains each command.\n");
    text
}
