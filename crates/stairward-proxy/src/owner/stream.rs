//! One statement stream, from `Open` to its last message.

use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::READY_STATUS_IDLE;
use stairward_pool::pool::ReturnedState;
use stairward_protocol::stream::{
    BackendHint, Batch, EdgeMessage, Open, OwnerMessage, WireAccess, WireTransactionStatus,
};
use stairward_types::{BackendId, Freshness, ResultCode};
use tokio::time::Instant;

use super::admission::{Waited, wait_for_connection};
use super::backend::{Backend, Refusal};
use super::ledger::{self, KeyedOutcome};
use super::relay::{Relay, RelayEnd};
use super::status::{BackendStatus, ask_status};
use crate::peer::OwnerStream;

/// How long session set-up and roll-backs may take before the connection is closed instead.
const HOUSEKEEPING_TIMEOUT: Duration = Duration::from_secs(2);

/// SQLSTATE of a write refused by a server that is not, or no longer, the primary.
const READ_ONLY_TRANSACTION: &str = "25006";

/// Serves one stream to its end. `find` gives the back end by its name.
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
        Waited::Admitted(grant) => grant,
        Waited::Refused(refusal) => {
            stream.send(refusal_message(refusal, backend.hint()));
            return;
        }
        Waited::EdgeGone => return,
    };
    stream.send(OwnerMessage::Admitted(backend.hint()));
    let mut relay = Relay::new(stream, grant);
    relay.grant_credit(credit);
    relay.may_write = open.access == WireAccess::Write;
    relay.deadline = Some(deadline);
    let mut run = StreamRun { backend, relay };
    let ending = run.serve(open).await;
    run.end(ending);
}

fn refusal_message(refusal: Refusal, hint: BackendHint) -> OwnerMessage {
    let retry_after = refusal.retry_after.unwrap_or_default().as_millis();
    OwnerMessage::Refused {
        code: refusal.code.number(),
        retry_after_milliseconds: u32::try_from(retry_after).unwrap_or(u32::MAX),
        hint,
    }
}

/// How a stream ends: what the edge is told last, and in which state the connection goes back.
struct Ending {
    message: Option<OwnerMessage>,
    returned: ReturnedState,
}

struct StreamRun {
    backend: Arc<Backend>,
    relay: Relay,
}

impl StreamRun {
    async fn serve(&mut self, open: Open) -> Ending {
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

    fn end(self, ending: Ending) {
        let (stream, grant) = self.relay.into_parts();
        // The connection first: an edge that hears of the end may ask again at once.
        self.backend.give_back(grant, ending.returned);
        if let Some(message) = ending.message {
            stream.send(message);
        }
    }

    /// Runs the session's own statements and swallows their answers.
    async fn set_up_session(&mut self, messages: &[u8]) -> bool {
        if messages.is_empty() {
            return true;
        }
        self.relay.altered = true;
        let connection = &mut self.relay.grant.connection;
        let set_up = tokio::time::timeout(HOUSEKEEPING_TIMEOUT, async {
            connection.send(messages).await?;
            connection.read_rows(READY_STATUS_IDLE).await
        });
        matches!(set_up.await, Ok(Ok(_)))
    }

    async fn serve_batches(&mut self, first: Batch) -> Ending {
        let mut batch = first;
        loop {
            self.relay.begin_batch();
            if !self.relay.accept(&batch) {
                return self.conclude(RelayEnd::OutOfTurn).await;
            }
            let status = match self.relay.run().await {
                Ok(status) => status,
                Err(end) => return self.conclude(end).await,
            };
            if status == WireTransactionStatus::Idle {
                return self.finish().await;
            }
            batch = match self.pause_transaction(status).await {
                Ok(next) => next,
                Err(end) => return self.conclude(end).await,
            };
        }
    }

    /// Reports a batch within a transaction, and waits for the next one and for a slot.
    async fn pause_transaction(
        &mut self,
        status: WireTransactionStatus,
    ) -> Result<Batch, RelayEnd> {
        let request = self.relay.grant.request;
        self.backend.release_slot(request);
        self.relay.finish_cancelling().await;
        self.relay.deadline = None;
        if !self.relay.release_held().await {
            return Err(RelayEnd::EdgeGone);
        }
        self.relay.begin_batch();
        let done = self.done(status, false, ResultCode::Answered, self.backend.hint());
        self.relay.stream.send(done);
        let batch = self.relay.next_batch().await?;
        tokio::select! {
            _ = self.backend.want_slot(request) => Ok(batch),
            () = self.relay.grant.ending.cancelled() => Err(RelayEnd::TimeOver),
        }
    }

    /// The back end is idle: proves what was committed, passes the rest of the answer on, reports.
    async fn finish(&mut self) -> Ending {
        self.backend.release_slot(self.relay.grant.request);
        self.relay.finish_cancelling().await;
        if self.relay.may_write && self.relay.evidence.acknowledges_commit() {
            self.finish_commit(ResultCode::Answered).await
        } else {
            self.finish_without_commit().await
        }
    }

    async fn finish_commit(&mut self, code: ResultCode) -> Ending {
        let term = self.relay.grant.term;
        let Some(freshness) = self.backend.fence.prove(&self.backend, term).await else {
            return self.unknown(ResultCode::FenceNotProved, self.idle_state());
        };
        let hint = self.hint_with(freshness, true);
        if !self.relay.release_held().await {
            return self.silent(self.idle_state());
        }
        let done = self.done(WireTransactionStatus::Idle, true, code, hint);
        self.with_message(done, self.idle_state())
    }

    /// Ends a batch that acknowledges no commit: a read, a roll-back, or an error.
    async fn finish_without_commit(&mut self) -> Ending {
        // What the batch has read lies at or before what the back end says now.
        let Some(status) = self.ask_after().await else {
            let code = ResultCode::BackendLostAfterSend;
            return self.unknown(code, ReturnedState::InDoubt);
        };
        if self.was_refused_by_replica(status) {
            return self.refused(ResultCode::PrimaryReplaced, self.idle_state());
        }
        let hint = self.hint_with(status.freshness, status.is_primary());
        let committed = self.relay.may_write && self.relay.evidence.may_have_committed();
        if !self.relay.release_held().await {
            return self.silent(self.idle_state());
        }
        let idle = WireTransactionStatus::Idle;
        let done = self.done(idle, committed, ResultCode::Answered, hint);
        self.with_message(done, self.idle_state())
    }

    /// Asks for the state after the batch: on the control connection, where one question serves many
    /// streams, or else on the stream's own.
    async fn ask_after(&mut self) -> Option<BackendStatus> {
        if let Ok(status) = self.backend.ask().await {
            return Some(status);
        }
        let own = ask_status(&mut self.relay.grant.connection);
        let status = tokio::time::timeout(HOUSEKEEPING_TIMEOUT, own).await;
        status.ok()?.ok()
    }

    /// Whether the back end refused the whole batch since it is not the primary any more.
    fn was_refused_by_replica(&self, status: BackendStatus) -> bool {
        let evidence = &self.relay.evidence;
        let refused = evidence.first_error.as_deref() == Some(READ_ONLY_TRANSACTION);
        let nothing_was_told = self.relay.sequence == 1 && !self.relay.answered_any;
        let nothing_ran = !evidence.acknowledges_commit();
        let is_replica = !status.is_primary();
        self.relay.may_write && refused && is_replica && nothing_was_told && nothing_ran
    }

    /// Runs the batch in one transaction with the ledger row of its key.
    async fn serve_keyed(&mut self, key: &str, batch: &Batch) -> Ending {
        let outcome = ledger::run_keyed(&mut self.relay, key, batch).await;
        self.relay.finish_cancelling().await;
        match outcome {
            KeyedOutcome::Committed => {
                self.backend.release_slot(self.relay.grant.request);
                self.finish_commit(ResultCode::Answered).await
            }
            KeyedOutcome::AlreadyRun { command_tag } => {
                self.backend.release_slot(self.relay.grant.request);
                self.relay.hold_command_tag(&command_tag);
                // The row may be of a commit that nobody has proved yet.
                self.finish_commit(ResultCode::AlreadyRun).await
            }
            KeyedOutcome::RolledBack => self.finish_without_commit().await,
            KeyedOutcome::LedgerFailed => {
                self.refused(ResultCode::SessionSetupFailed, ReturnedState::InDoubt)
            }
            KeyedOutcome::CommitUnknown => {
                self.unknown(ResultCode::BackendLostAfterSend, ReturnedState::InDoubt)
            }
            KeyedOutcome::Ended(end) => self.conclude(end).await,
        }
    }

    /// Ends the stream after anything but an idle back end.
    async fn conclude(&mut self, end: RelayEnd) -> Ending {
        match end {
            RelayEnd::EdgeGone => {
                let returned = self.roll_back().await;
                self.silent(returned)
            }
            RelayEnd::BackendLost => self.cut(ResultCode::BackendLostAfterSend),
            RelayEnd::DeadlinePassed => self.cut(ResultCode::DeadlineAfterSend),
            RelayEnd::TooMuchHeld => {
                self.unknown(ResultCode::FenceNotProved, ReturnedState::InDoubt)
            }
            RelayEnd::TimeOver if self.relay.is_in_flight() => {
                self.cut(ResultCode::BackendLostAfterSend)
            }
            RelayEnd::TimeOver => {
                let returned = self.roll_back().await;
                self.transaction_lost(returned)
            }
            RelayEnd::OutOfTurn if self.relay.is_in_flight() => {
                self.cut(ResultCode::BackendLostAfterSend)
            }
            RelayEnd::OutOfTurn => {
                let returned = self.roll_back().await;
                self.refused(ResultCode::StaleTransaction, returned)
            }
        }
    }

    /// The batch, or the pause in a transaction, ended before its time. What the edge may conclude
    /// depends on what had been sent.
    fn cut(&mut self, code: ResultCode) -> Ending {
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

    /// Ends an open transaction; the connection is in doubt when that fails.
    async fn roll_back(&mut self) -> ReturnedState {
        if self.relay.is_in_flight() {
            return ReturnedState::InDoubt;
        }
        if !self.relay.in_transaction {
            return ReturnedState::NeedsReset;
        }
        let rolled_back = self.relay.grant.connection.query("ROLLBACK");
        match tokio::time::timeout(HOUSEKEEPING_TIMEOUT, rolled_back).await {
            Ok(Ok(_)) => ReturnedState::NeedsReset,
            _ => ReturnedState::InDoubt,
        }
    }

    fn idle_state(&self) -> ReturnedState {
        if self.relay.altered {
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

    fn refused(&self, code: ResultCode, returned: ReturnedState) -> Ending {
        let message = refusal_message(Refusal::new(code), self.backend.hint());
        self.with_message(message, returned)
    }

    fn unknown(&self, code: ResultCode, returned: ReturnedState) -> Ending {
        let message = OwnerMessage::OutcomeUnknown {
            code: code.number(),
            hint: self.backend.hint(),
        };
        self.with_message(message, returned)
    }

    fn transaction_lost(&self, returned: ReturnedState) -> Ending {
        let hint = self.backend.hint();
        self.with_message(OwnerMessage::TransactionLost { hint }, returned)
    }

    fn silent(&self, returned: ReturnedState) -> Ending {
        Ending {
            message: None,
            returned,
        }
    }

    fn with_message(&self, message: OwnerMessage, returned: ReturnedState) -> Ending {
        Ending {
            message: Some(message),
            returned,
        }
    }
}
