//! Messages between a node and a coordinator.

use stairward_types::{Duration, TenantName, Time};

use crate::shard::Shard;

/// A time of a coordinator's clock, as last sent to a node. A loan counts from this time, which is
/// before the loan was made, so the coordinator needs to know nothing about the network delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTime {
    /// The coordinator's incarnation.
    pub incarnation: u64,
    /// The time.
    pub at: Time,
}

/// A node's demand for operations of a tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantName,
    /// Waiting operations.
    pub waiting: u32,
    /// Operations that are expected to arrive before the grant expires.
    pub ahead: u32,
}

/// A request of a node to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// The shard.
    pub shard: Shard,
    /// Sequence number, returned in the answer.
    pub sequence: u64,
    /// The number of nodes, as far as the node knows; 0 if it does not.
    pub nodes: u32,
    /// The coordinator's time from which the node's share is lent; `None` if it is not lent.
    pub loan: Option<CoordinatorTime>,
    /// The demands of the node.
    pub demands: Vec<TenantDemand>,
}

/// What a coordinator grants to a tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations granted.
    pub count: u32,
    /// Waiting operations that were granted nothing.
    pub unmet: u32,
    /// When there is most likely room for the first waiting operation that was granted nothing.
    pub retry_after: Duration,
    /// Additional delay for each further operation.
    pub spacing: Duration,
}

/// The answer of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantResponse {
    /// The shard.
    pub shard: Shard,
    /// Sequence number of the request.
    pub sequence: u64,
    /// The coordinator's time.
    pub coordinator_time: CoordinatorTime,
    /// The number of nodes, as far as the coordinator knows; 0 if it does not.
    pub nodes: u32,
    /// One entry for each demand.
    pub granted: Vec<TenantGrant>,
}
