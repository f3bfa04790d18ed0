//! Terms and log positions: how far a copy of a database group has come.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// A primary's reign in its group, PostgreSQL's timeline. A later primary has a higher term.
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

/// A position in a group's log, PostgreSQL's `pg_lsn`. Shown as `HIGH/LOW` in hexadecimal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

/// Text that is not a log position.
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
        /// What the number parser said.
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

/// How far a copy has come: its term, and its position in that term's log.
///
/// Freshness is only partly ordered. A copy at a higher position but an older term may hold a log
/// that the group has abandoned, so it covers nothing of the newer term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Freshness {
    /// The term whose log the copy follows.
    pub term: Term,
    /// The position up to which it has applied that log.
    pub position: LogPosition,
}

impl Freshness {
    /// Builds a freshness from its parts.
    #[must_use]
    pub const fn new(term: Term, position: LogPosition) -> Self {
        Self { term, position }
    }

    /// Whether a copy this fresh holds all that `floor` asks for: it has reached both the term and
    /// the position. A later term includes every fenced position of the earlier ones.
    #[must_use]
    pub fn covers(self, floor: Self) -> bool {
        self.term >= floor.term && self.position >= floor.position
    }

    /// The least freshness that covers both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            term: self.term.max(other.term),
            position: self.position.max(other.position),
        }
    }
}
