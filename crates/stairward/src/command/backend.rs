//! `stairward backend`: lists back ends and changes their admin state.

use serde_json::{Value, json};

use super::block_on;
use crate::admin_client::{AdminClient, AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_SUCCESS, Failure, UsageSnafu};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward backend list [OPTIONS]
       stairward backend join NAME [OPTIONS]
       stairward backend activate NAME [OPTIONS]
       stairward backend leave NAME [OPTIONS]

  list      every back end, with its group, place and state
  join      warm its connections up, give it no work yet
  activate  give it work
  leave     give it nothing new; what it has begun may finish

Options:
";

/// Runs the command.
pub fn run(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut admin = AdminOptions::new();
    let mut operands = Vec::new();
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                output.text(&format!("{HELP}{OPTIONS_HELP}"));
                return Ok(EXIT_SUCCESS);
            }
            Argument::Option(name) if admin.parse_option(name, &mut arguments)? => {}
            Argument::Value(operand) => operands.push(operand.clone()),
            Argument::Option(_) => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    match operands.as_slice() {
        ["list"] => list(&client, admin.json, output),
        ["join", backend] => set_admin_state(&client, (backend, "joining"), admin.json, output),
        ["activate", backend] => set_admin_state(&client, (backend, "active"), admin.json, output),
        ["leave", backend] => set_admin_state(&client, (backend, "leaving"), admin.json, output),
        _ => UsageSnafu {
            message: "expected list, or join, activate or leave with the name of a back end",
        }
        .fail(),
    }
}

fn set_admin_state(
    client: &AdminClient,
    (backend, admin_state): (&str, &str),
    as_json: bool,
    output: &mut Output<'_>,
) -> Result<u8, Failure> {
    let document = json!({ "admin_state": admin_state });
    let response = block_on(client.post(&format!("/backends/{backend}"), &document))?;
    if as_json {
        output.json(&response);
    } else {
        let revision = &response["revision"];
        output.line(&format!(
            "{backend} is {admin_state} from revision {revision}"
        ));
    }
    Ok(EXIT_SUCCESS)
}

fn list(client: &AdminClient, as_json: bool, output: &mut Output<'_>) -> Result<u8, Failure> {
    let backends = block_on(client.get("/backends"))?;
    if as_json {
        output.json(&backends);
        return Ok(EXIT_SUCCESS);
    }
    for backend in backends.as_array().into_iter().flatten() {
        output.line(&format!(
            "{:<28} {:<20} {:<12} {:<10} {}",
            str_or_empty(&backend["backend"]),
            str_or_empty(&backend["group"]),
            str_or_empty(&backend["zone"]),
            str_or_empty(&backend["admin_state"]),
            str_or_empty(&backend["address"]),
        ));
    }
    Ok(EXIT_SUCCESS)
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
