//! Buffering of back-end responses that are not forwarded to the edge yet.

use bytes::Bytes;

use super::wire::RawMessage;

/// Responses that were received but not forwarded yet.
#[derive(Default)]
pub(super) struct ResponseBuffer {
    /// The messages, in order.
    pub messages: Vec<RawMessage>,
    /// Total length of the messages.
    pub bytes: usize,
    /// Whether a buffered message must not be forwarded before the batch ends.
    pub holds_until_end: bool,
}

impl ResponseBuffer {
    /// Appends a message; with `holds_until_end` nothing is forwarded before the batch ends.
    pub(super) fn push(&mut self, message: RawMessage, holds_until_end: bool) {
        self.holds_until_end |= holds_until_end;
        self.bytes += message.bytes.len();
        self.messages.push(message);
    }

    /// Replaces the contents with one message, to be forwarded at the end of the batch.
    pub(super) fn replace(&mut self, bytes: Bytes) {
        *self = Self::default();
        self.push(RawMessage { bytes }, true);
    }

    /// Removes everything, in chunks of complete messages. Each chunk except the last has at least
    /// `minimum_bytes` bytes.
    pub(super) fn take_chunks(&mut self, minimum_bytes: usize) -> Vec<Vec<u8>> {
        let buffered = std::mem::take(self);
        let mut chunks = Vec::new();
        let mut chunk = Vec::new();
        for message in buffered.messages {
            chunk.extend_from_slice(&message.bytes);
            if chunk.len() >= minimum_bytes {
                chunks.push(std::mem::take(&mut chunk));
            }
        }
        if !chunk.is_empty() {
            chunks.push(chunk);
        }
        chunks
    }
}
