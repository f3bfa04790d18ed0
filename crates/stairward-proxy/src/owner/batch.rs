//! Inspection of a batch's frontend messages before it runs and of its responses afterwards.

use bytes::Buf;
use pgwire::messages::extendedquery::{
    MESSAGE_TYPE_BYTE_BIND, MESSAGE_TYPE_BYTE_PARSE, MESSAGE_TYPE_BYTE_PORTAL_SUSPENDED,
    MESSAGE_TYPE_BYTE_SYNC,
};
use pgwire::messages::response::{
    MESSAGE_TYPE_BYTE_COMMAND_COMPLETE, MESSAGE_TYPE_BYTE_ERROR_RESPONSE,
};
use pgwire::messages::simplequery::MESSAGE_TYPE_BYTE_QUERY;

use super::wire::RawMessage;

/// Type byte and length field of a frontend message.
const HEADER_BYTES: usize = 5;

/// Keywords of which at least one occurs in every statement that commits a transaction block.
const COMMIT_KEYWORDS: [&[u8]; 3] = [b"commit", b"end", b"prepare"];

/// What the frontend messages of a batch imply, derived without parsing SQL.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct BatchShape {
    /// Number of `ReadyForQuery` messages the back end will send.
    pub ready_count: u32,
    /// Whether the batch could commit a transaction block that is already open. True when unsure.
    pub may_commit: bool,
}

impl BatchShape {
    /// Inspects complete frontend messages; `None` when one is incomplete.
    pub(super) fn of(mut messages: &[u8]) -> Option<Self> {
        let mut shape = Self::default();
        while !messages.is_empty() {
            let (type_byte, body) = take_frontend_message(&mut messages)?;
            match type_byte {
                MESSAGE_TYPE_BYTE_QUERY => {
                    shape.ready_count += 1;
                    shape.may_commit |= contains_commit_keyword(body);
                }
                MESSAGE_TYPE_BYTE_SYNC => shape.ready_count += 1,
                MESSAGE_TYPE_BYTE_PARSE => shape.may_commit |= contains_commit_keyword(body),
                MESSAGE_TYPE_BYTE_BIND => shape.may_commit |= binds_named_statement(body),
                _ => {}
            }
        }
        Some(shape)
    }
}

fn take_frontend_message<'a>(messages: &mut &'a [u8]) -> Option<(u8, &'a [u8])> {
    if messages.len() < HEADER_BYTES {
        return None;
    }
    let type_byte = messages[0];
    let mut length_field = &messages[1..HEADER_BYTES];
    let end = 1 + usize::try_from(length_field.get_u32()).ok()?;
    let body = messages.get(HEADER_BYTES..end)?;
    *messages = &messages[end..];
    Some((type_byte, body))
}

fn contains_commit_keyword(text: &[u8]) -> bool {
    COMMIT_KEYWORDS.iter().any(|word| {
        text.windows(word.len())
            .any(|window| window.eq_ignore_ascii_case(word))
    })
}

/// Whether a `Bind` refers to a named statement, whose SQL was parsed in an earlier batch and is
/// therefore unknown here.
fn binds_named_statement(bind_body: &[u8]) -> bool {
    let statement_name = bind_body.iter().position(|byte| *byte == 0);
    let first_byte = statement_name.and_then(|end| bind_body.get(end + 1));
    first_byte.is_none_or(|byte| *byte != 0)
}

/// What the responses to a batch say about its effect.
#[derive(Debug, Clone, Default)]
pub(super) struct ResponseSummary {
    /// Command tag of the last completed statement.
    pub last_tag: String,
    /// SQLSTATE of the first error.
    pub first_error: Option<String>,
    completed_any: bool,
    committed_block: bool,
}

impl ResponseSummary {
    /// Takes one response message into account.
    pub(super) fn observe(&mut self, message: &RawMessage) {
        match message.type_byte() {
            MESSAGE_TYPE_BYTE_COMMAND_COMPLETE => {
                self.completed_any = true;
                self.last_tag = text_until_nul(message.body());
                self.committed_block |= self.last_tag == "COMMIT";
            }
            MESSAGE_TYPE_BYTE_PORTAL_SUSPENDED => self.completed_any = true,
            MESSAGE_TYPE_BYTE_ERROR_RESPONSE => {
                self.first_error
                    .get_or_insert_with(|| error_field(message.body(), b'C'));
            }
            _ => {}
        }
    }

    /// Whether forwarding the responses would acknowledge a commit to the caller.
    pub(super) fn acknowledges_commit(&self) -> bool {
        let ended_in_rollback = self.last_tag == "ROLLBACK";
        let completed = self.completed_any && self.first_error.is_none() && !ended_in_rollback;
        completed || self.committed_block
    }

    /// Whether something may have been committed, acknowledged or not.
    pub(super) fn may_have_committed(&self) -> bool {
        // A procedure may commit before it fails.
        self.acknowledges_commit() || self.first_error.is_some()
    }
}

fn text_until_nul(bytes: &[u8]) -> String {
    let end = bytes.iter().position(|byte| *byte == 0);
    String::from_utf8_lossy(&bytes[..end.unwrap_or(bytes.len())]).into_owned()
}

fn error_field(body: &[u8], code: u8) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let found = fields.find(|field| field.first() == Some(&code));
    let value = found.and_then(|field| field.get(1..)).unwrap_or_default();
    String::from_utf8_lossy(value).into_owned()
}
