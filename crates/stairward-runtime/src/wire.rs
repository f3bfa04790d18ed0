//! The statement protocol towards callers and back ends, as an interface for the embedding program.

use std::fmt;

use bytes::BytesMut;
use stairward_engine::{
    BackendCommand, BackendReply, OpenFailure, OpenTarget, Response, Statement,
};
use stairward_types::{ApiKey, Freshness, LogEvent, ResultCode, Term};

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session on a database.
    Connect {
        /// The database's name.
        database: String,
        /// The API key of the client, if it sent one.
        key: Option<ApiKey>,
    },
    /// A statement.
    Statement(Statement),
    /// A malformed statement. The session continues.
    BadStatement,
    /// Closes the session.
    Terminate,
}

/// A protocol violation, after which the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// A message is larger than allowed.
    TooLarge,
    /// A message is malformed.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the message exceeds the maximum size",
            Self::Malformed => "the message is malformed",
        })
    }
}

impl std::error::Error for WireError {}

/// Why a message can't be encoded. Nothing of it is written, and what it was for ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EncodeError {
    /// A field that others follow is empty, or holds a separator or a line ending.
    InvalidField,
    /// The last field holds a line ending.
    LineEndingInLastField,
    /// The message is larger than allowed.
    TooLarge,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InvalidField => "a field is empty, or holds a separator or a line ending",
            Self::LineEndingInLastField => "the last field holds a line ending",
            Self::TooLarge => "the message exceeds the maximum size",
        })
    }
}

impl std::error::Error for EncodeError {}

/// Logs that a message was not sent.
pub(crate) fn log_unencodable(error: EncodeError) {
    tracing::warn!(event = LogEvent::MessageUnencodable.number(), %error);
}

/// A request to a member of a group, outside any session. The member replies with its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRequest {
    /// Report the status.
    Status,
    /// Report the status once the log up to this point has been received.
    Received(Freshness),
    /// Step down if primary in a term below this one, and report how much of the log has been received.
    StepDown(Term),
    /// Stop receiving log entries of terms below this one, and report how much has been received.
    Hold(Term),
    /// End a hold and receive again.
    Resume,
}

impl MemberRequest {
    /// The name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Status => "member_status",
            Self::Received(_) => "member_received",
            Self::StepDown(_) => "member_step_down",
            Self::Hold(_) => "member_hold",
            Self::Resume => "member_resume",
        }
    }
}

/// A statement protocol. Decoders remove complete messages from the front of the buffer and return none while the
/// first one is incomplete. A decoder's state belongs to one buffer, to which the embedding code only appends.
/// Encoders append whole messages, or leave the buffer unchanged and return an [`EncodeError`].
pub trait Wire: 'static {
    /// State of a partly received message of a caller.
    type CallerDecoder: Default;
    /// State of a partly received reply of a back end.
    type ReplyDecoder: Default;

    /// Decodes the next message from a caller.
    ///
    /// # Errors
    /// [`WireError`] on a protocol violation.
    fn decode_caller(
        decoder: &mut Self::CallerDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Option<CallerMessage>, WireError>;

    /// Encodes the acceptance of a session.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_accept(out: &mut BytesMut) -> Result<(), EncodeError>;

    /// Encodes the refusal of a session.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_refusal(code: ResultCode, out: &mut BytesMut) -> Result<(), EncodeError>;

    /// Encodes the response to a statement.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_response(response: &Response, out: &mut BytesMut) -> Result<(), EncodeError>;

    /// Encodes the start-up message for a back end.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_open(target: &OpenTarget, out: &mut BytesMut) -> Result<(), EncodeError>;

    /// Decodes the reply to [`Wire::encode_open`]. Bytes after it stay in the buffer, for a new decoder.
    ///
    /// # Errors
    /// [`WireError`] on a protocol violation.
    fn decode_opened(
        decoder: &mut Self::ReplyDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Option<Result<Option<Freshness>, OpenFailure>>, WireError>;

    /// Encodes a command for a back end.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_command(command: &BackendCommand, out: &mut BytesMut) -> Result<(), EncodeError>;

    /// Decodes the reply to the oldest command or member request that has none yet. A reply to a member request sets
    /// [`BackendReply::member`].
    ///
    /// # Errors
    /// [`WireError`] on a protocol violation.
    fn decode_reply(
        decoder: &mut Self::ReplyDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Option<BackendReply>, WireError>;

    /// Encodes a request to a member.
    ///
    /// # Errors
    /// [`EncodeError`] if a field can't be encoded.
    fn encode_member_request(
        question: MemberRequest,
        out: &mut BytesMut,
    ) -> Result<(), EncodeError>;
}
