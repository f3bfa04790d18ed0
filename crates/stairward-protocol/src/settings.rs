//! Exchange of settings between nodes: each side announces the revision it holds and sends the update
//! that the other lacks.

use std::time::Duration;

use deku::prelude::*;

use crate::field::ByteString;

/// Encodes an unknown age, and any age that does not fit.
const UNKNOWN_AGE_MILLISECONDS: u32 = u32::MAX;

/// An optional age in whole milliseconds, rounded up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireAge {
    milliseconds: u32,
}

impl From<Option<Duration>> for WireAge {
    fn from(age: Option<Duration>) -> Self {
        let rounded_up = |age: Duration| age.as_micros().div_ceil(1_000);
        let milliseconds = age
            .and_then(|age| u32::try_from(rounded_up(age)).ok())
            .unwrap_or(UNKNOWN_AGE_MILLISECONDS);
        Self { milliseconds }
    }
}

impl From<WireAge> for Option<Duration> {
    fn from(wire: WireAge) -> Self {
        let is_known = wire.milliseconds != UNKNOWN_AGE_MILLISECONDS;
        is_known.then(|| Duration::from_millis(wire.milliseconds.into()))
    }
}

/// Which update the sender requests when it holds an older revision than the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireWantedContent {
    /// The edits it lacks, or the whole tree when the history no longer contains all of them.
    #[deku(id = "0")]
    Newer,
    /// The whole tree.
    #[deku(id = "1")]
    WholeTree,
    /// No update at present.
    #[deku(id = "2")]
    Nothing,
}

/// State of the sender's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireSettingsDigest {
    /// The revision in force; 0 for none.
    pub revision: u64,
    /// Time since that revision was known to be the newest in the store.
    pub store_read: WireAge,
    /// Time since a watcher of the store was known to be active.
    pub watcher_heard: WireAge,
    /// Number of known members when the sender's settings were last confirmed as current; 0 when they
    /// never were.
    pub fleet_size: u32,
    /// 1 when the sender serves callers, else 0.
    pub ready: u8,
    /// 1 when the sender watches the store, else 0.
    pub watching: u8,
    /// The update that the sender requests.
    pub wanted: WireWantedContent,
}

/// An update of the settings: edits or a whole tree.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireSettingsUpdate {
    /// The lowest revision that the edits can be applied to; 0 for a whole tree.
    pub after: u64,
    /// The revision after applying the update.
    pub revision: u64,
    /// 1 for a whole tree, 0 for edits.
    pub whole: u8,
    /// The update as JSON, as the settings crate encodes it.
    pub document: ByteString,
}

/// A [`WireSettingsUpdate`] that may be absent.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum OptionalSettingsUpdate {
    /// There is nothing newer, or nothing that can be sent at present.
    #[deku(id = "0")]
    Absent,
    /// The update that the receiver lacks.
    #[deku(id = "1")]
    Present(WireSettingsUpdate),
}

/// One side's message in an exchange.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct SettingsExchange {
    /// State of the sender's settings.
    pub digest: WireSettingsDigest,
    /// The update that the receiver may lack.
    pub update: OptionalSettingsUpdate,
}
