//! Running batches on a stream that a session holds already: in a transaction, or after the first
//! part of a batch that was sent with `Flush`.

use std::time::Duration;

use stairward_protocol::stream::{EdgeMessage, OwnerMessage};
use stairward_types::{AccessClass, ResultCode, Time};

use super::active::{ActiveStream, prepare};
use super::batch::BatchKind;
use super::client::ClientError;
use super::error::EdgeError;
use super::execute::Request;
use super::session::{Flow, Session, SessionEnd, Transaction};
use super::waiting::{Heard, retry_after};

/// How long after a cancellation at the deadline the outcome is waited for.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Advised to callers whose transaction was lost: the next primary is usually found by then.
const LOST_TRANSACTION_PAUSE: Duration = Duration::from_millis(50);

/// The end of a batch's deadline, in steps.
enum Patience {
    Running,
    /// The statement was cancelled; its outcome is waited for.
    Cancelled,
}

/// How the parts of a batch that were sent already ended.
enum PartEnd {
    Answered,
    /// The back end answered with an error.
    Failed,
    Lost,
}

impl Session {
    /// Runs a batch on the active stream.
    pub(super) async fn run_on_active(&mut self, request: Request) -> Flow<()> {
        if self.must_move_to_primary(&request) {
            return self.move_to_primary(request).await;
        }
        let kind = request.batch.kind;
        let deadline = request.deadline;
        let in_transaction = self.transaction != Transaction::Idle;
        // What counts is the stream: a COMMIT by itself neither reads nor writes.
        let may_write = self
            .active
            .as_ref()
            .is_some_and(|active| active.access == AccessClass::Write);
        let may_commit = may_write && request.batch.class.may_commit(in_transaction);
        if self.send_on_active(request, may_commit) {
            if kind == BatchKind::Partial {
                return Ok(());
            }
            return self.await_done(kind, deadline).await;
        }
        let lost = self.lost_without_word();
        self.refuse_lost(kind, lost);
        Ok(())
    }

    fn send_on_active(&mut self, request: Request, may_commit: bool) -> bool {
        let Some(active) = &mut self.active else {
            return false;
        };
        let prepared = prepare(
            request.batch,
            |name| active.has_prepared(name),
            &self.prepared,
            may_commit,
        );
        active.send(prepared)
    }

    /// Whether the stream was opened for reading, outside a transaction, and the next part of the
    /// batch writes. Parts already sent have run nothing then, only prepared and described.
    fn must_move_to_primary(&self, request: &Request) -> bool {
        let reads_only = self
            .active
            .as_ref()
            .is_some_and(|active| active.access == AccessClass::Read);
        reads_only && self.transaction == Transaction::Idle && request.access == AccessClass::Write
    }

    /// Ends the reading stream, keeping what was prepared on it, and opens one at the primary.
    async fn move_to_primary(&mut self, request: Request) -> Flow<()> {
        let kind = request.batch.kind;
        let deadline = request.deadline;
        if let Some(active) = &mut self.active
            && !active.send_sync()
        {
            let lost = self.lost_without_word();
            self.refuse_lost(kind, lost);
            return Ok(());
        }
        match self.drain_part(deadline).await? {
            PartEnd::Answered => self.run_on_new(request).await,
            PartEnd::Failed => {
                self.skip_after_error(kind);
                Ok(())
            }
            PartEnd::Lost => {
                self.refuse(kind, EdgeError::new(ResultCode::BackendUnavailable));
                Ok(())
            }
        }
    }

    /// Waits for the end of parts already sent, passing their answers on.
    async fn drain_part(&mut self, deadline: Time) -> Flow<PartEnd> {
        let mut primary = self.group.watch_primary();
        loop {
            match self.hear(deadline, &mut primary, true).await? {
                Heard::Owner(Some(OwnerMessage::Answer { messages })) => {
                    self.pass_answer(&messages.bytes).await?;
                }
                Heard::Owner(Some(OwnerMessage::BatchDone { .. })) => {
                    return Ok(self.confirm_part());
                }
                Heard::Owner(Some(OwnerMessage::Admitted(_)))
                | Heard::Cancelled
                | Heard::PrimaryLearnt => {}
                Heard::Flush => {
                    self.flush_answers().await?;
                }
                Heard::CallerGone => return Err(SessionEnd::Client(ClientError::Closed)),
                Heard::Owner(_) | Heard::Tick => {
                    return Ok(PartEnd::Lost);
                }
            }
        }
    }

    fn confirm_part(&mut self) -> PartEnd {
        let Some(mut active) = self.active.take() else {
            return PartEnd::Lost;
        };
        let Some(running) = active.running.take() else {
            return PartEnd::Lost;
        };
        active.confirm(&running, &mut self.prepared);
        if running.filter.failed {
            PartEnd::Failed
        } else {
            PartEnd::Answered
        }
    }

    /// Skips what follows a part that failed, up to the caller's `Sync`, as a database does.
    fn skip_after_error(&mut self, kind: BatchKind) {
        if kind == BatchKind::Partial {
            self.skipping = true;
        } else {
            self.ready();
        }
    }

    /// Passes the answer of the batch on until it has ended.
    async fn await_done(&mut self, kind: BatchKind, deadline: Time) -> Flow<()> {
        self.registration.cancels.mark_unchanged();
        let mut primary = self.group.watch_primary();
        let mut wake = deadline;
        let mut patience = Patience::Running;
        while self.active.is_some() {
            match self.hear(wake, &mut primary, false).await? {
                Heard::Owner(message) => self.hear_on_active(message, kind).await?,
                Heard::Flush => {
                    self.flush_answers().await?;
                }
                Heard::Cancelled => self.cancel_active(),
                Heard::Tick if matches!(patience, Patience::Running) => {
                    patience = Patience::Cancelled;
                    wake = deadline + DEADLINE_GRACE;
                    self.cancel_active();
                }
                Heard::Tick => {
                    let lost = self.loss(ResultCode::DeadlineAfterSend);
                    self.refuse_lost(kind, lost);
                }
                Heard::PrimaryLearnt => {}
                Heard::CallerGone => return Err(SessionEnd::Client(ClientError::Closed)),
            }
            if self.is_batch_over() {
                return Ok(());
            }
        }
        Ok(())
    }

    fn is_batch_over(&self) -> bool {
        self.active
            .as_ref()
            .is_none_or(|active| active.running.is_none())
    }

    fn cancel_active(&self) {
        if let Some(active) = &self.active {
            active.stream.send(EdgeMessage::Cancel);
        }
    }

    /// Hears the owner while no whole batch runs: answers to a part of one, or the loss of the
    /// transaction, which the caller is told when it next asks for something.
    pub(super) async fn hear_between_batches(&mut self, message: Option<OwnerMessage>) -> Flow<()> {
        let has_part = self
            .active
            .as_ref()
            .is_some_and(|active| active.running.is_some());
        if has_part {
            return self.hear_on_active(message, BatchKind::Partial).await;
        }
        let is_end = !matches!(
            message,
            Some(OwnerMessage::Answer { .. } | OwnerMessage::Admitted(_))
        );
        if is_end {
            self.active = None;
            self.transaction = Transaction::Lost { reported: false };
            self.variables.roll_back();
            self.hints.end_transaction();
        }
        Ok(())
    }

    async fn hear_on_active(&mut self, message: Option<OwnerMessage>, kind: BatchKind) -> Flow<()> {
        let error = match message {
            Some(OwnerMessage::Answer { messages }) => {
                self.pass_answer(&messages.bytes).await?;
                return Ok(());
            }
            Some(done @ OwnerMessage::BatchDone { .. }) => {
                self.batch_done(done);
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
                self.loss(code.unwrap_or(ResultCode::BackendLostAfterSend))
            }
            Some(OwnerMessage::TransactionLost { .. }) => transaction_lost(),
            None => self.lost_without_word(),
        };
        self.refuse_lost(kind, error);
        Ok(())
    }

    fn lost_without_word(&self) -> EdgeError {
        self.loss(ResultCode::OwnerLostAfterSend)
    }

    /// How a lost batch ended: unknown if it may have committed, else as a lost transaction.
    fn loss(&self, unknown: ResultCode) -> EdgeError {
        let may_have_committed = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref())
            .is_some_and(|running| running.may_commit);
        if may_have_committed {
            EdgeError::new(unknown)
        } else {
            transaction_lost()
        }
    }

    /// Reports a loss. When the batch asked for the end of its transaction, that has come.
    fn refuse_lost(&mut self, kind: BatchKind, error: EdgeError) {
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
        retry_after: Some(LOST_TRANSACTION_PAUSE),
        explanation: String::new(),
    }
}

impl ActiveStream {
    /// Ends the parts already sent with a `Sync` of the edge's own.
    fn send_sync(&mut self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let mut batch = running.batch.clone();
        batch.kind = BatchKind::Extended;
        batch.frames = vec![bytes::Bytes::from_static(SYNC)];
        batch.prepared.clear();
        batch.uses.clear();
        let nothing = stairward_session::PreparedStatements::default();
        let prepared = prepare(batch, |_| true, &nothing, false);
        self.send(prepared)
    }
}

/// A whole `Sync` message.
const SYNC: &[u8] = &[b'S', 0, 0, 0, 4];
