//! The handshake between two nodes, in which each proves that it knows the cluster key.

use bytes::BytesMut;
use rand::Rng as _;
use snafu::{ResultExt, ensure};
use stairward_protocol::{
    ClusterKey, Hello, NONCE_BYTES, PROTOCOL_VERSION, PeerMessage, Proof, encode_frame,
};
use stairward_types::NodeId;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::message_reader::MessageReader;
use super::network::{HandshakeSnafu, PeerError, SocketSnafu};
use crate::cluster::Identity;

const PROOF_PURPOSE: &str = "peer-connection";

/// Proves to the peer that this node knows the cluster key, verifies the peer's proof, and returns
/// the peer's ID.
pub(super) async fn perform_handshake(
    reader: &mut MessageReader,
    writer: &mut OwnedWriteHalf,
    identity: &Identity,
    key: &ClusterKey,
) -> Result<NodeId, PeerError> {
    let mut nonce = [0_u8; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let hello = Hello {
        version: PROTOCOL_VERSION,
        node: identity.node.0,
        incarnation: identity.incarnation.0,
        nonce,
    };
    write_message(writer, &PeerMessage::Hello(hello)).await?;
    let PeerMessage::Hello(peer_hello) = reader.next().await? else {
        return HandshakeSnafu {
            reason: "the first message is not Hello",
        }
        .fail();
    };
    ensure!(
        peer_hello.version == PROTOCOL_VERSION,
        HandshakeSnafu {
            reason: "the peer uses a different protocol version"
        }
    );
    let proof = key.sign(
        PROOF_PURPOSE,
        &[
            &peer_hello.nonce,
            &identity.node.0.to_be_bytes(),
            &identity.incarnation.0.to_be_bytes(),
        ],
    );
    write_message(writer, &PeerMessage::Proof(Proof { proof })).await?;
    let PeerMessage::Proof(peer_proof) = reader.next().await? else {
        return HandshakeSnafu {
            reason: "the second message is not Proof",
        }
        .fail();
    };
    let proved = key.verify(
        PROOF_PURPOSE,
        &[
            &nonce,
            &peer_hello.node.to_be_bytes(),
            &peer_hello.incarnation.to_be_bytes(),
        ],
        &peer_proof.proof,
    );
    // A proof with this node's own ID is this node's own message reflected by the peer.
    ensure!(
        proved && peer_hello.node != identity.node.0,
        HandshakeSnafu {
            reason: "the peer's proof of the cluster key is invalid"
        }
    );
    Ok(NodeId(peer_hello.node))
}

async fn write_message(half: &mut OwnedWriteHalf, message: &PeerMessage) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    encode_frame(message, &mut buffer).map_err(PeerError::from)?;
    half.write_all(&buffer).await.context(SocketSnafu)
}
