//! Why a node could not start.

use snafu::Snafu;
use stairward_protocol::InvalidClusterKey;
use stairward_settings::SettingsProblem;
use stairward_store::ReadError;

/// Why a node could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum NodeError {
    /// A socket could not be opened.
    #[snafu(display("cannot open a socket: {source}"))]
    Socket {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The cluster key is too short.
    #[snafu(display("{source}"))]
    ClusterKey {
        /// The validation error.
        source: InvalidClusterKey,
    },
    /// The client of the platform's store could not be created.
    #[snafu(display("cannot create the client of the platform's store: {source}"))]
    Platform {
        /// The client's error.
        source: ReadError,
    },
    /// Files named in the process file are unusable.
    #[snafu(display("{}", describe(problems)))]
    Problems {
        /// The problems found.
        problems: Vec<SettingsProblem>,
    },
    /// A certificate or key is unusable.
    #[snafu(display("{}: {reason}", path.display()))]
    Certificate {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

impl NodeError {
    /// Wraps problems found in files.
    pub(super) fn from_problems(problems: Vec<SettingsProblem>) -> Self {
        Self::Problems { problems }
    }
}

fn describe(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
