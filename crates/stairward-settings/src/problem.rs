//! Problems reported by the validation of process files and settings trees.

use std::fmt;
use std::net::SocketAddr;

use snafu::Snafu;
use stairward_types::{InvalidName, ResultCode};

use crate::path::Level;

/// A validation problem and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The path in the settings tree, the table of the process file, or the name of a file.
    pub path: String,
    /// The option, when the problem concerns one.
    pub option: Option<String>,
    /// The line number, counted from 1, when the problem has a line in a file.
    pub line: Option<usize>,
    /// [`ResultCode::InvalidSettings`] or [`ResultCode::InvalidProcessFile`].
    pub code: ResultCode,
    /// The kind of the problem.
    pub kind: Box<ProblemKind>,
}

impl SettingsProblem {
    /// Formats the problem without its line, for callers that print the line separately.
    #[must_use]
    pub fn without_line(&self) -> String {
        let mut place = self.path.clone();
        if let Some(option) = &self.option {
            place.push(' ');
            place.push_str(option);
        }
        format!("{place}: {} (SW{})", self.kind, self.code.number())
    }
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        formatter.write_str(&self.without_line())
    }
}

impl std::error::Error for SettingsProblem {}

/// The kind of a problem.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProblemKind {
    /// The file cannot be read.
    #[snafu(display("cannot be read: {reason}"))]
    Unreadable {
        /// The error of the operating system.
        reason: String,
    },
    /// The text is not TOML.
    #[snafu(display("not TOML: {message}"))]
    Syntax {
        /// The error of the parser.
        message: String,
    },
    /// The file is neither a process file nor a settings tree.
    #[snafu(display(
        "neither a process file (with [node] and [listen]) nor a settings tree (with [root] or [region.NAME])"
    ))]
    UnknownFileKind,
    /// No option or table has this name.
    #[snafu(display("unknown name{}", suggestion.as_ref().map(|name| format!(", did you mean {name}?")).unwrap_or_default()))]
    UnknownName {
        /// The most similar known name, if any is similar enough.
        suggestion: Option<String>,
    },
    /// The path is not valid.
    #[snafu(display("{message}"))]
    InvalidPath {
        /// The reason.
        message: String,
    },
    /// The value is of another type.
    #[snafu(display("must be {expected}, is {found}"))]
    WrongType {
        /// The required type.
        expected: &'static str,
        /// The type found.
        found: &'static str,
    },
    /// The number is out of range.
    #[snafu(display("{value} is not within {minimum} to {maximum}"))]
    OutOfRange {
        /// The rejected number.
        value: u64,
        /// Smallest valid number.
        minimum: u64,
        /// Largest valid number.
        maximum: u64,
    },
    /// The text is not one of the valid words.
    #[snafu(display("{value:?} is not one of {}", choices.join(", ")))]
    NotAChoice {
        /// The rejected word.
        value: String,
        /// The valid words.
        choices: &'static [&'static str],
    },
    /// The text is empty, too long, or has control characters.
    #[snafu(display("must be 1 to {maximum_bytes} bytes without control characters"))]
    InvalidText {
        /// Maximum length, in bytes.
        maximum_bytes: usize,
    },
    /// The name is not valid.
    #[snafu(display("{source}"))]
    InvalidName {
        /// The violated rule.
        source: InvalidName,
    },
    /// The text is not an IP address and a port.
    #[snafu(display("{value:?} is not an IP number and a port, such as 10.0.0.7:5432"))]
    InvalidAddress {
        /// The rejected text.
        value: String,
    },
    /// The option may not be set at this level.
    #[snafu(display("may not be set at level {level}, only from {highest} to {lowest}"))]
    NotAllowedHere {
        /// The level at which it was set.
        level: Level,
        /// The most general level at which it may be set.
        highest: Level,
        /// The most specific level at which it may be set.
        lowest: Level,
    },
    /// A required option is not set.
    #[snafu(display("must be set"))]
    Missing,
    /// The option to unset is not set at this place.
    #[snafu(display("is not set here"))]
    NotSet,
    /// The place to remove is not in the tree.
    #[snafu(display("there is no such place"))]
    NoSuchPlace,
    /// Two places have the same name, which must be unique in the fleet.
    #[snafu(display("the name is already used by {other}"))]
    DuplicateName {
        /// Path of the other place.
        other: String,
    },
    /// Two back ends, or two listeners of a process, have the same address.
    #[snafu(display("{address} is already used by {other}"))]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
        /// Path of the other back end, or name of the other listener.
        other: String,
    },
    /// A group has no back end.
    #[snafu(display("the group has no back end"))]
    NoBackends,
    /// Too few back ends are active to form a majority that confirms writes.
    #[snafu(display(
        "{active} of {members} back ends are active; a majority of {needed} is needed"
    ))]
    NoActiveMajority {
        /// Number of back ends in state `active`.
        active: usize,
        /// Number of back ends of the group.
        members: usize,
        /// Number of back ends that must be active.
        needed: usize,
    },
    /// The value exceeds that of another option, which is its upper bound.
    #[snafu(display("{value} exceeds {other_option} = {other_value}"))]
    Exceeds {
        /// This option's value.
        value: u64,
        /// The option that bounds it.
        other_option: &'static str,
        /// The bounding option's value.
        other_value: u64,
    },
    /// The value is less than that of another option, for which it is the upper bound.
    #[snafu(display("{value} is less than {other_option} = {other_value}"))]
    LessThan {
        /// This option's value.
        value: u64,
        /// The option that it bounds.
        other_option: &'static str,
        /// The bounded option's value.
        other_value: u64,
    },
    /// There are more entries than the limit.
    #[snafu(display("{count} entries, at most {maximum} are allowed"))]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        maximum: usize,
    },
    /// The key is shorter than the minimum.
    #[snafu(display("the key has {bytes} bytes, at least {minimum} are needed"))]
    ShortKey {
        /// Length of the key, in bytes.
        bytes: usize,
        /// Minimum length, in bytes.
        minimum: usize,
    },
    /// The admin interface listens on an address other than loopback without a token and TLS.
    #[snafu(display("an address that is not loopback needs [admin] token_file and [admin.tls]"))]
    UnprotectedAdmin,
}
