//! Sizes of messages as they are on the wire.

use bytes::BytesMut;
use stairward_membership::configuration::{SettingsDigest, Update, to_wire};
use stairward_protocol::call::{CallReply, CallRequest};
use stairward_protocol::{PeerMessage, encode_frame};

/// Bytes of the IPv4 and TCP headers of a message.
pub(super) const TCP_HEADER_BYTES: usize = 40;

/// Bytes of the frame that starts an exchange.
pub(super) fn request_bytes(digest: &SettingsDigest, update: Option<&Update>) -> usize {
    frame_bytes(&PeerMessage::Call {
        call: 0,
        request: CallRequest::ExchangeSettings(to_wire(digest, update)),
    })
}

/// Bytes of the frame that answers an exchange.
pub(super) fn answer_bytes(digest: &SettingsDigest, update: Option<&Update>) -> usize {
    frame_bytes(&PeerMessage::Reply {
        call: 0,
        reply: CallReply::Settings(to_wire(digest, update)),
    })
}

fn frame_bytes(message: &PeerMessage) -> usize {
    let mut buffer = BytesMut::new();
    encode_frame(message, &mut buffer).expect("a message of the protocol can be encoded");
    buffer.len()
}
