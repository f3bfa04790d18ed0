//! The edge side of a simulated proxy: drives the real request, routing and session decisions.

mod floor;
mod request;
mod search;
mod session;

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_routing::{
    Event, GroupRouting, HoldLimits, Observation, RoutingLimits, ZoneDistance,
};
use stairward_session::TokenKey;
use stairward_settings::{BackendSettings, GroupSettings};
use stairward_types::{AdminState, BackendId, GroupId, NodeId, Term, Time};

use super::message::{CallerConnection, StreamKey};
use super::outbox::Outbox;
use super::policy::Policy;
use super::proxy::ProxyState;
use super::variant::BrokenVariant;

use request::EdgeRequest;
use search::Search;
use session::EdgeSession;

/// Requests released to a new primary per second.
const RELEASES_PER_SECOND: u32 = 2_000;
/// The secret that signs session tokens; the same on all proxies.
const TOKEN_SECRET: &[u8] = b"the simulation's token secret";

/// One database group as an edge sees it.
#[derive(Debug, Default)]
struct EdgeGroup {
    routing: GroupRouting,
    search: Search,
}

/// The edge of one proxy.
#[derive(Debug)]
pub(super) struct Edge {
    groups: BTreeMap<GroupId, EdgeGroup>,
    sessions: BTreeMap<CallerConnection, EdgeSession>,
    requests: BTreeMap<u64, EdgeRequest>,
    /// The streams under way: the request or the session's transaction, and the owner.
    streams: BTreeMap<StreamKey, (CallerConnection, NodeId)>,
    next_request: u64,
    next_stream: u64,
    token_key: TokenKey,
}

impl Default for Edge {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            streams: BTreeMap::new(),
            next_request: 0,
            next_stream: 0,
            token_key: TokenKey::new(TOKEN_SECRET),
        }
    }
}

impl Edge {
    /// Whether no session is left.
    pub(super) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// A session's floor: none while it is not known, and none within when there is none.
    pub(super) fn known_floor(
        &self,
        connection: CallerConnection,
    ) -> Option<Option<stairward_types::Freshness>> {
        let session = self.sessions.get(&connection)?;
        session.floor.is_known.then(|| session.known_floor())
    }

    /// Sessions with nothing under way.
    pub(super) fn idle_sessions(&self) -> Vec<CallerConnection> {
        let sessions = self.sessions.iter();
        let idle = sessions.filter(|(_, session)| session.is_idle());
        idle.map(|(connection, _)| *connection).collect()
    }

    /// Ends a session unless something is under way. Returns whether it was ended.
    pub(super) fn end_idle_session(&mut self, connection: CallerConnection) -> bool {
        let is_idle = self
            .sessions
            .get(&connection)
            .is_some_and(EdgeSession::is_idle);
        if is_idle {
            self.sessions.remove(&connection);
        }
        is_idle
    }

    /// The group a session belongs to.
    fn group_of(&mut self, connection: CallerConnection) -> Option<(&GroupId, &mut EdgeGroup)> {
        let session = self.sessions.get(&connection)?;
        let group = self.groups.get_mut(&session.group)?;
        Some((&session.group, group))
    }
}

impl ProxyState {
    /// Puts changed settings in force.
    pub(super) fn settings_changed(&mut self, out: &mut Outbox<'_>) {
        let settings = std::sync::Arc::clone(&self.control.settings);
        let ignores_leaving = self.broken == Some(BrokenVariant::Leaving);
        for group in settings.groups.values() {
            let edge_group = self.edge.groups.entry(group.group.clone()).or_default();
            apply_settings(
                &mut edge_group.routing,
                group,
                &self.identity,
                ignores_leaving,
            );
        }
        self.settings_changed_for_claims(out);
    }

    /// Learns of a group's primary, from whatever source, and passes the news on if it is newer.
    pub(super) fn learn_primary(
        &mut self,
        group: &GroupId,
        term: Term,
        primary: &BackendId,
        out: &mut Outbox<'_>,
    ) {
        let Some(known) = self.edge.groups.get_mut(group) else {
            return;
        };
        let view = &mut known.routing.view;
        if view.primary().is_some_and(|known| known.term >= term) {
            return;
        }
        if self.policy == Policy::Baseline && !known.search.is_health_check_due(out.now) {
            return;
        }
        view.confirm_primary(term, primary.clone());
        out.log(|| format!("learns that {primary} leads {group} in term {term}"));
        self.newest_term_for_claims(group, term, out);
        if self.policy == Policy::Stairward {
            let news = stairward_membership::TermUpdate {
                group: group.clone(),
                term,
                primary: primary.clone(),
            };
            self.spread_term(news, out);
        }
        self.wake_held(group, out);
    }

    /// Notes what a back end of this node's own said of itself.
    pub(super) fn observe_backend(
        &mut self,
        group: &GroupId,
        backend: &BackendId,
        observation: Observation,
        out: &Outbox<'_>,
    ) {
        if let Some(known) = self.edge.groups.get_mut(group) {
            known.routing.view.observe(out.now, backend, observation);
        }
    }

    /// Tells the requests that wait for a primary of a group that one is known.
    fn wake_held(&mut self, group: &GroupId, out: &mut Outbox<'_>) {
        let held: Vec<u64> = self
            .edge
            .requests
            .iter()
            .filter(|(_, request)| request.group == *group)
            .map(|(number, _)| *number)
            .collect();
        for number in held {
            self.feed_request(number, Event::PrimaryFound, out);
        }
    }

    /// Another node is gone: what was under way there is lost.
    pub(super) fn owner_lost(&mut self, node: NodeId, out: &mut Outbox<'_>) {
        let lost: Vec<StreamKey> = self
            .edge
            .streams
            .iter()
            .filter(|(_, (_, owner))| *owner == node)
            .map(|(stream, _)| *stream)
            .collect();
        for stream in lost {
            self.stream_lost(stream, out);
        }
    }
}

fn apply_settings(
    routing: &mut GroupRouting,
    group: &GroupSettings,
    identity: &super::control::ProxyIdentity,
    ignores_leaving: bool,
) {
    routing.set_limits(RoutingLimits {
        hold: HoldLimits {
            requests: group.hold_queue_requests,
            bytes: group.hold_queue_bytes,
            time: group.hold_queue_time,
            release_interval: Duration::from_secs(1) / RELEASES_PER_SECOND,
        },
        retry_budget_permille: group.retry_budget_permille,
        freshness_wait: group.freshness_wait,
    });
    routing
        .view
        .set_backends(group.backends.values().map(|backend| {
            let admin_state = match backend.admin_state {
                AdminState::Leaving if ignores_leaving => AdminState::Active,
                state => state,
            };
            (
                backend.backend.clone(),
                admin_state,
                distance(backend, identity),
            )
        }));
}

fn distance(backend: &BackendSettings, identity: &super::control::ProxyIdentity) -> ZoneDistance {
    if backend.region != identity.region {
        ZoneDistance::Remote
    } else if backend.zone != identity.zone {
        ZoneDistance::SameRegion
    } else {
        ZoneDistance::SameZone
    }
}

/// When a caller gives up, by the proxy's clock.
fn deadline(group: &GroupSettings, now: Time) -> Time {
    now + group.request_timeout
}
