//! Relays messages between the edge of one stream and the back-end connection granted to it.
//!
//! Responses are read only while the edge has granted credit. On a stream that may write,
//! everything from the first `CommandComplete` on is buffered, because it may acknowledge a commit
//! that the fence must prove first. The buffer is bounded by [`BUFFER_LIMIT_BYTES`].

use std::future::pending;

use bytes::{Buf, BytesMut};
use pgwire::messages::extendedquery::MESSAGE_TYPE_BYTE_PORTAL_SUSPENDED;
use pgwire::messages::response::{
    MESSAGE_TYPE_BYTE_COMMAND_COMPLETE, MESSAGE_TYPE_BYTE_ERROR_RESPONSE, READY_STATUS_IDLE,
    READY_STATUS_TRANSACTION_BLOCK,
};
use stairward_protocol::stream::{
    Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OwnerMessage, WireTransactionStatus,
};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::backend::Grant;
use super::batch::{BatchShape, ResponseSummary};
use super::error::BackendError;
use super::ledger::command_complete;
use super::response_buffer::ResponseBuffer;
use super::wire::RawMessage;
use crate::peer::OwnerStream;

/// Maximum size of responses buffered until the end of a batch, in bytes.
const BUFFER_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Minimum chunk size in which a stream that may write forwards responses that acknowledge nothing.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;

/// Size of unsent messages for the back end above which no more are read from the edge, in bytes.
const OUTBOX_LIMIT_BYTES: usize = 1024 * 1024;

/// Why relaying ended before the back end was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The connection to the back end was lost or violated the protocol.
    BackendLost,
    /// The edge disconnected or abandoned the stream.
    EdgeClosed,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The back end is leaving or moving to another node, and the drain limit has passed.
    DrainTimeout,
    /// The edge sent a batch with an unexpected sequence number, an incomplete message, or a second
    /// `Open`.
    InvalidMessage,
    /// The responses to buffer exceeded [`BUFFER_LIMIT_BYTES`].
    BufferFull,
}

/// The relay of one stream.
pub(super) struct Relay {
    /// The stream to the edge.
    pub stream: OwnerStream,
    /// The granted connection.
    pub grant: Grant,
    /// What the responses to the current batch say about its effect.
    pub summary: ResponseSummary,
    /// Sequence number of the last accepted batch; 0 for none.
    pub sequence: u32,
    /// Whether the connection must be reset before another session uses it.
    pub needs_reset: bool,
    /// Whether a transaction block is open according to the last `ReadyForQuery`.
    pub in_transaction: bool,
    /// Whether the current batch could commit that block.
    pub may_commit: bool,
    /// Whether every statement completion is held until the end, because the commit follows the
    /// batch.
    pub holds_all_completions: bool,
    /// Whether any byte of the current batch was written to the socket.
    pub sent_any: bool,
    /// Whether any response to the current batch was forwarded.
    pub forwarded_any: bool,
    /// Whether the stream may write, so that responses that acknowledge a commit are held until the
    /// end.
    pub may_write: bool,
    /// The caller's deadline.
    pub deadline: Option<Instant>,
    credit: i64,
    outbox: BytesMut,
    needs_flush: bool,
    pending_ready_count: u32,
    buffer: ResponseBuffer,
    cancelling: Option<JoinHandle<Result<(), BackendError>>>,
}

enum RelayEvent {
    Edge(Option<EdgeMessage>),
    Wrote(std::io::Result<usize>),
    Flushed(std::io::Result<()>),
    Read(Result<(), BackendError>),
    DrainTimeout,
    DeadlinePassed,
}

impl Relay {
    pub(super) fn new(stream: OwnerStream, grant: Grant) -> Self {
        Self {
            stream,
            grant,
            summary: ResponseSummary::default(),
            sequence: 0,
            needs_reset: false,
            in_transaction: false,
            may_commit: false,
            holds_all_completions: false,
            sent_any: false,
            forwarded_any: false,
            may_write: false,
            deadline: None,
            credit: i64::from(INITIAL_WINDOW_BYTES),
            outbox: BytesMut::new(),
            needs_flush: false,
            pending_ready_count: 0,
            buffer: ResponseBuffer::default(),
            cancelling: None,
        }
    }

    /// Adds flow-control credit granted by the edge.
    pub(super) fn add_credit(&mut self, bytes: i64) {
        self.credit += bytes;
    }

    /// Accepts a batch if it has the next sequence number and only complete messages.
    /// [`Relay::run`] sends it.
    pub(super) fn accept(&mut self, batch: &Batch) -> bool {
        let Some(shape) = BatchShape::of(&batch.messages.bytes) else {
            return false;
        };
        if batch.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = batch.sequence;
        self.needs_reset |= batch.alters_session != 0;
        self.pending_ready_count += shape.ready_count;
        self.may_commit |= shape.may_commit;
        self.outbox.extend_from_slice(&batch.messages.bytes);
        true
    }

    /// Resets the per-batch state.
    pub(super) fn begin_batch(&mut self) {
        self.summary = ResponseSummary::default();
        self.may_commit = false;
        self.sent_any = false;
        self.forwarded_any = false;
    }

    /// Sends the accepted messages and relays until the last expected `ReadyForQuery`.
    pub(super) async fn run(&mut self) -> Result<WireTransactionStatus, RelayEnd> {
        loop {
            if let Some(status) = self.read_responses()? {
                return Ok(status);
            }
            let event = self.wait().await;
            if let Some(end) = self.handle_event(event) {
                return Err(end);
            }
        }
    }

    /// Waits for the next batch of an open transaction.
    pub(super) async fn next_batch(&mut self) -> Result<Batch, RelayEnd> {
        loop {
            let (reader, _) = self.grant.connection.halves();
            tokio::select! {
                message = self.stream.receive() => match message {
                    Some(EdgeMessage::Batch(batch)) => return Ok(batch),
                    Some(EdgeMessage::Credit { bytes }) => self.credit += i64::from(bytes),
                    Some(EdgeMessage::Cancel) => {}
                    Some(EdgeMessage::Open(_)) => return Err(RelayEnd::InvalidMessage),
                    Some(EdgeMessage::Abandon) | None => return Err(RelayEnd::EdgeClosed),
                },
                // An idle back end sends only notices, parameter changes, and an error before it
                // closes the connection.
                read = reader.fill() => if read.is_err() || self.discard_unsolicited().is_err() {
                    return Err(RelayEnd::BackendLost);
                },
                () = self.grant.cancellation.cancelled() => return Err(RelayEnd::DrainTimeout),
            }
        }
    }

    /// Forwards all buffered responses as credit allows. Returns false when the edge has closed the
    /// stream or the stream was cancelled.
    pub(super) async fn forward_buffered(&mut self) -> bool {
        for chunk in self.buffer.take_chunks(WRITE_CHUNK_BYTES) {
            if !self.wait_for_credit().await {
                return false;
            }
            self.forward(chunk);
        }
        true
    }

    /// Waits for a cancel request in progress. Otherwise it could cancel a statement of the next
    /// session on the connection.
    pub(super) async fn finish_cancelling(&mut self) {
        if let Some(cancelling) = self.cancelling.take() {
            self.needs_reset = true;
            let _ = cancelling.await;
        }
    }

    /// Returns false when the edge has closed the stream or the stream was cancelled.
    async fn wait_for_credit(&mut self) -> bool {
        while self.credit <= 0 {
            let message = tokio::select! {
                message = self.stream.receive() => message,
                () = self.grant.cancellation.cancelled() => return false,
            };
            match message {
                Some(EdgeMessage::Credit { bytes }) => self.credit += i64::from(bytes),
                Some(EdgeMessage::Abandon) | None => return false,
                Some(EdgeMessage::Open(_) | EdgeMessage::Batch(_) | EdgeMessage::Cancel) => {}
            }
        }
        true
    }

    async fn wait(&mut self) -> RelayEvent {
        let may_read = self.credit > 0 || self.buffer.holds_until_end;
        let may_receive = self.outbox.len() < OUTBOX_LIMIT_BYTES;
        let has_output = !self.outbox.is_empty();
        let must_flush = !has_output && self.needs_flush;
        let deadline = self.deadline;
        let Grant {
            connection,
            cancellation,
            ..
        } = &mut self.grant;
        let (reader, writer) = connection.halves();
        tokio::select! {
            written = write_or_flush(writer, &self.outbox), if has_output || must_flush => written,
            read = reader.fill(), if may_read => RelayEvent::Read(read),
            message = self.stream.receive(), if may_receive => RelayEvent::Edge(message),
            () = cancellation.cancelled() => RelayEvent::DrainTimeout,
            () = sleep_until(deadline) => RelayEvent::DeadlinePassed,
        }
    }

    fn handle_event(&mut self, event: RelayEvent) -> Option<RelayEnd> {
        match event {
            RelayEvent::Wrote(Ok(count)) if count > 0 => {
                self.outbox.advance(count);
                self.sent_any = true;
                self.needs_flush = true;
                None
            }
            RelayEvent::Flushed(Ok(())) => {
                self.needs_flush = false;
                None
            }
            RelayEvent::Read(Ok(())) => None,
            RelayEvent::Wrote(_) | RelayEvent::Flushed(Err(_)) | RelayEvent::Read(Err(_)) => {
                Some(RelayEnd::BackendLost)
            }
            RelayEvent::Edge(message) => self.handle_edge_message(message),
            RelayEvent::DrainTimeout => Some(RelayEnd::DrainTimeout),
            RelayEvent::DeadlinePassed => Some(RelayEnd::DeadlinePassed),
        }
    }

    /// Handles a message from the edge while a batch runs.
    fn handle_edge_message(&mut self, message: Option<EdgeMessage>) -> Option<RelayEnd> {
        match message {
            Some(EdgeMessage::Batch(batch)) if self.accept(&batch) => None,
            Some(EdgeMessage::Batch(_) | EdgeMessage::Open(_)) => Some(RelayEnd::InvalidMessage),
            Some(EdgeMessage::Credit { bytes }) => {
                self.credit += i64::from(bytes);
                None
            }
            Some(EdgeMessage::Cancel) => {
                self.cancel();
                None
            }
            Some(EdgeMessage::Abandon) | None => Some(RelayEnd::EdgeClosed),
        }
    }

    fn cancel(&mut self) {
        let key = self.grant.connection.cancel_key.clone();
        if let Some(key) = key.filter(|_| self.cancelling.is_none()) {
            self.cancelling = Some(tokio::spawn(async move { key.cancel().await }));
        }
    }

    /// Processes the responses received so far. `Ok(Some)` once they include the last
    /// `ReadyForQuery`.
    fn read_responses(&mut self) -> Result<Option<WireTransactionStatus>, RelayEnd> {
        let mut ready = None;
        while ready.is_none() {
            let (reader, _) = self.grant.connection.halves();
            let taken = reader.take_buffered();
            let Some(message) = taken.map_err(|_| RelayEnd::BackendLost)? else {
                break;
            };
            match message.ready_status() {
                Some(status) => ready = self.record_ready(status),
                None => self.buffer_message(message)?,
            }
        }
        if ready.is_none() {
            self.forward_available();
        }
        Ok(ready)
    }

    fn record_ready(&mut self, status: u8) -> Option<WireTransactionStatus> {
        let status = match status {
            READY_STATUS_IDLE => WireTransactionStatus::Idle,
            READY_STATUS_TRANSACTION_BLOCK => WireTransactionStatus::InTransaction,
            _ => WireTransactionStatus::Failed,
        };
        self.in_transaction = status != WireTransactionStatus::Idle;
        self.pending_ready_count = self.pending_ready_count.saturating_sub(1);
        (self.pending_ready_count == 0).then_some(status)
    }

    fn buffer_message(&mut self, message: RawMessage) -> Result<(), RelayEnd> {
        self.summary.observe(&message);
        let holds_until_end = self.must_hold_until_end(&message);
        self.buffer.push(message, holds_until_end);
        if self.buffer.holds_until_end && self.buffer.bytes > BUFFER_LIMIT_BYTES {
            return Err(RelayEnd::BufferFull);
        }
        Ok(())
    }

    /// Whether a message must be held until the batch ends: one that may acknowledge a commit, or
    /// an error, which may be the last message before the back end closes the connection.
    fn must_hold_until_end(&self, message: &RawMessage) -> bool {
        let may_commit = !self.in_transaction || self.may_commit || self.holds_all_completions;
        match message.type_byte() {
            MESSAGE_TYPE_BYTE_COMMAND_COMPLETE | MESSAGE_TYPE_BYTE_PORTAL_SUSPENDED => {
                self.may_write && may_commit
            }
            MESSAGE_TYPE_BYTE_ERROR_RESPONSE => true,
            _ => false,
        }
    }

    fn forward_available(&mut self) {
        let minimum_bytes = if self.may_write { WRITE_CHUNK_BYTES } else { 1 };
        // After a batch that ends in `Flush` the caller waits for the responses. They acknowledge
        // no commit, which happens only at the `Sync` of a later batch.
        let is_flushed = self.pending_ready_count == 0 && self.buffer.bytes > 0;
        let is_due = !self.buffer.holds_until_end && self.buffer.bytes >= minimum_bytes;
        if !is_due && !is_flushed {
            return;
        }
        for chunk in self.buffer.take_chunks(usize::MAX) {
            self.forward(chunk);
        }
    }

    fn forward(&mut self, messages: Vec<u8>) {
        self.forwarded_any = true;
        self.credit -= i64::try_from(messages.len()).unwrap_or(i64::MAX);
        self.stream.send(OwnerMessage::Answer {
            messages: messages.into(),
        });
    }

    /// Discards unsolicited messages of an idle back end. An error means that it closes the
    /// connection.
    fn discard_unsolicited(&mut self) -> Result<(), BackendError> {
        let (reader, _) = self.grant.connection.halves();
        while let Some(message) = reader.take_buffered()? {
            if message.type_byte() == MESSAGE_TYPE_BYTE_ERROR_RESPONSE {
                return Err(BackendError::Closed);
            }
        }
        Ok(())
    }

    /// Replaces the buffer with a `CommandComplete` that carries a recorded command tag.
    pub(super) fn buffer_command_tag(&mut self, tag: &str) {
        if let Ok(bytes) = command_complete(tag) {
            self.buffer.replace(bytes.freeze());
        }
    }

    /// Whether a batch was accepted that has not ended yet.
    pub(super) fn is_in_flight(&self) -> bool {
        self.pending_ready_count > 0 || !self.outbox.is_empty() || self.sent_any
    }

    /// Returns the stream and the connection at the end of the stream.
    pub(super) fn into_parts(self) -> (OwnerStream, Grant) {
        (self.stream, self.grant)
    }
}

/// Writes part of `outbox`, or flushes when it is empty. Cancel safe.
async fn write_or_flush(writer: &mut (impl AsyncWrite + Unpin), outbox: &[u8]) -> RelayEvent {
    if outbox.is_empty() {
        RelayEvent::Flushed(writer.flush().await)
    } else {
        RelayEvent::Wrote(writer.write(outbox).await)
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => pending().await,
    }
}
