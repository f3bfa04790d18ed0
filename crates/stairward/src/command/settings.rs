//! `stairward settings`: read and edit the settings tree through a node's admin interface.

use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::block_on;
use crate::admin_client::{AdminClient, AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_SUCCESS, Failure, UsageSnafu};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward settings get PATH [OPTION] [OPTIONS]
       stairward settings set PATH OPTION VALUE [OPTIONS]
       stairward settings unset PATH OPTION [OPTIONS]
       stairward settings tree [OPTIONS]
       stairward settings history [OPTIONS]

A PATH names a level: root, region/R, region/R/service/S, region/R/service/S/group/G, or a back end
below a group. Each value is shown with the level it is inherited from.

An edit is refused when the settings changed since the revision it is based on. After a lost reply,
repeat it with the same --change-id to learn whether it took effect.

Options:
  --based-on N        the revision the edit is based on [the node's newest]
  --change-id N       number of the edit [chosen from the clock]
";

#[derive(Default)]
struct EditOptions {
    based_on: Option<u64>,
    change_id: Option<u64>,
}

/// Runs the command.
pub fn run(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut admin = AdminOptions::new();
    let mut edit = EditOptions::default();
    let mut words = Vec::new();
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                output.text(&format!("{HELP}{OPTIONS_HELP}"));
                return Ok(EXIT_SUCCESS);
            }
            Argument::Option(name) if name == "based-on" => {
                edit.based_on = Some(arguments.parsed()?);
            }
            Argument::Option(name) if name == "change-id" => {
                edit.change_id = Some(arguments.parsed()?);
            }
            Argument::Option(name) if admin.take(name, &mut arguments)? => {}
            Argument::Value(word) => words.push(word.clone()),
            Argument::Option(_) => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let answer = match words.as_slice() {
        ["tree"] => block_on(client.get("/settings"))?,
        ["history"] => block_on(client.get("/settings/history"))?,
        ["get", path] => block_on(client.get(&format!("/settings?path={path}")))?,
        ["get", path, option] => block_on(get_option(&client, path, option))?,
        ["set", path, option, value] => {
            let change = json!({ "action": "set", "path": path, "option": option, "value": parse_value(value) });
            block_on(send_edit(&client, &edit, change))?
        }
        ["unset", path, option] => {
            let change = json!({ "action": "unset", "path": path, "option": option });
            block_on(send_edit(&client, &edit, change))?
        }
        _ => {
            let message = "say get, set, unset, tree or history; see stairward settings --help";
            return UsageSnafu { message }.fail();
        }
    };
    output.document(&answer, admin.json);
    Ok(EXIT_SUCCESS)
}

/// Numbers and truth values are sent as such, everything else as text.
fn parse_value(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(value @ (Value::Number(_) | Value::Bool(_))) => value,
        _ => Value::String(text.to_owned()),
    }
}

async fn get_option(client: &AdminClient, path: &str, option: &str) -> Result<Value, Failure> {
    client
        .get(&format!("/settings?path={path}&option={option}"))
        .await
}

async fn send_edit(
    client: &AdminClient,
    options: &EditOptions,
    change: Value,
) -> Result<Value, Failure> {
    let based_on = match options.based_on {
        Some(revision) => json!(revision),
        None => client.get("/status").await?["settings"]["revision"].clone(),
    };
    let change_id = options.change_id.unwrap_or_else(change_id_from_clock);
    let edit = json!({ "change_id": change_id, "based_on": based_on, "changes": [change] });
    client.post("/settings/edits", &edit).await
}

/// Microseconds since 1970: unique enough among operators, and the store refuses a clash.
fn change_id_from_clock() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
