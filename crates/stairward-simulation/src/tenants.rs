//! Tenants of a run: checks which tenant's connections and keys statements use, and how many operations run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_engine::{Event, Residency, Tenant, TenantDirectory};
use stairward_limits::RateLimit;
use stairward_types::{ApiKey, NodeId, TenantName, Time};

use crate::checker::Invariant;
use crate::options::{BrokenVariant, Options};
use crate::world::{CONFIGURATION_LIMIT, MIN_CONNECTED_TIME, World};

/// A key is withdrawn this many configurations after the one that introduced it.
const KEY_GENERATIONS: u64 = 2;
/// How long after a configuration has to be in force an earlier statement may still run.
const STATEMENT_TIME: Duration = Duration::from_millis(1_000);
/// Window in which operations are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// How long after its admission an operation may run: the lifetime of a grant plus the statement timeout.
const ADMISSION_DELAY: Duration = Duration::from_millis(500 + 800);
/// Maximum rate of a node's clock relative to the checker's.
const MAX_CLOCK_RATE: f64 = 1.05;

/// The owner of a session.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Owner {
    pub tenant: u64,
    /// The configuration that introduced its key.
    pub generation: u64,
    pub node: (usize, u64),
}

/// History for the checks of tenants.
#[derive(Debug, Default)]
pub(crate) struct TenantHistory {
    /// Owners of sessions by session number.
    pub owners: BTreeMap<u64, Owner>,
    /// When each configuration was acknowledged.
    pub acknowledged: BTreeMap<u64, Time>,
    /// Operations that have run, by session and operation number.
    seen: BTreeSet<(u64, u64)>,
    /// When operations of each tenant first ran.
    operations: BTreeMap<u64, Vec<Time>>,
}

pub(crate) fn tenant_name(tenant: u64) -> TenantName {
    TenantName::new(format!("tenant-{tenant}")).expect("valid name")
}

/// The key that a configuration introduces for a tenant.
pub(crate) fn key_of(tenant: u64, generation: u64) -> ApiKey {
    ApiKey::new(format!("key-{tenant}-{generation}"))
}

/// The tenants of a configuration; `None` if the run has no tenants.
pub(crate) fn directory(options: &Options, content: u64) -> Option<TenantDirectory> {
    if options.tenants == 0 {
        return None;
    }
    let oldest = if options.broken == Some(BrokenVariant::RevokedKeyAccepted) {
        0
    } else {
        (content + 1).saturating_sub(KEY_GENERATIONS)
    };
    let limit = options.tenant_rate.map(|rate| RateLimit {
        rate_thousandths: rate * 1_000,
        burst_thousandths: rate * 1_000,
    });
    let tenants = (0..options.tenants).map(|tenant| Tenant {
        name: tenant_name(tenant),
        keys: (oldest..=content)
            .map(|generation| key_of(tenant, generation))
            .collect(),
        limit,
        residency: Residency::Anywhere,
    });
    Some(TenantDirectory::new(tenants))
}

impl World {
    /// Tells a node which nodes are live and the recorded number of nodes.
    pub(crate) fn deliver_members(&mut self, node: usize, incarnation: u64) {
        if self.options.tenants == 0 {
            return;
        }
        let running = self.nodes.iter().enumerate();
        let live = running
            .filter(|(_, other)| other.is_running)
            .map(|(index, _)| NodeId(u64::try_from(index).unwrap_or(0)))
            .collect();
        self.handle_engine_event(
            node,
            incarnation,
            Event::FleetSizeRecorded(self.options.nodes),
        );
        let members = Event::Members {
            live,
            leaving: BTreeSet::new(),
        };
        self.handle_engine_event(node, incarnation, members);
    }

    /// Checks a statement that a database ran on a connection opened for a tenant.
    pub(crate) fn check_tenant(&mut self, statement: &str, connection_tenant: Option<&TenantName>) {
        if self.options.tenants == 0 {
            return;
        }
        let Some((session, operation)) = self.checker.session_and_operation(statement) else {
            return;
        };
        let Some(owner) = self.tenants.owners.get(&session).copied() else {
            return;
        };
        let now = self.now();
        self.checker.count(Invariant::TenantIsolation);
        if connection_tenant != Some(&tenant_name(owner.tenant)) {
            let text = format!(
                "{statement} of tenant {} ran on a connection of {connection_tenant:?}",
                owner.tenant
            );
            self.checker
                .record_violation(now, Invariant::TenantIsolation, text);
        }
        self.check_key(now, statement, owner);
        if self.tenants.seen.insert((session, operation)) {
            let operations = self.tenants.operations.entry(owner.tenant).or_default();
            operations.push(now);
        }
    }

    /// Checks that no statement runs with a withdrawn key if its caller's node is connected to the store.
    fn check_key(&mut self, now: Time, statement: &str, owner: Owner) {
        let withdrawn = owner.generation + KEY_GENERATIONS;
        let Some(since) = self.tenants.acknowledged.get(&withdrawn).copied() else {
            return;
        };
        self.checker.count(Invariant::KeyRevocation);
        let (index, incarnation) = owner.node;
        let node = &self.nodes[index];
        let is_connected = node.incarnation == incarnation
            && node.connected_since <= since
            && now >= node.connected_since + MIN_CONNECTED_TIME
            && !self.store.is_down;
        if is_connected && now > since + CONFIGURATION_LIMIT + STATEMENT_TIME {
            let text = format!("{statement} ran with a key that was withdrawn at {since:?}");
            self.checker
                .record_violation(now, Invariant::KeyRevocation, text);
        }
    }

    /// Checks the number of each tenant's operations in every window.
    pub(crate) fn check_limits(&mut self) {
        let Some(rate) = self.options.tenant_rate else {
            return;
        };
        #[allow(clippy::cast_precision_loss, reason = "a small number")]
        let rate = rate as f64;
        let seconds = (WINDOW + ADMISSION_DELAY).as_secs_f64();
        let bound = rate * seconds * MAX_CLOCK_RATE + rate;
        for (tenant, times) in std::mem::take(&mut self.tenants.operations) {
            self.checker.count(Invariant::TenantRateLimit);
            let max_count = most_in_window(&times);
            #[allow(clippy::cast_precision_loss, reason = "a count of a short run")]
            let is_over = max_count as f64 > bound;
            if is_over {
                let text = format!(
                    "{max_count} operations of tenant {tenant} in one window, at most {bound} allowed"
                );
                let now = self.now();
                self.checker
                    .record_violation(now, Invariant::TenantRateLimit, text);
            }
        }
    }
}

fn most_in_window(times: &[Time]) -> usize {
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(last, at)| {
        while *at >= times[first] + WINDOW {
            first += 1;
        }
        last + 1 - first
    });
    counts.max().unwrap_or(0)
}
