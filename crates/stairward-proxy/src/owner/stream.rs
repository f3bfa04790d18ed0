//! One statement stream: admission, session set-up, batches, and the end of it.

use std::sync::Arc;

use stairward_protocol::stream::{
    BackendHint, Batch, EdgeMessage, INITIAL_WINDOW_BYTES, Open, OwnerMessage, WireAccess,
    WireTransactionStatus,
};
use stairward_types::{BackendId, Freshness, ResultCode, Term};

use super::backend::{Backend, LentConnection};
use super::error::BackendError;
use super::service::OwnerService;
use crate::peer::OwnerStream;

/// Serves one stream to its end.
pub(super) async fn serve_stream(service: Arc<OwnerService>, mut stream: OwnerStream) {
    let Some(EdgeMessage::Open(open)) = stream.receive().await else {
        return;
    };
    let backend = BackendId::new(open.backend.as_str())
        .ok()
        .and_then(|name| service.backend(&name));
    let Some(backend) = backend else {
        refuse(&stream, ResultCode::NotOwner, BackendHint::default());
        return;
    };
    if let Err(code) = check_admission(&backend, &open) {
        refuse(&stream, code, backend.hint());
        return;
    }
    let lent = match backend.lend().await {
        Ok(lent) => lent,
        Err(code) => {
            refuse(&stream, code, backend.hint());
            return;
        }
    };
    stream.send(OwnerMessage::Admitted(backend.hint()));
    StreamRun {
        stream,
        backend,
        lent,
        credit: i64::from(INITIAL_WINDOW_BYTES),
        altered: false,
    }
    .run(open)
    .await;
}

fn refuse(stream: &OwnerStream, code: ResultCode, hint: BackendHint) {
    stream.send(OwnerMessage::Refused {
        code: code.number(),
        retry_after_milliseconds: 0,
        hint,
    });
}

fn check_admission(backend: &Backend, open: &Open) -> Result<(), ResultCode> {
    let status = backend.status().ok_or(ResultCode::BackendUnavailable)?;
    let term_is_reached = status.freshness.term >= Term(open.expected_term);
    if open.access == WireAccess::Write && !(status.is_primary() && term_is_reached) {
        return Err(ResultCode::PrimaryReplaced);
    }
    let floor = Option::<Freshness>::from(open.floor).unwrap_or_default();
    let leads = status.is_primary() && status.freshness.term >= floor.term;
    if leads || status.freshness.covers(floor) {
        Ok(())
    } else {
        Err(ResultCode::NotFreshEnough)
    }
}

struct StreamRun {
    stream: OwnerStream,
    backend: Arc<Backend>,
    lent: LentConnection,
    credit: i64,
    altered: bool,
}

impl StreamRun {
    async fn run(mut self, open: Open) {
        let writes = open.access == WireAccess::Write;
        if !open.session_setup.bytes.is_empty() {
            self.altered = true;
            if self.set_up(&open.session_setup.bytes).await.is_err() {
                refuse(
                    &self.stream,
                    ResultCode::SessionSetupFailed,
                    self.backend.hint(),
                );
                return;
            }
        }
        let mut batch = open.batch;
        loop {
            match self.run_batch(&batch, writes).await {
                Ok(WireTransactionStatus::Idle) => {
                    self.backend.take_back(self.lent, self.altered).await;
                    return;
                }
                Ok(_) => {}
                Err(_) => {
                    self.stream.send(OwnerMessage::OutcomeUnknown {
                        code: ResultCode::BackendLostAfterSend.number(),
                        hint: self.backend.hint(),
                    });
                    return;
                }
            }
            match self.next_batch().await {
                Some(next) => batch = next,
                None => {
                    self.roll_back().await;
                    return;
                }
            }
        }
    }

    async fn set_up(&mut self, messages: &[u8]) -> Result<(), BackendError> {
        self.lent.connection.send(messages).await?;
        self.lent.connection.read_rows(b'I').await?;
        Ok(())
    }

    async fn next_batch(&mut self) -> Option<Batch> {
        loop {
            match self.stream.receive().await? {
                EdgeMessage::Batch(batch) => return Some(batch),
                EdgeMessage::Credit { bytes } => self.credit += i64::from(bytes),
                EdgeMessage::Abandon => return None,
                EdgeMessage::Open(_) | EdgeMessage::Cancel => {}
            }
        }
    }

    async fn roll_back(mut self) {
        if self.lent.connection.query("ROLLBACK").await.is_ok() {
            self.backend.take_back(self.lent, true).await;
        }
    }

    async fn run_batch(
        &mut self,
        batch: &Batch,
        writes: bool,
    ) -> Result<WireTransactionStatus, BackendError> {
        self.altered |= batch.alters_session != 0;
        self.lent.connection.send(&batch.messages.bytes).await?;
        if batch.complete == 0 {
            return Ok(WireTransactionStatus::InTransaction);
        }
        loop {
            let may_read = self.credit > 0;
            let message = tokio::select! {
                message = self.lent.connection.next(), if may_read => message?,
                message = self.stream.receive() => {
                    self.hear(message).await?;
                    continue;
                }
            };
            if let Some(status) = message.ready_status() {
                return self.finish_batch(batch, status, writes).await;
            }
            self.credit -= i64::try_from(message.bytes.len()).unwrap_or(i64::MAX);
            self.stream.send(OwnerMessage::Answer {
                messages: message.bytes.to_vec().into(),
            });
        }
    }

    /// Hears the edge while a batch runs.
    async fn hear(&mut self, message: Option<EdgeMessage>) -> Result<(), BackendError> {
        match message {
            Some(EdgeMessage::Credit { bytes }) => self.credit += i64::from(bytes),
            Some(EdgeMessage::Cancel) => {
                if let Some(key) = self.lent.connection.cancel_key.clone() {
                    key.cancel().await?;
                }
            }
            Some(EdgeMessage::Abandon) | None => return Err(BackendError::Closed),
            Some(EdgeMessage::Open(_) | EdgeMessage::Batch(_)) => {}
        }
        Ok(())
    }

    async fn finish_batch(
        &mut self,
        batch: &Batch,
        status: u8,
        writes: bool,
    ) -> Result<WireTransactionStatus, BackendError> {
        let status = match status {
            b'I' => WireTransactionStatus::Idle,
            b'T' => WireTransactionStatus::InTransaction,
            _ => WireTransactionStatus::Failed,
        };
        let ends = status == WireTransactionStatus::Idle;
        if ends {
            let _ = self.backend.ask().await;
        }
        self.stream.send(OwnerMessage::BatchDone {
            sequence: batch.sequence,
            status,
            committed_writes: u8::from(ends && writes),
            code: ResultCode::Answered.number(),
            hint: self.backend.hint(),
        });
        Ok(status)
    }
}
