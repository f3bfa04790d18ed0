//! Authentication of peers by the shared cluster key (HMAC-SHA-256, RFC 2104).

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Length of a handshake nonce, in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a full HMAC-SHA-256 proof, in bytes.
pub const PROOF_BYTES: usize = 32;
/// Shortest cluster key accepted, in bytes.
const MINIMUM_KEY_BYTES: usize = 16;

/// The cluster key is shorter than the minimum.
#[derive(Debug, Snafu)]
#[snafu(display("the cluster key has {length} bytes; at least {MINIMUM_KEY_BYTES} are needed"))]
pub struct InvalidClusterKey {
    /// Length of the rejected key, in bytes.
    length: usize,
}

/// The secret shared by all nodes of a cluster. Its `Debug` output is redacted.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

impl ClusterKey {
    /// Creates a key from the secret's bytes.
    ///
    /// # Errors
    /// [`InvalidClusterKey`] when the secret has fewer than 16 bytes.
    pub fn new(secret: impl Into<Vec<u8>>) -> Result<Self, InvalidClusterKey> {
        let secret = secret.into();
        ensure!(
            secret.len() >= MINIMUM_KEY_BYTES,
            InvalidClusterKeySnafu {
                length: secret.len()
            }
        );
        Ok(Self(secret))
    }

    /// Computes the HMAC of a purpose label and the parts, in order. The label separates domains: a
    /// proof made for one purpose does not verify for another.
    ///
    /// # Panics
    /// Never: HMAC accepts keys of any length.
    #[must_use]
    pub fn sign(&self, purpose: &str, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.keyed(purpose, parts).finalize().into_bytes().into()
    }

    /// Whether `proof` is the HMAC of these inputs under this key, or a prefix of it of at least
    /// [`NONCE_BYTES`] bytes. The comparison runs in constant time.
    #[must_use]
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], proof: &[u8]) -> bool {
        proof.len() >= NONCE_BYTES
            && self
                .keyed(purpose, parts)
                .verify_truncated_left(proof)
                .is_ok()
    }

    fn keyed(&self, purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(purpose.as_bytes());
        for part in parts {
            // The length prefix keeps ("ab", "c") and ("a", "bc") from having the same HMAC.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}
