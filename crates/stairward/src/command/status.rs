//! `stairward status`: shows a node's state.

use super::block_on;
use crate::admin_client::{AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_SUCCESS, Failure};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward status [OPTIONS]

Shows what a node knows of the settings and of its peers, how old that is, and what it serves.

Options:
";

/// Runs the command.
pub fn run(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut admin = AdminOptions::new();
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                output.text(&format!("{HELP}{OPTIONS_HELP}"));
                return Ok(EXIT_SUCCESS);
            }
            Argument::Option(name) if admin.parse_option(name, &mut arguments)? => {}
            _ => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let status = block_on(client.get("/status"))?;
    output.document(&status, admin.json);
    Ok(EXIT_SUCCESS)
}
