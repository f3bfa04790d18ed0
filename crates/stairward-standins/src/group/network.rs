//! The links between the members of a group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::BackendId;

use super::config::GroupConfig;

/// Latencies and cuts between members. Each link keeps the order of its messages.
#[derive(Debug)]
pub struct Network {
    default_latency: Duration,
    latencies: BTreeMap<(usize, usize), Duration>,
    cut_off: BTreeSet<usize>,
}

impl Network {
    /// Builds the links of a group.
    #[must_use]
    pub fn new(config: &GroupConfig) -> Self {
        let place = |backend: &BackendId| {
            let mut members = config.members.iter();
            members.position(|member| member.backend == *backend)
        };
        let mut latencies = BTreeMap::new();
        for ((left, right), latency) in &config.links {
            if let (Some(left), Some(right)) = (place(left), place(right)) {
                latencies.insert((left, right), *latency);
                latencies.insert((right, left), *latency);
            }
        }
        Self {
            default_latency: config.link_latency,
            latencies,
            cut_off: BTreeSet::new(),
        }
    }

    /// Cuts a member off from all others.
    pub fn cut_off(&mut self, member: usize) {
        self.cut_off.insert(member);
    }

    /// Joins a member to the others again.
    pub fn heal(&mut self, member: usize) {
        self.cut_off.remove(&member);
    }

    /// Whether messages pass between two members.
    #[must_use]
    pub fn connected(&self, from: usize, to: usize) -> bool {
        !self.cut_off.contains(&from) && !self.cut_off.contains(&to)
    }

    /// One-way latency between two members.
    #[must_use]
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        let latency = self.latencies.get(&(from, to));
        latency.copied().unwrap_or(self.default_latency)
    }
}
