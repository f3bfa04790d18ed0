//! Mixes of faults that follow each other closely.

use std::time::Duration;

use crate::options::{FaultKind, Options};

/// A mix of faults that follow each other closely, and the kind of platform they strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mix {
    /// All kinds of [`FaultKind::ALL`], on a platform where old primaries keep running.
    Close,
    /// Like [`Self::Close`], and the store is restored from older copies.
    Restores,
    /// Late promotions, restores and killed nodes.
    LatePromotions,
    /// Like [`Self::LatePromotions`], with more faults in a shorter time.
    DenseLatePromotions,
    /// Like [`Self::LatePromotions`], without restores.
    LatePromotionsWithoutRestores,
    /// All kinds of faults, with evacuations and lost logs.
    Every,
    /// Like [`Self::Every`], with more nodes and few connections.
    EveryWithSevenNodes,
    /// Like [`Self::Close`], and databases lose their logs.
    LostLogs,
    /// Like [`Self::Restores`], with one synchronous replica.
    SynchronousRestores,
    /// Like [`Self::Every`], for longer.
    Long,
    /// Like [`Self::Every`], where an old primary ends with the promotion of another member.
    Ending,
    /// Like [`Self::Close`], where old primaries end.
    EndingClose,
    /// Like [`Self::Restores`], where old primaries end.
    EndingRestores,
    /// Like [`Self::LostLogs`], where old primaries end.
    EndingLostLogs,
    /// Like [`Self::Close`], with one synchronous replica.
    SynchronousClose,
    /// Like [`Self::EndingClose`], with one synchronous replica.
    SynchronousEnding,
    /// Like [`Self::Close`], followed by a long time without faults.
    Quiet,
    /// Like [`Self::SynchronousClose`], followed by a long time without faults.
    SynchronousQuiet,
    /// Like [`Self::Restores`], with two nodes.
    TwoNodes,
}

/// Duration of runs with a long time without faults, or with many faults.
const LONG_DURATION: Duration = Duration::from_secs(60);

impl Mix {
    /// All mixes.
    pub const ALL: [Self; 19] = [
        Self::Close,
        Self::Restores,
        Self::LatePromotions,
        Self::DenseLatePromotions,
        Self::LatePromotionsWithoutRestores,
        Self::Every,
        Self::EveryWithSevenNodes,
        Self::LostLogs,
        Self::SynchronousRestores,
        Self::Long,
        Self::Ending,
        Self::EndingClose,
        Self::EndingRestores,
        Self::EndingLostLogs,
        Self::SynchronousClose,
        Self::SynchronousEnding,
        Self::Quiet,
        Self::SynchronousQuiet,
        Self::TwoNodes,
    ];

    /// Its name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Close => "close",
            Self::Restores => "restores",
            Self::LatePromotions => "late",
            Self::DenseLatePromotions => "late-dense",
            Self::LatePromotionsWithoutRestores => "late-only",
            Self::Every => "every",
            Self::EveryWithSevenNodes => "every-7",
            Self::LostLogs => "lostlog",
            Self::SynchronousRestores => "sync",
            Self::Long => "long",
            Self::Ending => "ending",
            Self::EndingClose => "ending-close",
            Self::EndingRestores => "ending-restores",
            Self::EndingLostLogs => "ending-lostlog",
            Self::SynchronousClose => "sync-close",
            Self::SynchronousEnding => "sync-ending",
            Self::Quiet => "quiet",
            Self::SynchronousQuiet => "sync-quiet",
            Self::TwoNodes => "two",
        }
    }

    /// The mix of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|mix| mix.name() == name)
    }

    /// The options of a run of this mix.
    #[must_use]
    pub fn options(self, seed: u64) -> Options {
        let options = Options {
            old_primaries_keep_running: !self.ends_old_primaries(),
            compares_logs: true,
            synchronous_replicas: u32::from(self.is_synchronous()),
            faults: self.faults(),
            fault_count: 14,
            max_pause_ms: 1_500,
            ..Options::new(seed)
        };
        match self {
            Self::DenseLatePromotions => Options {
                fault_count: 24,
                max_pause_ms: 900,
                ..options
            },
            Self::EveryWithSevenNodes => Options {
                nodes: 7,
                connections: 9,
                ..options
            },
            Self::Long => Options {
                fault_count: 40,
                duration: LONG_DURATION,
                ..options
            },
            Self::Quiet | Self::SynchronousQuiet => Options {
                duration: LONG_DURATION,
                ..options
            },
            Self::TwoNodes => Options {
                nodes: 2,
                ..options
            },
            _ => options,
        }
    }

    const fn ends_old_primaries(self) -> bool {
        matches!(
            self,
            Self::Ending
                | Self::EndingClose
                | Self::EndingRestores
                | Self::EndingLostLogs
                | Self::SynchronousEnding
        )
    }

    const fn is_synchronous(self) -> bool {
        matches!(
            self,
            Self::SynchronousRestores
                | Self::SynchronousClose
                | Self::SynchronousEnding
                | Self::SynchronousQuiet
        )
    }

    fn faults(self) -> Vec<FaultKind> {
        match self {
            Self::Close
            | Self::Quiet
            | Self::EndingClose
            | Self::SynchronousClose
            | Self::SynchronousEnding
            | Self::SynchronousQuiet => FaultKind::ALL.to_vec(),
            Self::Restores | Self::SynchronousRestores | Self::EndingRestores | Self::TwoNodes => {
                FaultKind::with_restores()
            }
            Self::LatePromotions | Self::DenseLatePromotions => late_promotions(),
            Self::LatePromotionsWithoutRestores => {
                let faults = late_promotions().into_iter();
                faults
                    .filter(|kind| *kind != FaultKind::StoreRestored)
                    .collect()
            }
            Self::Every | Self::EveryWithSevenNodes | Self::Long | Self::Ending => every_kind(),
            Self::LostLogs | Self::EndingLostLogs => {
                let lost_logs = [FaultKind::PrimaryLostLog; 3].into_iter();
                let lost_logs = lost_logs.chain([FaultKind::ReplicaLostLog; 2]);
                FaultKind::ALL.into_iter().chain(lost_logs).collect()
            }
        }
    }
}

fn every_kind() -> Vec<FaultKind> {
    let added = [
        FaultKind::Evacuation,
        FaultKind::PrimaryLostLog,
        FaultKind::PrimaryLostLog,
        FaultKind::ReplicaLostLog,
    ];
    FaultKind::with_restores()
        .into_iter()
        .chain(added)
        .collect()
}

fn late_promotions() -> Vec<FaultKind> {
    vec![
        FaultKind::DelayedPromotion,
        FaultKind::DelayedPromotion,
        FaultKind::DelayedPromotion,
        FaultKind::StoreRestored,
        FaultKind::StoreRestored,
        FaultKind::StoreRestored,
        FaultKind::NodeKill,
        FaultKind::NodeKill,
        FaultKind::PrimaryUnresponsive,
        FaultKind::PrimaryUnresponsive,
        FaultKind::PrimaryCrash,
        FaultKind::PrimaryPartition,
        FaultKind::StorePartition,
        FaultKind::NodePause,
    ]
}
