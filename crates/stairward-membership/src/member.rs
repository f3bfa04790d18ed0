//! One member as a node knows it.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_types::{Incarnation, NodeId, RegionName, Time, ZoneName};

/// Which life of a process, and how often the process has spoken for itself in it. News of a higher
/// version wins. Only the member itself raises it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version {
    /// The life of the process.
    pub incarnation: Incarnation,
    /// Raised when the member refutes a suspicion or announces that it leaves.
    pub refutation: u32,
}

impl Version {
    /// The first version of a life.
    #[must_use]
    pub const fn first(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            refutation: 0,
        }
    }

    /// The version that overrides all news of this one.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.refutation.checked_add(1) {
            Some(refutation) => Self { refutation, ..self },
            None => Self::first(Incarnation(self.incarnation.0.saturating_add(1))),
        }
    }
}

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// Its number.
    pub node: NodeId,
    /// The version in which it says so.
    pub version: Version,
    /// Where it listens, on TCP and on UDP.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
}

/// What is believed of a member. Of two beliefs of the same version, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute that. It counts as alive for all others.
    Suspect,
    /// It did not refute a suspicion in time.
    Failed,
    /// It has stopped as planned.
    Left,
}

impl Status {
    /// Whether the member is in the view.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// What a node keeps of a member.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// What the member last said of itself, perhaps in an earlier version.
    pub profile: Arc<Profile>,
    /// The newest version heard of.
    pub version: Version,
    /// What is believed of that version.
    pub status: Status,
    /// When that belief began.
    pub since: Time,
}

impl Record {
    /// Whether news of this version and status would change the belief.
    pub fn is_overridden_by(&self, version: Version, status: Status) -> bool {
        (version, status) > (self.version, self.status)
    }
}
