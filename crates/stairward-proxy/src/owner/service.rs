//! The owner service: acquires and releases back ends as membership and settings change, and routes
//! streams to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairward_pool::lease::LeaseEvent;
use stairward_pool::pool::{PoolEvent, PoolSettings};
use stairward_pool::{ConnectionShares, OwnerRole, should_hold};
use stairward_protocol::call::CallReply;
use stairward_settings::{BackendSettings, GroupSettings, ResolvedSettings};
use stairward_types::{AdminState, BackendId, GroupId, LogEvent, ResultCode};
use tokio::sync::Notify;

use super::backend::{Backend, BackendIdentity};
use super::context::{OwnerContext, OwnerSettings};
use super::lease_lock::application_name;
use super::login::Login;
use super::report::{OwnerStatus, report};
use super::stream::serve_stream;
use crate::cluster::Cluster;
use crate::peer::{OwnerStream, PeerNetwork};

/// The `idle_session_timeout` of working connections. Far longer than the pool keeps a connection
/// idle; it only cleans up after a node that failed without a successor.
const IDLE_SESSION_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time without contact to a configuration source. Beyond it no new work is admitted,
/// because back ends may have been marked as leaving in the meantime.
const CONFIGURATION_AGE_LIMIT: Duration = Duration::from_secs(3);

/// Drain limit for running work when a back end moves to another node.
const MOVE_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The served back ends by name and role.
type Served = BTreeMap<(BackendId, OwnerRole), Arc<Backend>>;

/// The back ends and roles this node should serve, with their settings.
type Wanted<'a> = BTreeMap<(BackendId, OwnerRole), (&'a GroupSettings, &'a BackendSettings)>;

/// The owner side of a node.
pub struct OwnerService {
    context: Arc<OwnerContext>,
    state: Mutex<ServiceState>,
}

#[derive(Default)]
struct ServiceState {
    served: Served,
    /// Back ends being released. Each stays here until it has closed its connections and released
    /// its lock.
    stopping: Served,
    configuration_too_old: bool,
    is_draining: bool,
}

impl OwnerService {
    /// Creates a service that owns nothing until [`OwnerService::run`] follows the cluster.
    #[must_use]
    pub fn new(cluster: Cluster, network: PeerNetwork, settings: OwnerSettings) -> Arc<Self> {
        let context = OwnerContext {
            cluster,
            network,
            settings,
            roles_changed: Notify::new(),
        };
        Arc::new(Self {
            context: Arc::new(context),
            state: Mutex::default(),
        })
    }

    /// Acquires and releases back ends as settings and membership change. Runs until the cluster is
    /// dropped.
    pub async fn run(self: Arc<Self>) {
        let mut settings = self.context.cluster.watch_settings();
        let mut members = self.context.cluster.watch_members();
        let mut primaries = self.context.cluster.watch_primaries();
        loop {
            self.follow_cluster();
            let changed = tokio::select! {
                changed = settings.changed() => changed,
                changed = members.changed() => changed,
                changed = primaries.changed() => changed,
                () = self.context.roles_changed.notified() => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Starts a task that serves a stream opened by an edge. Its first message must be `Open`.
    pub fn accept_stream(&self, stream: OwnerStream) {
        let served = {
            let state = self.lock();
            state.served.clone()
        };
        tokio::spawn(serve_stream(stream, move |name| {
            find_serving(&served, name)
        }));
    }

    /// Queries a back end's current term, position and role.
    pub async fn probe_backend(&self, backend: &BackendId) -> CallReply {
        let refused = |code: ResultCode| CallReply::Refused {
            code: code.number(),
        };
        let candidates = self.roles_of(backend);
        if candidates.is_empty() {
            return refused(ResultCode::NotOwner);
        }
        for backend in candidates {
            if let Ok(status) = backend.query_status().await {
                return CallReply::Backend {
                    freshness: status.freshness.into(),
                    is_primary: u8::from(status.is_primary()),
                    received: status.received.into(),
                };
            }
        }
        refused(ResultCode::BackendUnavailable)
    }

    /// Handles the notification that another node released a back end, so that this node attempts
    /// the lock immediately.
    pub fn handle_handover(&self, backend: &BackendId) {
        for backend in self.roles_of(backend) {
            backend.lease_event(LeaseEvent::ReleasedByPredecessor);
        }
    }

    /// Sets the time since the last contact to a configuration source. While it exceeds the limit,
    /// no new work is admitted.
    pub fn set_configuration_age(&self, age: Duration) {
        let too_old = age > CONFIGURATION_AGE_LIMIT;
        let mut state = self.lock();
        if state.configuration_too_old == too_old {
            return;
        }
        state.configuration_too_old = too_old;
        for backend in state.served.values() {
            backend.handle(PoolEvent::ConfigurationTooOld(too_old));
        }
    }

    /// Releases every back end: admits no new work, lets running work finish within `deadline`, and
    /// hands the back ends over.
    pub async fn drain(&self, deadline: Duration) {
        let backends = {
            let mut state = self.lock();
            state.is_draining = true;
            let served = std::mem::take(&mut state.served);
            // Other nodes still query their status.
            state.stopping.extend(served.clone());
            served.into_values()
        };
        let stops = backends.map(|backend| async move { backend.stop(deadline).await });
        futures::future::join_all(stops).await;
    }

    /// The back ends served now.
    #[must_use]
    pub fn status(&self) -> OwnerStatus {
        let mut backends = BTreeMap::new();
        for ((name, _), backend) in &self.lock().served {
            backends
                .entry(name.clone())
                .or_insert_with(|| report(backend));
        }
        OwnerStatus { backends }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn roles_of(&self, name: &BackendId) -> Vec<Arc<Backend>> {
        let state = self.lock();
        let served = state.served.iter().chain(state.stopping.iter());
        served
            .filter(|((served, _), _)| served == name)
            .map(|(_, backend)| Arc::clone(backend))
            .collect()
    }

    fn follow_cluster(self: &Arc<Self>) {
        let settings = self.context.cluster.settings();
        let mut state = self.lock();
        if state.is_draining {
            return;
        }
        let wanted = self.wanted(&settings, &state.served);
        let unwanted: Vec<_> = state
            .served
            .iter()
            .filter(|(key, backend)| !self.is_still_wanted(key, backend, &wanted))
            .map(|(key, _)| key.clone())
            .collect();
        for key in unwanted {
            if let Some(backend) = state.served.remove(&key) {
                state.stopping.insert(key, Arc::clone(&backend));
                tokio::spawn(Arc::clone(self).release(backend));
            }
        }
        for ((name, role), (group, backend)) in wanted {
            self.serve(&mut state, name, role, group, backend);
        }
    }

    /// The back ends and roles this node should serve according to its membership view.
    fn wanted<'a>(&self, settings: &'a ResolvedSettings, served: &Served) -> Wanted<'a> {
        let holds = |name: &BackendId, role| {
            let backend = served.get(&(name.clone(), role));
            backend.is_some_and(|backend| backend.lease_is_held())
        };
        let mut wanted = Wanted::new();
        for group in settings.groups.values() {
            for backend in group.backends.values() {
                let name = &backend.backend;
                let ranked = self.ranked_role(backend);
                let holds_owner = holds(name, OwnerRole::Owner);
                let holds_standby = holds(name, OwnerRole::Standby);
                for role in OwnerRole::ALL {
                    if should_hold(role, ranked, holds_owner, holds_standby) {
                        wanted.insert((name.clone(), role), (group, backend));
                    }
                }
            }
        }
        wanted
    }

    /// Whether a served back end is still wanted in its role with the same address and user. After
    /// an address change it is released and acquired again.
    fn is_still_wanted(
        &self,
        key: &(BackendId, OwnerRole),
        served: &Backend,
        wanted: &Wanted<'_>,
    ) -> bool {
        wanted.get(key).is_some_and(|(group, settings)| {
            let login = &served.identity.login;
            login.address == settings.address && login.user == group.backend_user
        })
    }

    /// This node's role at a back end according to the ownership ranking.
    fn ranked_role(&self, backend: &BackendSettings) -> Option<OwnerRole> {
        let node = self.context.cluster.identity.node;
        let owners = self.context.cluster.owners(&backend.backend)?;
        let shares = ConnectionShares::divide(backend.connection_limit);
        if owners.owner == node {
            Some(OwnerRole::Owner)
        } else if owners.standby == Some(node) && shares.standby > 0 {
            Some(OwnerRole::Standby)
        } else {
            None
        }
    }

    fn serve(
        &self,
        state: &mut ServiceState,
        name: BackendId,
        role: OwnerRole,
        group: &GroupSettings,
        settings: &BackendSettings,
    ) {
        let key = (name, role);
        if state.stopping.contains_key(&key) {
            return;
        }
        let pool_settings = pool_settings(group, settings, role);
        let newest_term = self.newest_term(&group.group);
        if let Some(backend) = state.served.get(&key) {
            let was_leaving = backend.is_leaving();
            backend.handle(PoolEvent::SettingsChanged(pool_settings));
            backend.handle(PoolEvent::NewestTerm(newest_term));
            if settings.admin_state == AdminState::Leaving && !was_leaving {
                tracing::info!(
                    event = LogEvent::BackendLeaving.number(),
                    backend = %settings.backend,
                    "the back end is leaving; it receives no new work"
                );
            }
            return;
        }
        let identity = BackendIdentity {
            name: settings.backend.clone(),
            group: group.group.clone(),
            role,
            login: self.login(group, settings, role),
        };
        let backend = Backend::start(identity, Arc::clone(&self.context), pool_settings);
        backend.handle(PoolEvent::NewestTerm(newest_term));
        backend.handle(PoolEvent::ConfigurationTooOld(state.configuration_too_old));
        state.served.insert(key, backend);
    }

    fn newest_term(&self, group: &GroupId) -> stairward_types::Term {
        let primaries = self.context.cluster.primaries();
        let known = primaries.get(group);
        known.map(|primary| primary.term).unwrap_or_default()
    }

    fn login(&self, group: &GroupSettings, settings: &BackendSettings, role: OwnerRole) -> Login {
        let identity = &self.context.cluster.identity;
        Login {
            address: settings.address,
            user: group.backend_user.clone(),
            database: group.group.to_string(),
            application_name: application_name(identity.node.0, identity.incarnation.0, role),
            idle_session_timeout: IDLE_SESSION_TIMEOUT,
            password: self.context.settings.backend_password.clone(),
            tls: self.context.settings.backend_tls.clone(),
        }
    }

    async fn release(self: Arc<Self>, backend: Arc<Backend>) {
        backend.stop(MOVE_DRAIN_TIMEOUT).await;
        let key = (backend.identity.name.clone(), backend.identity.role);
        self.lock().stopping.remove(&key);
        self.context.roles_changed.notify_one();
    }
}

/// Finds the role in which a back end serves streams: the first whose lease is held, owner before
/// standby. Without a lease, the first served role.
fn find_serving(served: &Served, name: &BackendId) -> Option<Arc<Backend>> {
    let roles = OwnerRole::ALL.iter();
    let candidates: Vec<_> = roles
        .filter_map(|role| served.get(&(name.clone(), *role)))
        .collect();
    let holder = candidates.iter().find(|backend| backend.lease_is_held());
    holder
        .or_else(|| candidates.first())
        .map(|backend| Arc::clone(backend))
}

fn pool_settings(
    group: &GroupSettings,
    settings: &BackendSettings,
    role: OwnerRole,
) -> PoolSettings {
    let connections = ConnectionShares::divide(settings.connection_limit).working(role);
    let slots = match role {
        OwnerRole::Owner => settings.slots,
        OwnerRole::Standby => settings.slots.min(connections),
    };
    PoolSettings {
        admin_state: settings.admin_state,
        connections,
        slots,
        opening_limit: settings.opening_limit,
        queue_limit: group.admission_queue_requests,
        leave_timeout: group.leave_timeout,
    }
}
