//! Entry point of the `stairward` program.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    stairward::run(std::env::args_os().skip(1), &mut std::io::stdout())
}
