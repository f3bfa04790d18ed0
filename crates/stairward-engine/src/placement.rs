//! Selection of the holder to which a session's statements are forwarded.

use stairward_types::{BackendId, NodeId, TenantName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backend::Backend;
use crate::engine::Engine;
use crate::holder_directory::Holder;
use crate::session::{Request, Session};
use crate::settings::ZoneDistance;

/// Connections to a back end for each holder in another zone, if tenants are distinguished. They serve
/// internal queries and statements that no holder in the back end's zone can take.
const OTHER_ZONE_SHARE: u32 = 1;

impl Engine {
    /// The holders to which a session's statements may be sent, best first; empty if this node serves them
    /// itself. All nodes select the same holder for a tenant by rendezvous hashing, in the zone of the
    /// expected back end, so that a tenant's statements meet where its connections are open. For some tenants
    /// that is this node. Statements thus cross zones once, and few holders keep connections to a back end.
    pub(crate) fn holders_for(
        &self,
        now: Time,
        session: &Session,
        request: &Request,
    ) -> Vec<NodeId> {
        let mut holders = match self.cold_backend_sender(now, request) {
            Some(first) => vec![first],
            None => self.ranked_holders(now, session, request),
        };
        if request.residency.is_restricted() {
            holders.retain(|holder| request.residency.allows(self.node_regions.get(holder)));
        }
        holders
    }

    /// The node that sends to a service's cold back ends, if only these can take the request.
    fn cold_backend_sender(&self, now: Time, request: &Request) -> Option<NodeId> {
        let first = self.holders.first(&request.route.service)?;
        self.needs_cold_backend(now, request).then_some(first)
    }

    fn ranked_holders(&self, now: Time, session: &Session, request: &Request) -> Vec<NodeId> {
        let service = &request.route.service;
        let holders = self.holders.holders_of(service);
        let is_by_tenant = self
            .table
            .as_ref()
            .is_some_and(|table| table.tenants.is_some());
        let Some(holders) = holders.filter(|_| is_by_tenant) else {
            return self.holders.forward_targets(service).to_vec();
        };
        // Clients without a key have no tenant; those of one database share a holder.
        let database = session.database.as_str();
        let tenant = session
            .identity
            .tenant()
            .map_or(database, TenantName::as_str);
        let target = self.expected_backend(now, request);
        let zone = target.map(|backend| &backend.description.zone);
        let region = target.and_then(|backend| backend.region.as_ref());
        let mut ranked: Vec<_> = holders
            .iter()
            .map(|holder| {
                let is_same_zone = zone == Some(&holder.zone);
                let is_in_region =
                    region.is_some() && self.options.regions.get(&holder.zone) == region;
                let distance = (!is_same_zone, !is_in_region, !holder.is_same_region);
                (distance, score(tenant, holder.node), holder.node)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, node)| node).collect()
    }

    /// The back end that is expected to take a request: the leader if required, otherwise the nearest healthy
    /// one.
    fn expected_backend(&self, now: Time, request: &Request) -> Option<&Backend> {
        let service = &request.route.service;
        if request.kind.requires_leader() || request.needs_leader_holder {
            let leader = self.leader(now, service)?;
            return self.backends.get(&leader).map(Box::as_ref);
        }
        let members = self.groups.get(service)?.members.iter();
        let candidates = members.filter_map(|id| Some((id, self.backends.get(id)?.as_ref())));
        let usable = candidates.filter(|(id, backend)| {
            backend.is_healthy()
                && backend.is_usable(now)
                && !self.is_cold(now, id)
                && request.residency.allows(backend.region.as_ref())
        });
        let nearest = usable.min_by_key(|(id, backend)| (backend.distance, *id));
        nearest.map(|(_, backend)| backend)
    }

    /// Whether a read forwarded by another node has no untried back end left in this node's zone. The
    /// client's node then knows a better holder.
    pub(crate) fn has_no_same_zone_backend_left(
        &self,
        session: &Session,
        request: &Request,
    ) -> bool {
        let service = &request.route.service;
        let Some(group) = self.groups.get(service).filter(|_| session.is_forwarded) else {
            return false;
        };
        let is_shared_by_zone = self
            .table
            .as_ref()
            .is_some_and(|table| table.tenants.is_some())
            && self.holders.holders_of(service).is_some();
        let mut untried = group
            .members
            .iter()
            .filter(|id| !request.tried_backends.contains(*id));
        is_shared_by_zone && !untried.any(|id| self.is_same_zone(id))
    }

    fn is_same_zone(&self, id: &BackendId) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.distance == ZoneDistance::Same)
    }

    /// The connections that this node may hold to a back end if tenants are distinguished: the holders in its
    /// zone share nearly all of them. None if tenants are not distinguished, if every node holds connections,
    /// or if no holder is in the back end's zone.
    pub(crate) fn same_zone_share(&self, id: &BackendId, limit: u32) -> Option<u32> {
        self.table.as_ref()?.tenants.as_ref()?;
        let backend = self.backends.get(id)?;
        let holders = self.holders.holders_of(&backend.description.service)?;
        let is_same_zone = |holder: &&Holder| holder.zone == backend.description.zone;
        let same_zone =
            u32::try_from(holders.iter().filter(is_same_zone).count()).unwrap_or(u32::MAX);
        let all = u32::try_from(holders.len()).unwrap_or(u32::MAX);
        if same_zone == 0 {
            return None;
        }
        let is_own = holders
            .iter()
            .filter(is_same_zone)
            .any(|holder| holder.node == self.options.limits.node);
        let other_zones = all
            .saturating_sub(same_zone)
            .saturating_mul(OTHER_ZONE_SHARE);
        let shared = limit.saturating_sub(other_zones) / same_zone;
        Some(if is_own {
            shared.max(OTHER_ZONE_SHARE)
        } else {
            OTHER_ZONE_SHARE
        })
    }

    /// Whether a holder has stopped answering liveness checks.
    pub(crate) fn is_silent_holder(&self, holder: NodeId) -> bool {
        self.holder_watches
            .get(&holder)
            .is_some_and(|watch| watch.is_silent)
    }

    /// Whether a session's request must be forwarded to another node.
    pub(crate) fn must_forward(&self, now: Time, session: &Session, request: &Request) -> bool {
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

fn score(tenant: &str, node: NodeId) -> u64 {
    xxh3_64_with_seed(tenant.as_bytes(), node.0)
}
