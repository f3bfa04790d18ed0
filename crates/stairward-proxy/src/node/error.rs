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
    #[snafu(display("a socket cannot be opened: {source}"))]
    Socket {
        /// What the system said.
        source: std::io::Error,
    },
    /// The cluster key is too short.
    #[snafu(display("{source}"))]
    ClusterKey {
        /// What is wrong with it.
        source: InvalidClusterKey,
    },
    /// The client of the platform's store could not be made.
    #[snafu(display("the platform's client cannot be made: {source}"))]
    Platform {
        /// Why.
        source: ReadError,
    },
    /// Files named in the process file cannot be used.
    #[snafu(display("{}", describe(problems)))]
    Problems {
        /// What is wrong with them.
        problems: Vec<SettingsProblem>,
    },
    /// A certificate or key cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    Certificate {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

impl NodeError {
    /// Wraps problems with files.
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
