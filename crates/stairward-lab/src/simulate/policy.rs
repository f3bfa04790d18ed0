//! The decision policies that can be compared.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// How reads are placed and failures are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The project's own decisions.
    Stairward,
    /// What is usual elsewhere, for comparison: after a write a session reads from the primary for a
    /// fixed time, and a health check every second finds the primary.
    Baseline,
}

/// A policy nobody knows.
#[derive(Debug, Snafu)]
#[snafu(display("there is no policy {name:?}; the policies are stairward, baseline"))]
pub struct UnknownPolicy {
    /// The name given.
    name: String,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "stairward" => Ok(Self::Stairward),
            "baseline" => Ok(Self::Baseline),
            name => UnknownPolicySnafu { name }.fail(),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Stairward => "stairward",
            Self::Baseline => "baseline",
        })
    }
}
