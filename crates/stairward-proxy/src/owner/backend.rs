//! One back end that this node serves: its connections and its last known state.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stairward_protocol::stream::BackendHint;
use stairward_types::{BackendId, GroupId, ResultCode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::connection::BackendConnection;
use super::error::BackendError;
use super::login::Login;
use super::status::{BackendStatus, ask_status};
use crate::cluster::{Cluster, KnownPrimary};

/// How often a back end is asked for its state while nothing else asks.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long one answer to a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A back end served by this node.
pub(super) struct Backend {
    /// Its name.
    pub name: BackendId,
    /// Its group.
    pub group: GroupId,
    cluster: Cluster,
    login: Login,
    connections: usize,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<BackendConnection>>,
    status: Mutex<Option<BackendStatus>>,
    control: tokio::sync::Mutex<Option<BackendConnection>>,
    /// Fires when this node gives the back end up.
    pub stopped: CancellationToken,
}

/// A connection lent to one stream, with its share of the limit.
pub(super) struct LentConnection {
    /// The connection.
    pub connection: BackendConnection,
    permit: OwnedSemaphorePermit,
}

impl Backend {
    pub(super) fn new(
        name: BackendId,
        group: GroupId,
        cluster: Cluster,
        login: Login,
        connections: usize,
    ) -> Self {
        Self {
            name,
            group,
            cluster,
            login,
            connections,
            permits: Arc::new(Semaphore::new(connections)),
            idle: Mutex::default(),
            status: Mutex::default(),
            control: tokio::sync::Mutex::default(),
            stopped: CancellationToken::new(),
        }
    }

    /// The state when last asked.
    pub(super) fn status(&self) -> Option<BackendStatus> {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state when last asked, for the edge.
    pub(super) fn hint(&self) -> BackendHint {
        let Some(status) = self.status() else {
            return BackendHint::default();
        };
        BackendHint {
            freshness: status.freshness.into(),
            is_primary: u8::from(status.is_primary()),
            waiting: 0,
        }
    }

    /// Whether a connection is lent.
    pub(super) fn is_busy(&self) -> bool {
        self.permits.available_permits() < self.connections
    }

    /// Lends a connection.
    pub(super) async fn lend(&self) -> Result<LentConnection, ResultCode> {
        let permits = Arc::clone(&self.permits);
        let permit = permits.acquire_owned().await;
        let permit = permit.map_err(|_| ResultCode::BackendLeaving)?;
        while let Some(mut connection) = self.take_idle() {
            if !connection.is_stale() {
                return Ok(LentConnection { connection, permit });
            }
        }
        let connection = self.login.open().await;
        let connection = connection.map_err(|_| ResultCode::BackendUnavailable)?;
        Ok(LentConnection { connection, permit })
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    /// Takes back a connection whose back end reported that it is idle.
    pub(super) async fn take_back(&self, lent: LentConnection, altered: bool) {
        let mut connection = lent.connection;
        if altered && connection.query("DISCARD ALL").await.is_err() {
            return;
        }
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(connection);
        drop(lent.permit);
    }

    /// Asks the back end now.
    pub(super) async fn ask(&self) -> Result<BackendStatus, BackendError> {
        let mut control = self.control.lock().await;
        let mut connection = match control.take() {
            Some(connection) => connection,
            None => self.login.open().await?,
        };
        let answer = tokio::time::timeout(PROBE_TIMEOUT, ask_status(&mut connection)).await;
        let status = answer.map_err(|_| BackendError::Timeout)??;
        *control = Some(connection);
        drop(control);
        self.learn(status);
        Ok(status)
    }

    fn learn(&self, status: BackendStatus) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = Some(status);
        if status.is_primary() {
            let primary = KnownPrimary {
                term: status.freshness.term,
                backend: self.name.clone(),
            };
            self.cluster.learn_primary(&self.group, primary);
        }
    }

    /// Asks the back end again and again until it is given up.
    pub(super) async fn probe(self: Arc<Self>) {
        while !self.stopped.is_cancelled() {
            if self.ask().await.is_err() {
                *self.status.lock().unwrap_or_else(PoisonError::into_inner) = None;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}
