//! Writes results.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use serde::Serialize;

use crate::command::failure;

/// Writes a result as JSON to a file, or to standard output when none is named.
#[must_use]
pub fn write_json(result: &impl Serialize, file: Option<&Path>) -> ExitCode {
    let mut text = match serde_json::to_string_pretty(result) {
        Ok(text) => text,
        Err(error) => return failure(&error),
    };
    text.push('\n');
    match file {
        None => print!("{text}"),
        Some(path) => {
            if let Err(error) = fs::write(path, text) {
                return failure(&format!("{}: {error}", path.display()));
            }
        }
    }
    ExitCode::SUCCESS
}
