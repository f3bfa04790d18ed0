//! Statement streams: how an edge has an owner run a batch or a transaction on a back end.
//!
//! A stream lives as long as one back-end connection is lent to it: from [`EdgeMessage::Open`] until
//! the owner says [`OwnerMessage::Refused`], [`OwnerMessage::OutcomeUnknown`], or
//! [`OwnerMessage::BatchDone`] with an idle transaction status. Within a transaction the edge sends
//! further [`EdgeMessage::Batch`]es on the same stream. Stream numbers are never used twice on a
//! connection, so a late message of an ended stream matches nothing and is dropped.

use deku::prelude::*;

use crate::field::{ByteString, OptionalFreshness, Text, WireFreshness};

/// How many bytes of answers an owner may send before the edge grants more.
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
    /// Not in a transaction; the stream has ended and its connection is taken back.
    #[deku(id = "0x49")]
    Idle,
    /// In a transaction; the connection stays with the stream.
    #[deku(id = "0x54")]
    InTransaction,
    /// In a failed transaction; the connection stays with the stream until it is rolled back.
    #[deku(id = "0x45")]
    Failed,
}

/// Asks the owner of a back end to lend a connection and run a first batch on it.
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
    /// The answer must come from a copy that covers this, or from the primary of at least its term.
    pub floor: OptionalFreshness,
    /// Refuse unless the back end's term is at least this; 0 for any.
    pub expected_term: u64,
    /// Milliseconds left until the caller's deadline.
    pub deadline_milliseconds: u32,
    /// How long the owner may wait for a replica to reach the floor, in milliseconds.
    pub freshness_wait_milliseconds: u32,
    /// Runs the batch in one transaction with a ledger row for this key; empty for none.
    pub request_key: Text,
    /// Whole PostgreSQL frontend messages that set the session up (`SET`, named `Parse`), ending in
    /// `Sync` or `Query`; their answers are swallowed. Empty for none.
    pub session_setup: ByteString,
    /// The first batch.
    pub batch: Batch,
}

/// Whole PostgreSQL frontend messages to run, in order.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Batch {
    /// Counts the batches of the stream, from 1. A batch out of turn is refused.
    pub sequence: u32,
    /// 1 when the batch ends in `Sync` or `Query`, so that a [`OwnerMessage::BatchDone`] follows;
    /// 0 when it ends in `Flush` and only answers follow.
    pub complete: u8,
    /// 1 when the batch leaves state on the connection (`SET`, named `Parse`) that must be reset
    /// before another session may use it.
    pub alters_session: u8,
    /// The messages.
    pub messages: ByteString,
}

/// From the edge to the owner.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum EdgeMessage {
    /// Opens the stream.
    #[deku(id = "1")]
    Open(Open),
    /// Runs a further batch in the stream's transaction.
    #[deku(id = "2")]
    Batch(Batch),
    /// Grants the owner so many more bytes of answers.
    #[deku(id = "3")]
    Credit {
        /// How many bytes more.
        bytes: u32,
    },
    /// The caller cancels what runs. The stream goes on; its outcome is reported as usual.
    #[deku(id = "4")]
    Cancel,
    /// The caller is gone or gives up: roll back, or close the connection if unsure.
    #[deku(id = "5")]
    Abandon,
}

/// A back end's state, sent along with answers and refusals as a hint for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct BackendHint {
    /// Its freshness when last asked.
    pub freshness: WireFreshness,
    /// 1 when it was the primary of that term.
    pub is_primary: u8,
    /// Requests waiting for it.
    pub waiting: u16,
}

/// From the owner to the edge.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum OwnerMessage {
    /// A connection was lent; the first byte goes to the back end after this.
    #[deku(id = "1")]
    Admitted(BackendHint),
    /// Nothing of the batch ran: refused before its first byte went to the back end. Ends the
    /// stream.
    #[deku(id = "2")]
    Refused {
        /// A [`stairward_types::ResultCode`] of the class *not run*.
        code: u16,
        /// When it may be worth asking again, in milliseconds; 0 for unknown.
        retry_after_milliseconds: u32,
        /// The back end's state.
        hint: BackendHint,
    },
    /// Whole PostgreSQL backend messages of the answer, without `ReadyForQuery`.
    #[deku(id = "3")]
    Answer {
        /// The messages.
        messages: ByteString,
    },
    /// The batch has ended and, if it committed writes, the fence was proved.
    #[deku(id = "4")]
    BatchDone {
        /// The batch.
        sequence: u32,
        /// The transaction status; `Idle` ends the stream.
        status: WireTransactionStatus,
        /// 1 when the batch committed, or may have committed, writes.
        committed_writes: u8,
        /// A result code of the class *answered*.
        code: u16,
        /// The state at or past which everything this batch read or committed lies.
        hint: BackendHint,
    },
    /// The batch was sent and its outcome cannot be told. Ends the stream.
    #[deku(id = "5")]
    OutcomeUnknown {
        /// A result code of the class *outcome unknown*.
        code: u16,
        /// The back end's state.
        hint: BackendHint,
    },
    /// The stream's transaction was open and not being committed when its connection was lost: all
    /// of it was or will be rolled back. Ends the stream.
    #[deku(id = "6")]
    TransactionLost {
        /// The back end's state.
        hint: BackendHint,
    },
}
