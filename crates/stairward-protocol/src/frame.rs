//! Framing on TCP: a four-byte length prefix, then one encoded message, which is a
//! [`crate::PeerMessage`] or a [`crate::node_message::NodeMessage`].

use bytes::{Buf, BufMut, BytesMut};
use deku::prelude::*;
use snafu::{ResultExt, Snafu, ensure};

/// Longest frame accepted, excluding its length prefix, in bytes.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why a frame could not be decoded or a message could not be encoded.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The length of the frame exceeds [`MAXIMUM_FRAME_BYTES`].
    #[snafu(display("a frame of {length} bytes is larger than the limit"))]
    TooLarge {
        /// The length from the prefix, or of the encoded message, in bytes.
        length: usize,
    },
    /// The frame's content is no message of this protocol version, or a message cannot be encoded.
    #[snafu(display("the frame does not contain a valid message"))]
    Malformed {
        /// The error of the codec.
        source: DekuError,
    },
    /// The frame is longer than the message in it.
    #[snafu(display("{count} trailing bytes follow the message in its frame"))]
    TrailingBytes {
        /// Number of trailing bytes.
        count: usize,
    },
}

/// Appends the message, prefixed by its length, to `output`.
///
/// # Errors
/// [`FrameError::TooLarge`] or [`FrameError::Malformed`]; `output` is then unchanged.
pub fn encode_frame<M: DekuContainerWrite>(
    message: &M,
    output: &mut BytesMut,
) -> Result<(), FrameError> {
    let bytes = message.to_bytes().context(MalformedSnafu)?;
    ensure!(
        bytes.len() <= MAXIMUM_FRAME_BYTES,
        TooLargeSnafu {
            length: bytes.len()
        }
    );
    output.reserve(LENGTH_BYTES + bytes.len());
    output.put_u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
    output.put_slice(&bytes);
    Ok(())
}

/// Consumes and decodes one whole message from the front of `input`; `None` when more bytes are needed.
///
/// # Errors
/// [`FrameError`]; the connection must then be closed, since the start of the next frame is unknown.
pub fn decode_frame<M: for<'a> DekuContainerRead<'a>>(
    input: &mut BytesMut,
) -> Result<Option<M>, FrameError> {
    if input.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = usize::try_from((&input[..LENGTH_BYTES]).get_u32()).unwrap_or(usize::MAX);
    ensure!(length <= MAXIMUM_FRAME_BYTES, TooLargeSnafu { length });
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let frame = input.split_to(length);
    let ((rest, _), message) = M::from_bytes((&frame, 0)).context(MalformedSnafu)?;
    ensure!(rest.is_empty(), TrailingBytesSnafu { count: rest.len() });
    Ok(Some(message))
}
