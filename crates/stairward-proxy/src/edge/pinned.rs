//! Runs batches on a stream that a session already holds: within a transaction, or after the first
//! part of a batch was sent with `Flush`.

use std::time::Duration;

use stairward_protocol::stream::{EdgeMessage, OwnerMessage};
use stairward_types::{AccessClass, ResultCode, Time};

use super::active::{ActiveStream, build_outgoing};
use super::batch::BatchKind;
use super::client::ClientError;
use super::error::EdgeError;
use super::events::{Wakeup, retry_after};
use super::execute::Request;
use super::session::{Session, SessionEnd, SessionResult, Transaction};

/// How long to wait for the outcome after the statement was cancelled at its deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Retry delay advised after a lost transaction; a new primary has usually been found by then.
const LOST_TRANSACTION_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What has been done about the deadline of the running batch.
enum DeadlineState {
    /// The deadline has not passed.
    Running,
    /// The deadline has passed and the statement was cancelled; waiting for its outcome.
    Cancelled,
}

/// How the parts of a batch that were already sent ended.
enum PartOutcome {
    Completed,
    /// The backend reported an error.
    Failed,
    /// The stream was lost, or the deadline has passed.
    Lost,
}

impl Session {
    /// Runs a batch on the active stream.
    pub(super) async fn run_on_active_stream(&mut self, request: Request) -> SessionResult<()> {
        if self.must_switch_to_primary(&request) {
            return self.switch_to_primary(request).await;
        }
        let kind = request.batch.kind;
        let deadline = request.deadline;
        let in_transaction = self.transaction != Transaction::Idle;
        // Decided by the stream's access: a COMMIT by itself neither reads nor writes.
        let may_write = self
            .active
            .as_ref()
            .is_some_and(|active| active.access == AccessClass::Write);
        let may_commit = may_write && request.batch.class.may_commit(in_transaction);
        if self.send_to_active_stream(request, may_commit) {
            if kind == BatchKind::Partial {
                return Ok(());
            }
            return self.await_batch_end(kind, deadline).await;
        }
        let error = self.owner_lost_error();
        self.report_lost_batch(kind, error);
        Ok(())
    }

    fn send_to_active_stream(&mut self, request: Request, may_commit: bool) -> bool {
        let Some(active) = &mut self.active else {
            return false;
        };
        let outgoing = build_outgoing(
            request.batch,
            |name| active.has_prepared(name),
            &self.prepared,
            may_commit,
        );
        active.send(outgoing)
    }

    /// Whether the next part of the batch writes but the stream was opened for reading, outside a
    /// transaction. The parts already sent have only prepared and described statements, so nothing
    /// has run.
    fn must_switch_to_primary(&self, request: &Request) -> bool {
        let is_read_stream = self
            .active
            .as_ref()
            .is_some_and(|active| active.access == AccessClass::Read);
        is_read_stream
            && self.transaction == Transaction::Idle
            && request.access == AccessClass::Write
    }

    /// Completes the read stream, records the statements prepared on it, and runs the request on a
    /// new stream to the primary.
    async fn switch_to_primary(&mut self, request: Request) -> SessionResult<()> {
        let kind = request.batch.kind;
        let deadline = request.deadline;
        if let Some(active) = &mut self.active
            && !active.send_closing_sync()
        {
            let error = self.owner_lost_error();
            self.report_lost_batch(kind, error);
            return Ok(());
        }
        match self.finish_earlier_parts(deadline).await? {
            PartOutcome::Completed => self.run_on_new_stream(request).await,
            PartOutcome::Failed => {
                self.finish_after_error(kind);
                Ok(())
            }
            PartOutcome::Lost => {
                self.refuse(kind, EdgeError::new(ResultCode::BackendUnavailable));
                Ok(())
            }
        }
    }

    /// Waits for the parts already sent to complete, forwarding their responses.
    async fn finish_earlier_parts(&mut self, deadline: Time) -> SessionResult<PartOutcome> {
        let mut primary = self.group.subscribe_primary();
        loop {
            match self.next_wakeup(deadline, &mut primary, true).await? {
                Wakeup::Owner(Some(OwnerMessage::Answer { messages })) => {
                    self.forward_response(&messages.bytes).await?;
                }
                Wakeup::Owner(Some(OwnerMessage::BatchDone { .. })) => {
                    return Ok(self.confirm_earlier_parts());
                }
                Wakeup::Owner(Some(OwnerMessage::Admitted(_)))
                | Wakeup::CancelRequested
                | Wakeup::NewPrimary => {}
                Wakeup::FlushDue => {
                    self.flush_output().await?;
                }
                Wakeup::ClientGone => return Err(SessionEnd::Client(ClientError::Closed)),
                Wakeup::Owner(_) | Wakeup::Timer => {
                    return Ok(PartOutcome::Lost);
                }
            }
        }
    }

    fn confirm_earlier_parts(&mut self) -> PartOutcome {
        let Some(mut active) = self.active.take() else {
            return PartOutcome::Lost;
        };
        let Some(running) = active.running.take() else {
            return PartOutcome::Lost;
        };
        active.apply_confirmed(&running, &mut self.prepared);
        if running.filter.failed {
            PartOutcome::Failed
        } else {
            PartOutcome::Completed
        }
    }

    /// After a failed part, skips the rest of the batch up to the client's `Sync`, as PostgreSQL
    /// does.
    fn finish_after_error(&mut self, kind: BatchKind) {
        if kind == BatchKind::Partial {
            self.skip_until_sync = true;
        } else {
            self.send_ready();
        }
    }

    /// Forwards the response of the batch until the batch has completed.
    async fn await_batch_end(&mut self, kind: BatchKind, deadline: Time) -> SessionResult<()> {
        self.registration.cancel_requests.mark_unchanged();
        let mut primary = self.group.subscribe_primary();
        let mut wake_at = deadline;
        let mut deadline_state = DeadlineState::Running;
        while self.active.is_some() {
            match self.next_wakeup(wake_at, &mut primary, false).await? {
                Wakeup::Owner(message) => {
                    self.handle_owner_message_on_active(message, kind).await?
                }
                Wakeup::FlushDue => {
                    self.flush_output().await?;
                }
                Wakeup::CancelRequested => self.cancel_active(),
                Wakeup::Timer if matches!(deadline_state, DeadlineState::Running) => {
                    deadline_state = DeadlineState::Cancelled;
                    wake_at = deadline + DEADLINE_GRACE;
                    self.cancel_active();
                }
                Wakeup::Timer => {
                    let error = self.lost_batch_error(ResultCode::DeadlineAfterSend);
                    self.report_lost_batch(kind, error);
                }
                Wakeup::NewPrimary => {}
                Wakeup::ClientGone => return Err(SessionEnd::Client(ClientError::Closed)),
            }
            if self.is_batch_finished() {
                return Ok(());
            }
        }
        Ok(())
    }

    fn is_batch_finished(&self) -> bool {
        self.active
            .as_ref()
            .is_none_or(|active| active.running.is_none())
    }

    fn cancel_active(&self) {
        if let Some(active) = &self.active {
            active.stream.send(EdgeMessage::Cancel);
        }
    }

    /// Processes an owner message while no complete batch is running: the response to a part of
    /// one, or the loss of the transaction, which is reported with the client's next request.
    pub(super) async fn handle_owner_message_between_batches(
        &mut self,
        message: Option<OwnerMessage>,
    ) -> SessionResult<()> {
        let has_running_part = self
            .active
            .as_ref()
            .is_some_and(|active| active.running.is_some());
        if has_running_part {
            return self
                .handle_owner_message_on_active(message, BatchKind::Partial)
                .await;
        }
        let ends_stream = !matches!(
            message,
            Some(OwnerMessage::Answer { .. } | OwnerMessage::Admitted(_))
        );
        if ends_stream {
            self.active = None;
            self.transaction = Transaction::Lost { reported: false };
            self.variables.roll_back();
            self.hints.end_transaction();
        }
        Ok(())
    }

    async fn handle_owner_message_on_active(
        &mut self,
        message: Option<OwnerMessage>,
        kind: BatchKind,
    ) -> SessionResult<()> {
        let error = match message {
            Some(OwnerMessage::Answer { messages }) => {
                self.forward_response(&messages.bytes).await?;
                return Ok(());
            }
            Some(done @ OwnerMessage::BatchDone { .. }) => {
                self.complete_batch(done);
                return Ok(());
            }
            Some(OwnerMessage::Admitted(_)) => return Ok(()),
            Some(OwnerMessage::Refused {
                code,
                retry_after_milliseconds,
                ..
            }) => EdgeError::Result {
                code: ResultCode::from_number(code).unwrap_or(ResultCode::StaleTransaction),
                retry_after: retry_after(retry_after_milliseconds),
                explanation: String::new(),
            },
            Some(OwnerMessage::OutcomeUnknown { code, .. }) => {
                let code = ResultCode::from_number(code);
                self.lost_batch_error(code.unwrap_or(ResultCode::BackendLostAfterSend))
            }
            Some(OwnerMessage::TransactionLost { .. }) => transaction_lost(),
            None => self.owner_lost_error(),
        };
        self.report_lost_batch(kind, error);
        Ok(())
    }

    fn owner_lost_error(&self) -> EdgeError {
        self.lost_batch_error(ResultCode::OwnerLostAfterSend)
    }

    /// The error for a lost batch: outcome unknown if it may have committed, otherwise a lost
    /// transaction.
    fn lost_batch_error(&self, unknown_outcome: ResultCode) -> EdgeError {
        let may_have_committed = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref())
            .is_some_and(|running| running.may_commit);
        if may_have_committed {
            EdgeError::new(unknown_outcome)
        } else {
            transaction_lost()
        }
    }

    /// Reports a lost batch. If the batch was to end its transaction, the transaction has ended.
    fn report_lost_batch(&mut self, kind: BatchKind, error: EdgeError) {
        let ends = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref())
            .is_some_and(|running| running.batch.class.ends.is_some());
        let ends_transaction = ends && kind != BatchKind::Partial;
        self.active = None;
        if ends_transaction {
            self.transaction = Transaction::Idle;
            self.variables.roll_back();
            self.hints.end_transaction();
        }
        self.refuse(kind, error);
    }
}

fn transaction_lost() -> EdgeError {
    EdgeError::Result {
        code: ResultCode::TransactionLost,
        retry_after: Some(LOST_TRANSACTION_RETRY_DELAY),
        explanation: String::new(),
    }
}

impl ActiveStream {
    /// Completes the parts already sent with a `Sync` added by the edge.
    fn send_closing_sync(&mut self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let mut batch = running.batch.clone();
        batch.kind = BatchKind::Extended;
        batch.frames = vec![bytes::Bytes::from_static(SYNC)];
        batch.prepared_changes.clear();
        batch.referenced_statements.clear();
        let no_statements = stairward_session::PreparedStatements::default();
        let outgoing = build_outgoing(batch, |_| true, &no_statements, false);
        self.send(outgoing)
    }
}

/// A complete `Sync` message.
const SYNC: &[u8] = &[b'S', 0, 0, 0, 4];
