//! Inspects a backend's response while forwarding it.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};

/// Type byte and length field.
const HEADER_BYTES: usize = 5;
const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';
const ERROR_RESPONSE: u8 = b'E';

/// Forwards the response of one batch, counts the messages that show how far the batch got, and
/// drops the `ParseComplete` of each statement that the edge added to the batch.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ResponseFilter {
    /// For each expected `ParseComplete`, in order, whether it is dropped.
    expected_parses: VecDeque<bool>,
    /// Number of `ParseComplete` messages seen, dropped ones included.
    pub(super) parse_completes: usize,
    /// Number of `CloseComplete` messages seen.
    pub(super) close_completes: usize,
    /// Whether an `ErrorResponse` was seen.
    pub(super) failed: bool,
}

impl ResponseFilter {
    /// Records that a `Parse` was sent to the backend, and whether it was added by the edge.
    pub(super) fn expect_parse(&mut self, is_injected: bool) {
        self.expected_parses.push_back(is_injected);
    }

    /// Adds the messages expected for another part of the batch.
    pub(super) fn merge_expected(&mut self, next: Self) {
        self.expected_parses.extend(next.expected_parses);
    }

    /// Appends complete messages to `output`, except the ones to drop.
    pub(super) fn forward(&mut self, messages: &[u8], output: &mut BytesMut) {
        let mut rest = messages;
        let mut pending = messages;
        while rest.len() >= HEADER_BYTES {
            let tag = rest[0];
            let length = (&rest[1..HEADER_BYTES]).get_u32() as usize;
            let end = length.saturating_add(1).min(rest.len());
            if self.should_drop(tag) {
                let forwarded = pending.len() - rest.len();
                output.extend_from_slice(&pending[..forwarded]);
                pending = &rest[end..];
            }
            rest = &rest[end..];
        }
        output.extend_from_slice(pending);
    }

    /// Counts a message and returns whether to drop it.
    fn should_drop(&mut self, tag: u8) -> bool {
        match tag {
            PARSE_COMPLETE => {
                self.parse_completes += 1;
                self.expected_parses.pop_front().unwrap_or(false)
            }
            CLOSE_COMPLETE => {
                self.close_completes += 1;
                false
            }
            ERROR_RESPONSE => {
                self.failed = true;
                false
            }
            _ => false,
        }
    }
}
