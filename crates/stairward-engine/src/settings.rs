//! The engine's settings, and the descriptions of back ends that it gets from discovery.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairward_limits::LimitOptions;
use stairward_types::{
    BackendId, BackendRole, GroupId, Incarnation, NodeId, RegionName, Revision, ServiceName,
    StoreRevision, ZoneName,
};

use crate::leaving::DrainLimit;
use crate::reply_matching::ReplyChecks;
use crate::residency::Residency;
use crate::tenants::TenantDirectory;
use crate::warm_up::ColdBound;

/// Read consistency of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// A read sees every commit acknowledged before it.
    Primary,
    /// A read sees every commit acknowledged longer than `staleness` before it.
    Bounded {
        /// The allowed staleness.
        staleness: Duration,
    },
    /// As `Bounded`, plus every commit of the same session.
    OwnReads {
        /// The allowed staleness with regard to other sessions.
        staleness: Duration,
    },
}

impl Consistency {
    /// The allowed staleness; none if only the leader may answer.
    #[must_use]
    pub const fn staleness(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded { staleness } | Self::OwnReads { staleness } => Some(staleness),
        }
    }
}

/// How statements for one database name are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service whose back ends run them.
    pub service: ServiceName,
    /// The consistency of reads.
    pub consistency: Consistency,
    /// The maximum duration of a statement.
    pub statement_timeout: Duration,
    /// Target response time of an operation.
    pub target_latency: Duration,
    /// Priority in queues; 0 is served first.
    pub priority: u8,
    /// How often a retryable statement may be sent.
    pub attempts: u32,
    /// Whether clients may use the route without a key.
    pub is_public: bool,
    /// Where its statements may run.
    pub residency: Residency,
}

/// Limits that apply to each back end of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Maximum connections to each back end from all nodes together.
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Maximum rate of requests to a cold back end from all nodes together, in thousandths of a request per
    /// second; none if unlimited.
    pub cold_rate_thousandths: Option<u64>,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    /// Its revision. An older revision never replaces a newer one.
    pub revision: Revision,
    /// Routes by the database name that callers request.
    pub routes: BTreeMap<GroupId, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceLimits>,
    /// The tenants and their keys. None if clients are not distinguished and need no key.
    pub tenants: Option<TenantDirectory>,
    /// How long an open transaction may be idle.
    pub transaction_idle_timeout: Duration,
}

/// A back end as described by discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendDescription {
    /// Its id.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// Its role according to itself.
    pub role: BackendRole,
    /// Identifies the start of its process; none if not reported.
    pub incarnation: Option<Incarnation>,
    /// The remaining warm-up time after its start, as last reported.
    pub cold_left: Duration,
    /// Number of statements that it runs concurrently; none if not reported.
    pub slots: Option<u32>,
    /// Increases with every change of the description.
    pub revision: StoreRevision,
}

impl BackendDescription {
    /// Whether its process has restarted since an earlier description of the same id. No knowledge of the
    /// earlier process applies to the new one. If either description has no incarnation, the process counts
    /// as the same.
    #[must_use]
    pub fn is_new_start_after(&self, earlier: &Self) -> bool {
        let starts = self.incarnation.zip(earlier.incarnation);
        starts.is_some_and(|(present, earlier)| present != earlier)
    }
}

/// A change of discovery's list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DiscoveryChange {
    /// Back ends that are new or whose description changed.
    pub described: Vec<Arc<BackendDescription>>,
    /// Back ends that are no longer listed.
    pub gone: Vec<BackendId>,
}

/// Distance of a zone from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// The node's own zone.
    Same,
    /// Another zone of the same region.
    Region,
    /// Another region.
    Remote,
}

/// What a node knows of itself, and the limits that it must keep.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Distances of the zones from this node; an unknown zone counts as remote.
    pub distances: BTreeMap<ZoneName, ZoneDistance>,
    /// The region of each zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// How long new work may still be sent to a leaving back end.
    pub leaving_limit: DrainLimit,
    /// How long the leaders and open transactions of an evacuated zone may still be used.
    pub evacuation_limit: DrainLimit,
    /// How far requests to cold back ends may exceed their service's rate.
    pub cold_bound: ColdBound,
    /// How long a leader counts as confirmed after a replica was queried. None if a replaced leader accepts
    /// nothing any more, so that no confirmation is needed.
    pub leadership_lease: Option<Duration>,
    /// Whether the platform refuses a promotion if it has seen a higher fencing token, so that an answered one ends
    /// all earlier ones.
    pub promotions_are_fenced: bool,
    /// Whether a leader's log is compared with those of the other members before its replies are trusted, also
    /// without a leadership lease.
    pub compares_logs: bool,
    /// Whether no leader is confirmed before [`crate::Event::PeersConsulted`]. Only matters with a leadership
    /// lease.
    pub consults_peers: bool,
    /// Which checks of back ends' replies are in force.
    pub reply_checks: ReplyChecks,
    /// Time from the start of a planned stop to the end of the process.
    pub stop_grace: Duration,
    /// Maximum number of statements that a session may queue behind the running one.
    pub session_queue_limit: usize,
    /// Maximum number of requests that wait for a service at the same time.
    pub waiting_limit: usize,
    /// Settings of the tenant limits.
    pub limits: LimitOptions,
}

impl EngineOptions {
    /// The distance of a zone.
    #[must_use]
    pub fn distance(&self, zone: &ZoneName) -> ZoneDistance {
        self.distances
            .get(zone)
            .copied()
            .unwrap_or(ZoneDistance::Remote)
    }

    pub(crate) fn zone_count(&self) -> u32 {
        u32::try_from(self.regions.len()).unwrap_or(u32::MAX)
    }
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            distances: BTreeMap::new(),
            regions: BTreeMap::new(),
            leaving_limit: DrainLimit {
                after_notice: Duration::from_secs(4),
                after_announcement: Duration::from_secs(6),
            },
            evacuation_limit: DrainLimit {
                after_notice: Duration::from_secs(1),
                after_announcement: Duration::from_secs(4),
            },
            cold_bound: ColdBound::default(),
            leadership_lease: None,
            promotions_are_fenced: false,
            compares_logs: false,
            consults_peers: false,
            reply_checks: ReplyChecks::default(),
            stop_grace: Duration::from_secs(6),
            session_queue_limit: 32,
            waiting_limit: 256,
            limits: LimitOptions::new(NodeId(0), 0),
        }
    }
}
