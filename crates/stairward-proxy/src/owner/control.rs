//! The control connection of a back end: the lease's lock, health probes, and questions.

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
use super::status::{BackendStatus, ask_status};
use super::{lease_lock, ledger, term_search};
use crate::cluster::KnownPrimary;

/// How often a back end is asked for its state while nobody else asks.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an answer may take before the back end counts as unreachable.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an answer may take before the control connection is given up, and the lease with it.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the successor may take to answer that it heard of a hand-over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the ledger of request keys is looked at for old rows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// The answer to a question; none when the back end did not answer.
pub(super) type AskReply = Option<BackendStatus>;

/// What the control task is told.
pub(super) enum ControlCommand {
    /// Ask the back end, and reply with what it says.
    Ask(oneshot::Sender<AskReply>),
    /// Carry out what the lease decided.
    Lease(LeaseEffect),
    /// Everything before has been carried out; reply and end.
    End(oneshot::Sender<()>),
}

struct Control {
    backend: Arc<Backend>,
    connection: Option<BackendConnection>,
    /// Whether the last question was answered, to log changes only.
    is_reachable: bool,
    /// When the ledger is next looked at for old rows.
    expiry_due: Instant,
}

/// Serves the commands of one back end until it is served no longer.
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
                control.answer(Vec::new()).await;
                control.expire_ledger_when_due().await;
                probe_due = Instant::now() + PROBE_INTERVAL;
                continue;
            }
        };
        match command {
            Some(ControlCommand::Ask(first)) => {
                let questions = gather_questions(first, &mut commands, &control.backend);
                control.answer(questions).await;
                probe_due = Instant::now() + PROBE_INTERVAL;
            }
            Some(ControlCommand::Lease(effect)) => control.carry_out(effect).await,
            Some(ControlCommand::End(reply)) => {
                let _ = reply.send(());
                return;
            }
            None => return,
        }
    }
}

/// Takes every question that already waits, so that one probe answers all of them. What else waits
/// is put back in its order.
fn gather_questions(
    first: oneshot::Sender<AskReply>,
    commands: &mut mpsc::UnboundedReceiver<ControlCommand>,
    backend: &Backend,
) -> Vec<oneshot::Sender<AskReply>> {
    let mut questions = vec![first];
    for _ in 0..commands.len() {
        match commands.try_recv() {
            Ok(ControlCommand::Ask(question)) => questions.push(question),
            Ok(other) => backend.command(other),
            Err(_) => break,
        }
    }
    questions
}

impl Control {
    async fn carry_out(&mut self, effect: LeaseEffect) {
        match effect {
            LeaseEffect::AcquireLock => self.attempt().await,
            LeaseEffect::EndStaleSessions => self.end_leftovers().await,
            LeaseEffect::ReleaseLock => self.release(),
            // The service stops the back end when it is wanted no longer.
            LeaseEffect::CloseConnections | LeaseEffect::StartUse | LeaseEffect::StopUse => {}
        }
    }

    async fn attempt(&mut self) {
        let sent_at = self.backend.now();
        match self.lock().await {
            Ok(Some(connection)) => {
                self.connection = Some(connection);
                self.backend
                    .lease_event(LeaseEvent::LockAcquired { sent_at });
            }
            Ok(None) => {
                self.backend.handle(PoolEvent::LockHeldElsewhere);
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
            // Whoever got the lock first ends the other sessions of the role, also one that only asks for it. The
            // next attempt finds out whether the back end itself is going down.
            Err(error) if error.is_termination() => {
                tracing::debug!(
                    backend = %self.backend.identity.name,
                    %error,
                    "an attempt at the lock was ended by the back end"
                );
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
            Err(error) => {
                self.unreachable(&error);
                self.backend.lease_event(LeaseEvent::LockNotAcquired);
            }
        }
    }

    async fn lock(&self) -> Result<Option<BackendConnection>, BackendError> {
        let identity = &self.backend.identity;
        let login = lease_lock::control_login(&identity.login);
        let mut connection = login.open().await?;
        let locked = lease_lock::try_lock(&mut connection, identity.role).await?;
        Ok(locked.then_some(connection))
    }

    async fn end_leftovers(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let identity = &self.backend.identity;
        let own_name = &identity.login.application_name;
        let ended = lease_lock::end_leftovers(connection, identity.role, own_name).await;
        let status = match ended {
            Ok(()) => ask_status(connection).await,
            Err(error) => Err(error),
        };
        match status {
            Ok(status) => {
                tracing::info!(
                    event = LogEvent::OwnershipTaken.number(),
                    backend = %identity.name,
                    role = identity.role.name(),
                    "took a back end"
                );
                self.learn(status);
                self.backend.lease_event(LeaseEvent::StaleSessionsEnded);
            }
            Err(error) => self.lose_connection(&error),
        }
    }

    fn release(&mut self) {
        self.connection = None;
        let identity = &self.backend.identity;
        tracing::info!(
            event = LogEvent::OwnershipReleased.number(),
            backend = %identity.name,
            role = identity.role.name(),
            "gave a back end up"
        );
        tokio::spawn(hand_over(Arc::clone(&self.backend)));
    }

    /// Asks the back end and passes its answer on to everyone who asked.
    async fn answer(&mut self, questions: Vec<oneshot::Sender<AskReply>>) {
        let answer = self.probe().await;
        for question in questions {
            let _ = question.send(answer);
        }
    }

    async fn probe(&mut self) -> AskReply {
        let sent_at = self.backend.now();
        let connection = self.connection.as_mut()?;
        match ask_in_time(connection, &self.backend).await {
            Ok(status) => {
                self.renewed(sent_at, status);
                Some(status)
            }
            Err(error) => {
                self.lose_connection(&error);
                None
            }
        }
    }

    /// Deletes one batch of old ledger rows, so that probes are not held up for long.
    async fn expire_ledger_when_due(&mut self) {
        let backend = Arc::clone(&self.backend);
        let leads = backend.identity.role == OwnerRole::Owner && backend.is_primary();
        if !leads || Instant::now() < self.expiry_due {
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
            Ok(Err(error)) => self.lose_connection(&error),
            Err(_) => self.lose_connection(&BackendError::Timeout),
        }
    }

    fn renewed(&mut self, sent_at: Time, status: BackendStatus) {
        self.learn(status);
        self.backend.lease_event(LeaseEvent::Renewed { sent_at });
    }

    fn learn(&mut self, status: BackendStatus) {
        let identity = &self.backend.identity;
        if !self.is_reachable {
            self.is_reachable = true;
            tracing::info!(
                event = LogEvent::BackendReachable.number(),
                backend = %identity.name,
                "the back end answers again"
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
                    "a newer term was found"
                );
            }
        }
        self.backend.handle(PoolEvent::Probed(BackendState {
            freshness: status.freshness,
            role: status.role,
        }));
    }

    fn lose_connection(&mut self, error: &BackendError) {
        self.connection = None;
        self.unreachable(error);
        self.backend.lease_event(LeaseEvent::ControlConnectionLost);
    }

    fn unreachable(&mut self, error: &BackendError) {
        if self.is_reachable {
            self.is_reachable = false;
            tracing::warn!(
                event = LogEvent::BackendUnreachable.number(),
                backend = %self.backend.identity.name,
                %error,
                "the back end does not answer"
            );
        }
        term_search::primary_may_be_lost(&self.backend);
        self.backend.handle(PoolEvent::ProbeFailed);
    }
}

/// Asks with two limits: after the first the back end counts as unreachable, after the second the
/// connection is given up.
async fn ask_in_time(
    connection: &mut BackendConnection,
    backend: &Arc<Backend>,
) -> Result<BackendStatus, BackendError> {
    let answer = ask_status(connection);
    tokio::pin!(answer);
    if let Ok(status) = tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
        return status;
    }
    term_search::primary_may_be_lost(backend);
    backend.handle(PoolEvent::ProbeFailed);
    let rest = CONTROL_TIMEOUT.saturating_sub(ANSWER_TIMEOUT);
    match tokio::time::timeout(rest, &mut answer).await {
        Ok(status) => status,
        Err(_) => Err(BackendError::Timeout),
    }
}

/// Tells the back end's present owner that it may take the back end now. Only a hint: the successor
/// finds out by its own next attempt when this is lost.
async fn hand_over(backend: Arc<Backend>) {
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
            .call(successor, request.clone(), HAND_OVER_TIMEOUT)
            .await;
    }
}
