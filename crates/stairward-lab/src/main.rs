//! The `stairward-lab` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    stairward_lab::command::run(lexopt::Parser::from_env())
}
