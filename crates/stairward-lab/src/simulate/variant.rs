//! Deliberately broken decisions, each of which a checker must catch.
//!
//! They wrap decisions in the simulation's drivers. No product code knows of them.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;
use stairward_checker::Invariant;

macro_rules! broken_variants {
    ($($(#[doc = $documentation:literal])+ $name:ident = $text:literal, $invariant:ident;)+) => {
        /// A decision that is deliberately wrong.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum BrokenVariant {
            $($(#[doc = $documentation])+ $name,)+
        }

        impl BrokenVariant {
            /// Every variant.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Its name on the command line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }

            /// The invariant that it violates.
            #[must_use]
            pub const fn invariant(self) -> Invariant {
                match self { $(Self::$name => Invariant::$invariant,)+ }
            }
        }
    };
}

broken_variants! {
    /// Commits are acknowledged without asking the group's members.
    Fence = "fence", ReplacedPrimaryAck;
    /// Reads are sent without the session's floor.
    Floor = "floor", OwnReads;
    /// Writes that are not repeatable are sent again after their outcome became unknown.
    Retry = "retry", RanTwice;
    /// Connections return to the pool without their transaction being ended.
    PoolReset = "pool-reset", MixedTransactions;
    /// A planned stop exits at once.
    Drain = "drain", StopCutRequest;
    /// A node applies whatever revision arrives.
    Revision = "revision", ConfigurationReverted;
    /// Answers are matched by arrival instead of by their number.
    Multiplex = "multiplex", ForeignAnswer;
    /// A request that was sent is refused as not run when its outcome is unknown.
    NotRun = "not-run", NotRunRan;
    /// Marks of leaving are ignored.
    Leaving = "leaving", LeavingGotWork;
}

/// A variant nobody knows.
#[derive(Debug, Snafu)]
#[snafu(display("there is no broken variant {name:?}"))]
pub struct UnknownVariant {
    /// The name given.
    name: String,
}

impl FromStr for BrokenVariant {
    type Err = UnknownVariant;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|variant| variant.name() == text);
        found.copied().ok_or_else(|| UnknownVariant {
            name: text.to_owned(),
        })
    }
}

impl fmt::Display for BrokenVariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
