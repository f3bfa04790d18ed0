//! Moves the bytes of one stream between its edge and the connection lent to it.
//!
//! Answers are read only while the edge has window left. On a stream that may write, everything from
//! the first `CommandComplete` on is held back, since it may acknowledge a commit that must be proved
//! first; what is held is bounded by [`HELD_LIMIT_BYTES`].

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
use super::batch::{AnswerEvidence, BatchShape};
use super::error::BackendError;
use super::held::HeldAnswers;
use super::ledger::command_complete;
use super::wire::RawMessage;
use crate::peer::OwnerStream;

/// Answers held back at most, in bytes.
const HELD_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Answers of a stream that may write are passed on in pieces of this size while they acknowledge
/// nothing.
const WRITE_RELEASE_BYTES: usize = 64 * 1024;

/// Messages for the back end held in memory before the edge is listened to again, in bytes.
const OUTBOX_LIMIT_BYTES: usize = 1024 * 1024;

/// Why relaying ended before the back end was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The connection to the back end is lost or broke the protocol.
    BackendLost,
    /// The edge is gone or has let go.
    EdgeGone,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The back end is leaving or moving, and the time for what runs is over.
    TimeOver,
    /// The edge sent a batch out of turn or messages that are not whole.
    OutOfTurn,
    /// More had to be held back than [`HELD_LIMIT_BYTES`].
    TooMuchHeld,
}

/// One stream's relay.
pub(super) struct Relay {
    /// The edge.
    pub stream: OwnerStream,
    /// The connection.
    pub grant: Grant,
    /// What the present batch's answers tell.
    pub evidence: AnswerEvidence,
    /// The last batch accepted; 0 for none.
    pub sequence: u32,
    /// Whether the connection must be reset before another session uses it.
    pub altered: bool,
    /// Whether a transaction block is open as far as the last `ReadyForQuery` told.
    pub in_transaction: bool,
    /// Whether what is under way could commit that block.
    pub may_commit: bool,
    /// Whether every end of a statement is held back, since the commit comes after the batch.
    pub holds_all_ends: bool,
    /// Whether any byte of the present batch was handed to the socket.
    pub sent_any: bool,
    /// Whether any answer of the present batch was passed on.
    pub answered_any: bool,
    /// Whether answers that acknowledge a commit are held back.
    pub may_write: bool,
    /// When the caller gives up.
    pub deadline: Option<Instant>,
    credit: i64,
    outbox: BytesMut,
    needs_flush: bool,
    ready_expected: u32,
    held: HeldAnswers,
    cancelling: Option<JoinHandle<Result<(), BackendError>>>,
}

enum Happened {
    Edge(Option<EdgeMessage>),
    Wrote(std::io::Result<usize>),
    Flushed(std::io::Result<()>),
    Read(Result<(), BackendError>),
    TimeOver,
    DeadlinePassed,
}

impl Relay {
    pub(super) fn new(stream: OwnerStream, grant: Grant) -> Self {
        Self {
            stream,
            grant,
            evidence: AnswerEvidence::default(),
            sequence: 0,
            altered: false,
            in_transaction: false,
            may_commit: false,
            holds_all_ends: false,
            sent_any: false,
            answered_any: false,
            may_write: false,
            deadline: None,
            credit: i64::from(INITIAL_WINDOW_BYTES),
            outbox: BytesMut::new(),
            needs_flush: false,
            ready_expected: 0,
            held: HeldAnswers::default(),
            cancelling: None,
        }
    }

    /// Lets the edge's answers grow by so many bytes.
    pub(super) fn grant_credit(&mut self, bytes: i64) {
        self.credit += bytes;
    }

    /// Takes a batch in, if it is in turn and whole; it is sent by [`Relay::run`].
    pub(super) fn accept(&mut self, batch: &Batch) -> bool {
        let Some(shape) = BatchShape::of(&batch.messages.bytes) else {
            return false;
        };
        if batch.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = batch.sequence;
        self.altered |= batch.alters_session != 0;
        self.ready_expected += shape.ready_count;
        self.may_commit |= shape.may_commit;
        self.outbox.extend_from_slice(&batch.messages.bytes);
        true
    }

    /// Forgets the batch before, so that the next one is judged by itself.
    pub(super) fn begin_batch(&mut self) {
        self.evidence = AnswerEvidence::default();
        self.may_commit = false;
        self.sent_any = false;
        self.answered_any = false;
    }

    /// Sends what was accepted and relays until the back end is ready.
    pub(super) async fn run(&mut self) -> Result<WireTransactionStatus, RelayEnd> {
        loop {
            if let Some(status) = self.take_answers()? {
                return Ok(status);
            }
            let happened = self.wait().await;
            if let Some(end) = self.react(happened) {
                return Err(end);
            }
        }
    }

    /// Waits, between two batches, for the next one.
    pub(super) async fn next_batch(&mut self) -> Result<Batch, RelayEnd> {
        loop {
            let (reader, _) = self.grant.connection.halves();
            tokio::select! {
                message = self.stream.receive() => match message {
                    Some(EdgeMessage::Batch(batch)) => return Ok(batch),
                    Some(EdgeMessage::Credit { bytes }) => self.credit += i64::from(bytes),
                    Some(EdgeMessage::Cancel) => {}
                    Some(EdgeMessage::Open(_)) => return Err(RelayEnd::OutOfTurn),
                    Some(EdgeMessage::Abandon) | None => return Err(RelayEnd::EdgeGone),
                },
                // An idle back end says nothing but notices, parameter changes and its farewell.
                read = reader.fill() => if read.is_err() || self.drop_asides().is_err() {
                    return Err(RelayEnd::BackendLost);
                },
                () = self.grant.ending.cancelled() => return Err(RelayEnd::TimeOver),
            }
        }
    }

    /// Passes everything held on, as fast as the edge's window allows. False when the edge is gone.
    pub(super) async fn release_held(&mut self) -> bool {
        for piece in self.held.take_pieces(WRITE_RELEASE_BYTES) {
            if !self.wait_for_credit().await {
                return false;
            }
            self.send_answer(piece);
        }
        true
    }

    /// Waits for a cancel request under way, so that it cannot hit whoever uses the connection next.
    pub(super) async fn finish_cancelling(&mut self) {
        if let Some(cancelling) = self.cancelling.take() {
            self.altered = true;
            let _ = cancelling.await;
        }
    }

    /// False when the edge is gone or the stream's time is over.
    async fn wait_for_credit(&mut self) -> bool {
        while self.credit <= 0 {
            let message = tokio::select! {
                message = self.stream.receive() => message,
                () = self.grant.ending.cancelled() => return false,
            };
            match message {
                Some(EdgeMessage::Credit { bytes }) => self.credit += i64::from(bytes),
                Some(EdgeMessage::Abandon) | None => return false,
                Some(EdgeMessage::Open(_) | EdgeMessage::Batch(_) | EdgeMessage::Cancel) => {}
            }
        }
        true
    }

    async fn wait(&mut self) -> Happened {
        let may_read = self.credit > 0 || self.held.is_sealed;
        let may_hear = self.outbox.len() < OUTBOX_LIMIT_BYTES;
        let has_output = !self.outbox.is_empty();
        let must_flush = !has_output && self.needs_flush;
        let deadline = self.deadline;
        let Grant {
            connection, ending, ..
        } = &mut self.grant;
        let (reader, writer) = connection.halves();
        tokio::select! {
            pushed = push(writer, &self.outbox), if has_output || must_flush => pushed,
            read = reader.fill(), if may_read => Happened::Read(read),
            message = self.stream.receive(), if may_hear => Happened::Edge(message),
            () = ending.cancelled() => Happened::TimeOver,
            () = sleep_until(deadline) => Happened::DeadlinePassed,
        }
    }

    fn react(&mut self, happened: Happened) -> Option<RelayEnd> {
        match happened {
            Happened::Wrote(Ok(count)) if count > 0 => {
                self.outbox.advance(count);
                self.sent_any = true;
                self.needs_flush = true;
                None
            }
            Happened::Flushed(Ok(())) => {
                self.needs_flush = false;
                None
            }
            Happened::Read(Ok(())) => None,
            Happened::Wrote(_) | Happened::Flushed(Err(_)) | Happened::Read(Err(_)) => {
                Some(RelayEnd::BackendLost)
            }
            Happened::Edge(message) => self.hear(message),
            Happened::TimeOver => Some(RelayEnd::TimeOver),
            Happened::DeadlinePassed => Some(RelayEnd::DeadlinePassed),
        }
    }

    /// Hears the edge while a batch runs.
    fn hear(&mut self, message: Option<EdgeMessage>) -> Option<RelayEnd> {
        match message {
            Some(EdgeMessage::Batch(batch)) if self.accept(&batch) => None,
            Some(EdgeMessage::Batch(_) | EdgeMessage::Open(_)) => Some(RelayEnd::OutOfTurn),
            Some(EdgeMessage::Credit { bytes }) => {
                self.credit += i64::from(bytes);
                None
            }
            Some(EdgeMessage::Cancel) => {
                self.cancel();
                None
            }
            Some(EdgeMessage::Abandon) | None => Some(RelayEnd::EdgeGone),
        }
    }

    fn cancel(&mut self) {
        let key = self.grant.connection.cancel_key.clone();
        if let Some(key) = key.filter(|_| self.cancelling.is_none()) {
            self.cancelling = Some(tokio::spawn(async move { key.cancel().await }));
        }
    }

    /// Takes the answers that have arrived. `Ok(Some)` once the last `ReadyForQuery` is among them.
    fn take_answers(&mut self) -> Result<Option<WireTransactionStatus>, RelayEnd> {
        let mut ready = None;
        while ready.is_none() {
            let (reader, _) = self.grant.connection.halves();
            let next = reader.take_buffered();
            let Some(message) = next.map_err(|_| RelayEnd::BackendLost)? else {
                break;
            };
            match message.ready_status() {
                Some(status) => ready = self.note_ready(status),
                None => self.hold(message)?,
            }
        }
        if ready.is_none() {
            self.release_unsealed();
        }
        Ok(ready)
    }

    fn note_ready(&mut self, status: u8) -> Option<WireTransactionStatus> {
        let status = match status {
            READY_STATUS_IDLE => WireTransactionStatus::Idle,
            READY_STATUS_TRANSACTION_BLOCK => WireTransactionStatus::InTransaction,
            _ => WireTransactionStatus::Failed,
        };
        self.in_transaction = status != WireTransactionStatus::Idle;
        self.ready_expected = self.ready_expected.saturating_sub(1);
        (self.ready_expected == 0).then_some(status)
    }

    fn hold(&mut self, message: RawMessage) -> Result<(), RelayEnd> {
        self.evidence.note(&message);
        let seals = self.must_wait_for_end(&message);
        self.held.push(message, seals);
        if self.held.is_sealed && self.held.bytes > HELD_LIMIT_BYTES {
            return Err(RelayEnd::TooMuchHeld);
        }
        Ok(())
    }

    /// Whether a message may only go once the batch has ended: an acknowledgement, or an error, which
    /// may be the back end's farewell.
    fn must_wait_for_end(&self, message: &RawMessage) -> bool {
        let may_commit = !self.in_transaction || self.may_commit || self.holds_all_ends;
        match message.type_byte() {
            MESSAGE_TYPE_BYTE_COMMAND_COMPLETE | MESSAGE_TYPE_BYTE_PORTAL_SUSPENDED => {
                self.may_write && may_commit
            }
            MESSAGE_TYPE_BYTE_ERROR_RESPONSE => true,
            _ => false,
        }
    }

    fn release_unsealed(&mut self) {
        let least = if self.may_write {
            WRITE_RELEASE_BYTES
        } else {
            1
        };
        // The caller waits for the answers to a batch that ends in `Flush`. They acknowledge nothing
        // yet: the commit comes with the `Sync` of a later batch.
        let is_flushed = self.ready_expected == 0 && self.held.bytes > 0;
        let is_due = !self.held.is_sealed && self.held.bytes >= least;
        if !is_due && !is_flushed {
            return;
        }
        for piece in self.held.take_pieces(usize::MAX) {
            self.send_answer(piece);
        }
    }

    fn send_answer(&mut self, messages: Vec<u8>) {
        self.answered_any = true;
        self.credit -= i64::try_from(messages.len()).unwrap_or(i64::MAX);
        self.stream.send(OwnerMessage::Answer {
            messages: messages.into(),
        });
    }

    /// Drops what an idle back end says unasked. An error is its farewell.
    fn drop_asides(&mut self) -> Result<(), BackendError> {
        let (reader, _) = self.grant.connection.halves();
        while let Some(message) = reader.take_buffered()? {
            if message.type_byte() == MESSAGE_TYPE_BYTE_ERROR_RESPONSE {
                return Err(BackendError::Closed);
            }
        }
        Ok(())
    }

    /// Holds the `CommandComplete` of an outcome recorded earlier as the batch's only answer.
    pub(super) fn hold_command_tag(&mut self, tag: &str) {
        if let Ok(bytes) = command_complete(tag) {
            self.held.replace(bytes.freeze());
        }
    }

    /// Whether part of a batch was accepted whose end has not come.
    pub(super) fn is_in_flight(&self) -> bool {
        self.ready_expected > 0 || !self.outbox.is_empty() || self.sent_any
    }

    /// Takes the parts apart at the end of the stream.
    pub(super) fn into_parts(self) -> (OwnerStream, Grant) {
        (self.stream, self.grant)
    }
}

/// Writes some of `outbox`, or flushes when it is empty. Safe to cancel.
async fn push(writer: &mut (impl AsyncWrite + Unpin), outbox: &[u8]) -> Happened {
    if outbox.is_empty() {
        Happened::Flushed(writer.flush().await)
    } else {
        Happened::Wrote(writer.write(outbox).await)
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => pending().await,
    }
}
