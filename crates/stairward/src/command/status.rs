//! `stairward status`: show what a node knows and does.

use std::process::ExitCode;

use serde_json::Value;

use super::{block_on, print_json};
use crate::admin_client::{AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::Failure;

const HELP: &str = "\
Usage: stairward status [OPTIONS]

Shows what a node knows of the settings and of its peers, how old that is, and what it serves.

Options:
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode, Failure> {
    let mut admin = AdminOptions::new();
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                print!("{HELP}{OPTIONS_HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Argument::Option(name) if admin.take(name, &mut arguments)? => {}
            _ => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let status = block_on(client.get("/status"))?;
    if admin.json {
        print_json(&status);
    } else {
        print_indented(&status, 0);
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a document as indented `name: value` lines.
pub fn print_indented(value: &Value, depth: usize) {
    let margin = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                print_named(name, field, depth);
            }
        }
        Value::Array(items) => {
            for item in items {
                println!("{margin}-");
                print_indented(item, depth + 1);
            }
        }
        Value::String(text) => println!("{margin}{text}"),
        other => println!("{margin}{other}"),
    }
}

fn print_named(name: &str, field: &Value, depth: usize) {
    let margin = "  ".repeat(depth);
    match field {
        Value::Object(_) | Value::Array(_) => {
            println!("{margin}{name}:");
            print_indented(field, depth + 1);
        }
        Value::String(text) => println!("{margin}{name}: {text}"),
        other => println!("{margin}{name}: {other}"),
    }
}
