//! The connections of a role that run callers' statements.

use stairward_pool::lease::LeaseEvent;
use stairward_pool::pool::{ConnectionId, PoolEffect, PoolEvent, RequestId, ReturnedState};
use stairward_standins::ConnectionNumber;
use stairward_standins::sql::Statement;

use super::claim::{Claim, ClaimRequest};
use crate::simulate::database::{BatchNumber, DatabaseReply, DatabaseRequest};
use crate::simulate::outbox::Outbox;

/// Returns a connection's session to its state at start-up.
const RESET: &str = "DISCARD ALL";

/// What a connection is being used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Use {
    /// It is being opened.
    Opening,
    /// It lies idle in the pool.
    Idle,
    /// It is being reset.
    Resetting(BatchNumber),
    /// It is lent to a stream.
    Lent(RequestId),
    /// It is being closed.
    Closing,
}

/// A connection that runs callers' statements.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkConnection {
    /// Its number in the pool.
    pub id: ConnectionId,
    /// Its use.
    pub used_for: Use,
}

impl Claim {
    /// Tells the pool what happened and carries its decisions out.
    pub(super) fn feed_pool(&mut self, event: PoolEvent, out: &mut Outbox<'_>) {
        for effect in self.pool.handle(out.now, event) {
            self.pool_effect(effect, out);
        }
    }

    fn pool_effect(&mut self, effect: PoolEffect, out: &mut Outbox<'_>) {
        match effect {
            PoolEffect::Admit {
                request,
                connection,
            } => self.admit(request, connection, out),
            PoolEffect::GrantSlot(request) => self.run_pending(request, out),
            PoolEffect::Refuse {
                request,
                code,
                retry_after,
            } => self.refuse_stream(request, code, retry_after, out),
            PoolEffect::OpenConnection(id) => self.open_work(id, out),
            PoolEffect::ResetConnection(id) => self.reset_work(id, out),
            PoolEffect::CloseConnection(id) => {
                if let Some(&number) = self.numbers.get(&id) {
                    self.close_work(number, out);
                }
            }
            PoolEffect::EndStream(request) => self.end_stream(request, out),
            PoolEffect::Drained => self.feed_lease(LeaseEvent::ConnectionsClosed, out),
        }
    }

    fn open_work(&mut self, id: ConnectionId, out: &mut Outbox<'_>) {
        let name = format!("stairward/{}", self.role.name());
        let number = out.open_connection(&self.backend, name);
        self.numbers.insert(id, number);
        self.set_use(number, id, Use::Opening);
        self.requests.push(ClaimRequest::Connected(number));
    }

    fn set_use(&mut self, number: ConnectionNumber, id: ConnectionId, used_for: Use) {
        self.work.insert(number, WorkConnection { id, used_for });
    }

    fn reset_work(&mut self, id: ConnectionId, out: &mut Outbox<'_>) {
        let Some(&number) = self.numbers.get(&id) else {
            return;
        };
        let batch = self.number_batch();
        self.set_use(number, id, Use::Resetting(batch));
        let statements = Statement::parse(RESET).unwrap_or_default();
        let request = DatabaseRequest::Run { batch, statements };
        out.database(&self.backend, number, request);
    }

    /// Asks the back end to close a connection; its answer ends it.
    pub(super) fn close_work(&mut self, number: ConnectionNumber, out: &mut Outbox<'_>) {
        if let Some(connection) = self.work.get_mut(&number) {
            connection.used_for = Use::Closing;
            out.database(&self.backend, number, DatabaseRequest::Close);
        }
    }

    pub(super) const fn number_batch(&mut self) -> BatchNumber {
        self.next_batch += 1;
        BatchNumber(self.next_batch)
    }

    fn admit(&mut self, request: RequestId, id: ConnectionId, out: &mut Outbox<'_>) {
        let Some(&number) = self.numbers.get(&id) else {
            return;
        };
        self.set_use(number, id, Use::Lent(request));
        self.start_stream(request, number, out);
    }

    /// Gives a lent connection back to the pool.
    pub(super) fn give_back(
        &mut self,
        request: RequestId,
        number: ConnectionNumber,
        state: ReturnedState,
        out: &mut Outbox<'_>,
    ) {
        if let Some(connection) = self.work.get_mut(&number) {
            connection.used_for = Use::Idle;
        }
        if state == ReturnedState::InDoubt {
            self.close_work(number, out);
        }
        self.feed_pool(PoolEvent::Returned { request, state }, out);
    }

    /// The database answers on a connection that runs callers' statements.
    pub(super) fn work_reply(
        &mut self,
        number: ConnectionNumber,
        reply: DatabaseReply,
        out: &mut Outbox<'_>,
    ) {
        let Some(connection) = self.work.get(&number).copied() else {
            return;
        };
        match (reply, connection.used_for) {
            (DatabaseReply::Opened, Use::Opening) => {
                self.set_use(number, connection.id, Use::Idle);
                self.feed_pool(PoolEvent::ConnectionOpened(connection.id), out);
            }
            (DatabaseReply::Ran { batch, error, .. }, Use::Resetting(reset)) if batch == reset => {
                self.was_reset(number, connection.id, error.is_none(), out);
            }
            (
                DatabaseReply::Ran {
                    batch,
                    answers,
                    error,
                    status,
                },
                Use::Lent(request),
            ) => self.batch_ended(request, batch, answers, error, status, out),
            (DatabaseReply::Closed, used_for) => {
                self.work_closed(number, connection.id, used_for, out);
            }
            _ => {}
        }
    }

    fn was_reset(
        &mut self,
        number: ConnectionNumber,
        id: ConnectionId,
        clean: bool,
        out: &mut Outbox<'_>,
    ) {
        if clean {
            self.set_use(number, id, Use::Idle);
            self.feed_pool(PoolEvent::ConnectionReset(id), out);
        } else {
            self.close_work(number, out);
        }
    }

    fn work_closed(
        &mut self,
        number: ConnectionNumber,
        id: ConnectionId,
        used_for: Use,
        out: &mut Outbox<'_>,
    ) {
        self.work.remove(&number);
        self.numbers.remove(&id);
        self.requests.push(ClaimRequest::Disconnected(number));
        match used_for {
            Use::Opening => self.feed_pool(PoolEvent::OpeningFailed(id), out),
            Use::Lent(request) => {
                self.stream_connection_lost(request, out);
                let state = ReturnedState::InDoubt;
                self.feed_pool(PoolEvent::Returned { request, state }, out);
                self.feed_pool(PoolEvent::ConnectionClosed(id), out);
            }
            _ => self.feed_pool(PoolEvent::ConnectionClosed(id), out),
        }
    }
}
