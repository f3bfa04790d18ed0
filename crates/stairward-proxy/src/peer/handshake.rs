//! The handshake of a connection between two nodes: each proves that it knows the cluster key.

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

/// Proves to the peer that this node knows the cluster key, and checks the peer's proof.
pub(super) async fn shake_hands(
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
    let PeerMessage::Hello(theirs) = reader.next().await? else {
        return HandshakeSnafu {
            reason: "the first message is not Hello",
        }
        .fail();
    };
    ensure!(
        theirs.version == PROTOCOL_VERSION,
        HandshakeSnafu {
            reason: "the peer speaks another protocol version"
        }
    );
    let proof = key.sign(
        PROOF_PURPOSE,
        &[
            &theirs.nonce,
            &identity.node.0.to_be_bytes(),
            &identity.incarnation.0.to_be_bytes(),
        ],
    );
    write_message(writer, &PeerMessage::Proof(Proof { proof })).await?;
    let PeerMessage::Proof(their_proof) = reader.next().await? else {
        return HandshakeSnafu {
            reason: "the second message is not Proof",
        }
        .fail();
    };
    let proved = key.verify(
        PROOF_PURPOSE,
        &[
            &nonce,
            &theirs.node.to_be_bytes(),
            &theirs.incarnation.to_be_bytes(),
        ],
        &their_proof.proof,
    );
    // A proof of our own number would be our own answer sent back to us.
    ensure!(
        proved && theirs.node != identity.node.0,
        HandshakeSnafu {
            reason: "the peer does not know the cluster key"
        }
    );
    Ok(NodeId(theirs.node))
}

async fn write_message(half: &mut OwnedWriteHalf, message: &PeerMessage) -> Result<(), PeerError> {
    let mut buffer = BytesMut::new();
    encode_frame(message, &mut buffer).map_err(PeerError::from)?;
    half.write_all(&buffer).await.context(SocketSnafu)
}
