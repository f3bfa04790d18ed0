//! Selection of a back end and a connection for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_types::{
    BackendId, BackendRole, Freshness, ResultCode, ServiceName, TenantName, Time,
};

use crate::backend::Backend;
use crate::connection::Connection;
use crate::engine::Engine;
use crate::event::{Effect, OpenTarget};
use crate::identifiers::ConnectionId;
use crate::session::{Request, Session, WaitReason};
use crate::timers::Timer;

/// How long requests wait for a connection that is being opened before another back end is considered.
const OPENING_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of connections to one back end that are opened concurrently.
const MAX_CONCURRENT_OPENINGS: usize = 3;
/// Time after which a pending opening makes its back end count as silent.
const OPENING_TIMEOUT: Duration = Duration::from_millis(700);

/// Retry delay for a client whose leader is outside the regions allowed for its work. The leader is moved,
/// which takes about as long as a planned replacement.
const RETRY_LEADER_ELSEWHERE: Duration = Duration::from_millis(500);

/// Result of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Choice {
    /// Use this idle connection; the back end must have reached the floor, if any.
    Use(ConnectionId, Option<Freshness>),
    /// Wait; nothing suitable is available yet.
    Wait(WaitReason),
    /// All suitable back ends have refused the request.
    Exhausted,
    /// Refuse the request: it can't be served, and waiting would not help.
    Refuse(ResultCode, Option<Duration>),
}

/// Whether a connection may be opened if no idle one is suitable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Opening {
    /// A connection may be opened.
    Allowed,
    /// No connection may be opened, and no idle one is closed to make room.
    Forbidden,
}

/// Which connections are suitable, by tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TenantFilter<'a> {
    /// Any connection: internal queries run no statement of a tenant.
    Any,
    /// Connections opened for this tenant, or for no tenant.
    For(Option<&'a TenantName>),
}

impl<'a> TenantFilter<'a> {
    fn includes(self, connection: &Connection) -> bool {
        match self {
            Self::Any => true,
            Self::For(tenant) => connection.tenant.as_ref() == tenant,
        }
    }

    /// The tenant for which a new connection would be opened.
    const fn tenant(self) -> Option<&'a TenantName> {
        match self {
            Self::Any => None,
            Self::For(tenant) => tenant,
        }
    }
}

/// Requirements for a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionRequest<'a> {
    pub tenant_filter: TenantFilter<'a>,
    /// Session values that should be set on it.
    pub values: &'a BTreeMap<String, String>,
    pub opening: Opening,
}

/// Session values for internal queries: none.
static NO_VALUES: BTreeMap<String, String> = BTreeMap::new();

impl ConnectionRequest<'static> {
    /// Requirements of an internal query: any connection will do.
    pub const fn for_internal_query() -> Self {
        Self {
            tenant_filter: TenantFilter::Any,
            values: &NO_VALUES,
            opening: Opening::Allowed,
        }
    }
}

impl Engine {
    /// The assumed leader: of the back ends that report themselves as primary and have not denied it, the one
    /// announced last.
    pub(crate) fn leader(&self, now: Time, service: &ServiceName) -> Option<BackendId> {
        let group = self.groups.get(service)?;
        let candidates = group.members.iter().filter_map(|id| {
            let backend = self.backends.get(id)?;
            let description = &backend.description;
            let is_denied = group.denied.get(id) == Some(&description.revision);
            let may_lead = description.role == BackendRole::Primary
                && !backend.has_lost_log
                && !is_denied
                && backend.is_usable(now);
            may_lead.then_some((backend.is_listed, description.revision, id))
        });
        candidates.max().map(|(_, _, id)| id.clone())
    }

    /// Selects a connection for a request, opening connections where useful and allowed.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        request: &Request,
        session: &Session,
        opening: Opening,
    ) -> Choice {
        let service = &request.route.service;
        let connection_request = ConnectionRequest {
            tenant_filter: TenantFilter::For(session.identity.tenant()),
            values: &session.values,
            opening,
        };
        if request.kind.requires_leader() {
            return self.choose_leader(now, request, &connection_request);
        }
        let staleness = request.route.consistency.staleness().unwrap_or_default();
        let own_commit = session.commits.get(service).copied();
        let floor = self
            .groups
            .get(service)
            .and_then(|group| group.floor(request.received, staleness, own_commit));
        self.keep_proof_fresh(now, service, staleness);
        let Some(floor) = floor else {
            return Choice::Wait(WaitReason::NotFresh);
        };
        self.choose_for_read(now, request, floor, &connection_request)
    }

    fn choose_leader(
        &mut self,
        now: Time,
        request: &Request,
        connection_request: &ConnectionRequest<'_>,
    ) -> Choice {
        let service = &request.route.service;
        let Some(leader) = self.leader(now, service) else {
            return Choice::Wait(WaitReason::NoLeader);
        };
        let is_silent = self
            .backends
            .get(&leader)
            .is_some_and(|leader| leader.is_silent);
        self.renew_leadership_confirmation(now, service, &leader);
        self.query_logs_of_others(now, service, &leader);
        if self.is_leadership_revoked(now, service, &leader) {
            return Choice::Wait(WaitReason::NoLeader);
        }
        if is_silent {
            // A statement sent now would most likely end with an unknown outcome. The probe detects when the
            // leader is back.
            self.keep_proof_fresh(now, service, Duration::ZERO);
            return Choice::Wait(WaitReason::NoLeader);
        }
        if !self.is_allowed_at(request, &leader) {
            let retry_after = Some(RETRY_LEADER_ELSEWHERE);
            return Choice::Refuse(ResultCode::LeaderOutsideRegion, retry_after);
        }
        if let Err(choice) = self.check_cold_limit(now, &leader, request) {
            return choice;
        }
        match self.connection_to(now, &leader, connection_request) {
            Some(connection) => Choice::Use(connection, None),
            None => Choice::Wait(WaitReason::NoConnection),
        }
    }

    fn choose_for_read(
        &mut self,
        now: Time,
        request: &Request,
        floor: Freshness,
        connection_request: &ConnectionRequest<'_>,
    ) -> Choice {
        let mut candidates =
            self.read_candidates(now, request, floor, connection_request.tenant_filter);
        if candidates.is_empty() {
            return Choice::Wait(WaitReason::NoBackend);
        }
        if let Err(choice) = self.filter_cold(now, &mut candidates, request) {
            return choice;
        }
        let mut reason = None;
        for id in candidates {
            if request.tried_backends.contains(&id) {
                continue;
            }
            if let Some(connection) = self.connection_to(now, &id, connection_request) {
                return Choice::Use(connection, Some(floor));
            }
            if self
                .backends
                .get(&id)
                .is_some_and(|backend| backend.is_silent)
            {
                // Don't wait for a back end that doesn't answer.
                continue;
            }
            reason = Some(WaitReason::NoConnection);
            let is_awaited = self.is_opening_soon(now, &id, connection_request.tenant_filter);
            if is_awaited || connection_request.opening == Opening::Forbidden {
                break;
            }
        }
        match reason {
            Some(reason) => Choice::Wait(reason),
            None if request.tried_backends.is_empty() => Choice::Wait(WaitReason::NoBackend),
            None => Choice::Exhausted,
        }
    }

    /// The back ends that may answer a read, best first. The cost includes an opening if no suitable
    /// connection is idle.
    fn read_candidates(
        &self,
        now: Time,
        request: &Request,
        floor: Freshness,
        tenant_filter: TenantFilter<'_>,
    ) -> Vec<BackendId> {
        let Some(group) = self.groups.get(&request.route.service) else {
            return Vec::new();
        };
        let mut candidates: Vec<_> = group
            .members
            .iter()
            .filter_map(|id| {
                let backend = self.backends.get(id)?;
                let is_usable =
                    backend.is_usable(now) && request.residency.allows(backend.region.as_ref());
                // Without tenants nearly every connection is suitable and soon idle.
                let is_connected = tenant_filter.tenant().is_none()
                    || self
                        .idle_connections(backend)
                        .any(|(_, connection)| tenant_filter.includes(connection));
                let cost = backend.cost(now, Some(floor), is_connected);
                is_usable.then_some((!backend.is_healthy(), cost, id))
            })
            .collect();
        candidates.sort();
        candidates
            .into_iter()
            .map(|(_, _, id)| id.clone())
            .collect()
    }

    /// Whether a request may run in a back end's region.
    fn is_allowed_at(&self, request: &Request, id: &BackendId) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| request.residency.allows(backend.region.as_ref()))
    }

    /// The idle connection to a back end that needs the fewest set-up commands. Opens a connection if there
    /// is none and that is allowed.
    pub(crate) fn connection_to(
        &mut self,
        now: Time,
        id: &BackendId,
        connection_request: &ConnectionRequest<'_>,
    ) -> Option<ConnectionId> {
        let backend = self.backends.get(id)?;
        let candidates = self
            .idle_connections(backend)
            .filter(|(_, connection)| connection_request.tenant_filter.includes(connection))
            .map(|(id, connection)| (connection.setup_cost(connection_request.values), id));
        let best = candidates.min().map(|(_, connection)| connection);
        let tenant = connection_request.tenant_filter.tenant();
        let may_open = best.is_none() && connection_request.opening == Opening::Allowed;
        if may_open && !self.has_enough_openings(id, tenant) {
            self.open_connection(now, id, tenant);
        }
        best
    }

    /// Whether as many connections to a back end are being opened for a tenant as it has waiting requests,
    /// including the current one. Otherwise each retry of the same request would open another connection, and
    /// an opening occupies a slot of the back end for longer than many statements do.
    fn has_enough_openings(&self, id: &BackendId, tenant: Option<&TenantName>) -> bool {
        let has_tenants = self
            .table
            .as_ref()
            .is_some_and(|table| table.tenants.is_some());
        if !has_tenants {
            // Any connection serves any request here, and the next request will find it.
            return false;
        }
        let Some(backend) = self.backends.get(id) else {
            return true;
        };
        let opening = backend.connections.iter().filter(|connection| {
            let connection = self.connections.get(connection);
            connection.is_some_and(|connection| {
                connection.opening_since.is_some() && connection.tenant.as_ref() == tenant
            })
        });
        let opening = opening.count();
        if opening == 0 {
            return false;
        }
        // The session whose request is being tried is not in the queue.
        let waiting = self.waiting.get(&backend.description.service);
        let of_tenant = waiting.into_iter().flatten().filter(|key| {
            let session = self.sessions.get(&key.session);
            session.is_some_and(|session| session.identity.tenant() == tenant)
        });
        of_tenant.take(opening).count() < opening
    }

    fn idle_connections<'a>(
        &'a self,
        backend: &'a Backend,
    ) -> impl Iterator<Item = (ConnectionId, &'a Connection)> {
        let connections = backend.connections.iter();
        connections.filter_map(|id| {
            let connection = self.connections.get(id)?;
            connection.is_idle().then_some((*id, connection))
        })
    }

    fn is_opening_soon(&self, now: Time, id: &BackendId, tenant_filter: TenantFilter<'_>) -> bool {
        let Some(backend) = self.backends.get(id) else {
            return false;
        };
        backend.connections.iter().any(|connection| {
            let connection = self
                .connections
                .get(connection)
                .filter(|connection| tenant_filter.includes(connection));
            let opening_since = connection.and_then(|connection| connection.opening_since);
            opening_since.is_some_and(|since| now < since + OPENING_WAIT)
        })
    }

    /// Opens a connection to a back end for a tenant or for internal queries, if the limits allow. At the
    /// limit an idle connection of another tenant is closed instead.
    pub(crate) fn open_connection(
        &mut self,
        now: Time,
        id: &BackendId,
        tenant: Option<&TenantName>,
    ) {
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        let service = backend.description.service.clone();
        if now < backend.open_after {
            self.timers
                .set(backend.open_after, Timer::RetryWaiting(service));
            return;
        }
        let openings = backend.connections.iter().filter(|connection| {
            let state = self.connections.get(connection);
            state.is_some_and(|state| state.opening_since.is_some())
        });
        if openings.count() >= MAX_CONCURRENT_OPENINGS || !self.make_room(id, tenant) {
            return;
        }
        let Some(backend) = self.backends.get(id) else {
            return;
        };
        let target = OpenTarget {
            backend: id.clone(),
            service: service.clone(),
            address: backend.description.address,
            tenant: tenant.cloned(),
        };
        let log_floor = backend.log_floor;
        let connection = self.next_connection();
        let mut state = Connection::new(id.clone(), service.clone(), tenant.cloned(), now);
        state.log_floor = log_floor;
        self.connections.insert(connection, state);
        if let Some(backend) = self.backends.get_mut(id) {
            backend.connections.insert(connection);
        }
        self.timers
            .set(now + OPENING_WAIT, Timer::RetryWaiting(service));
        self.timers
            .set(now + OPENING_TIMEOUT, Timer::ReplyCheck(connection));
        self.effects.push(Effect::Open { connection, target });
    }

    /// Makes room for another connection to a back end; returns whether there is room. The least recently
    /// used idle connection is closed if necessary. No tenant gets all connections if there are several.
    fn make_room(&mut self, id: &BackendId, tenant: Option<&TenantName>) -> bool {
        let Some(backend) = self.backends.get(id) else {
            return false;
        };
        let share = self.connection_share(id);
        let held = backend.connections.len();
        let own = backend.connections.iter().filter(|connection| {
            let connection = self.connections.get(connection);
            connection.is_some_and(|connection| connection.tenant.as_ref() == tenant)
        });
        if tenant.is_some() && own.count() >= share.saturating_sub(1).max(1) {
            return false;
        }
        if held < share {
            return true;
        }
        let least_recent = self
            .idle_connections(backend)
            .filter(|(_, connection)| connection.tenant.as_ref() != tenant)
            .min_by_key(|(id, connection)| (connection.idle_since, *id))
            .map(|(id, _)| id);
        let Some(least_recent) = least_recent.filter(|_| held == share) else {
            return false;
        };
        self.close_connection(least_recent);
        true
    }
}
