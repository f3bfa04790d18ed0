//! The result files that a report is made from.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::demo::report::FaultMark;
use crate::load::result::LoadResult;
use crate::provenance::Provenance;

/// A result file that cannot be used.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not a result file.
    #[snafu(display("{} is not a result file: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
}

/// What a report draws from one result. Results of different commands hold different parts.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ResultView {
    /// Where it comes from.
    pub provenance: Option<Provenance>,
    /// The site, of loads and demos.
    pub site: Option<String>,
    /// What the load measured.
    pub load: Option<LoadResult>,
    /// Faults over time.
    pub faults: Vec<FaultMark>,
    /// Failover gaps.
    pub failover_gap_ms: Vec<f64>,
    /// Lag that the replicas were given.
    pub replica_lag_ms: Option<f64>,
    /// The share of reads that replicas answered.
    pub replica_read_share: Option<f64>,
    /// Nodes of a fleet experiment.
    pub nodes: Option<f64>,
    /// Time until an accepted edit was in force on every node.
    pub spread_s: Option<Percentiles>,
    /// Control traffic of one node.
    pub bytes_per_node_per_second: Option<f64>,
}

/// Percentiles of a time, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

/// One result and the file it was in.
#[derive(Debug, Clone)]
pub struct SourceFile {
    /// The file's name without its folders.
    pub name: String,
    /// The result.
    pub result: ResultView,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    Many(Vec<ResultView>),
    One(Box<ResultView>),
}

/// Reads result files. A file holds one result or a list of results.
///
/// # Errors
/// [`SourceError`] for the first file that cannot be used.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<SourceFile>, SourceError> {
    let mut files = Vec::new();
    for path in paths {
        let name = file_name(path);
        let results = match read(path)? {
            OneOrMany::One(result) => vec![*result],
            OneOrMany::Many(results) => results,
        };
        files.extend(results.into_iter().map(|result| SourceFile {
            name: name.clone(),
            result,
        }));
    }
    Ok(files)
}

fn read(path: &Path) -> Result<OneOrMany, SourceError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_json::from_str(&text).context(ParseSnafu { path })
}

fn file_name(path: &Path) -> String {
    path.file_name()
        .map(|name| name.to_string_lossy().into_owned())
        .unwrap_or_default()
}
