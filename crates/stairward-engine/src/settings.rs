//! The settings the engine works by, and what discovery tells of back ends.

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
use crate::residency::Residency;
use crate::tenants::TenantDirectory;
use crate::warm_up::ColdBound;

/// What a read on a route must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every commit acknowledged before the read.
    Primary,
    /// Every commit acknowledged longer than this before the read.
    Bounded {
        /// The allowed staleness.
        staleness: Duration,
    },
    /// As `Bounded`, and every commit of the own session.
    OwnReads {
        /// The allowed staleness towards other sessions.
        staleness: Duration,
    },
}

impl Consistency {
    /// The allowed staleness; none where only the leader will do.
    #[must_use]
    pub const fn staleness(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded { staleness } | Self::OwnReads { staleness } => Some(staleness),
        }
    }
}

/// How the statements of one database name are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service whose back ends run them.
    pub service: ServiceName,
    /// What reads must see.
    pub consistency: Consistency,
    /// The longest a statement may take.
    pub statement_timeout: Duration,
    /// Within which time an operation should be answered.
    pub target_latency: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// How often a statement that may have run is sent, if it can be repeated.
    pub attempts: u32,
    /// Whether clients kind no key on it.
    pub is_public: bool,
    /// Where its statements may run.
    pub residency: Residency,
}

/// Limits of a service's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections each back end takes from all nodes together.
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Requests a second, in thousandths, that a cold back end gets from all nodes together; none where that is not
    /// limited.
    pub cold_rate_thousandths: Option<u64>,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    /// Its revision; an older one is never applied over a newer one.
    pub revision: Revision,
    /// Routes by the database name callers ask for.
    pub routes: BTreeMap<GroupId, Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceLimits>,
    /// The tenants and their keys. None where clients are not told apart, and kind no key.
    pub tenants: Option<TenantDirectory>,
    /// How long a transaction may rest.
    pub transaction_idle_timeout: Duration,
}

/// A back end as discovery describes it.
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
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// Its role as it sees itself.
    pub role: BackendRole,
    /// Which start of its process this is; none where it does not say.
    pub incarnation: Option<Incarnation>,
    /// How much longer it is slow from its start, as it last said.
    pub cold_left: Duration,
    /// Statements that it runs at once; none where it does not say.
    pub slots: Option<u32>,
    /// Grows with every change of the description.
    pub revision: StoreRevision,
}

impl BackendDescription {
    /// Whether its process has started again since an earlier description of the same id. Nothing that the earlier start
    /// held or said is true of this one. A start that is not told is taken for the same.
    #[must_use]
    pub fn is_new_start_after(&self, earlier: &Self) -> bool {
        let starts = self.incarnation.zip(earlier.incarnation);
        starts.is_some_and(|(present, earlier)| present != earlier)
    }
}

/// What differs in discovery's list from what was known of it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DiscoveryChange {
    /// Back ends that are new, or described otherwise than before.
    pub described: Vec<Arc<BackendDescription>>,
    /// Back ends that are no longer listed.
    pub gone: Vec<BackendId>,
}

/// How far away a zone is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// The node's own zone.
    Same,
    /// Another zone of the same region.
    Region,
    /// Another region.
    Remote,
}

/// What a node knows of itself and of the bounds it must keep.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Distances of the zones from this node; an unknown zone counts as remote.
    pub distances: BTreeMap<ZoneName, ZoneDistance>,
    /// The region of each zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// For how long new work may still be sent to a back end that leaves.
    pub leaving_limit: DrainLimit,
    /// For how long the leaders and open transactions of an evacuated zone may still be used.
    pub evacuation_limit: DrainLimit,
    /// How much cold back ends may get beside their service's rate.
    pub cold_bound: ColdBound,
    /// How long a leader's lead counts as confirmed after a replica was asked. None where a leader that was
    /// replaced accepts nothing any more, so that its own word is enough.
    pub leadership_lease: Option<Duration>,
    /// From a planned stop's start to the process's end.
    pub stop_grace: Duration,
    /// Statements one session may have waiting behind the one that runs.
    pub session_queue_limit: usize,
    /// Requests that may wait at once.
    pub waiting_limit: usize,
    /// For the limits of tenants.
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

    /// How many zones there are.
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
            stop_grace: Duration::from_secs(6),
            session_queue_limit: 32,
            waiting_limit: 256,
            limits: LimitOptions::new(NodeId(0), 0),
        }
    }
}
