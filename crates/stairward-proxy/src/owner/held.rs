//! Answers that are not yet passed on.

use bytes::Bytes;

use super::wire::RawMessage;

/// Answers not yet passed on.
#[derive(Default)]
pub(super) struct HeldAnswers {
    /// The messages, in order.
    pub messages: Vec<RawMessage>,
    /// Their length.
    pub bytes: usize,
    /// Holds a message that must not go before the end of the batch.
    pub is_sealed: bool,
}

impl HeldAnswers {
    /// Adds a message; with `seals` nothing goes before the end of the batch.
    pub(super) fn push(&mut self, message: RawMessage, seals: bool) {
        self.is_sealed |= seals;
        self.bytes += message.bytes.len();
        self.messages.push(message);
    }

    /// Replaces everything by one message.
    pub(super) fn replace(&mut self, bytes: Bytes) {
        *self = Self::default();
        self.push(RawMessage { bytes }, true);
    }

    /// Takes everything out, in pieces of whole messages that are at least `least` bytes long, the
    /// last one excepted.
    pub(super) fn take_pieces(&mut self, least: usize) -> Vec<Vec<u8>> {
        let held = std::mem::take(self);
        let mut pieces = Vec::new();
        let mut piece = Vec::new();
        for message in held.messages {
            piece.extend_from_slice(&message.bytes);
            if piece.len() >= least {
                pieces.push(std::mem::take(&mut piece));
            }
        }
        if !piece.is_empty() {
            pieces.push(piece);
        }
        pieces
    }
}
