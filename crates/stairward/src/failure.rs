//! The errors of commands and their exit codes.

use std::path::PathBuf;

use snafu::Snafu;
use stairward_types::ResultCode;

/// The command succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// The command ran and found a fault, or a node refused its request.
pub const EXIT_FAULT_FOUND: u8 = 1;
/// The command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// A file, node or other resource that the command needs is unavailable.
pub const EXIT_UNREACHABLE: u8 = 3;

/// An error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// The command-line parser rejected an option or its value.
    #[snafu(display("SW{}: {source}", ResultCode::InvalidCommandLine.number()), context(false))]
    Option {
        /// The parser's error.
        source: lexopt::Error,
    },
    /// The command does not exist.
    #[snafu(display(
        "SW{}: unknown command {name:?}; see stairward --help",
        ResultCode::InvalidCommandLine.number()
    ))]
    UnknownCommand {
        /// The name given.
        name: String,
    },
    /// An argument is missing, unexpected or out of range.
    #[snafu(display("SW{}: {message}", ResultCode::InvalidCommandLine.number()))]
    Usage {
        /// Description of the problem.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The process file is invalid; its problems have already been printed.
    #[snafu(display("{}: {}", ResultCode::InvalidProcessFile, path.display()))]
    InvalidProcessFile {
        /// The file.
        path: PathBuf,
    },
    /// A node, a demo or the runtime of a command could not be started.
    #[snafu(display("the node cannot start: {source}"))]
    Start {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request to the node's admin interface failed.
    #[snafu(
        display("request to the admin interface failed: {source}"),
        context(false)
    )]
    Admin {
        /// The HTTP client's error.
        source: reqwest::Error,
    },
    /// The node's admin interface refused a request, or a settings file is invalid.
    #[snafu(display("{message}"))]
    Refused {
        /// The reason, including any result code.
        message: String,
    },
}

impl Failure {
    /// The exit code of this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Option { .. } | Self::UnknownCommand { .. } | Self::Usage { .. } => EXIT_USAGE,
            Self::InvalidProcessFile { .. } | Self::Refused { .. } => EXIT_FAULT_FOUND,
            Self::File { .. } | Self::Start { .. } | Self::Admin { .. } => EXIT_UNREACHABLE,
        }
    }
}
