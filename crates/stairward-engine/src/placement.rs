//! Which holder of a service's connections a session's statements go to first.

use stairward_types::{NodeId, ServiceName, TenantName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::Engine;
use crate::session::{Request, Session};

/// A node that holds connections to a service's back ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Whether it is in the region of this node.
    pub is_near: bool,
}

impl Engine {
    /// The holders in the order in which a session's statements go to them; empty where this node serves all by
    /// itself. A tenant's statements meet where its connections are open: all nodes of a region name the same
    /// holder for it (rendezvous hashing), and that is this node itself for some tenants.
    pub(crate) fn holders_for(
        &self,
        now: Time,
        session: &Session,
        request: &Request,
    ) -> Vec<NodeId> {
        let service = &request.route.service;
        let mut holders = match self.sender_to_cold(now, request) {
            Some(first) => vec![first],
            None => self.ranked_holders(session, service),
        };
        if request.residency.is_bound() {
            holders.retain(|holder| request.residency.allows(self.node_regions.get(holder)));
        }
        holders
    }

    /// The node that sends to a service's cold back ends, where only these can take a request.
    fn sender_to_cold(&self, now: Time, request: &Request) -> Option<NodeId> {
        let first = self.first_holders.get(&request.route.service).copied()?;
        self.needs_cold(now, request).then_some(first)
    }

    fn ranked_holders(&self, session: &Session, service: &ServiceName) -> Vec<NodeId> {
        let places = self.places.get(service);
        let (Some(tenant), Some(places)) = (session.identity.tenant(), places) else {
            return self.holders.get(service).cloned().unwrap_or_default();
        };
        let mut ranked: Vec<_> = places
            .iter()
            .map(|holder| (!holder.is_near, score(tenant, holder.node), holder.node))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Whether a holder gives no sign of life.
    pub(crate) fn is_silent_holder(&self, holder: NodeId) -> bool {
        self.holder_watches
            .get(&holder)
            .is_some_and(|watch| watch.is_silent)
    }

    /// Whether a session's statements for a service go to another node.
    pub(crate) fn goes_elsewhere(&self, now: Time, session: &Session, request: &Request) -> bool {
        if session.is_forwarded {
            return false;
        }
        let holders = self.holders_for(now, session, request);
        let first = holders
            .iter()
            .min_by_key(|holder| self.is_silent_holder(**holder));
        first.is_some_and(|first| *first != self.options.limits.node)
    }
}

fn score(tenant: &TenantName, node: NodeId) -> u64 {
    xxh3_64_with_seed(tenant.as_str().as_bytes(), node.0)
}
