//! Terms and log positions, which measure the replication progress of a database.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Period of leadership of one primary in its group (PostgreSQL's timeline). A later primary has a higher term.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A position in a group's log (PostgreSQL's `pg_lsn`), displayed as `HIGH/LOW` in hexadecimal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

/// Why a text is not a log position.
#[derive(Debug, Snafu)]
pub enum ParseLogPositionError {
    /// There is no `/` between the halves.
    #[snafu(display("{text:?} is not a log position: '/' is missing"))]
    MissingSlash {
        /// The refused text.
        text: String,
    },
    /// A half is not a hexadecimal number of at most 32 bits.
    #[snafu(display("{text:?} is not a log position"))]
    NotHexadecimal {
        /// The refused text.
        text: String,
        /// The parser's error.
        source: std::num::ParseIntError,
    },
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

impl FromStr for LogPosition {
    type Err = ParseLogPositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (high, low) = text.split_once('/').context(MissingSlashSnafu { text })?;
        let high = u32::from_str_radix(high, 16).context(NotHexadecimalSnafu { text })?;
        let low = u32::from_str_radix(low, 16).context(NotHexadecimalSnafu { text })?;
        Ok(Self((u64::from(high) << 32) | u64::from(low)))
    }
}

/// Replication progress of a database: its term, and its position in that term's log.
///
/// Freshness is only partially ordered. A database at a higher position of an older term may hold log
/// entries that the group has abandoned, so it covers nothing of the newer term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Freshness {
    /// The term whose log the database follows.
    pub term: Term,
    /// The position up to which it has applied that log.
    pub position: LogPosition,
}

impl Freshness {
    /// Creates a freshness from term and position.
    #[must_use]
    pub const fn new(term: Term, position: LogPosition) -> Self {
        Self { term, position }
    }

    /// Whether this freshness includes `floor`: it has reached both its term and its position. A later
    /// term includes every fenced position of earlier ones.
    #[must_use]
    pub fn covers(self, floor: Self) -> bool {
        self.term >= floor.term && self.position >= floor.position
    }

    /// The smallest freshness that covers both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            term: self.term.max(other.term),
            position: self.position.max(other.position),
        }
    }
}
