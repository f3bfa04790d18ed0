//! What the edge looks at in a back end's answer while passing it on.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};

/// The type byte and the length field.
const HEADER_BYTES: usize = 5;
const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';
const ERROR_RESPONSE: u8 = b'E';

/// Passes the answer of one batch on, counts what tells how far it came, and keeps back the
/// `ParseComplete`s of statements that the edge itself had added to the batch.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ResponseFilter {
    /// For each `ParseComplete` to come, in order, whether it is kept back.
    expected_parses: VecDeque<bool>,
    /// `ParseComplete`s seen, those kept back included.
    pub(super) parse_completes: usize,
    /// `CloseComplete`s seen.
    pub(super) close_completes: usize,
    /// Whether an `ErrorResponse` was seen.
    pub(super) failed: bool,
}

impl ResponseFilter {
    /// Announces a `Parse` sent to the back end, and whether the edge itself added it.
    pub(super) fn expect_parse(&mut self, is_injected: bool) {
        self.expected_parses.push_back(is_injected);
    }

    /// Takes over what a further part of the batch announced.
    pub(super) fn merge_expected(&mut self, next: Self) {
        self.expected_parses.extend(next.expected_parses);
    }

    /// Appends whole messages to `output`, save for those kept back.
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

    /// Counts a message and says whether it is kept back.
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
