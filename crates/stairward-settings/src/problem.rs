//! What can be wrong with a process file or a settings tree, and where.

use std::fmt;
use std::net::SocketAddr;

use snafu::Snafu;
use stairward_types::{InvalidName, ResultCode};

use crate::path::Level;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The place in the settings tree, or the table of the process file.
    pub path: String,
    /// The option, when the problem is with one.
    pub option: Option<String>,
    /// The line, counted from 1, when it came from a file.
    pub line: Option<usize>,
    /// [`ResultCode::InvalidSettings`] or [`ResultCode::InvalidProcessFile`].
    pub code: ResultCode,
    /// What is wrong.
    pub kind: Box<ProblemKind>,
}

impl SettingsProblem {
    /// The problem as text without its line, for those who show the line themselves.
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

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProblemKind {
    /// The file cannot be read.
    #[snafu(display("cannot be read: {reason}"))]
    Unreadable {
        /// What the operating system said.
        reason: String,
    },
    /// The text is not TOML.
    #[snafu(display("not TOML: {message}"))]
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// Neither a process file nor a settings tree.
    #[snafu(display(
        "neither a process file (with [node] and [listen]) nor a settings tree (with [root] or [region.NAME])"
    ))]
    UnknownFileKind,
    /// No option or table has this name.
    #[snafu(display("unknown name{}", suggestion.as_ref().map(|name| format!(", did you mean {name}?")).unwrap_or_default()))]
    UnknownName {
        /// The nearest known name.
        suggestion: Option<String>,
    },
    /// The path does not fit the tree.
    #[snafu(display("{message}"))]
    BadPath {
        /// Why.
        message: String,
    },
    /// The value is of another type.
    #[snafu(display("must be {expected}, is {found}"))]
    WrongType {
        /// What it must be.
        expected: &'static str,
        /// What it is.
        found: &'static str,
    },
    /// The number is out of range.
    #[snafu(display("{value} is not within {minimum} to {maximum}"))]
    OutOfRange {
        /// The refused number.
        value: u64,
        /// Least number allowed.
        minimum: u64,
        /// Greatest number allowed.
        maximum: u64,
    },
    /// The word is not one of those allowed.
    #[snafu(display("{value:?} is not one of {}", choices.join(", ")))]
    NotAChoice {
        /// The refused word.
        value: String,
        /// The words allowed.
        choices: &'static [&'static str],
    },
    /// The text is empty, too long, or has control characters.
    #[snafu(display("must be 1 to {maximum_bytes} bytes without control characters"))]
    InvalidText {
        /// Longest text allowed, in bytes.
        maximum_bytes: usize,
    },
    /// The name breaks the rules for names.
    #[snafu(display("{source}"))]
    BadName {
        /// Which rule.
        source: InvalidName,
    },
    /// The text is not an IP number and a port.
    #[snafu(display("{value:?} is not an IP number and a port, such as 10.0.0.7:5432"))]
    BadAddress {
        /// The refused text.
        value: String,
    },
    /// The option may not be set at this level.
    #[snafu(display("may not be set at level {level}, only from {highest} to {lowest}"))]
    NotAllowedHere {
        /// The level it was set at.
        level: Level,
        /// The most general level allowed.
        highest: Level,
        /// The most specific level allowed.
        lowest: Level,
    },
    /// A required option is not set.
    #[snafu(display("must be set"))]
    Missing,
    /// The option to be taken back is not set at this place.
    #[snafu(display("is not set here"))]
    NotSet,
    /// The place to be removed is not in the tree.
    #[snafu(display("there is no such place"))]
    NoSuchPlace,
    /// Two places have a name that must be unique in the fleet.
    #[snafu(display("the name is already used by {other}"))]
    DuplicateName {
        /// The other place.
        other: String,
    },
    /// Two back ends have the same address.
    #[snafu(display("{address} is already used by {other}"))]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
        /// The other back end's place.
        other: String,
    },
    /// A group has no back end.
    #[snafu(display("the group has no back end"))]
    NoBackends,
    /// The active back ends are too few to confirm writes.
    #[snafu(display(
        "{active} of {members} back ends are active; a majority of {needed} is needed"
    ))]
    NoActiveMajority {
        /// Back ends in the state active.
        active: usize,
        /// Back ends of the group.
        members: usize,
        /// How many must be active.
        needed: usize,
    },
    /// The value contradicts another option's.
    #[snafu(display("{value} exceeds {other_option} = {other_value}"))]
    Exceeds {
        /// This option's value.
        value: u64,
        /// The option it must not exceed.
        other_option: &'static str,
        /// That option's value.
        other_value: u64,
    },
    /// The value is less than another option's, which must not exceed it.
    #[snafu(display("{value} is less than {other_option} = {other_value}"))]
    LessThan {
        /// This option's value.
        value: u64,
        /// The option that must not exceed it.
        other_option: &'static str,
        /// That option's value.
        other_value: u64,
    },
    /// There are more entries than the limit.
    #[snafu(display("{count} entries, at most {maximum} are allowed"))]
    TooMany {
        /// How many there are.
        count: usize,
        /// How many are allowed.
        maximum: usize,
    },
    /// The key is too short to be safe.
    #[snafu(display("the key has {bytes} bytes, at least {minimum} are needed"))]
    ShortKey {
        /// How many it has.
        bytes: usize,
        /// How many are needed.
        minimum: usize,
    },
    /// The admin interface would be reachable by others without protection.
    #[snafu(display("an address that is not loopback needs [admin] token_file and [admin.tls]"))]
    UnprotectedAdmin,
}
