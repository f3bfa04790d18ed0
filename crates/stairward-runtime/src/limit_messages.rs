//! Conversion of tenant limit requests and grants between limiter types and peer messages.

use std::time::Duration;

use stairward_limits::{
    CoordinatorTime, GrantRequest, GrantResponse, Shard, TenantDemand, TenantGrant,
};
use stairward_protocol::Text;
use stairward_protocol::node_message::{LimitDemand, LimitGrant, LimitGranted, LimitRequest};
use stairward_types::{NodeId, TenantName, Time};

/// Maximum tenants in one message; the others are requested with the next one.
const MAXIMUM_TENANTS: usize = 1_000;

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn microseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

/// The number of entries in a message, which [`MAXIMUM_TENANTS`] keeps in range.
fn count(entries: usize) -> u16 {
    u16::try_from(entries).unwrap_or(u16::MAX)
}

/// Converts a limit request to a message.
pub(crate) fn encode_ask(node: NodeId, ask: GrantRequest) -> LimitRequest {
    let wants: Vec<LimitDemand> = ask
        .demands
        .into_iter()
        .take(MAXIMUM_TENANTS)
        .map(|want| LimitDemand {
            tenant: Text::new(want.tenant.as_str()),
            waiting: want.waiting,
            ahead: want.ahead,
        })
        .collect();
    let (incarnation, at) = ask
        .loan
        .map_or((0, 0), |echo| (echo.incarnation, echo.at.0));
    LimitRequest {
        node: node.0,
        shard: ask.shard.0,
        sequence: ask.sequence,
        nodes: ask.nodes,
        lends: u8::from(ask.loan.is_some()),
        incarnation,
        lent_at_microseconds: at,
        want_count: count(wants.len()),
        wants,
    }
}

/// Converts a message to a limit request; none if it is malformed.
pub(crate) fn decode_ask(message: &LimitRequest) -> Option<(NodeId, GrantRequest)> {
    let loan = (message.lends != 0).then_some(CoordinatorTime {
        incarnation: message.incarnation,
        at: Time(message.lent_at_microseconds),
    });
    let mut demands = Vec::new();
    for want in &message.wants {
        demands.push(TenantDemand {
            tenant: TenantName::new(want.tenant.as_str()).ok()?,
            waiting: want.waiting,
            ahead: want.ahead,
        });
    }
    let ask = GrantRequest {
        shard: Shard(message.shard),
        sequence: message.sequence,
        nodes: message.nodes,
        loan,
        demands,
    };
    Some((NodeId(message.node), ask))
}

/// Converts a grant to a message.
pub(crate) fn encode_grant(grant: GrantResponse) -> LimitGrant {
    let granted: Vec<LimitGranted> = grant
        .granted
        .into_iter()
        .map(|granted| LimitGranted {
            tenant: Text::new(granted.tenant.as_str()),
            count: granted.count,
            unmet: granted.unmet,
            retry_after_milliseconds: milliseconds(granted.retry_after),
            spacing_microseconds: microseconds(granted.spacing),
        })
        .collect();
    LimitGrant {
        shard: grant.shard.0,
        sequence: grant.sequence,
        incarnation: grant.coordinator_time.incarnation,
        at_microseconds: grant.coordinator_time.at.0,
        nodes: grant.nodes,
        granted_count: count(granted.len()),
        granted,
    }
}

/// Converts a message to a grant; none if it is malformed.
pub(crate) fn decode_grant(message: &LimitGrant) -> Option<GrantResponse> {
    let mut granted = Vec::new();
    for tenant in &message.granted {
        granted.push(TenantGrant {
            tenant: TenantName::new(tenant.tenant.as_str()).ok()?,
            count: tenant.count,
            unmet: tenant.unmet,
            retry_after: Duration::from_millis(u64::from(tenant.retry_after_milliseconds)),
            spacing: Duration::from_micros(u64::from(tenant.spacing_microseconds)),
        });
    }
    Some(GrantResponse {
        shard: Shard(message.shard),
        sequence: message.sequence,
        coordinator_time: CoordinatorTime {
            incarnation: message.incarnation,
            at: Time(message.at_microseconds),
        },
        nodes: message.nodes,
        granted,
    })
}
