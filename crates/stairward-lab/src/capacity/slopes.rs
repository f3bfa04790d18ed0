//! Measured slopes: what one more session, statement, member or revision costs.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::provenance::Machine;

/// One measured slope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// What one more unit costs.
    pub per_unit: f64,
    /// What is there without any unit.
    pub fixed: f64,
    /// Units of the cost and of what it is counted for, such as `bytes/session`.
    pub unit: String,
    /// The command that measured it.
    pub command: String,
    /// The range it was measured on.
    pub range: String,
    /// The commit it was measured at.
    pub commit: String,
}

/// All slopes measured, by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The machine they were measured on.
    pub machine: Machine,
    /// The slopes.
    pub slopes: BTreeMap<String, Slope>,
}

/// A slopes file that cannot be used.
#[derive(Debug, Snafu)]
pub enum SlopesError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file does not hold slopes.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
}

impl Slopes {
    /// Reads a slopes file.
    ///
    /// # Errors
    /// [`SlopesError`] when the file cannot be read or does not hold slopes.
    pub fn read(path: &Path) -> Result<Self, SlopesError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        serde_json::from_str(&text).context(ParseSnafu { path })
    }
}
