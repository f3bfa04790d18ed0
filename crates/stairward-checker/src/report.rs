//! What the checkers found.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::event::RequestId;

/// Examples kept of each invariant's violations.
const MAXIMUM_EXAMPLES: usize = 10;

/// What must always hold. The names are those of the JSON reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A session sees its own acknowledged writes in each later read.
    OwnReads,
    /// No write is acknowledged by a primary that has been replaced.
    ReplacedPrimaryAck,
    /// Statements of two transactions never run inside one transaction.
    MixedTransactions,
    /// Each caller gets the whole answer to its own request.
    ForeignAnswer,
    /// What is refused as not run did not run.
    NotRunRan,
    /// What is not repeatable runs at most once.
    RanTwice,
    /// A leaving back end gets no new work after a few seconds.
    LeavingGotWork,
    /// A planned stop cuts no request in flight.
    StopCutRequest,
    /// An accepted configuration is soon in force on every proxy and never reverts.
    ConfigurationReverted,
}

impl Invariant {
    /// Every invariant.
    pub const ALL: [Self; 9] = [
        Self::OwnReads,
        Self::ReplacedPrimaryAck,
        Self::MixedTransactions,
        Self::ForeignAnswer,
        Self::NotRunRan,
        Self::RanTwice,
        Self::LeavingGotWork,
        Self::StopCutRequest,
        Self::ConfigurationReverted,
    ];

    /// Its name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OwnReads => "own_reads",
            Self::ReplacedPrimaryAck => "replaced_primary_ack",
            Self::MixedTransactions => "mixed_transactions",
            Self::ForeignAnswer => "foreign_answer",
            Self::NotRunRan => "not_run_ran",
            Self::RanTwice => "ran_twice",
            Self::LeavingGotWork => "leaving_got_work",
            Self::StopCutRequest => "stop_cut_request",
            Self::ConfigurationReverted => "configuration_reverted",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One violation, told for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// What was violated.
    pub invariant: Invariant,
    /// The requests concerned.
    pub requests: Vec<RequestId>,
    /// What happened.
    pub text: String,
}

/// How often each invariant was violated, and on how many observations it was checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Violations by invariant; every invariant is present.
    pub violations: BTreeMap<Invariant, u64>,
    /// Observations by invariant; every invariant is present.
    pub checked: BTreeMap<Invariant, u64>,
    /// The first violations of each invariant.
    pub examples: Vec<Violation>,
    /// Records missing from the history. Unless 0, the report proves nothing.
    pub dropped: u64,
}

impl Default for Report {
    fn default() -> Self {
        let zeroes = || Invariant::ALL.iter().map(|&name| (name, 0)).collect();
        Self {
            violations: zeroes(),
            checked: zeroes(),
            examples: Vec::new(),
            dropped: 0,
        }
    }
}

impl Report {
    /// Whether nothing was violated and no record is missing.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dropped == 0 && self.violations.values().all(|&count| count == 0)
    }

    /// How often an invariant was violated.
    #[must_use]
    pub fn violation_count(&self, invariant: Invariant) -> u64 {
        self.violations.get(&invariant).copied().unwrap_or(0)
    }

    /// On how many observations an invariant was checked.
    #[must_use]
    pub fn observation_count(&self, invariant: Invariant) -> u64 {
        self.checked.get(&invariant).copied().unwrap_or(0)
    }

    /// Adds the figures and examples of another report.
    pub fn merge(&mut self, other: Self) {
        for (invariant, count) in other.violations {
            *self.violations.entry(invariant).or_default() += count;
        }
        for (invariant, count) in other.checked {
            *self.checked.entry(invariant).or_default() += count;
        }
        for example in other.examples {
            self.keep_example(example);
        }
        self.dropped += other.dropped;
    }

    pub(crate) fn observe(&mut self, invariant: Invariant) {
        *self.checked.entry(invariant).or_default() += 1;
    }

    pub(crate) fn violate(&mut self, invariant: Invariant, requests: Vec<RequestId>, text: String) {
        *self.violations.entry(invariant).or_default() += 1;
        self.keep_example(Violation {
            invariant,
            requests,
            text,
        });
    }

    fn keep_example(&mut self, example: Violation) {
        let kept = self
            .examples
            .iter()
            .filter(|known| known.invariant == example.invariant)
            .count();
        if kept < MAXIMUM_EXAMPLES {
            self.examples.push(example);
        }
    }
}
