//! Conservative count of the nodes that share the back ends' connections: a node that sees few others may be
//! partitioned from the rest, which keep their shares.

use std::time::Duration;

use stairward_types::Time;

/// How long a larger count still applies after it was seen.
const RETENTION: Duration = Duration::from_secs(30);
/// Count assumed at first: a node that has just started has not seen the others, which hold their shares.
const ASSUMED_NODES_AT_START: u32 = 8;

/// The largest recent node count.
#[derive(Debug)]
pub(crate) struct NodeCount {
    seen: Vec<(Time, u32)>,
    /// The last count.
    latest: u32,
    /// Whether any count was recorded.
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
    /// Records the current node count.
    pub fn record(&mut self, now: Time, nodes: u32) {
        self.is_known = true;
        self.latest = nodes;
        self.seen.retain(|(at, _)| now.since(*at) < RETENTION);
        // A count is obsolete once a later one is at least as large.
        self.seen.retain(|(_, seen)| *seen > nodes);
        self.seen.push((now, nodes));
    }

    /// Whether any count was recorded. A node that has just started knows neither how many nodes share the
    /// back ends nor which of them hold a service's connections.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// The last count; 0 before the first.
    pub const fn latest(&self) -> u32 {
        self.latest
    }

    /// The largest recent count, without the one assumed at start.
    pub fn max_observed(&self) -> u32 {
        let seen = self.seen.iter().filter(|(at, _)| *at > Time::ZERO);
        let most = seen.map(|(_, nodes)| *nodes).max();
        most.unwrap_or(self.latest)
    }

    /// The count to divide connections by, at least 1.
    pub fn max_recent(&self) -> u32 {
        let most = self.seen.iter().map(|(_, nodes)| *nodes).max();
        most.unwrap_or(1).max(1)
    }
}
