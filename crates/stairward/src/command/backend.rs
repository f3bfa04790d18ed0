//! `stairward backend`: list back ends, or mark them as joining or leaving.

use std::process::ExitCode;

use serde_json::{Value, json};

use super::{block_on, print_json};
use crate::admin_client::{AdminClient, AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{Failure, UsageSnafu};

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
pub fn run(mut arguments: Arguments) -> Result<ExitCode, Failure> {
    let mut admin = AdminOptions::new();
    let mut words = Vec::new();
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                print!("{HELP}{OPTIONS_HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Argument::Option(name) if admin.take(name, &mut arguments)? => {}
            Argument::Value(word) => words.push(word.clone()),
            Argument::Option(_) => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["list"] => block_on(list(&client, admin.json)),
        ["join", backend] => block_on(mark(&client, backend, "joining", admin.json)),
        ["activate", backend] => block_on(mark(&client, backend, "active", admin.json)),
        ["leave", backend] => block_on(mark(&client, backend, "leaving", admin.json)),
        _ => UsageSnafu {
            message: "say list, or join, activate or leave with a name",
        }
        .fail(),
    }
}

async fn mark(
    client: &AdminClient,
    backend: &str,
    admin_state: &str,
    json: bool,
) -> Result<ExitCode, Failure> {
    let document = json!({ "admin_state": admin_state });
    let accepted = client
        .post(&format!("/backends/{backend}"), &document)
        .await?;
    if json {
        print_json(&accepted);
    } else {
        println!(
            "{backend} is {admin_state} from revision {}",
            accepted["revision"]
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn list(client: &AdminClient, json: bool) -> Result<ExitCode, Failure> {
    let backends = client.get("/backends").await?;
    if json {
        print_json(&backends);
        return Ok(ExitCode::SUCCESS);
    }
    for backend in backends.as_array().into_iter().flatten() {
        println!(
            "{:<28} {:<20} {:<12} {:<10} {}",
            text(&backend["backend"]),
            text(&backend["group"]),
            text(&backend["zone"]),
            text(&backend["admin_state"]),
            text(&backend["address"]),
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
