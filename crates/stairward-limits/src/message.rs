//! What a node and a coordinator tell each other.

use stairward_types::{Duration, TenantName, Time};

use crate::shard::Shard;

/// A moment of a coordinator's clock, as it last told it to a node. A loan counts from then, which is before it
/// was made, so the coordinator needs to know nothing of the way's delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTime {
    /// The coordinator's life.
    pub incarnation: u64,
    /// The moment.
    pub at: Time,
}

/// Operations that a node wants for a tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that wait.
    pub waiting: u32,
    /// Operations that will most likely come while the grant is good.
    pub ahead: u32,
}

/// A node's question to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// The shard.
    pub shard: Shard,
    /// The question's number; the answer carries it back.
    pub sequence: u64,
    /// How many nodes there may be, as far as the node knows; 0 where it does not.
    pub nodes: u32,
    /// The coordinator's moment from which the node's share is lent; none where it isn't.
    pub loan: Option<CoordinatorTime>,
    /// What is wanted.
    pub demands: Vec<TenantDemand>,
}

/// A coordinator's word on what a tenant gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations.
    pub count: u32,
    /// Operations that wait and got none.
    pub unmet: u32,
    /// When there is most likely room for the first operation that waits and got none.
    pub retry_after: Duration,
    /// How much later there is for each one after it.
    pub spacing: Duration,
}

/// A coordinator's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantResponse {
    /// The shard.
    pub shard: Shard,
    /// The question's number.
    pub sequence: u64,
    /// The coordinator's moment.
    pub coordinator_time: CoordinatorTime,
    /// How many nodes there may be, as far as the coordinator knows; 0 where it does not.
    pub nodes: u32,
    /// One for each want.
    pub granted: Vec<TenantGrant>,
}
