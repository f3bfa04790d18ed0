//! The edge service: accepts client connections and holds the state shared by their sessions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use stairward_protocol::call::{CallReply, CallRequest};
use stairward_session::{
    ClassCache, PreparedStatements, SessionFloor, SessionHints, SessionVariables, StatementClass,
    TokenKey,
};
use stairward_types::{GroupId, LogEvent, ResultCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::either::Either;

use super::authentication::Passwords;
use super::batch::BatchBuilder;
use super::cancel::{CancelKey, CancelRegistry, may_belong_to};
use super::client::Client;
use super::error::EdgeError;
use super::group::Group;
use super::parameters::{self, StartupParameters};
use super::reply::{self, Severity};
use super::session::{Session, Transaction};
use super::settings::{EdgeSettings, Users};
use super::startup::{self, Incoming, StartupError};
use super::statistics::{Counters, EdgeStatistics};
use crate::cluster::Cluster;
use crate::peer::PeerNetwork;

/// Statements per generation of the class cache; see [`ClassCache`].
const CLASS_CACHE_STATEMENTS: usize = 2_000;
/// How long to wait for another proxy to process a forwarded cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a drain checks whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after an accept error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The part of a node that serves PostgreSQL clients.
pub struct EdgeService {
    pub(super) cluster: Cluster,
    pub(super) network: PeerNetwork,
    pub(super) counters: Counters,
    settings: EdgeSettings,
    passwords: RwLock<Option<Arc<Passwords>>>,
    tls: RwLock<Option<Arc<rustls::ServerConfig>>>,
    statement_classes: Mutex<ClassCache>,
    groups: Mutex<BTreeMap<GroupId, Arc<Group>>>,
    cancel_registry: Arc<CancelRegistry>,
    draining: watch::Sender<bool>,
    client_permits: Arc<Semaphore>,
}

impl EdgeService {
    /// Creates an edge without client connections.
    #[must_use]
    pub fn new(cluster: Cluster, network: PeerNetwork, settings: EdgeSettings) -> Arc<Self> {
        let passwords = settings.users.clone().map(Passwords::new).map(Arc::new);
        Arc::new(Self {
            cancel_registry: Arc::new(CancelRegistry::new(cluster.identity.node)),
            cluster,
            network,
            counters: Counters::default(),
            passwords: RwLock::new(passwords),
            tls: RwLock::new(settings.tls.clone()),
            statement_classes: Mutex::new(ClassCache::new(CLASS_CACHE_STATEMENTS)),
            groups: Mutex::default(),
            draining: watch::Sender::new(false),
            client_permits: Arc::new(Semaphore::new(settings.maximum_clients)),
            settings,
        })
    }

    /// Accepts and serves client connections until the edge is drained.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let primary_watcher = tokio::spawn(Arc::clone(&self).notify_on_new_primaries());
        let mut draining = self.draining.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = draining.wait_for(|draining| *draining) => break,
            };
            match accepted {
                Ok((socket, _)) => {
                    tokio::spawn(Arc::clone(&self).handle_connection(socket));
                }
                Err(error) => {
                    tracing::error!(
                        event = LogEvent::ListenerFailed.number(),
                        %error,
                        "failed to accept a client connection"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Connections that are still arriving are told to connect to another proxy.
        let mut draining_listener = listener;
        self.reject_while_draining(&mut draining_listener).await;
        primary_watcher.abort();
    }

    /// Refuses new connections with an error until the last session has ended.
    async fn reject_while_draining(self: &Arc<Self>, listener: &mut TcpListener) {
        while self.statistics().sessions > 0 {
            let accepted = tokio::time::timeout(DRAIN_POLL_INTERVAL, listener.accept()).await;
            if let Ok(Ok((socket, _))) = accepted {
                tokio::spawn(Arc::clone(self).handle_connection(socket));
            }
        }
    }

    /// Drains the edge for a planned shutdown: refuses new sessions, disconnects idle ones and lets
    /// the others finish their batch or transaction. Returns whether all sessions ended before the
    /// deadline.
    pub async fn drain(&self, deadline: Duration) -> bool {
        self.draining.send_replace(true);
        let started = Instant::now();
        while self.statistics().sessions > 0 {
            if started.elapsed() >= deadline {
                return false;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the current counter values.
    #[must_use]
    pub fn statistics(&self) -> EdgeStatistics {
        self.counters.snapshot()
    }

    /// Replaces the users for new sessions.
    pub fn set_users(&self, users: Option<Users>) {
        let passwords = users.map(Passwords::new).map(Arc::new);
        *write(&self.passwords) = passwords;
    }

    /// Replaces the TLS configuration for new connections.
    pub fn set_tls(&self, tls: Option<Arc<rustls::ServerConfig>>) {
        *write(&self.tls) = tls;
    }

    /// Cancels the statement of a session of this node, on behalf of another proxy that received
    /// the cancel request. Returns false if there is no such session.
    pub fn cancel_statement(&self, process: u32, secret: u32) -> bool {
        self.cancel_registry.cancel(CancelKey { process, secret })
    }

    /// Answers a [`CallRequest::CancelStatement`] from another proxy; `None` for any other call.
    #[must_use]
    pub fn answer_call(&self, request: &CallRequest) -> Option<CallReply> {
        match request {
            CallRequest::CancelStatement { process, secret } => {
                self.cancel_statement(*process, *secret);
                // The reply doesn't reveal whether the key was valid.
                Some(CallReply::Done)
            }
            _ => None,
        }
    }

    pub(super) fn token_key(&self) -> &TokenKey {
        &self.settings.token_key
    }

    pub(super) fn classify(&self, text: &str) -> Arc<StatementClass> {
        self.statement_classes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .classify(text)
    }

    fn group(&self, id: &GroupId) -> Arc<Group> {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let group = groups.entry(id.clone()).or_insert_with(|| {
            let group = Group::new(id.clone(), self.cluster.clone(), self.network.clone());
            Arc::new(group)
        });
        Arc::clone(group)
    }

    /// Wakes the requests that wait for a primary whenever a new one is found.
    async fn notify_on_new_primaries(self: Arc<Self>) {
        let mut primaries = self.cluster.watch_primaries();
        let mut known_terms = BTreeMap::new();
        while primaries.changed().await.is_ok() {
            let primaries_by_group = Arc::clone(&primaries.borrow_and_update());
            for (group, primary) in primaries_by_group.iter() {
                if known_terms.insert(group.clone(), primary.term) != Some(primary.term) {
                    self.group(group).notify_waiting();
                }
            }
        }
    }

    async fn handle_connection(self: Arc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let permit = Arc::clone(&self.client_permits).try_acquire_owned().ok();
        let mut client = Some(Client::new(Either::Left(socket)));
        let timeout = self.settings.startup_timeout;
        // Boxed, so that a session doesn't keep the memory used during startup.
        let starting = Box::pin(self.start_session(&mut client, permit.is_some()));
        let started = tokio::time::timeout(timeout, starting);
        let error = match started.await {
            Ok(Ok(Some(session))) => {
                return Box::pin(Arc::clone(&self).run_session(client, session, permit)).await;
            }
            Ok(Ok(None)) | Err(_) => return,
            Ok(Err(StartupError::Refused { error })) => error,
            Ok(Err(error)) => {
                tracing::debug!(
                    event = LogEvent::ProtocolViolated.number(),
                    %error,
                    "connection failed during startup"
                );
                return;
            }
        };
        tracing::warn!(
            event = LogEvent::SessionRefused.number(),
            code = error.code().map(ResultCode::number),
            "session refused"
        );
        self.counters.refused.add(1);
        if let Some(mut client) = client {
            reply::error_response(&mut client.output, Severity::Fatal, &error);
            let _ = tokio::time::timeout(timeout, Box::pin(client.close())).await;
        }
    }

    /// Performs startup and authentication; `None` for a cancel request.
    async fn start_session(
        &self,
        client: &mut Option<Client>,
        has_permit: bool,
    ) -> Result<Option<StartedClient>, StartupError> {
        let tls = read(&self.tls);
        let parameters = match startup::read_initial_request(client, tls).await? {
            Incoming::Session(parameters) => parameters,
            Incoming::Cancel(key) => {
                self.forward_cancel(key).await;
                return Ok(None);
            }
        };
        if !has_permit {
            return Err(EdgeError::new(ResultCode::TooManyClients).into());
        }
        if *self.draining.borrow() {
            return Err(EdgeError::new(ResultCode::ProxyStopping).into());
        }
        let Some(connection) = client else {
            return Ok(None);
        };
        let passwords = read(&self.passwords);
        startup::authenticate(connection, &parameters.user, passwords.as_deref()).await?;
        let settings = self.cluster.settings();
        let group = startup::requested_group(&settings, &parameters.database)?;
        let floor = self.token_floor(&parameters, &group)?;
        Ok(Some(StartedClient {
            parameters,
            group: self.group(&group),
            floor,
        }))
    }

    fn token_floor(
        &self,
        parameters: &StartupParameters,
        group: &GroupId,
    ) -> Result<Option<SessionFloor>, EdgeError> {
        let Some(text) = &parameters.hints.session_token else {
            return Ok(None);
        };
        let token = self
            .token_key()
            .verify(text, group)
            .map_err(|error| EdgeError::with_explanation(ResultCode::InvalidToken, error))?;
        Ok(Some(SessionFloor::starting_at(token.floor)))
    }

    async fn run_session(
        self: Arc<Self>,
        client: Option<Client>,
        started: StartedClient,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        let Some(mut client) = client else { return };
        let registration = self.cancel_registry.register(rand::random());
        parameters::send_parameter_status(&mut client.output, &started.parameters);
        let key = registration.key;
        reply::backend_key_data(
            &mut client.output,
            key.process.cast_signed(),
            key.secret.cast_signed(),
        );
        let _count_guard = SessionCountGuard::new(&self);
        let mut session = Box::new(Session {
            draining: self.draining.subscribe(),
            service: Arc::clone(&self),
            group: started.group,
            client,
            registration,
            hints: SessionHints::new(started.parameters.hints),
            variables: SessionVariables::new(started.parameters.settings),
            prepared: PreparedStatements::default(),
            floor_is_known: started.floor.is_some(),
            reported_floor: None,
            floor: started.floor.unwrap_or_default(),
            transaction: Transaction::Idle,
            active: None,
            builder: BatchBuilder::default(),
            skip_until_sync: false,
            served_while_draining: false,
        });
        session.send_ready();
        session.run().await;
        drop(permit);
    }

    /// Cancels a local statement, or forwards the request to the proxies whose numbers match the
    /// key.
    async fn forward_cancel(&self, key: CancelKey) {
        if self.cancel_registry.cancel(key) {
            return;
        }
        let own_node = self.cluster.identity.node;
        let members = self.cluster.members();
        let candidate_nodes = members
            .members
            .iter()
            .map(|member| member.node)
            .filter(|node| *node != own_node && may_belong_to(key.process, *node));
        for node in candidate_nodes {
            let request = CallRequest::CancelStatement {
                process: key.process,
                secret: key.secret,
            };
            let _ = self.network.call(node, request, CANCEL_TIMEOUT).await;
        }
    }
}

/// Counts a session as open until dropped.
struct SessionCountGuard(Arc<EdgeService>);

impl SessionCountGuard {
    fn new(service: &Arc<EdgeService>) -> Self {
        service.counters.session_opened();
        Self(Arc::clone(service))
    }
}

impl Drop for SessionCountGuard {
    fn drop(&mut self) {
        self.0.counters.session_closed();
    }
}

/// A client that has completed startup.
struct StartedClient {
    parameters: StartupParameters,
    group: Arc<Group>,
    /// The floor of the session token that the client presented.
    floor: Option<SessionFloor>,
}

fn read<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
