//! Checks a file of either kind: a process file or a settings tree.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;
use stairward_types::ResultCode;
use toml::de::DeTable;

use crate::problem::{ProblemKind, SettingsProblem};
use crate::process::{PROCESS_OPTIONS, ProcessSettings};
use crate::toml_text::MAXIMUM_FILE_BYTES;
use crate::tree::{REGION_TABLE, ROOT_TABLE, SettingsTree};

/// What a file is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileKind {
    /// A process file.
    ProcessFile,
    /// A settings tree.
    SettingsTree,
    /// Neither.
    Unknown,
}

impl fmt::Display for FileKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ProcessFile => "process file",
            Self::SettingsTree => "settings tree",
            Self::Unknown => "unknown file",
        })
    }
}

/// What was found in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// The file.
    pub file: PathBuf,
    /// What it is.
    pub kind: FileKind,
    /// Everything that is wrong with it, in the order of its lines.
    pub problems: Vec<SettingsProblem>,
}

impl CheckReport {
    /// Whether nothing is wrong.
    #[must_use]
    pub const fn is_valid(&self) -> bool {
        self.problems.is_empty()
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        if self.is_valid() {
            return writeln!(formatter, "{file}: a valid {}", self.kind);
        }
        for problem in &self.problems {
            match problem.line {
                Some(line) => write!(formatter, "{file}:{line}: ")?,
                None => write!(formatter, "{file}: ")?,
            }
            writeln!(formatter, "{}", problem.without_line())?;
        }
        Ok(())
    }
}

/// Reads a file, tells what it is, and finds everything that is wrong with it. Files that a process
/// file names are not opened; see [`ProcessSettings::check_referenced_files`].
#[must_use]
pub fn check_file(path: &Path) -> CheckReport {
    let text = match read(path) {
        Ok(text) => text,
        Err(reason) => {
            let kind = ProblemKind::Unreadable { reason };
            return CheckReport {
                file: path.to_owned(),
                kind: FileKind::Unknown,
                problems: vec![file_problem(ResultCode::InvalidProcessFile, kind)],
            };
        }
    };
    check_text(path, &text)
}

fn read(path: &Path) -> Result<String, String> {
    let size = std::fs::metadata(path)
        .map_err(|error| error.to_string())?
        .len();
    if size > MAXIMUM_FILE_BYTES as u64 {
        return Err(format!("it is larger than {MAXIMUM_FILE_BYTES} bytes"));
    }
    std::fs::read_to_string(path).map_err(|error| error.to_string())
}

/// Checks a file's text.
#[must_use]
pub fn check_text(path: &Path, text: &str) -> CheckReport {
    let kind = recognise(text);
    let directory = path.parent().unwrap_or(Path::new(""));
    let problems = match kind {
        FileKind::ProcessFile => ProcessSettings::from_toml(text, directory).err(),
        FileKind::SettingsTree => SettingsTree::from_toml(text).err(),
        FileKind::Unknown => Some(vec![file_problem(
            ResultCode::InvalidProcessFile,
            ProblemKind::UnknownFileKind,
        )]),
    };
    CheckReport {
        file: path.to_owned(),
        kind,
        problems: problems.unwrap_or_default(),
    }
}

/// Tells the kinds apart by their tables, as far as the text can be read.
fn recognise(text: &str) -> FileKind {
    let (document, _) = DeTable::parse_recoverable(text);
    let has_table = |name: &str| document.get_ref().contains_key(name);
    if has_table(ROOT_TABLE) || has_table(REGION_TABLE) {
        return FileKind::SettingsTree;
    }
    if PROCESS_OPTIONS.iter().any(|option| has_table(option.table)) {
        return FileKind::ProcessFile;
    }
    FileKind::Unknown
}

fn file_problem(code: ResultCode, kind: ProblemKind) -> SettingsProblem {
    SettingsProblem {
        path: "file".to_owned(),
        option: None,
        line: None,
        code,
        kind: Box::new(kind),
    }
}
