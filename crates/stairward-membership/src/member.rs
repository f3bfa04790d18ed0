//! State of one member as known to a node.

use std::net::SocketAddr;
use std::sync::Arc;

use stairward_types::{Incarnation, NodeId, RegionName, Time, ZoneName};

/// Version of a member's status: the incarnation of its process and a counter within it. Updates
/// with a higher version take precedence. Only the member itself raises its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Version {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Incremented when the member refutes a suspicion or announces that it leaves.
    pub refutation: u32,
}

impl Version {
    /// The first version of an incarnation.
    #[must_use]
    pub const fn first(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            refutation: 0,
        }
    }

    /// The next version, which overrides all updates on this one.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.refutation.checked_add(1) {
            Some(refutation) => Self { refutation, ..self },
            None => Self::first(Incarnation(self.incarnation.0.saturating_add(1))),
        }
    }
}

/// The properties that a member announces about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// The member's number.
    pub node: NodeId,
    /// The version of this announcement.
    pub version: Version,
    /// Listening address for both TCP and UDP.
    pub address: SocketAddr,
    /// The member's region.
    pub region: RegionName,
    /// The member's zone.
    pub zone: ZoneName,
    /// Whether it has announced a planned stop.
    pub leaving: bool,
}

/// Status of a member. Of two statuses with the same version, the later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It did not answer a probe and may still refute the suspicion. It remains in the view.
    Suspect,
    /// It did not refute a suspicion in time.
    Failed,
    /// It completed a planned stop.
    Left,
}

impl Status {
    /// Whether the member is in the view.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A node's record of a member.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// The last profile announced by the member, possibly of an earlier version.
    pub profile: Arc<Profile>,
    /// The newest known version.
    pub version: Version,
    /// The status of that version.
    pub status: Status,
    /// Since when the member has had this status.
    pub since: Time,
}

impl Record {
    /// Whether an update with this version and status takes precedence.
    pub fn is_overridden_by(&self, version: Version, status: Status) -> bool {
        (version, status) > (self.version, self.status)
    }
}
