//! Which faults strike when. The plan of a run depends on its seed alone.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::Snafu;
use stairward_types::Time;

use super::random::Random;

/// Faults begin no earlier than this, so that the fleet has settled.
const FIRST_FAULT: Duration = Duration::from_millis(2_000);
/// Faults begin no later than this, so that the run ends in calm.
const LAST_FAULT: Duration = Duration::from_millis(9_000);
/// Faults of one run at most.
const MAXIMUM_FAULTS: usize = 4;
/// How often a fault comes with a second one at almost the same moment.
const TOGETHER_PROBABILITY: f64 = 0.5;

macro_rules! fault_kinds {
    ($($(#[doc = $documentation:literal])+ $name:ident = $text:literal, $least:literal, $most:literal;)+) => {
        /// A kind of fault.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[doc = $documentation])+ $name,)+
        }

        impl FaultKind {
            /// Every kind.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Its name on the command line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }

            /// How long it lasts, at least and at most, in milliseconds.
            const fn lasts_milliseconds(self) -> (u64, u64) {
                match self { $(Self::$name => ($least, $most),)+ }
            }
        }
    };
}

fault_kinds! {
    /// A primary is cut off from its group while some proxies still reach it.
    PrimaryCutoff = "primary-cutoff", 1_000, 4_000;
    /// A primary stops and later comes back.
    PrimaryStop = "primary-stop", 1_000, 4_000;
    /// A replica applies its log seconds late.
    ReplicaLag = "replica-lag", 1_000, 5_000;
    /// A proxy's process dies; a new one comes later.
    ProxyKill = "proxy-kill", 500, 3_000;
    /// A proxy's process is paused past its leases, unaware of it.
    ProxyPause = "proxy-pause", 1_000, 6_000;
    /// The platform's store does not answer.
    StoreDown = "store-down", 2_000, 6_000;
    /// The platform's store answers late.
    StoreSlow = "store-slow", 2_000, 6_000;
    /// Replies of the platform's store are lost after the change took effect.
    LostReply = "lost-reply", 2_000, 6_000;
    /// Two operators edit the settings at the same moment.
    RacingEdits = "racing-edits", 0, 0;
    /// A proxy is stopped as planned; a new process comes later.
    PlannedStop = "planned-stop", 1_000, 3_000;
    /// An operator marks a back end as leaving, and later as active.
    BackendLeaving = "backend-leaving", 4_000, 6_000;
    /// Messages between proxies come late, twice and out of order.
    LateMessages = "late-messages", 1_000, 4_000;
    /// Proxies lose each other: one is cut off from the others.
    ProxyPartition = "proxy-partition", 1_000, 6_000;
}

/// A fault nobody knows.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("there is no fault {name:?}; the faults are {}", known_names()))]
pub struct UnknownFault {
    /// The name given.
    name: String,
}

fn known_names() -> String {
    let names: Vec<_> = FaultKind::ALL.iter().map(|kind| kind.name()).collect();
    names.join(", ")
}

impl FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|kind| kind.name() == text);
        found.copied().ok_or_else(|| UnknownFault {
            name: text.to_owned(),
        })
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlannedFault {
    /// Its kind.
    pub kind: FaultKind,
    /// When it begins.
    pub begins: Time,
    /// When it ends.
    pub ends: Time,
    /// Chooses whom it strikes.
    pub target: usize,
}

/// Draws the faults of a run: a few, half of them with a second one at almost the same moment.
pub(super) fn plan(kinds: &[FaultKind], random: &mut Random) -> Vec<PlannedFault> {
    let mut faults: Vec<PlannedFault> = Vec::new();
    if kinds.is_empty() {
        return faults;
    }
    let count = 1 + random.below(MAXIMUM_FAULTS);
    while faults.len() < count {
        let begins = Time::ZERO + random.between(FIRST_FAULT, LAST_FAULT);
        faults.push(draw(kinds, begins, random));
        if random.chance(TOGETHER_PROBABILITY) {
            let shortly_after = begins + random.between(Duration::ZERO, Duration::from_millis(500));
            faults.push(draw(kinds, shortly_after, random));
        }
    }
    faults
}

fn draw(kinds: &[FaultKind], begins: Time, random: &mut Random) -> PlannedFault {
    let kind = kinds[random.below(kinds.len())];
    let (least, most) = kind.lasts_milliseconds();
    let lasts = random.between(Duration::from_millis(least), Duration::from_millis(most));
    PlannedFault {
        kind,
        begins,
        ends: begins + lasts,
        target: random.below(usize::from(u16::MAX)),
    }
}
