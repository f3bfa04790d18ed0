//! The control connection of a back end: holds the lease's lock and runs health probes and status
//! queries.

use std::sync::Arc;
use std::time::Duration;

use stairward_pool::OwnerRole;
use stairward_pool::lease::{LeaseEffect, LeaseEvent};
use stairward_pool::pool::{BackendState, PoolEvent};
use stairward_protocol::call::CallRequest;
use stairward_types::{LogEvent, Time};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::backend::Backend;
use super::connection::BackendConnection;
use super::error::BackendError;
use super::status::{BackendStatus, query_status};
use super::{lease_lock, ledger, term_search};
use crate::cluster::KnownPrimary;

/// Interval of health probes in the absence of other status queries.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an unanswered query marks the back end as unreachable.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an unanswered query closes the control connection, which releases the lease.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for notifying a successor of a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between searches for expired rows in the ledger of request keys.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// The reply to a status query; none when the back end did not respond.
pub(super) type StatusReply = Option<BackendStatus>;

/// A command to the control task.
pub(super) enum ControlCommand {
    /// Query the back end's status.
    QueryStatus(oneshot::Sender<StatusReply>),
    /// Execute an effect of the lease.
    Lease(LeaseEffect),
    /// Reply and stop; all earlier commands have been executed by then.
    Stop(oneshot::Sender<()>),
}

struct Control {
    backend: Arc<Backend>,
    connection: Option<BackendConnection>,
    /// Whether the last query was answered; only changes are logged.
    is_reachable: bool,
    /// When to search the ledger for expired rows next.
    expiry_due: Instant,
}

/// Runs the control task of one back end until [`ControlCommand::Stop`].
pub(super) async fn run_control(
    backend: Arc<Backend>,
    mut commands: mpsc::UnboundedReceiver<ControlCommand>,
) {
    let mut control = Control {
        backend,
        connection: None,
        is_reachable: true,
        expiry_due: Instant::now() + EXPIRY_INTERVAL,
    };
    let mut probe_due = Instant::now();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = tokio::time::sleep_until(probe_due), if control.connection.is_some() => {
                control.answer_queries(Vec::new()).await;
                control.expire_ledger_when_due().await;
                probe_due = Instant::now() + PROBE_INTERVAL;
                continue;
            }
        };
        match command {
            Some(ControlCommand::QueryStatus(first)) => {
                let queries = collect_status_queries(first, &mut commands, &control.backend);
                control.answer_queries(queries).await;
                probe_due = Instant::now() + PROBE_INTERVAL;
            }
            Some(ControlCommand::Lease(effect)) => control.execute_effect(effect).await,
            Some(ControlCommand::Stop(reply)) => {
                let _ = reply.send(());
                return;
            }
            None => return,
        }
    }
}

/// Takes all queued status queries, so that one probe answers them together. Other queued commands
/// are requeued in order.
fn collect_status_queries(
    first: oneshot::Sender<StatusReply>,
    commands: &mut mpsc::UnboundedReceiver<ControlCommand>,
    backend: &Backend,
) -> Vec<oneshot::Sender<StatusReply>> {
    let mut queries = vec![first];
    for _ in 0..commands.len() {
        match commands.try_recv() {
            Ok(ControlCommand::QueryStatus(query)) => queries.push(query),
            Ok(other) => backend.command(other),
            Err(_) => break,
        }
    }
    queries
}

impl Control {
    async fn execute_effect(&mut self, effect: LeaseEffect) {
        match effect {
            LeaseEffect::AcquireLock => self.try_acquire().await,
            LeaseEffect::EndStaleSessions => self.terminate_stale_sessions().await,
            LeaseEffect::ReleaseLock => self.release(),
            // `Backend::stop` drains and closes the connections when the back end is released.
            LeaseEffect::CloseConnections | LeaseEffect::StartUse | LeaseEffect::StopUse => {}
        }
    }

    async fn try_acquire(&mut self) {
        let sent_at = self.backend.now();
        match self.open_and_lock().await {
            Ok(Some(connection)) => {
                self.connection = Some(connection);
                self.backend
                    .lease_event(LeaseEvent::LockAcquired { sent_at });
            }
            Ok(None) => {
                self.backend.handle(PoolEvent::LockHeldElsewhere);
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
            // The node that acquired the lock terminates all other sessions of the role, including
            // one that was only trying to lock. The next attempt shows whether the back end is
            // shutting down.
            Err(error) if error.is_termination() => {
                tracing::debug!(
                    backend = %self.backend.identity.name,
                    %error,
                    "the back end terminated the session that tried to acquire the lock"
                );
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
            Err(error) => {
                self.mark_unreachable(&error);
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
        }
    }

    async fn open_and_lock(&self) -> Result<Option<BackendConnection>, BackendError> {
        let identity = &self.backend.identity;
        let login = lease_lock::control_login(&identity.login);
        let mut connection = login.open().await?;
        let locked = lease_lock::try_lock(&mut connection, identity.role).await?;
        Ok(locked.then_some(connection))
    }

    async fn terminate_stale_sessions(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let identity = &self.backend.identity;
        let own_name = &identity.login.application_name;
        let ended = lease_lock::terminate_stale_sessions(connection, identity.role, own_name).await;
        let status = match ended {
            Ok(()) => query_status(connection).await,
            Err(error) => Err(error),
        };
        match status {
            Ok(status) => {
                tracing::info!(
                    event = LogEvent::OwnershipTaken.number(),
                    backend = %identity.name,
                    role = identity.role.name(),
                    "acquired ownership of a back end"
                );
                self.record_status(status);
                self.backend.lease_event(LeaseEvent::StaleSessionsEnded);
            }
            Err(error) => self.drop_connection(&error),
        }
    }

    fn release(&mut self) {
        self.connection = None;
        let identity = &self.backend.identity;
        tracing::info!(
            event = LogEvent::OwnershipReleased.number(),
            backend = %identity.name,
            role = identity.role.name(),
            "released ownership of a back end"
        );
        tokio::spawn(notify_successors(Arc::clone(&self.backend)));
    }

    /// Probes the back end and sends the result to all queries.
    async fn answer_queries(&mut self, queries: Vec<oneshot::Sender<StatusReply>>) {
        let answer = self.probe().await;
        for query in queries {
            let _ = query.send(answer);
        }
    }

    async fn probe(&mut self) -> StatusReply {
        let sent_at = self.backend.now();
        let connection = self.connection.as_mut()?;
        match query_status_in_time(connection, &self.backend).await {
            Ok(status) => {
                self.renewed(sent_at, status);
                Some(status)
            }
            Err(error) => {
                self.drop_connection(&error);
                None
            }
        }
    }

    /// Deletes one batch of expired ledger rows. Larger deletions would delay the probes on this
    /// connection.
    async fn expire_ledger_when_due(&mut self) {
        let backend = Arc::clone(&self.backend);
        let is_owned_primary = backend.identity.role == OwnerRole::Owner && backend.is_primary();
        if !is_owned_primary || Instant::now() < self.expiry_due {
            return;
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        let retention = backend.context.request_key_retention(&backend.identity);
        let expired = ledger::expire(connection, retention);
        match tokio::time::timeout(CONTROL_TIMEOUT, expired).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => self.expiry_due = Instant::now() + EXPIRY_INTERVAL,
            Ok(Err(error)) => self.drop_connection(&error),
            Err(_) => self.drop_connection(&BackendError::Timeout),
        }
    }

    fn renewed(&mut self, sent_at: Time, status: BackendStatus) {
        self.record_status(status);
        self.backend.lease_event(LeaseEvent::Renewed { sent_at });
    }

    fn record_status(&mut self, status: BackendStatus) {
        let identity = &self.backend.identity;
        if !self.is_reachable {
            self.is_reachable = true;
            tracing::info!(
                event = LogEvent::BackendReachable.number(),
                backend = %identity.name,
                "the back end is reachable again"
            );
        }
        if status.is_primary() {
            let primary = KnownPrimary {
                term: status.freshness.term,
                backend: identity.name.clone(),
            };
            let cluster = &self.backend.context.cluster;
            if cluster.learn_primary(&identity.group, primary) {
                tracing::info!(
                    event = LogEvent::TermChanged.number(),
                    group = %identity.group,
                    term = status.freshness.term.0,
                    primary = %identity.name,
                    "discovered a newer term"
                );
            }
        }
        self.backend.handle(PoolEvent::Probed(BackendState {
            freshness: status.freshness,
            role: status.role,
        }));
    }

    fn drop_connection(&mut self, error: &BackendError) {
        self.connection = None;
        self.mark_unreachable(error);
        self.backend.lease_event(LeaseEvent::ControlConnectionLost);
    }

    fn mark_unreachable(&mut self, error: &BackendError) {
        if self.is_reachable {
            self.is_reachable = false;
            tracing::warn!(
                event = LogEvent::BackendUnreachable.number(),
                backend = %self.backend.identity.name,
                %error,
                "the back end is unreachable"
            );
        }
        term_search::start_primary_search(&self.backend);
        self.backend.handle(PoolEvent::ProbeFailed);
    }
}

/// Queries the status with two timeouts: after [`ANSWER_TIMEOUT`] the back end is marked
/// unreachable, after [`CONTROL_TIMEOUT`] the query fails and the connection is closed.
async fn query_status_in_time(
    connection: &mut BackendConnection,
    backend: &Arc<Backend>,
) -> Result<BackendStatus, BackendError> {
    let answer = query_status(connection);
    tokio::pin!(answer);
    if let Ok(status) = tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
        return status;
    }
    term_search::start_primary_search(backend);
    backend.handle(PoolEvent::ProbeFailed);
    let rest = CONTROL_TIMEOUT.saturating_sub(ANSWER_TIMEOUT);
    match tokio::time::timeout(rest, &mut answer).await {
        Ok(status) => status,
        Err(_) => Err(BackendError::Timeout),
    }
}

/// Notifies the back end's current owner and standby that the lock is free. Best effort: a
/// successor that misses it acquires the lock on its next periodic attempt.
async fn notify_successors(backend: Arc<Backend>) {
    let cluster = &backend.context.cluster;
    let name = &backend.identity.name;
    let Some(owners) = cluster.owners(name) else {
        return;
    };
    let request = CallRequest::HandOver {
        backend: name.as_str().into(),
    };
    let successors = std::iter::once(owners.owner).chain(owners.standby);
    for successor in successors.filter(|node| *node != cluster.identity.node) {
        let network = &backend.context.network;
        let _ = network
            .call(successor, request.clone(), HANDOVER_TIMEOUT)
            .await;
    }
}
