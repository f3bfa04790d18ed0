//! Validation of a configuration file of either kind: a process file or a settings tree.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;
use stairward_types::ResultCode;
use toml::de::DeTable;

use crate::problem::{ProblemKind, SettingsProblem};
use crate::process::{PROCESS_OPTIONS, ProcessSettings};
use crate::toml_text::MAXIMUM_FILE_BYTES;
use crate::tree::{REGION_TABLE, ROOT_TABLE, SettingsTree};

/// The kind of a file.
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

/// The result of checking a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// Path of the file.
    pub file: PathBuf,
    /// The detected kind of the file.
    pub kind: FileKind,
    /// All problems found, in line order.
    pub problems: Vec<SettingsProblem>,
}

impl CheckReport {
    /// Whether no problem was found.
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

/// Reads a file, detects its kind and reports all its problems. Files referenced by a process file are
/// not opened; see [`ProcessSettings::check_referenced_files`].
#[must_use]
pub fn check_file(path: &Path) -> CheckReport {
    let text = match read_file(path) {
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

fn read_file(path: &Path) -> Result<String, String> {
    let size = std::fs::metadata(path)
        .map_err(|error| error.to_string())?
        .len();
    if size > MAXIMUM_FILE_BYTES as u64 {
        return Err(format!(
            "the file is larger than {MAXIMUM_FILE_BYTES} bytes"
        ));
    }
    std::fs::read_to_string(path).map_err(|error| error.to_string())
}

/// Like [`check_file`], for text that has already been read. `path` is used for the report and to
/// resolve relative paths.
#[must_use]
pub fn check_text(path: &Path, text: &str) -> CheckReport {
    let kind = detect_kind(text);
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

/// Detects the kind by the names of top-level tables. Works on text with syntax errors, as far as it
/// can be parsed.
fn detect_kind(text: &str) -> FileKind {
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
