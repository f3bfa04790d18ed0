//! The statement protocol, towards callers and back ends, as the node needs it.

use std::fmt;

use bytes::BytesMut;
use stairward_engine::{
    BackendCommand, BackendReply, OpenFailure, OpenTarget, Response, Statement,
};
use stairward_types::{ApiKey, Freshness, ResultCode, Term};

/// A message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// The session's start, with the database asked for.
    Connect {
        /// The database's name.
        database: String,
        /// The key that the client carries; none where it carries nothing.
        key: Option<ApiKey>,
    },
    /// A statement.
    Statement(Statement),
    /// A statement that is not understood.
    BadStatement,
    /// The caller is done.
    Terminate,
}

/// Bytes that are not the protocol. The connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// A message is larger than allowed.
    TooLarge,
    /// A message is not understood.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the message is too large",
            Self::Malformed => "the message is not understood",
        })
    }
}

impl std::error::Error for WireError {}

/// A question to a member of a group, outside any session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRequest {
    /// What it says of itself.
    Status,
    /// What it says of itself once it has received this.
    Received(Freshness),
    /// Give way to this term, if it leads a lower one, and say what it has received.
    StepDown(Term),
    /// Stop receiving in terms below this one, and say what it has received.
    Hold(Term),
    /// Receive again.
    Resume,
}

/// A statement protocol. Decoders take whole messages off the buffer's front and give none while the
/// first message is not complete.
pub trait Wire: 'static {
    /// Collects the parts of a back end's answer.
    type ReplyDecoder: Default;

    /// Takes a caller's next message.
    ///
    /// # Errors
    /// When the bytes are not the protocol.
    fn decode_caller(buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;

    /// Tells a caller that its session has begun.
    fn encode_accept(out: &mut BytesMut);

    /// Tells a caller that its session ends before it began.
    fn encode_refusal(code: ResultCode, out: &mut BytesMut);

    /// Answers a statement.
    fn encode_response(response: &Response, out: &mut BytesMut);

    /// Opens a connection to a back end.
    fn encode_open(target: &OpenTarget, out: &mut BytesMut);

    /// Takes the answer to [`Wire::encode_open`].
    ///
    /// # Errors
    /// When the bytes are not the protocol.
    fn decode_opened(
        buffer: &mut BytesMut,
    ) -> Result<Option<Result<Option<Freshness>, OpenFailure>>, WireError>;

    /// Sends a command to a back end.
    fn encode_command(command: &BackendCommand, out: &mut BytesMut);

    /// Takes the answer to the oldest command or question without one. An answer to a question carries
    /// [`BackendReply::member`].
    ///
    /// # Errors
    /// When the bytes are not the protocol.
    fn decode_reply(
        decoder: &mut Self::ReplyDecoder,
        buffer: &mut BytesMut,
    ) -> Result<Option<BackendReply>, WireError>;

    /// Asks a member.
    fn encode_member_request(question: MemberRequest, out: &mut BytesMut);
}
