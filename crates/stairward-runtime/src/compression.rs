//! Compression of large messages between nodes: lists of objects are repetitive.

use std::io::Read as _;

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

/// Maximum decompressed size in bytes, so that a peer's message cannot exhaust memory.
const MAXIMUM_CONTENT_BYTES: u64 = 32 * 1024 * 1024;

/// Compresses bytes. Large messages are compressed once and sent to many nodes, which saves bandwidth for little
/// processor time.
pub(crate) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    // Reading from memory cannot fail.
    let _ = DeflateEncoder::new(bytes, Compression::default()).read_to_end(&mut compressed);
    compressed
}

/// Decompresses bytes; none if they are corrupt or exceed [`MAXIMUM_CONTENT_BYTES`].
pub(crate) fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAXIMUM_CONTENT_BYTES + 1);
    decoder.read_to_end(&mut content).ok()?;
    let is_whole = u64::try_from(content.len()).is_ok_and(|length| length <= MAXIMUM_CONTENT_BYTES);
    is_whole.then_some(content)
}
