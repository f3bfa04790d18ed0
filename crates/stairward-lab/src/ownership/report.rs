//! Runs a simulation and reports what was measured.

use serde::Serialize;
use stairward_types::{Duration, Time};

use super::fault::Fault;
use super::fleet::Fleet;

/// The size of a run.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipOptions {
    /// Nodes in the fleet.
    pub nodes: usize,
    /// Back ends.
    pub backends: usize,
    /// Seed of the run.
    pub seed: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// A broken rule, for tests only.
    pub weakness: Option<OwnershipWeakness>,
}

/// A deliberately broken rule, with which tests show that the count of connections can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipWeakness {
    /// A successor leaves the sessions of earlier holders alone.
    KeepsLeftovers,
}

/// A distribution, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Seconds {
    /// How many values.
    pub count: usize,
    /// Half are at most this.
    pub p50: f64,
    /// All but one in a hundred are at most this.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Seconds {
    fn of(mut values: Vec<Duration>) -> Self {
        values.sort_unstable();
        let at = |share: f64| {
            let last = values.len().saturating_sub(1);
            let place = (share * last as f64).ceil() as usize;
            values.get(place).map_or(0.0, Duration::as_secs_f64)
        };
        Self {
            count: values.len(),
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

/// What was measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnershipReport {
    /// Nodes in the fleet.
    pub nodes: usize,
    /// Back ends.
    pub backends: usize,
    /// Connections each back end allows.
    pub connection_limit: u32,
    /// How long the run was.
    pub virtual_seconds: f64,
    /// How often a connection was opened beyond a back end's limit.
    pub limit_exceeded: u64,
    /// Most connections at one back end at once.
    pub most_connections: u32,
    /// Connections that were opened by a node whose lease no longer held when they arrived.
    pub late_connections: u64,
    /// Leases that lapsed at their holder before they were renewed.
    pub leases_lapsed: u64,
    /// How long back ends had no owner, from the moment the last one vanished or stopped.
    pub unowned_s: Seconds,
    /// How long back ends had neither owner nor standby.
    pub unserved_s: Seconds,
    /// Back ends without an owner at the end.
    pub unowned_at_end: usize,
}

/// Runs one simulation. The same options give the same report.
#[must_use]
pub fn simulate(options: &OwnershipOptions) -> OwnershipReport {
    let mut fleet = Fleet::new(options);
    fleet.run();
    let now = fleet.now();
    let limit_exceeded = fleet.limit_exceeded();
    let most_connections = fleet.most_connections();
    let late_connections = fleet.late_connections();
    let leases_lapsed = fleet.leases_lapsed();
    let gaps = fleet.gaps();
    OwnershipReport {
        nodes: options.nodes,
        backends: options.backends,
        connection_limit: super::fleet::CONNECTION_LIMIT,
        virtual_seconds: now.since(Time::ZERO).as_secs_f64(),
        limit_exceeded,
        most_connections,
        late_connections,
        leases_lapsed,
        unowned_s: Seconds::of(gaps.unowned),
        unserved_s: Seconds::of(gaps.unserved),
        unowned_at_end: gaps.unowned_at_end,
    }
}
