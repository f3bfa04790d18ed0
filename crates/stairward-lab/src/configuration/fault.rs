//! What goes wrong during a run.

use std::str::FromStr;

use snafu::Snafu;
use stairward_types::Duration;

/// How long the store is down or the regions are apart when no time is given, in seconds.
const DEFAULT_FAULT_SECONDS: u64 = 30;
/// Nodes that fail when no number is given.
const DEFAULT_FAILURES: usize = 26;

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The store does not answer for this long.
    StoreDown(Duration),
    /// The regions lose each other for this long; the store stands in one of them.
    RegionPartition(Duration),
    /// Half of the store's replies to edits are lost after the edit took effect.
    LostReplies,
    /// This many nodes fail at once, just before an edit.
    NodeFailures(usize),
}

/// A fault that is not known.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not one of none, store-down[=SECONDS], \
     region-partition[=SECONDS], lost-replies, node-failures[=N]"
))]
pub struct InvalidFault {
    text: String,
}

impl FromStr for Fault {
    type Err = InvalidFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidFault {
            text: text.to_owned(),
        };
        let (name, value) = match text.split_once('=') {
            Some((name, value)) => (name, Some(value.parse::<u64>().map_err(|_| invalid())?)),
            None => (text, None),
        };
        let time = Duration::from_secs(value.unwrap_or(DEFAULT_FAULT_SECONDS));
        match (name, value) {
            ("none", None) => Ok(Self::None),
            ("store-down", _) => Ok(Self::StoreDown(time)),
            ("region-partition", _) => Ok(Self::RegionPartition(time)),
            ("lost-replies", None) => Ok(Self::LostReplies),
            ("node-failures", None) => Ok(Self::NodeFailures(DEFAULT_FAILURES)),
            ("node-failures", Some(count)) => usize::try_from(count)
                .map(Self::NodeFailures)
                .map_err(|_| invalid()),
            _ => Err(invalid()),
        }
    }
}
