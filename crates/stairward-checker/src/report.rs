//! The checkers' findings.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::event::RequestId;

/// Maximum number of example violations kept for each invariant.
const MAXIMUM_EXAMPLES: usize = 10;

/// A property that every history must have. JSON reports use the names in snake case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A session sees its own acknowledged writes in each later read.
    OwnReads,
    /// No write is acknowledged by a primary that has been replaced.
    ReplacedPrimaryAck,
    /// Statements of two requests never run in one back-end transaction.
    MixedTransactions,
    /// Each caller gets the complete answer to its own request, once.
    ForeignAnswer,
    /// A request refused as not run did not take effect.
    NotRunRan,
    /// A request that is not repeatable, or a request key, is committed at most once.
    RanTwice,
    /// A leaving back end gets no new work after the grace period.
    LeavingGotWork,
    /// A planned stop of a proxy interrupts no request in flight.
    StopCutRequest,
    /// An accepted settings revision is in force on every proxy within the limit and never reverts.
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

    /// The invariant's name in reports.
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

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The invariant violated.
    pub invariant: Invariant,
    /// The requests involved.
    pub requests: Vec<RequestId>,
    /// Description of the violation.
    pub text: String,
}

/// How often each invariant was violated, and on how many observations it was checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of violations by invariant; contains every invariant.
    pub violations: BTreeMap<Invariant, u64>,
    /// Number of observations checked by invariant; contains every invariant.
    pub checked: BTreeMap<Invariant, u64>,
    /// The first few violations of each invariant.
    pub examples: Vec<Violation>,
    /// Number of records missing from the history. Unless it is 0, the report proves nothing.
    pub dropped: u64,
}

impl Default for Report {
    fn default() -> Self {
        let zeroes = || {
            Invariant::ALL
                .iter()
                .map(|&invariant| (invariant, 0))
                .collect()
        };
        Self {
            violations: zeroes(),
            checked: zeroes(),
            examples: Vec::new(),
            dropped: 0,
        }
    }
}

impl Report {
    /// Whether no invariant was violated and no record is missing.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dropped == 0 && self.violations.values().all(|&count| count == 0)
    }

    /// Number of violations of an invariant.
    #[must_use]
    pub fn violation_count(&self, invariant: Invariant) -> u64 {
        self.violations.get(&invariant).copied().unwrap_or(0)
    }

    /// Number of observations on which an invariant was checked.
    #[must_use]
    pub fn observation_count(&self, invariant: Invariant) -> u64 {
        self.checked.get(&invariant).copied().unwrap_or(0)
    }

    /// Adds the counts and examples of another report.
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
        let kept_count = self
            .examples
            .iter()
            .filter(|kept| kept.invariant == example.invariant)
            .count();
        if kept_count < MAXIMUM_EXAMPLES {
            self.examples.push(example);
        }
    }
}
