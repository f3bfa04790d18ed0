//! Where a result comes from: command, seed, commit and machine.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread::available_parallelism;

use serde::{Deserialize, Serialize};

/// What is said when something cannot be found out.
const UNKNOWN: &str = "unknown";

/// Where a result comes from, so that two results can be set side by side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Provenance {
    /// The command line that gave the result.
    pub command: String,
    /// The seed, where the command takes one.
    pub seed: Option<u64>,
    /// The commit of the working copy in which it ran.
    pub commit: String,
    /// Whether the program was optimised.
    pub optimised: bool,
    /// The machine.
    pub machine: Machine,
}

/// The machine on which a result was measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The processor's model.
    pub processor: String,
    /// Processors that the program may use.
    pub processors: usize,
    /// Memory, in kilobytes.
    pub memory_kilobytes: u64,
}

impl Provenance {
    /// Of the present process.
    #[must_use]
    pub fn of_this_process(seed: Option<u64>) -> Self {
        Self {
            command: command_line(),
            seed,
            commit: commit_of_working_copy(),
            optimised: !cfg!(debug_assertions),
            machine: Machine::this(),
        }
    }
}

impl Machine {
    /// The machine this process runs on.
    #[must_use]
    pub fn this() -> Self {
        let processor = proc_field("/proc/cpuinfo", "model name");
        let memory = proc_field("/proc/meminfo", "MemTotal");
        Self {
            processor: processor.unwrap_or_else(|| UNKNOWN.to_owned()),
            processors: available_parallelism().map_or(0, usize::from),
            memory_kilobytes: memory
                .and_then(|text| text.split_whitespace().next()?.parse().ok())
                .unwrap_or(0),
        }
    }
}

/// The value of a field such as `MemTotal` in a file of `/proc`.
#[must_use]
pub fn proc_field(path: &str, name: &str) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    let (_, value) = line.split_once(':')?;
    Some(value.trim().to_owned())
}

/// The command line without the folder of the program.
fn command_line() -> String {
    let mut arguments = std::env::args();
    let program = arguments.next().unwrap_or_default();
    let program = Path::new(&program)
        .file_name()
        .map_or_else(|| UNKNOWN.to_owned(), |name| name.to_string_lossy().into());
    let mut words = vec![program];
    words.extend(arguments);
    words.join(" ")
}

/// Reads the checked-out commit from the files of the working copy that the process runs in.
fn commit_of_working_copy() -> String {
    std::env::current_dir()
        .ok()
        .and_then(|folder| find_commit(&folder))
        .unwrap_or_else(|| UNKNOWN.to_owned())
}

fn find_commit(folder: &Path) -> Option<String> {
    let git = folder
        .ancestors()
        .map(|up| up.join(".git"))
        .find(|path| path.exists())?;
    let git_directory = git_directory(&git)?;
    let head = fs::read_to_string(git_directory.join("HEAD")).ok()?;
    let Some(reference) = head.trim().strip_prefix("ref: ") else {
        return Some(head.trim().to_owned());
    };
    let common = fs::read_to_string(git_directory.join("commondir")).map_or_else(
        |_| git_directory.clone(),
        |common| git_directory.join(common.trim()),
    );
    read_reference(&common, reference)
}

/// `.git` is a directory, or in a linked working copy a file that names one.
fn git_directory(git: &Path) -> Option<PathBuf> {
    if git.is_dir() {
        return Some(git.to_owned());
    }
    let text = fs::read_to_string(git).ok()?;
    let target = text.trim().strip_prefix("gitdir: ")?;
    Some(git.parent()?.join(target))
}

fn read_reference(common: &Path, reference: &str) -> Option<String> {
    if let Ok(commit) = fs::read_to_string(common.join(reference)) {
        return Some(commit.trim().to_owned());
    }
    let packed = fs::read_to_string(common.join("packed-refs")).ok()?;
    let line = packed.lines().find(|line| line.ends_with(reference))?;
    Some(line.split_whitespace().next()?.to_owned())
}
