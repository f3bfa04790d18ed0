//! Why a command could not do its work, and the exit code that says so.

use std::path::PathBuf;

use snafu::Snafu;
use stairward_types::ResultCode;

/// The command did its work.
pub const EXIT_SUCCESS: u8 = 0;
/// The command ran and found a fault.
pub const EXIT_FAULT_FOUND: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;
/// Something that the command needs cannot be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Why a command could not do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// An option is unknown or lacks its value.
    #[snafu(display("SW{}: {source}", ResultCode::InvalidCommandLine.number()), context(false))]
    Option {
        /// What the parser said.
        source: lexopt::Error,
    },
    /// There is no such command.
    #[snafu(display(
        "SW{}: there is no command {name:?}; see stairward --help",
        ResultCode::InvalidCommandLine.number()
    ))]
    UnknownCommand {
        /// The name given.
        name: String,
    },
    /// The options don't fit together, or one is missing.
    #[snafu(display("SW{}: {message}", ResultCode::InvalidCommandLine.number()))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process file is not valid; the problems have been printed.
    #[snafu(display("{}: {}", ResultCode::InvalidProcessFile, path.display()))]
    InvalidProcessFile {
        /// Which file.
        path: PathBuf,
    },
    /// A node could not be started.
    #[snafu(display("the node cannot start: {source}"))]
    Start {
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The node's admin interface does not answer.
    #[snafu(
        display("the admin interface does not answer: {source}"),
        context(false)
    )]
    Admin {
        /// What the HTTP client said.
        source: reqwest::Error,
    },
    /// The node's admin interface refused.
    #[snafu(display("{message}"))]
    Refused {
        /// What it said, with its number.
        message: String,
    },
}

impl Failure {
    /// The exit code for this failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Option { .. } | Self::UnknownCommand { .. } | Self::Usage { .. } => EXIT_USAGE,
            Self::InvalidProcessFile { .. } | Self::Refused { .. } => EXIT_FAULT_FOUND,
            Self::File { .. } | Self::Start { .. } | Self::Admin { .. } => EXIT_UNREACHABLE,
        }
    }
}
