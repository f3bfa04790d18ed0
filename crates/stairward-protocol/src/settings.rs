//! Exchanges of settings between nodes: each side tells what it holds and sends what the other lacks.

use std::time::Duration;

use deku::prelude::*;

use crate::field::ByteString;

/// Stands for an age that cannot be told.
const UNKNOWN_AGE_MILLISECONDS: u32 = u32::MAX;

/// An age in whole milliseconds, rounded up, or none.
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

/// What the speaker wants to be sent when it holds an older revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum WireWantedContent {
    /// The edits it lacks, or the whole tree when they are not kept any more.
    #[deku(id = "0")]
    Newer,
    /// The whole tree.
    #[deku(id = "1")]
    WholeTree,
    /// Nothing for now.
    #[deku(id = "2")]
    Nothing,
}

/// What the speaker holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireSettingsDigest {
    /// The revision in force; 0 for none.
    pub revision: u64,
    /// How long ago that revision was the newest in the store.
    pub store_read: WireAge,
    /// How long ago a watcher of the store was known to be at work.
    pub watcher_heard: WireAge,
    /// Members in view when the speaker's settings were last proved current; 0 when they never were.
    pub fleet_size: u32,
    /// 1 when the speaker serves callers.
    pub ready: u8,
    /// 1 when the speaker watches the store.
    pub watching: u8,
    /// What it wants to be sent.
    pub wanted: WireWantedContent,
}

/// Settings on the wire.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct WireSettingsUpdate {
    /// The lowest revision that the edits can be applied to; 0 for a whole tree.
    pub after: u64,
    /// The revision reached.
    pub revision: u64,
    /// 1 for a whole tree, 0 for edits.
    pub whole: u8,
    /// JSON, as the settings crate writes it.
    pub document: ByteString,
}

/// Settings that may be absent.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum OptionalSettingsUpdate {
    /// Nothing newer, or nothing that can be sent now.
    #[deku(id = "0")]
    Absent,
    /// What the other side lacks.
    #[deku(id = "1")]
    Present(WireSettingsUpdate),
}

/// One side of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct SettingsExchange {
    /// What the speaker holds.
    pub digest: WireSettingsDigest,
    /// What the other side may lack.
    pub update: OptionalSettingsUpdate,
}
