//! Databases that have just started: their cold period, the node that may send to them, and the check that
//! all nodes together stay within the service's rate.

use std::time::Duration;

use stairward_engine::BackendCommand;
use stairward_types::{BackendId, NodeId, Time};

use crate::checker::Invariant;
use crate::database::is_client_statement;
use crate::options::BrokenVariant;
use crate::world::World;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Factor applied to the rate, as the platform documents it.
pub(crate) const EXCESS: f64 = 1.5;
/// Requests per second allowed in addition.
pub(crate) const SLACK: f64 = 5.0;

/// How databases that have just started are treated.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    /// Requests per second that a cold database may receive.
    pub rate: u32,
    /// How long a database stays cold after its start.
    pub duration: Duration,
}

impl ColdStart {
    /// The maximum number of requests that may reach a cold database in one second.
    fn bound(self) -> usize {
        let bound = f64::from(self.rate) * EXCESS + SLACK;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        let bound = bound as usize;
        bound
    }
}

impl World {
    /// The first running node, which sends to cold databases. The broken variant makes each node believe that
    /// it is the one.
    pub(crate) fn first_ranked_for(&self, node: usize) -> Option<NodeId> {
        self.options.cold.as_ref()?;
        let running = self.nodes.iter().position(|other| other.is_running);
        let first = match self.options.broken {
            Some(BrokenVariant::EveryNodeFirstRanked) => node,
            _ => running.unwrap_or(node),
        };
        Some(NodeId(u64::try_from(first).unwrap_or(0)))
    }

    /// Checks that a cold database receives no more requests in any second than its service allows, from all
    /// nodes together, whether they are connected to the store or not.
    pub(crate) fn check_cold(
        &mut self,
        node: usize,
        backend: &BackendId,
        command: &BackendCommand,
    ) {
        let now = self.now();
        let (Some(cold), Some(database)) =
            (self.options.cold, self.group.databases.get_mut(backend))
        else {
            return;
        };
        if !is_client_statement(command) || now >= database.cold_until {
            return;
        }
        let since = Time(now.0.saturating_sub(1_000_000 * WINDOW.as_secs()));
        database.cold_request_times.retain(|at| *at > since);
        database.cold_request_times.push(now);
        let arrived = database.cold_request_times.len();
        self.checker.count(Invariant::WarmUp);
        if arrived > cold.bound() {
            let is_known = self.nodes[node].engine.is_cold(now, backend);
            let text = format!(
                "{backend} received {arrived} requests within a second while cold, the last from node {node}, \
                 which considers it cold: {is_known}"
            );
            self.checker.record_violation(now, Invariant::WarmUp, text);
        }
    }
}
