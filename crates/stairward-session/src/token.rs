//! Session tokens: a signed floor that a caller carries from one proxy to another.
//!
//! Layout before base64 (URL alphabet, no padding): version (1 byte), term (8), position (8), MAC
//! (16), group name (the rest). The MAC is HMAC-SHA-256 (RFC 2104) truncated to 16 bytes, over a purpose string and all
//! other fields.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{OptionExt, Snafu, ensure};
use stairward_types::{Freshness, GroupId, LogPosition, Term};

const TOKEN_VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const NUMBER_BYTES: usize = 8;
const HEAD_BYTES: usize = 1 + 2 * NUMBER_BYTES + MAC_BYTES;
/// Maximum length of a token's text, in bytes. Group names have at most 63.
const MAXIMUM_TEXT_BYTES: usize = 256;
const PURPOSE: &[u8] = b"stairward-session-token";

/// Why a token was refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum TokenError {
    /// It is not base64 of the right length.
    #[snafu(display("the token is damaged"))]
    Damaged,
    /// Its version is not supported by this proxy.
    #[snafu(display("the token has version {version}, which is not known"))]
    UnknownVersion {
        /// Version of the token.
        version: u8,
    },
    /// Its signature is invalid.
    #[snafu(display("the token's signature is wrong"))]
    Forged,
    /// It was issued for another database group.
    #[snafu(display("the token belongs to database group {group}"))]
    OtherGroup {
        /// The group it was issued for.
        group: GroupId,
    },
}

/// Content of a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionToken {
    /// The group of the floor.
    pub group: GroupId,
    /// The floor.
    pub floor: Freshness,
}

/// The secret that signs tokens, shared by all proxies of a cluster. Its debug output hides it.
#[derive(Clone)]
pub struct TokenKey(Vec<u8>);

impl fmt::Debug for TokenKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TokenKey(hidden)")
    }
}

impl TokenKey {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self(secret.into())
    }

    /// Encodes and signs a token.
    #[must_use]
    pub fn sign(&self, token: &SessionToken) -> String {
        let mut head = vec![TOKEN_VERSION];
        head.extend(token.floor.term.0.to_be_bytes());
        head.extend(token.floor.position.0.to_be_bytes());
        let group = token.group.as_str().as_bytes();
        let mac = self.mac(&head, group).finalize().into_bytes();
        head.extend(&mac[..MAC_BYTES]);
        head.extend(group);
        URL_SAFE_NO_PAD.encode(head)
    }

    /// Decodes and verifies a token issued for `group`.
    ///
    /// # Errors
    /// [`TokenError`] when it was not signed with this key for this group.
    pub fn verify(&self, text: &str, group: &GroupId) -> Result<SessionToken, TokenError> {
        ensure!(text.len() <= MAXIMUM_TEXT_BYTES, DamagedSnafu);
        let bytes = URL_SAFE_NO_PAD.decode(text).ok().context(DamagedSnafu)?;
        let version = *bytes.first().context(DamagedSnafu)?;
        ensure!(version == TOKEN_VERSION, UnknownVersionSnafu { version });
        ensure!(bytes.len() > HEAD_BYTES, DamagedSnafu);
        let (head, name) = bytes.split_at(HEAD_BYTES);
        let (signed, mac) = head.split_at(HEAD_BYTES - MAC_BYTES);
        self.mac(signed, name)
            .verify_truncated_left(mac)
            .ok()
            .context(ForgedSnafu)?;
        let name = std::str::from_utf8(name).ok().context(DamagedSnafu)?;
        let token_group = GroupId::new(name).ok().context(DamagedSnafu)?;
        ensure!(
            token_group == *group,
            OtherGroupSnafu { group: token_group }
        );
        Ok(SessionToken {
            group: token_group,
            floor: Freshness::new(
                Term(number(&signed[1..])),
                LogPosition(number(&signed[9..])),
            ),
        })
    }

    fn mac(&self, head: &[u8], group: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(PURPOSE);
        mac.update(head);
        mac.update(group);
        mac
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .take(NUMBER_BYTES)
        .fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
