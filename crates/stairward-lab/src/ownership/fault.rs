//! What goes wrong in a run.

use std::str::FromStr;

use snafu::Snafu;

/// A fault of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing goes wrong.
    None,
    /// One node in ten vanishes, its sessions staying open at the back ends.
    NodeLoss,
    /// Every node of one zone vanishes.
    ZoneLoss,
    /// One node in five is paused for up to eight seconds, unaware of it.
    Pause,
    /// The nodes of two halves of the fleet take each other as failed for ten seconds, while both
    /// reach every back end.
    Partition,
}

/// A fault that does not exist.
#[derive(Debug, Snafu)]
#[snafu(display("there is no fault {name:?}; use none, node-loss, zone-loss, pause or partition"))]
pub struct UnknownFault {
    name: String,
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        match text {
            "none" => Ok(Self::None),
            "node-loss" => Ok(Self::NodeLoss),
            "zone-loss" => Ok(Self::ZoneLoss),
            "pause" => Ok(Self::Pause),
            "partition" => Ok(Self::Partition),
            other => UnknownFaultSnafu { name: other }.fail(),
        }
    }
}
