//! How many nodes share the back ends' connections, carefully: a node that sees few others may be cut off
//! from the rest, which go on holding their shares.

use std::time::Duration;

use stairward_types::Time;

/// How long a larger number of nodes is still counted after it was seen.
const RETENTION: Duration = Duration::from_secs(30);
/// The number assumed at first: a node that has just started has not heard of the others yet, and they hold
/// their shares.
const ASSUMED_NODES_AT_START: u32 = 8;

/// The largest number of nodes seen lately.
#[derive(Debug)]
pub(crate) struct NodeCount {
    seen: Vec<(Time, u32)>,
    /// The number seen last.
    latest: u32,
    /// Whether this node has seen its others once.
    is_known: bool,
}

impl Default for NodeCount {
    fn default() -> Self {
        Self {
            seen: vec![(Time::ZERO, ASSUMED_NODES_AT_START)],
            latest: 0,
            is_known: false,
        }
    }
}

impl NodeCount {
    /// Notes how many nodes there are at the moment.
    pub fn record(&mut self, now: Time, nodes: u32) {
        self.is_known = true;
        self.latest = nodes;
        self.seen.retain(|(at, _)| now.since(*at) < RETENTION);
        // A count is of no further use once a later one is as large.
        self.seen.retain(|(_, seen)| *seen > nodes);
        self.seen.push((now, nodes));
    }

    /// Whether the others were seen once. A node that has just started knows neither how many share the back
    /// ends nor which of them hold a service's connections.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// The number seen last; 0 before any was.
    pub const fn latest(&self) -> u32 {
        self.latest
    }

    /// The largest number seen lately, without the one that is assumed at first.
    pub fn max_observed(&self) -> u32 {
        let seen = self.seen.iter().filter(|(at, _)| *at > Time::ZERO);
        let most = seen.map(|(_, nodes)| *nodes).max();
        most.unwrap_or(self.latest)
    }

    /// The number to share by, at least 1.
    pub fn max_recent(&self) -> u32 {
        let most = self.seen.iter().map(|(_, nodes)| *nodes).max();
        most.unwrap_or(1).max(1)
    }
}
