//! `stairward check`: validates process files and settings trees.

use std::path::PathBuf;

use serde_json::{Value, json};
use stairward_settings::{CheckReport, FileKind, ProcessSettings, SettingsProblem, check_file};

use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_FAULT_FOUND, EXIT_SUCCESS, Failure, UsageSnafu};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward check FILE... [OPTIONS]

Tells whether each file is a process file or a settings tree, and prints every problem in it with its
path, line and code.

Options:
  --json      print JSON
  --files     also read the key, password and certificate files that a process file names
";

/// Runs the command.
pub fn run(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut files = Vec::new();
    let mut as_json = false;
    let mut with_named_files = false;
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) => match name.as_str() {
                "help" => {
                    output.text(HELP);
                    return Ok(EXIT_SUCCESS);
                }
                "json" => as_json = true,
                "files" => with_named_files = true,
                _ => return unexpected(&argument),
            },
            Argument::Value(file) => files.push(PathBuf::from(file)),
        }
    }
    if files.is_empty() {
        return UsageSnafu {
            message: "FILE is missing",
        }
        .fail();
    }
    let reports: Vec<CheckReport> = files
        .iter()
        .map(|file| check(file.clone(), with_named_files))
        .collect();
    if as_json {
        output.json(&Value::Array(reports.iter().map(report_as_json).collect()));
    } else {
        reports
            .iter()
            .for_each(|report| output.text(&report.to_string()));
    }
    let all_valid = reports.iter().all(CheckReport::is_valid);
    Ok(if all_valid { 0 } else { EXIT_FAULT_FOUND })
}

/// Checks a file; with `with_named_files`, also the files that a process file names.
fn check(file: PathBuf, with_named_files: bool) -> CheckReport {
    let mut report = check_file(&file);
    if with_named_files
        && report.kind == FileKind::ProcessFile
        && let Ok(settings) = ProcessSettings::load(&file)
    {
        report.problems.extend(settings.check_referenced_files());
    }
    report
}

fn report_as_json(report: &CheckReport) -> Value {
    json!({
        "file": report.file,
        "kind": report.kind,
        "valid": report.is_valid(),
        "problems": report.problems.iter().map(problem_as_json).collect::<Vec<_>>(),
    })
}

fn problem_as_json(problem: &SettingsProblem) -> Value {
    json!({
        "path": problem.path,
        "option": problem.option,
        "line": problem.line,
        "code": problem.code.number(),
        "problem": problem.kind.to_string(),
    })
}
