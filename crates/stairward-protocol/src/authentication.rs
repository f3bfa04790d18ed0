//! Proof that a peer knows the cluster key (HMAC-SHA-256, RFC 2104).

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Length of a challenge, in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;
/// Shortest cluster key accepted, in bytes.
const MINIMUM_KEY_BYTES: usize = 16;

/// A cluster key that is too short to be safe.
#[derive(Debug, Snafu)]
#[snafu(display("the cluster key has {length} bytes; at least {MINIMUM_KEY_BYTES} are needed"))]
pub struct InvalidClusterKey {
    /// Its length, in bytes.
    length: usize,
}

/// The secret shared by all nodes of a cluster. Never shown in logs.
#[derive(Clone)]
pub struct ClusterKey(Vec<u8>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

impl ClusterKey {
    /// Wraps the secret's bytes.
    ///
    /// # Errors
    /// [`InvalidClusterKey`] when there are fewer than 16.
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

    /// Signs the parts, in order, for one purpose; proofs for different purposes never match.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn sign(&self, purpose: &str, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.keyed(purpose, parts).finalize().into_bytes().into()
    }

    /// Whether `proof`, or its first bytes when it was shortened, was made by this key. Takes the
    /// same time for every wrong proof.
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
            // The length keeps ("ab", "c") and ("a", "bc") apart.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}
