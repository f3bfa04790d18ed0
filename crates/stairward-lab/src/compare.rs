//! `stairward-lab compare`: two result files side by side.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use serde_json::Value as Json;

use crate::command::{Command, failure, usage_error};

const HELP: &str = "\
Usage: stairward-lab compare OLD NEW

Prints each figure of two result files of the same command side by side, with the ratio of the new
to the old. Time series are left out.

Options:
  -h, --help   this text

Exit codes: 0 done, 1 a file cannot be used, 2 the command line is wrong.
";

/// Fields that hold series or lists of occurrences, not figures.
const LEFT_OUT: &[&str] = &["series", "faults", "examples", "machine", "seed"];

/// Sets two result files side by side.
pub const COMMAND: Command = Command {
    name: "compare",
    summary: "set two result files side by side",
    run,
};

/// One figure in both files.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Where it stands in the files, its fields joined by dots.
    pub name: String,
    /// The value in the old file, if it is there.
    pub old: Option<f64>,
    /// The value in the new file, if it is there.
    pub new: Option<f64>,
}

impl Row {
    /// The new value as a multiple of the old; none where one is missing or the old is zero.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        let (old, new) = (self.old?, self.new?);
        (old != 0.0).then(|| new / old)
    }
}

/// Pairs the figures of two results by name.
#[must_use]
pub fn compare(old: &Json, new: &Json) -> Vec<Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for (name, value) in figures(old) {
        row(&mut rows, name).old = Some(value);
    }
    for (name, value) in figures(new) {
        row(&mut rows, name).new = Some(value);
    }
    rows.into_values().collect()
}

fn row(rows: &mut BTreeMap<String, Row>, name: String) -> &mut Row {
    rows.entry(name.clone()).or_insert(Row {
        name,
        old: None,
        new: None,
    })
}

/// Every number of a result, by name.
fn figures(result: &Json) -> Vec<(String, f64)> {
    let mut found = Vec::new();
    collect("", result, &mut found);
    found
}

fn collect(name: &str, value: &Json, found: &mut Vec<(String, f64)>) {
    match value {
        Json::Number(number) => found.extend(number.as_f64().map(|value| (name.to_owned(), value))),
        Json::Object(fields) => {
            for (field, value) in fields {
                if !LEFT_OUT.contains(&field.as_str()) {
                    collect(&join(name, field), value, found);
                }
            }
        }
        Json::Array(values) => {
            for (position, value) in values.iter().enumerate() {
                collect(&join(name, &position.to_string()), value, found);
            }
        }
        Json::Null | Json::Bool(_) | Json::String(_) => {}
    }
}

fn join(name: &str, field: &str) -> String {
    if name.is_empty() {
        field.to_owned()
    } else {
        format!("{name}.{field}")
    }
}

/// Writes the rows as a table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let width = rows.iter().map(|row| row.name.len()).max().unwrap_or(0);
    let cell =
        |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"));
    let mut text = format!(
        "{:<width$} {:>14} {:>14} {:>8}\n",
        "figure", "old", "new", "ratio"
    );
    for row in rows {
        text.push_str(&format!(
            "{:<width$} {:>14} {:>14} {:>8}\n",
            row.name,
            cell(row.old),
            cell(row.new),
            cell(row.ratio()),
        ));
    }
    text
}

fn run(mut parser: lexopt::Parser) -> ExitCode {
    let mut paths: Vec<PathBuf> = Vec::new();
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(Value(path))) => paths.push(path.into()),
            Ok(Some(Long("help") | Short('h'))) => {
                print!("{HELP}");
                return ExitCode::SUCCESS;
            }
            Ok(Some(other)) => return usage_error(&other.unexpected()),
            Err(error) => return usage_error(&error),
        }
    }
    let [old, new] = paths.as_slice() else {
        return usage_error(&"give two result files");
    };
    match (read(old), read(new)) {
        (Ok(old), Ok(new)) => {
            print!("{}", table(&compare(&old, &new)));
            ExitCode::SUCCESS
        }
        (Err(error), _) | (_, Err(error)) => failure(&error),
    }
}

fn read(path: &Path) -> Result<Json, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}
