//! One simulated node: the real engine and the real failover controller.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    BackendDescription, ColdBound, ConnectionId, Consistency, DrainLimit, Engine, EngineOptions,
    ReplyChecks, Residency, Route, RoutingTable, ServiceLimits, TenantDirectory, ZoneDistance,
};
use stairward_failover::{
    FailoverController, FailoverOptions, GroupState, KnownPromotion, LEADERSHIP_LEASE,
    LastKnownPrimaries, MemberState, Placement,
};
use stairward_limits::LimitOptions;
use stairward_types::{BackendId, GroupId, NodeId, Revision, ServiceName, Time, ZoneName};

use crate::callers::DATABASES;
use crate::cold::{ColdStart, EXCESS, SLACK};
use crate::group::service;
use crate::options::{BrokenVariant, Options};
use crate::store_view::{BackendEntry, Evacuation, StoreView};

/// Maximum staleness of a bounded read.
pub(crate) const STALENESS: Duration = Duration::from_millis(1_000);
/// Maximum number of connections to each database.
pub(crate) const CONNECTION_LIMIT: u32 = 40;

/// Margins subtracted from the drain limit to get how long a node uses a leaving back end: after it learned
/// of the announcement, and after the earliest time at which it can have been made.
const NOTICE_MARGIN: Duration = Duration::from_secs(3);
const ANNOUNCEMENT_MARGIN: Duration = Duration::from_secs(1);

/// One simulated node.
#[derive(Debug)]
pub(crate) struct Node {
    pub engine: Engine,
    pub failover: FailoverController,
    /// Rises with each start of a node's process; unique within a run.
    pub incarnation: u64,
    pub is_running: bool,
    pub paused_until: Time,
    pub connections: BTreeMap<ConnectionId, BackendId>,
    pub is_partitioned_from_store: bool,
    /// Since when it has had no fault on the way to the store.
    pub connected_since: Time,
    /// When the store state delivered to it was last known to be current.
    pub last_current_at: Option<Time>,
    /// The database entries as the node sees them.
    pub entries: StoreView<BackendEntry>,
    /// The entries that were last delivered to its engine.
    pub delivered_entries: BTreeMap<String, BackendEntry>,
    /// The evacuations as the node sees them.
    pub evacuations: StoreView<Evacuation>,
    pub last_known_primaries: LastKnownPrimaries,
    /// The evacuated zones that were last delivered to it.
    pub evacuated: BTreeSet<ZoneName>,
    /// The newest configuration that it has had in force, identified by its content.
    pub newest_configuration: u64,
    pub timer_at: Time,
    pub failover_timer_at: Time,
}

/// How long the engine considers a leadership confirmed, and how long the failover controller waits for
/// confirmations to expire.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Leases {
    pub engine: Option<Duration>,
    pub failover: Option<Duration>,
}

impl Leases {
    /// The leases for the nodes of a run.
    pub fn of(options: &Options) -> Self {
        let lease_time = options
            .old_primaries_keep_running
            .then_some(LEADERSHIP_LEASE);
        let mut leases = Self {
            engine: lease_time,
            failover: lease_time,
        };
        match options.broken {
            Some(BrokenVariant::NoLeaseWait) => {
                leases.failover = lease_time.map(|lease| lease / 100)
            }
            Some(BrokenVariant::LongLease) => leases.engine = lease_time.map(|lease| lease * 5),
            Some(BrokenVariant::NoConfirmation) => leases.engine = None,
            _ => {}
        }
        leases
    }
}

/// The checks of replies that the nodes of a run make.
fn reply_checks(broken: Option<BrokenVariant>) -> ReplyChecks {
    ReplyChecks {
        signatures: broken != Some(BrokenVariant::RepeatedSignaturesAccepted),
        shapes: broken != Some(BrokenVariant::ReplyShapesIgnored),
        positions: broken != Some(BrokenVariant::FallingPositionsAccepted),
        errors: broken != Some(BrokenVariant::RepeatedErrorsBelieved),
        confirmations: broken != Some(BrokenVariant::NoReplyConfirmation),
    }
}

pub(crate) fn node_name(index: usize) -> String {
    format!("node-{index}")
}

impl Node {
    pub fn start(index: usize, incarnation: u64, now: Time, run: &Options) -> Self {
        let leases = Leases::of(run);
        let zone = |number: usize| ZoneName::new(format!("zone-{number}")).expect("valid name");
        let own_zone = index % 3 + 1;
        let distances = (1..=3).map(|number| {
            let distance = if number == own_zone {
                ZoneDistance::Same
            } else {
                ZoneDistance::Remote
            };
            (zone(number), distance)
        });
        let options = EngineOptions {
            distances: distances.collect(),
            leadership_lease: leases.engine,
            compares_logs: run.compares_logs && run.broken != Some(BrokenVariant::UncomparedLogs),
            consults_peers: true,
            reply_checks: reply_checks(run.broken),
            leaving_limit: DrainLimit {
                after_notice: run.drain_limit.saturating_sub(NOTICE_MARGIN),
                after_announcement: run.drain_limit.saturating_sub(ANNOUNCEMENT_MARGIN),
            },
            cold_bound: ColdBound {
                excess: EXCESS,
                slack: SLACK,
            },
            limits: LimitOptions {
                started: now,
                ..LimitOptions::new(NodeId(u64::try_from(index).unwrap_or(0)), incarnation)
            },
            ..EngineOptions::default()
        };
        let failover = FailoverOptions {
            leadership_lease: leases.failover,
            ..FailoverOptions::new(format!("{}/{incarnation}", node_name(index)))
        };
        Self {
            engine: Engine::new(options),
            failover: FailoverController::new(failover),
            incarnation,
            is_running: true,
            paused_until: Time::ZERO,
            connections: BTreeMap::new(),
            is_partitioned_from_store: false,
            connected_since: now,
            last_current_at: None,
            entries: StoreView::default(),
            delivered_entries: BTreeMap::new(),
            evacuations: StoreView::default(),
            last_known_primaries: LastKnownPrimaries::default(),
            evacuated: BTreeSet::new(),
            newest_configuration: 0,
            timer_at: Time::NEVER,
            failover_timer_at: Time::NEVER,
        }
    }

    /// What the node can tell a peer of the promotions of all services.
    pub fn known_promotions(&self) -> Vec<KnownPromotion> {
        KnownPromotion::merge(
            self.failover.known_promotions(),
            self.engine.announced_terms(),
        )
    }

    /// The groups as the failover controller sees them: a primary that is no longer listed is kept as
    /// missing.
    pub fn groups(
        &mut self,
        list: &[BackendDescription],
        synchronous_replicas: u32,
    ) -> BTreeMap<ServiceName, GroupState> {
        let mut group = GroupState {
            synchronous_replicas,
            ..GroupState::default()
        };
        for description in list {
            let (role, is_leaving) = (description.role, description.is_leaving);
            let placement = Placement {
                is_evacuated: self.evacuated.contains(&description.zone),
                ..Placement::default()
            };
            let member = MemberState::listed(
                description.address,
                role,
                is_leaving,
                description.revision,
                placement,
            );
            group.members.insert(description.id.clone(), member);
        }
        let mut groups = BTreeMap::from([(service(), group)]);
        self.last_known_primaries.add_missing_primaries(&mut groups);
        groups
    }
}

/// Name of a route that identifies a configuration by its revision.
pub(crate) fn revision_route(revision: u64) -> GroupId {
    GroupId::new(format!("revision-{revision}")).expect("valid name")
}

/// The configuration with the given revision and content.
pub(crate) fn routing_table(
    revision: u64,
    content: u64,
    connections: u32,
    synchronous_replicas: u32,
    tenants: Option<TenantDirectory>,
    cold: Option<ColdStart>,
) -> Arc<RoutingTable> {
    let route = |consistency| {
        Arc::new(Route {
            service: service(),
            consistency,
            statement_timeout: Duration::from_millis(800),
            target_latency: Duration::from_millis(800),
            priority: 1,
            attempts: 2,
            is_public: false,
            residency: Residency::Anywhere,
        })
    };
    let staleness = STALENESS;
    let consistencies = [
        Consistency::Primary,
        Consistency::Bounded { staleness },
        Consistency::OwnReads { staleness },
    ];
    let mut routes: BTreeMap<_, _> = DATABASES
        .iter()
        .zip(consistencies)
        .map(|((name, _), consistency)| {
            (GroupId::new(*name).expect("valid name"), route(consistency))
        })
        .collect();
    routes.insert(revision_route(content), route(Consistency::Primary));
    let limits = ServiceLimits {
        connections,
        synchronous_replicas,
        cold_rate_thousandths: cold.map(|cold| u64::from(cold.rate) * 1_000),
    };
    Arc::new(RoutingTable {
        revision: Revision(revision),
        routes,
        services: BTreeMap::from([(service(), limits)]),
        tenants,
        transaction_idle_timeout: Duration::from_millis(3_000),
    })
}

/// The revision that a configuration's content identifies.
pub(crate) fn configuration_number(table: &RoutingTable) -> u64 {
    let names: BTreeSet<_> = table.routes.keys().collect();
    let number = names
        .iter()
        .find_map(|name| name.as_str().strip_prefix("revision-"));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
