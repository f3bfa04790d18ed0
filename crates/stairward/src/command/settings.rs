//! `stairward settings`: reads and edits the settings tree through a node's admin interface.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt as _;
use stairward_settings::{SettingsTree, check_text};
use stairward_types::Revision;

use super::block_on;
use crate::admin_client::{AdminClient, AdminOptions, OPTIONS_HELP};
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_SUCCESS, Failure, FileSnafu, RefusedSnafu, UsageSnafu};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward settings get PATH [OPTION] [OPTIONS]
       stairward settings set PATH OPTION VALUE [OPTIONS]
       stairward settings unset PATH OPTION [OPTIONS]
       stairward settings import FILE [OPTIONS]
       stairward settings tree [OPTIONS]
       stairward settings history [OPTIONS]

A PATH names a level: root, region/R, region/R/service/S, region/R/service/S/group/G, or a back end
below a group. Each value is shown with the level it is inherited from.

import makes the whole tree equal to a file's, by one edit. Say --based-on 0 when the store holds no
settings yet.

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
    let mut operands = Vec::new();
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
            Argument::Option(name) if admin.parse_option(name, &mut arguments)? => {}
            Argument::Value(operand) => operands.push(operand.clone()),
            Argument::Option(_) => return unexpected(&argument),
        }
    }
    let client = admin.client()?;
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    let response = match operands.as_slice() {
        ["tree"] => block_on(client.get("/settings"))?,
        ["history"] => block_on(client.get("/settings/history"))?,
        ["get", path] => block_on(client.get(&format!("/settings?path={path}")))?,
        ["get", path, option] => block_on(get_option(&client, path, option))?,
        ["set", path, option, value] => {
            let change = json!({ "path": path, "option": option, "value": parse_value(value) });
            block_on(send_change(&client, &edit, change))?
        }
        ["unset", path, option] => {
            let change = json!({ "path": path, "option": option });
            block_on(send_change(&client, &edit, change))?
        }
        ["import", file] => block_on(import(&client, &edit, Path::new(file)))?,
        _ => {
            let message =
                "expected get, set, unset, import, tree or history; see stairward settings --help";
            return UsageSnafu { message }.fail();
        }
    };
    output.document(&response, admin.json);
    Ok(EXIT_SUCCESS)
}

/// Parses numbers and Booleans as JSON; everything else is text.
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

async fn send_change(
    client: &AdminClient,
    options: &EditOptions,
    change: Value,
) -> Result<Value, Failure> {
    let based_on = match options.based_on {
        Some(revision) => json!(revision),
        None => client.get("/status").await?["settings"]["revision"].clone(),
    };
    send_edit(client, options, &based_on, &json!([change])).await
}

async fn send_edit(
    client: &AdminClient,
    options: &EditOptions,
    based_on: &Value,
    changes: &Value,
) -> Result<Value, Failure> {
    let change_id = options.change_id.unwrap_or_else(change_id_from_clock);
    let edit = json!({ "change_id": change_id, "based_on": based_on, "changes": changes });
    client.post("/settings/edits", &edit).await
}

/// The response of `GET /settings`.
#[derive(Deserialize)]
struct HeldSettings {
    revision: Revision,
    tree: SettingsTree,
}

/// Makes the settings tree equal to the tree in a file. Sends no edit if they are equal already.
async fn import(
    client: &AdminClient,
    options: &EditOptions,
    file: &Path,
) -> Result<Value, Failure> {
    let text = std::fs::read_to_string(file).context(FileSnafu { path: file })?;
    let target = SettingsTree::from_toml(&text).map_err(|_| invalid_settings_file(file, &text))?;
    let current = current_settings(client, options).await?;
    let changes = current.tree.changes_to(&target);
    if changes.is_empty() {
        return Ok(json!({ "revision": current.revision, "changes": 0 }));
    }
    let based_on = options.based_on.map_or(current.revision, Revision);
    send_edit(client, options, &json!(based_on), &json!(changes)).await
}

/// The node's settings; empty without asking the node if the edit is based on revision 0, that is,
/// if the store holds no settings yet.
async fn current_settings(
    client: &AdminClient,
    options: &EditOptions,
) -> Result<HeldSettings, Failure> {
    if options.based_on == Some(0) {
        return Ok(HeldSettings {
            revision: Revision(0),
            tree: SettingsTree::new(),
        });
    }
    let response = client.get("/settings").await?;
    serde_json::from_value(response).map_err(|error| {
        let message = format!("cannot parse the node's settings: {error}");
        RefusedSnafu { message }.build()
    })
}

fn invalid_settings_file(file: &Path, text: &str) -> Failure {
    let report = check_text(file, text).to_string();
    RefusedSnafu {
        message: report.trim_end(),
    }
    .build()
}

/// Microseconds since 1970. Two operators are unlikely to use the same number, and the store
/// refuses a duplicate.
fn change_id_from_clock() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
