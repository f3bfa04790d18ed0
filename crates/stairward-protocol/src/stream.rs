//! Statement streams, by which an edge runs a batch or a transaction on a back end through its owner.
//!
//! A stream exists while one back-end connection is lent to it: from [`EdgeMessage::Open`] until the
//! owner sends [`OwnerMessage::Refused`], [`OwnerMessage::OutcomeUnknown`],
//! [`OwnerMessage::TransactionLost`], or [`OwnerMessage::BatchDone`] with an idle transaction status.
//! Within a transaction the edge sends further [`EdgeMessage::Batch`]es on the same stream. Stream ids
//! are never reused on a connection, so a late message of an ended stream matches no stream and is
//! dropped.

use deku::prelude::*;

use crate::field::{ByteString, OptionalFreshness, Text, WireFreshness};

/// Initial flow-control window: bytes of answers that an owner may send before the edge grants more.
pub const INITIAL_WINDOW_BYTES: u32 = 256 * 1024;

/// Whether a batch may write, as the edge classified it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireAccess {
    /// Only reads.
    #[deku(id = "0")]
    Read,
    /// May write.
    #[deku(id = "1")]
    Write,
}

/// The back end's transaction status after a batch, PostgreSQL's `ReadyForQuery` byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireTransactionStatus {
    /// Not in a transaction; the stream has ended and its connection returns to the pool.
    #[deku(id = "0x49")]
    Idle,
    /// In a transaction; the stream keeps the connection.
    #[deku(id = "0x54")]
    InTransaction,
    /// In a failed transaction; the stream keeps the connection until the transaction is rolled back.
    #[deku(id = "0x45")]
    Failed,
}

/// Asks the owner of a back end to assign a connection to the stream and run a first batch on it.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Open {
    /// The back end.
    pub backend: Text,
    /// The service the caller belongs to, for fair sharing.
    pub service: Text,
    /// Whether anything on this stream may write. The owner refuses `Write` unless the back end is
    /// the primary.
    pub access: WireAccess,
    /// Minimum freshness: the answer must come from a replica that has reached it, or from the primary
    /// of at least its term.
    pub floor: OptionalFreshness,
    /// Minimum term of the back end, below which the owner refuses the stream; 0 for any.
    pub expected_term: u64,
    /// Milliseconds left until the caller's deadline.
    pub deadline_milliseconds: u32,
    /// How long the owner may wait for a replica to reach the floor, in milliseconds.
    pub freshness_wait_milliseconds: u32,
    /// Idempotency key: the batch runs in one transaction with a ledger row for this key. Empty for
    /// none.
    pub request_key: Text,
    /// Whole PostgreSQL frontend messages that set up the session (`SET`, named `Parse`), ending in
    /// `Sync` or `Query`; the owner discards their answers. Empty for none.
    pub session_setup: ByteString,
    /// The first batch.
    pub batch: Batch,
}

/// Whole PostgreSQL frontend messages to run, in order.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Batch {
    /// Sequence number of the batch in the stream, from 1. A batch out of sequence is refused.
    pub sequence: u32,
    /// 1 when the batch ends in `Sync` or `Query`, so that a [`OwnerMessage::BatchDone`] follows;
    /// 0 when it ends in `Flush` and only answers follow.
    pub complete: u8,
    /// 1 when the batch leaves session state on the connection (`SET`, named `Parse`) that must be
    /// reset before another session may use it.
    pub alters_session: u8,
    /// The frontend messages.
    pub messages: ByteString,
}

/// A stream message from the edge to the owner.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum EdgeMessage {
    /// Opens the stream.
    #[deku(id = "1")]
    Open(Open),
    /// Runs a further batch in the stream's transaction.
    #[deku(id = "2")]
    Batch(Batch),
    /// Extends the flow-control window for answers.
    #[deku(id = "3")]
    Credit {
        /// Additional bytes that the owner may send.
        bytes: u32,
    },
    /// The caller cancels the running statement. The stream continues and reports its outcome as usual.
    #[deku(id = "4")]
    Cancel,
    /// The caller has disconnected or gives up: the owner rolls back, or closes the connection when the
    /// transaction's state is uncertain.
    #[deku(id = "5")]
    Abandon,
}

/// A back end's state, attached to answers and refusals as a routing hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct BackendHint {
    /// Its freshness at the last query.
    pub freshness: WireFreshness,
    /// 1 when it was the primary of that term, else 0.
    pub is_primary: u8,
    /// Number of requests queued for it.
    pub waiting: u16,
}

/// A stream message from the owner to the edge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum OwnerMessage {
    /// A connection was assigned. Sent before the first byte of the batch goes to the back end.
    #[deku(id = "1")]
    Admitted(BackendHint),
    /// The batch was refused before its first byte went to the back end, so none of it ran. Ends the
    /// stream.
    #[deku(id = "2")]
    Refused {
        /// A [`stairward_types::ResultCode`] of the class *not run*.
        code: u16,
        /// Suggested delay before a retry, in milliseconds; 0 for unknown.
        retry_after_milliseconds: u32,
        /// The back end's state.
        hint: BackendHint,
    },
    /// Whole PostgreSQL backend messages of the answer, without `ReadyForQuery`.
    #[deku(id = "3")]
    Answer {
        /// The backend messages.
        messages: ByteString,
    },
    /// The batch has ended. If it committed writes, the fence was confirmed first.
    #[deku(id = "4")]
    BatchDone {
        /// Sequence number of the batch.
        sequence: u32,
        /// The transaction status; `Idle` ends the stream.
        status: WireTransactionStatus,
        /// 1 when the batch committed, or may have committed, writes.
        committed_writes: u8,
        /// A result code of the class *answered*.
        code: u16,
        /// The back end's state, which covers everything that the batch read or committed.
        hint: BackendHint,
    },
    /// The batch was sent to the back end and its outcome is unknown. Ends the stream.
    #[deku(id = "5")]
    OutcomeUnknown {
        /// A result code of the class *outcome unknown*.
        code: u16,
        /// The back end's state.
        hint: BackendHint,
    },
    /// The connection was lost while the stream's transaction was open and no commit was in progress,
    /// so the whole transaction has been or will be rolled back. Ends the stream.
    #[deku(id = "6")]
    TransactionLost {
        /// The back end's state.
        hint: BackendHint,
    },
}
