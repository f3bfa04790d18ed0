//! Runs a case of the review: `review-standin CASE PROGRAM RECORD`. TROUBLE=0 in the environment leaves the disruption
//! out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod cut_answer;
mod deployment;
mod group;
mod json;
mod lost_commits;
mod no_recovery;
mod nodes;
mod record;
mod server;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::deployment::Paths;
use crate::record::Record;

/// What a run has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::open(&PathBuf::from(record)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let paths = Paths {
        program: PathBuf::from(program),
        directory: deployment::directory(),
    };
    let verdict = match case.as_str() {
        "lost-commits" => lost_commits::run(&paths, record, has_trouble),
        "cut-answer" => cut_answer::run(&paths, record, has_trouble),
        "no-recovery" => no_recovery::run(&paths, record, has_trouble),
        _ => Verdict::NotRun,
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        deployment::remove(&paths.directory);
    } else {
        println!("logs in {}", paths.directory.display());
    }
    println!("{verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
