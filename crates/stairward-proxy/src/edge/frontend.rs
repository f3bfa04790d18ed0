//! Frontend messages: framing, and decoding of the fields that the edge needs.
//!
//! pgwire's decoder isn't used here: it replaces invalid UTF-8 and reads past the end of malformed
//! bodies, and the edge forwards the original bytes unchanged in any case. Reference: PostgreSQL
//! documentation, "Message Formats" of protocol 3.0.

use bytes::{Buf, Bytes, BytesMut};
use snafu::{OptionExt, Snafu, ensure};

/// Type byte and length field.
const HEADER_BYTES: usize = 5;
const LENGTH_BYTES: usize = 4;

/// Input that violates the protocol. The start of the next message may be unknown, so the
/// connection must be closed, except after [`FrontendError::NotUtf8`].
#[derive(Debug, Snafu, PartialEq, Eq)]
pub(super) enum FrontendError {
    /// The message is larger than the limit.
    #[snafu(display("a message of {length} bytes is larger than the limit of {limit}"))]
    TooLarge {
        /// The length given in the header, in bytes.
        length: usize,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The type byte isn't one that clients send.
    #[snafu(display("there is no message type {tag:#04x}"))]
    UnknownType {
        /// The type byte.
        tag: u8,
    },
    /// The body doesn't match the message type.
    #[snafu(display("the body of message type {:?} is malformed", char::from(*tag)))]
    Malformed {
        /// The type byte.
        tag: u8,
    },
    /// A string field isn't valid UTF-8.
    #[snafu(display("a text in message type {:?} is not valid UTF-8", char::from(*tag)))]
    NotUtf8 {
        /// The type byte.
        tag: u8,
    },
}

/// One complete message as received, header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Frame {
    pub(super) bytes: Bytes,
}

/// What a `Describe` or `Close` refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    Statement,
    Portal,
}

/// A decoded message, with the fields that the edge needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrontendMessage<'a> {
    Query { text: &'a str },
    Parse { name: &'a str, text: &'a str },
    Bind { portal: &'a str, statement: &'a str },
    Describe { target: Target, name: &'a str },
    Close { target: Target, name: &'a str },
    Execute { portal: &'a str },
    Flush,
    Sync,
    Terminate,
    Password,
    FunctionCall,
    CopyData,
    CopyDone,
    CopyFail,
}

/// Removes one complete message from the front of `input`. Returns `None` if more bytes are needed.
///
/// # Errors
/// [`FrontendError`] as soon as the header is invalid, without waiting for the body.
pub(super) fn take_frame(
    input: &mut BytesMut,
    limit: usize,
) -> Result<Option<Frame>, FrontendError> {
    if input.len() < HEADER_BYTES {
        return Ok(None);
    }
    let tag = input[0];
    let is_known = matches!(
        tag,
        b'Q' | b'P'
            | b'B'
            | b'D'
            | b'C'
            | b'E'
            | b'H'
            | b'S'
            | b'X'
            | b'p'
            | b'F'
            | b'd'
            | b'c'
            | b'f'
    );
    ensure!(is_known, UnknownTypeSnafu { tag });
    let length = (&input[1..HEADER_BYTES]).get_u32() as usize;
    ensure!(length >= LENGTH_BYTES, MalformedSnafu { tag });
    ensure!(length <= limit, TooLargeSnafu { length, limit });
    if input.len() < length + 1 {
        return Ok(None);
    }
    let bytes = input.split_to(length + 1).freeze();
    Ok(Some(Frame { bytes }))
}

impl Frame {
    /// The type byte.
    pub(super) fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// The body, without the header.
    pub(super) fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Decodes the message.
    ///
    /// # Errors
    /// [`FrontendError::Malformed`] or [`FrontendError::NotUtf8`].
    pub(super) fn message(&self) -> Result<FrontendMessage<'_>, FrontendError> {
        let mut body = Body {
            tag: self.tag(),
            rest: self.body(),
        };
        let message = match self.tag() {
            b'Q' => FrontendMessage::Query { text: body.text()? },
            b'P' => body.parse()?,
            b'B' => body.bind()?,
            b'D' => FrontendMessage::Describe {
                target: body.target()?,
                name: body.text()?,
            },
            b'C' => FrontendMessage::Close {
                target: body.target()?,
                name: body.text()?,
            },
            b'E' => body.execute()?,
            b'H' => FrontendMessage::Flush,
            b'S' => FrontendMessage::Sync,
            b'X' => FrontendMessage::Terminate,
            b'p' => return Ok(FrontendMessage::Password),
            b'F' => return Ok(FrontendMessage::FunctionCall),
            b'd' => return Ok(FrontendMessage::CopyData),
            b'f' => return Ok(FrontendMessage::CopyFail),
            b'c' => FrontendMessage::CopyDone,
            tag => return UnknownTypeSnafu { tag }.fail(),
        };
        body.finish()?;
        Ok(message)
    }
}

/// Decodes the fields of a message body in order.
struct Body<'a> {
    tag: u8,
    rest: &'a [u8],
}

impl<'a> Body<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], FrontendError> {
        let (taken, rest) = self
            .rest
            .split_at_checked(count)
            .context(MalformedSnafu { tag: self.tag })?;
        self.rest = rest;
        Ok(taken)
    }

    /// A zero-terminated string.
    fn text(&mut self) -> Result<&'a str, FrontendError> {
        let tag = self.tag;
        let length = self
            .rest
            .iter()
            .position(|byte| *byte == 0)
            .context(MalformedSnafu { tag })?;
        let bytes = self.take(length)?;
        self.take(1)?;
        std::str::from_utf8(bytes)
            .ok()
            .context(NotUtf8Snafu { tag })
    }

    fn target(&mut self) -> Result<Target, FrontendError> {
        match self.take(1)? {
            b"S" => Ok(Target::Statement),
            b"P" => Ok(Target::Portal),
            _ => MalformedSnafu { tag: self.tag }.fail(),
        }
    }

    fn count(&mut self) -> Result<usize, FrontendError> {
        Ok(usize::from(self.take(2)?.get_u16()))
    }

    fn parse(&mut self) -> Result<FrontendMessage<'a>, FrontendError> {
        let name = self.text()?;
        let text = self.text()?;
        let types = self.count()?;
        self.take(types * 4)?;
        Ok(FrontendMessage::Parse { name, text })
    }

    fn bind(&mut self) -> Result<FrontendMessage<'a>, FrontendError> {
        let portal = self.text()?;
        let statement = self.text()?;
        let parameter_formats = self.count()?;
        self.take(parameter_formats * 2)?;
        for _ in 0..self.count()? {
            let length = self.take(4)?.get_i32();
            // A negative length denotes NULL.
            self.take(usize::try_from(length).unwrap_or(0))?;
        }
        let result_formats = self.count()?;
        self.take(result_formats * 2)?;
        Ok(FrontendMessage::Bind { portal, statement })
    }

    fn execute(&mut self) -> Result<FrontendMessage<'a>, FrontendError> {
        let portal = self.text()?;
        self.take(4)?;
        Ok(FrontendMessage::Execute { portal })
    }

    fn finish(&self) -> Result<(), FrontendError> {
        ensure!(self.rest.is_empty(), MalformedSnafu { tag: self.tag });
        Ok(())
    }
}
