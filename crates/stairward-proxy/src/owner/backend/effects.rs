//! Executes the effects that the pool and the lease of one back end return.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stairward_pool::lease::{LeaseEffect, LeaseEvent};
use stairward_pool::pool::{ConnectionId, PoolEffect, PoolEvent, RequestId, ReturnedState};
use stairward_types::LogEvent;
use tokio_util::sync::CancellationToken;

use super::{Backend, Grant, Refusal, State};
use crate::owner::connection::BackendConnection;
use crate::owner::control::ControlCommand;
use crate::owner::error::BackendError;

/// Time limit for resetting an idle connection; on expiry it is closed instead.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for cancelling the statement on a connection of uncertain state before it is closed.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

impl Backend {
    pub(super) fn lease_event_locked(self: &Arc<Self>, state: &mut State, event: LeaseEvent) {
        for effect in state.lease.handle(self.now(), event) {
            match effect {
                LeaseEffect::StartUse => {
                    self.apply(state, PoolEvent::LeaseHeld(true));
                    self.context.roles_changed.notify_one();
                }
                LeaseEffect::StopUse => {
                    if event == LeaseEvent::Tick {
                        self.log_expired_lease();
                    }
                    self.apply(state, PoolEvent::LeaseHeld(false));
                }
                LeaseEffect::AcquireLock
                | LeaseEffect::EndStaleSessions
                | LeaseEffect::CloseConnections
                | LeaseEffect::ReleaseLock => self.command(ControlCommand::Lease(effect)),
            }
        }
    }

    fn log_expired_lease(&self) {
        tracing::warn!(
            event = LogEvent::LeaseLapsed.number(),
            backend = %self.identity.name,
            role = self.identity.role.name(),
            "the lease expired before it was renewed"
        );
    }

    pub(super) fn pool_event(self: &Arc<Self>, state: &mut State, event: PoolEvent) {
        // The process may have been paused: expire the lease before the pool acts on the event.
        self.lease_event_locked(state, LeaseEvent::Tick);
        self.apply(state, event);
        self.arm_timer(state);
    }

    fn apply(self: &Arc<Self>, state: &mut State, event: PoolEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in state.pool.handle(self.now(), event) {
                self.execute_effect(state, effect, &mut events);
            }
        }
    }

    fn execute_effect(
        self: &Arc<Self>,
        state: &mut State,
        effect: PoolEffect,
        events: &mut VecDeque<PoolEvent>,
    ) {
        match effect {
            PoolEffect::Admit {
                request,
                connection,
            } => self.admit(state, request, connection, events),
            PoolEffect::GrantSlot(request) => {
                if let Some(waiter) = state.slot_waiters.remove(&request) {
                    let _ = waiter.send(());
                }
            }
            PoolEffect::Refuse {
                request,
                code,
                retry_after,
            } => {
                state.slot_waiters.remove(&request);
                if let Some(waiter) = state.waiters.remove(&request) {
                    let _ = waiter.reply.send(Err(Refusal { code, retry_after }));
                }
            }
            PoolEffect::OpenConnection(connection) => {
                tokio::spawn(Arc::clone(self).open(connection));
            }
            PoolEffect::ResetConnection(connection) => {
                if let Some(idle) = state.idle.remove(&connection) {
                    tokio::spawn(Arc::clone(self).reset(connection, idle));
                }
            }
            PoolEffect::CloseConnection(connection) => {
                state.idle.remove(&connection);
                events.push_back(PoolEvent::ConnectionClosed(connection));
            }
            PoolEffect::EndStream(request) => {
                if let Some(cancellation) = state.cancellations.get(&request) {
                    cancellation.cancel();
                }
            }
            PoolEffect::Drained => {
                self.drained.send_replace(true);
            }
        }
    }

    fn admit(
        &self,
        state: &mut State,
        request: RequestId,
        connection: ConnectionId,
        events: &mut VecDeque<PoolEvent>,
    ) {
        let return_as = |state| PoolEvent::Returned { request, state };
        let Some(waiter) = state.waiters.remove(&request) else {
            events.push_back(return_as(ReturnedState::Idle));
            return;
        };
        let Some(mut granted) = state.idle.remove(&connection) else {
            events.push_back(return_as(ReturnedState::InDoubt));
            events.push_back(PoolEvent::ConnectionClosed(connection));
            return;
        };
        if granted.is_stale() {
            // The back end closed the connection while it was idle. Nothing was sent, so the
            // request is queued again.
            events.push_back(return_as(ReturnedState::InDoubt));
            events.push_back(PoolEvent::ConnectionClosed(connection));
            events.push_back(PoolEvent::Requested(waiter.request.clone()));
            state.waiters.insert(request, waiter);
            return;
        }
        let cancellation = CancellationToken::new();
        let term = state.pool.state().map(|state| state.freshness.term);
        let grant = Grant {
            request,
            connection: granted,
            term: term.unwrap_or_default(),
            cancellation: cancellation.clone(),
        };
        state.cancellations.insert(request, cancellation);
        state.in_use.insert(request, connection);
        if let Err(Ok(grant)) = waiter.reply.send(Ok(grant)) {
            state.cancellations.remove(&request);
            state.in_use.remove(&request);
            state.idle.insert(connection, grant.connection);
            events.push_back(return_as(ReturnedState::Idle));
        }
    }

    async fn open(self: Arc<Self>, connection: ConnectionId) {
        // A response proves that the lock is still held. Without this check a node that was paused
        // after deciding to open the connection could exceed the back end's connection limit.
        let opened = match self.query_status().await {
            Ok(_) if self.lease_is_held() => self.identity.login.open().await,
            Ok(_) => Err(BackendError::Closed),
            Err(error) => Err(error),
        };
        match opened {
            Ok(opened) => {
                let mut state = self.lock();
                state.idle.insert(connection, opened);
                self.pool_event(&mut state, PoolEvent::ConnectionOpened(connection));
            }
            Err(error) => {
                tracing::debug!(
                    backend = %self.identity.name, %error, "failed to open a connection"
                );
                self.handle(PoolEvent::OpeningFailed(connection));
            }
        }
    }

    async fn reset(self: Arc<Self>, connection: ConnectionId, mut idle: BackendConnection) {
        let reset = tokio::time::timeout(RESET_TIMEOUT, idle.query("DISCARD ALL")).await;
        if matches!(reset, Ok(Ok(_))) {
            let mut state = self.lock();
            state.idle.insert(connection, idle);
            self.pool_event(&mut state, PoolEvent::ConnectionReset(connection));
        } else {
            drop(idle);
            self.handle(PoolEvent::ConnectionClosed(connection));
        }
    }

    /// Cancels the statement running on a connection of uncertain state and closes the connection.
    pub(super) async fn cancel_and_close(
        self: Arc<Self>,
        connection: ConnectionId,
        mut uncertain: BackendConnection,
    ) {
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, uncertain.stop()).await;
        drop(uncertain);
        self.handle(PoolEvent::ConnectionClosed(connection));
    }
}
