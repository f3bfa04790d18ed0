//! Framing of PostgreSQL messages, which are relayed without decoding their bodies.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::response::MESSAGE_TYPE_BYTE_READY_FOR_QUERY;
use snafu::ensure;

use super::error::{BackendError, MessageTooLargeSnafu, ProtocolSnafu};

/// Type byte and length field.
const HEADER_BYTES: usize = 5;

/// Longest message accepted from a back end, in bytes. A longer one closes the connection, because
/// a message is buffered whole and must fit into one frame of the peer protocol.
pub(super) const MAXIMUM_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// One complete message including its header.
#[derive(Debug, Clone)]
pub(super) struct RawMessage {
    /// The message as received.
    pub bytes: Bytes,
}

impl RawMessage {
    /// The message type.
    pub(super) fn type_byte(&self) -> u8 {
        self.bytes[0]
    }

    /// The message without its header.
    pub(super) fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// The transaction status, when this is `ReadyForQuery`.
    pub(super) fn ready_status(&self) -> Option<u8> {
        if self.type_byte() == MESSAGE_TYPE_BYTE_READY_FOR_QUERY {
            self.body().first().copied()
        } else {
            None
        }
    }
}

/// Removes one complete message from the front of `buffer`; `None` when more bytes are needed.
pub(super) fn take_message(buffer: &mut BytesMut) -> Result<Option<RawMessage>, BackendError> {
    let Some(length) = next_message_length(buffer)? else {
        return Ok(None);
    };
    if buffer.len() < length {
        return Ok(None);
    }
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(RawMessage { bytes }))
}

fn next_message_length(buffer: &[u8]) -> Result<Option<usize>, BackendError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let mut length_field = &buffer[1..HEADER_BYTES];
    let length = length_field.get_u32() as usize;
    ensure!(length >= HEADER_BYTES - 1, ProtocolSnafu);
    ensure!(
        length < MAXIMUM_MESSAGE_BYTES,
        MessageTooLargeSnafu { length }
    );
    Ok(Some(length + 1))
}
