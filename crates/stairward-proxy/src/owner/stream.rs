//! Serves one statement stream, from `Open` to its last message.

use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::READY_STATUS_IDLE;
use stairward_pool::pool::ReturnedState;
use stairward_protocol::stream::{
    BackendHint, Batch, EdgeMessage, Open, OwnerMessage, WireAccess, WireTransactionStatus,
};
use stairward_types::{BackendId, Freshness, ResultCode};
use tokio::time::Instant;

use super::admission::{AdmissionOutcome, wait_for_connection};
use super::backend::{Backend, Refusal};
use super::ledger::{self, KeyedOutcome};
use super::relay::{Relay, RelayEnd};
use super::status::{BackendStatus, query_status};
use crate::peer::OwnerStream;

/// Time limit for the proxy's own statements on a stream's connection: session setup, rollback and
/// the status query. When it passes, the connection is closed.
const INTERNAL_STATEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// SQLSTATE `read_only_sql_transaction`: a write was sent to a server that is not the primary.
const READ_ONLY_TRANSACTION: &str = "25006";

/// Serves one stream to its end. `find` looks up the back end by name.
pub(super) async fn serve_stream(
    mut stream: OwnerStream,
    find: impl Fn(&BackendId) -> Option<Arc<Backend>>,
) {
    let Some(EdgeMessage::Open(open)) = stream.receive().await else {
        return;
    };
    let name = BackendId::new(open.backend.as_str()).ok();
    let Some(backend) = name.and_then(|name| find(&name)) else {
        let refusal = Refusal::new(ResultCode::NotOwner);
        stream.send(refusal_message(refusal, BackendHint::default()));
        return;
    };
    let time_left = Duration::from_millis(u64::from(open.deadline_milliseconds));
    let deadline = Instant::now() + time_left;
    let mut credit = 0;
    let grant = match wait_for_connection(&backend, &mut stream, &open, &mut credit).await {
        AdmissionOutcome::Admitted(grant) => grant,
        AdmissionOutcome::Refused(refusal) => {
            stream.send(refusal_message(refusal, backend.hint()));
            return;
        }
        AdmissionOutcome::EdgeClosed => return,
    };
    stream.send(OwnerMessage::Admitted(backend.hint()));
    let mut relay = Relay::new(stream, grant);
    relay.add_credit(credit);
    relay.may_write = open.access == WireAccess::Write;
    relay.deadline = Some(deadline);
    let mut run = StreamRun { backend, relay };
    let end = run.serve(open).await;
    run.end(end);
}

fn refusal_message(refusal: Refusal, hint: BackendHint) -> OwnerMessage {
    let retry_after = refusal.retry_after.unwrap_or_default().as_millis();
    OwnerMessage::Refused {
        code: refusal.code.number(),
        retry_after_milliseconds: u32::try_from(retry_after).unwrap_or(u32::MAX),
        hint,
    }
}

/// How a stream ends: the last message to the edge and the state of the returned connection.
struct StreamEnd {
    message: Option<OwnerMessage>,
    returned: ReturnedState,
}

struct StreamRun {
    backend: Arc<Backend>,
    relay: Relay,
}

impl StreamRun {
    async fn serve(&mut self, open: Open) -> StreamEnd {
        if !self.set_up_session(&open.session_setup.bytes).await {
            return self.refused(ResultCode::SessionSetupFailed, ReturnedState::InDoubt);
        }
        if open.request_key.as_str().is_empty() {
            self.serve_batches(open.batch).await
        } else {
            self.serve_keyed(open.request_key.as_str(), &open.batch)
                .await
        }
    }

    fn end(self, end: StreamEnd) {
        let (stream, grant) = self.relay.into_parts();
        // Return the connection first, because the edge may open the next stream as soon as it
        // receives the message.
        self.backend.return_connection(grant, end.returned);
        if let Some(message) = end.message {
            stream.send(message);
        }
    }

    /// Runs the session's setup statements and discards their responses.
    async fn set_up_session(&mut self, messages: &[u8]) -> bool {
        if messages.is_empty() {
            return true;
        }
        self.relay.needs_reset = true;
        let connection = &mut self.relay.grant.connection;
        let set_up = tokio::time::timeout(INTERNAL_STATEMENT_TIMEOUT, async {
            connection.send(messages).await?;
            connection.read_rows(READY_STATUS_IDLE).await
        });
        matches!(set_up.await, Ok(Ok(_)))
    }

    async fn serve_batches(&mut self, first: Batch) -> StreamEnd {
        let mut batch = first;
        loop {
            self.relay.begin_batch();
            if !self.relay.accept(&batch) {
                return self.handle_relay_end(RelayEnd::InvalidMessage).await;
            }
            let status = match self.relay.run().await {
                Ok(status) => status,
                Err(end) => return self.handle_relay_end(end).await,
            };
            if status == WireTransactionStatus::Idle {
                return self.finish().await;
            }
            batch = match self.await_next_batch(status).await {
                Ok(next) => next,
                Err(end) => return self.handle_relay_end(end).await,
            };
        }
    }

    /// Reports a batch that left its transaction open, and waits for the next batch and a slot.
    async fn await_next_batch(&mut self, status: WireTransactionStatus) -> Result<Batch, RelayEnd> {
        let request = self.relay.grant.request;
        self.backend.release_slot(request);
        self.relay.finish_cancelling().await;
        self.relay.deadline = None;
        if !self.relay.forward_buffered().await {
            return Err(RelayEnd::EdgeClosed);
        }
        self.relay.begin_batch();
        let done = self.done(status, false, ResultCode::Answered, self.backend.hint());
        self.relay.stream.send(done);
        let batch = self.relay.next_batch().await?;
        tokio::select! {
            _ = self.backend.request_slot(request) => Ok(batch),
            () = self.relay.grant.cancellation.cancelled() => Err(RelayEnd::DrainTimeout),
        }
    }

    /// Ends a batch after which the back end is idle: proves a commit, forwards the remaining
    /// responses and reports the result.
    async fn finish(&mut self) -> StreamEnd {
        self.backend.release_slot(self.relay.grant.request);
        self.relay.finish_cancelling().await;
        if self.relay.may_write && self.relay.summary.acknowledges_commit() {
            self.finish_commit(ResultCode::Answered).await
        } else {
            self.finish_without_commit().await
        }
    }

    async fn finish_commit(&mut self, code: ResultCode) -> StreamEnd {
        let term = self.relay.grant.term;
        let Some(freshness) = self.backend.fence.prove(&self.backend, term).await else {
            return self.unknown(ResultCode::FenceNotProved, self.idle_state());
        };
        let hint = self.hint_with(freshness, true);
        if !self.relay.forward_buffered().await {
            return self.without_message(self.idle_state());
        }
        let done = self.done(WireTransactionStatus::Idle, true, code, hint);
        self.with_message(done, self.idle_state())
    }

    /// Ends a batch that acknowledges no commit: a read, a rollback or an error.
    async fn finish_without_commit(&mut self) -> StreamEnd {
        // The batch read nothing newer than the position that the back end reports now.
        let Some(status) = self.status_after_batch().await else {
            let code = ResultCode::BackendLostAfterSend;
            return self.unknown(code, ReturnedState::InDoubt);
        };
        if self.was_refused_by_replica(status) {
            return self.refused(ResultCode::PrimaryReplaced, self.idle_state());
        }
        let hint = self.hint_with(status.freshness, status.is_primary());
        let committed = self.relay.may_write && self.relay.summary.may_have_committed();
        if !self.relay.forward_buffered().await {
            return self.without_message(self.idle_state());
        }
        let idle = WireTransactionStatus::Idle;
        let done = self.done(idle, committed, ResultCode::Answered, hint);
        self.with_message(done, self.idle_state())
    }

    /// Queries the status after the batch: on the control connection, where one query serves many
    /// streams, or, if that fails, on the stream's own connection.
    async fn status_after_batch(&mut self) -> Option<BackendStatus> {
        if let Ok(status) = self.backend.query_status().await {
            return Some(status);
        }
        let own = query_status(&mut self.relay.grant.connection);
        let status = tokio::time::timeout(INTERNAL_STATEMENT_TIMEOUT, own).await;
        status.ok()?.ok()
    }

    /// Whether the back end rejected the whole batch because it is no longer the primary.
    fn was_refused_by_replica(&self, status: BackendStatus) -> bool {
        let summary = &self.relay.summary;
        let refused = summary.first_error.as_deref() == Some(READ_ONLY_TRANSACTION);
        let nothing_was_forwarded = self.relay.sequence == 1 && !self.relay.forwarded_any;
        let nothing_ran = !summary.acknowledges_commit();
        let is_replica = !status.is_primary();
        self.relay.may_write && refused && is_replica && nothing_was_forwarded && nothing_ran
    }

    /// Runs the batch in one transaction with the ledger row of its key.
    async fn serve_keyed(&mut self, key: &str, batch: &Batch) -> StreamEnd {
        let outcome = ledger::run_keyed(&mut self.relay, key, batch).await;
        self.relay.finish_cancelling().await;
        match outcome {
            KeyedOutcome::Committed => {
                self.backend.release_slot(self.relay.grant.request);
                self.finish_commit(ResultCode::Answered).await
            }
            KeyedOutcome::AlreadyRun { command_tag } => {
                self.backend.release_slot(self.relay.grant.request);
                self.relay.buffer_command_tag(&command_tag);
                // The commit that wrote the row may not have been proved yet.
                self.finish_commit(ResultCode::AlreadyRun).await
            }
            KeyedOutcome::RolledBack => self.finish_without_commit().await,
            KeyedOutcome::LedgerFailed => {
                self.refused(ResultCode::SessionSetupFailed, ReturnedState::InDoubt)
            }
            KeyedOutcome::CommitUnknown => {
                self.unknown(ResultCode::BackendLostAfterSend, ReturnedState::InDoubt)
            }
            KeyedOutcome::Ended(end) => self.handle_relay_end(end).await,
        }
    }

    /// Ends the stream when relaying ended before the back end was idle.
    async fn handle_relay_end(&mut self, end: RelayEnd) -> StreamEnd {
        match end {
            RelayEnd::EdgeClosed => {
                let returned = self.roll_back().await;
                self.without_message(returned)
            }
            RelayEnd::BackendLost => self.interrupted(ResultCode::BackendLostAfterSend),
            RelayEnd::DeadlinePassed => self.interrupted(ResultCode::DeadlineAfterSend),
            RelayEnd::BufferFull => {
                self.unknown(ResultCode::FenceNotProved, ReturnedState::InDoubt)
            }
            RelayEnd::DrainTimeout if self.relay.is_in_flight() => {
                self.interrupted(ResultCode::BackendLostAfterSend)
            }
            RelayEnd::DrainTimeout => {
                let returned = self.roll_back().await;
                self.transaction_lost(returned)
            }
            RelayEnd::InvalidMessage if self.relay.is_in_flight() => {
                self.interrupted(ResultCode::BackendLostAfterSend)
            }
            RelayEnd::InvalidMessage => {
                let returned = self.roll_back().await;
                self.refused(ResultCode::StaleTransaction, returned)
            }
        }
    }

    /// Ends the stream after a batch, or the wait for the next one, was interrupted. The result
    /// depends on what had been sent.
    fn interrupted(&mut self, code: ResultCode) -> StreamEnd {
        let relay = &self.relay;
        let may_have_committed = relay.sent_any && (!relay.in_transaction || relay.may_commit);
        if may_have_committed {
            self.unknown(code, ReturnedState::InDoubt)
        } else if relay.in_transaction {
            self.transaction_lost(ReturnedState::InDoubt)
        } else if code == ResultCode::DeadlineAfterSend {
            self.refused(ResultCode::DeadlineBeforeSend, ReturnedState::InDoubt)
        } else {
            self.refused(ResultCode::BackendUnavailable, ReturnedState::InDoubt)
        }
    }

    /// Rolls back an open transaction; the connection's state is uncertain if that fails.
    async fn roll_back(&mut self) -> ReturnedState {
        if self.relay.is_in_flight() {
            return ReturnedState::InDoubt;
        }
        if !self.relay.in_transaction {
            return ReturnedState::NeedsReset;
        }
        let rolled_back = self.relay.grant.connection.query("ROLLBACK");
        match tokio::time::timeout(INTERNAL_STATEMENT_TIMEOUT, rolled_back).await {
            Ok(Ok(_)) => ReturnedState::NeedsReset,
            _ => ReturnedState::InDoubt,
        }
    }

    fn idle_state(&self) -> ReturnedState {
        if self.relay.needs_reset {
            ReturnedState::NeedsReset
        } else {
            ReturnedState::Idle
        }
    }

    fn hint_with(&self, freshness: Freshness, is_primary: bool) -> BackendHint {
        let mut hint = self.backend.hint();
        hint.freshness = freshness.into();
        hint.is_primary = u8::from(is_primary);
        hint
    }

    fn done(
        &self,
        status: WireTransactionStatus,
        committed_writes: bool,
        code: ResultCode,
        hint: BackendHint,
    ) -> OwnerMessage {
        OwnerMessage::BatchDone {
            sequence: self.relay.sequence,
            status,
            committed_writes: u8::from(committed_writes),
            code: code.number(),
            hint,
        }
    }

    fn refused(&self, code: ResultCode, returned: ReturnedState) -> StreamEnd {
        let message = refusal_message(Refusal::new(code), self.backend.hint());
        self.with_message(message, returned)
    }

    fn unknown(&self, code: ResultCode, returned: ReturnedState) -> StreamEnd {
        let message = OwnerMessage::OutcomeUnknown {
            code: code.number(),
            hint: self.backend.hint(),
        };
        self.with_message(message, returned)
    }

    fn transaction_lost(&self, returned: ReturnedState) -> StreamEnd {
        let hint = self.backend.hint();
        self.with_message(OwnerMessage::TransactionLost { hint }, returned)
    }

    fn without_message(&self, returned: ReturnedState) -> StreamEnd {
        StreamEnd {
            message: None,
            returned,
        }
    }

    fn with_message(&self, message: OwnerMessage, returned: ReturnedState) -> StreamEnd {
        StreamEnd {
            message: Some(message),
            returned,
        }
    }
}
