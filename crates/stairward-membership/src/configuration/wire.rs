//! Conversion between dissemination messages and their wire format.

use stairward_protocol::ByteString;
use stairward_protocol::settings::{
    OptionalSettingsUpdate, SettingsExchange, WireSettingsDigest, WireSettingsUpdate,
    WireWantedContent,
};
use stairward_types::Revision;

use super::digest::{SettingsDigest, WantedContent};
use super::message::Update;

/// Converts one side of an exchange to its wire format.
#[must_use]
pub fn to_wire(digest: &SettingsDigest, update: Option<&Update>) -> SettingsExchange {
    let update = update.map_or(OptionalSettingsUpdate::Absent, |update| {
        OptionalSettingsUpdate::Present(update_to_wire(update))
    });
    SettingsExchange {
        digest: digest_to_wire(digest),
        update,
    }
}

/// Converts one side of an exchange from its wire format.
#[must_use]
pub fn from_wire(exchange: SettingsExchange) -> (SettingsDigest, Option<Update>) {
    let update = match exchange.update {
        OptionalSettingsUpdate::Absent => None,
        OptionalSettingsUpdate::Present(update) => Some(update_from_wire(update)),
    };
    (digest_from_wire(&exchange.digest), update)
}

fn digest_to_wire(digest: &SettingsDigest) -> WireSettingsDigest {
    WireSettingsDigest {
        revision: digest.revision.0,
        store_read: digest.store_read.into(),
        watcher_heard: digest.watcher_heard.into(),
        fleet_size: digest.fleet_size,
        ready: u8::from(digest.ready),
        watching: u8::from(digest.watching),
        wanted: match digest.wanted {
            WantedContent::Newer => WireWantedContent::Newer,
            WantedContent::WholeTree => WireWantedContent::WholeTree,
            WantedContent::Nothing => WireWantedContent::Nothing,
        },
    }
}

fn digest_from_wire(wire: &WireSettingsDigest) -> SettingsDigest {
    SettingsDigest {
        revision: Revision(wire.revision),
        store_read: wire.store_read.into(),
        watcher_heard: wire.watcher_heard.into(),
        fleet_size: wire.fleet_size,
        ready: wire.ready != 0,
        watching: wire.watching != 0,
        wanted: match wire.wanted {
            WireWantedContent::Newer => WantedContent::Newer,
            WireWantedContent::WholeTree => WantedContent::WholeTree,
            WireWantedContent::Nothing => WantedContent::Nothing,
        },
    }
}

fn update_to_wire(update: &Update) -> WireSettingsUpdate {
    WireSettingsUpdate {
        after: update.after.0,
        revision: update.revision.0,
        whole: u8::from(update.whole),
        document: ByteString::new(update.document.to_vec()),
    }
}

fn update_from_wire(wire: WireSettingsUpdate) -> Update {
    Update {
        after: Revision(wire.after),
        revision: Revision(wire.revision),
        whole: wire.whole != 0,
        document: wire.document.bytes.into(),
    }
}
