//! Compression of what nodes tell each other at length: lists of objects repeat themselves.

use std::io::Read as _;

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

/// The longest content that is unpacked, in bytes: a peer's word must not fill the memory.
const MAXIMUM_CONTENT_BYTES: u64 = 32 * 1024 * 1024;

/// Compresses bytes. What is long is made once and sent to many: a node's link is scarcer than its processor.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    // Reading from memory doesn't fail.
    let _ = DeflateEncoder::new(bytes, Compression::default()).read_to_end(&mut compressed);
    compressed
}

/// Unpacks bytes; none when they are damaged or longer than [`MAXIMUM_CONTENT_BYTES`].
pub(crate) fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAXIMUM_CONTENT_BYTES + 1);
    decoder.read_to_end(&mut content).ok()?;
    let is_whole = u64::try_from(content.len()).is_ok_and(|length| length <= MAXIMUM_CONTENT_BYTES);
    is_whole.then_some(content)
}
