//! Field types shared by several messages.

use deku::prelude::*;
use stairward_types::{Freshness, LogPosition, Term};

/// Bytes prefixed by their length.
#[derive(Debug, Clone, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct ByteString {
    #[deku(update = "self.bytes.len()")]
    length: u32,
    /// The bytes.
    #[deku(count = "length")]
    pub bytes: Vec<u8>,
}

impl ByteString {
    /// Creates a field from bytes.
    ///
    /// # Panics
    /// When there are 4 GiB or more, which does not happen in practice: frames are far shorter.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        let length = u32::try_from(bytes.len()).expect("a field is far shorter than 4 GiB");
        Self { length, bytes }
    }
}

impl From<Vec<u8>> for ByteString {
    fn from(bytes: Vec<u8>) -> Self {
        Self::new(bytes)
    }
}

/// UTF-8 text prefixed by its length. Decoding does not check the encoding: [`Text::as_str`] returns
/// an empty string for invalid UTF-8.
#[derive(Debug, Clone, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Text {
    length: u16,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl Text {
    /// Creates a field from text, truncated to 65,535 bytes.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let kept = text.len().min(usize::from(u16::MAX));
        let bytes = text.as_bytes()[..kept].to_vec();
        Self {
            length: u16::try_from(kept).unwrap_or(u16::MAX),
            bytes,
        }
    }

    /// The text; empty when it is not valid UTF-8.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes).unwrap_or_default()
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

/// Wire form of a [`Freshness`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireFreshness {
    term: u64,
    position: u64,
}

impl From<Freshness> for WireFreshness {
    fn from(freshness: Freshness) -> Self {
        Self {
            term: freshness.term.0,
            position: freshness.position.0,
        }
    }
}

impl From<WireFreshness> for Freshness {
    fn from(wire: WireFreshness) -> Self {
        Self::new(Term(wire.term), LogPosition(wire.position))
    }
}

/// A freshness that may be absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum OptionalFreshness {
    /// No freshness is requested or known.
    #[deku(id = "0")]
    Absent,
    /// A freshness is requested or known.
    #[deku(id = "1")]
    Present(WireFreshness),
}

impl From<Option<Freshness>> for OptionalFreshness {
    fn from(freshness: Option<Freshness>) -> Self {
        freshness.map_or(Self::Absent, |freshness| Self::Present(freshness.into()))
    }
}

impl From<OptionalFreshness> for Option<Freshness> {
    fn from(wire: OptionalFreshness) -> Self {
        match wire {
            OptionalFreshness::Absent => None,
            OptionalFreshness::Present(freshness) => Some(freshness.into()),
        }
    }
}
