//! Short questions between nodes, each with one answer.

use deku::prelude::*;

use crate::field::{Text, WireFreshness};
use crate::settings::SettingsExchange;

/// What one node asks of another.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum CallRequest {
    /// Asks the owner of a back end to ask it, now, for its term, position and role. The owner must
    /// send its question to the back end after this call arrived.
    #[deku(id = "1")]
    QueryBackend {
        /// The back end.
        backend: Text,
    },
    /// Tells what settings the speaker holds, and asks for newer ones.
    #[deku(id = "2")]
    ExchangeSettings(SettingsExchange),
    /// Tells of a newer term of a group.
    #[deku(id = "4")]
    AnnounceTerm {
        /// The group.
        group: Text,
        /// Its newest term.
        term: u64,
        /// The primary of that term.
        primary: Text,
    },
    /// The speaker is leaving or has learnt of a better owner, and gives the back end to the node it
    /// asks.
    #[deku(id = "5")]
    HandOver {
        /// The back end.
        backend: Text,
    },
    /// A caller's `CancelRequest` that reached another proxy than the one its session is on.
    #[deku(id = "6")]
    CancelStatement {
        /// The process number from the session's `BackendKeyData`.
        process: u32,
        /// The secret from the same message.
        secret: u32,
    },
}

/// The answer to a [`CallRequest`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum CallReply {
    /// Done, nothing to say.
    #[deku(id = "1")]
    Done,
    /// The node asked cannot answer; a [`stairward_types::ResultCode`] says why.
    #[deku(id = "2")]
    Refused {
        /// The result code.
        code: u16,
    },
    /// A back end's own answer.
    #[deku(id = "3")]
    Backend {
        /// Its term and applied position: what reads on it see.
        freshness: WireFreshness,
        /// 1 when it says it is the primary.
        is_primary: u8,
        /// Its term and received position: what it holds on its disk, though reads may not see it
        /// yet. Never before the applied one.
        received: WireFreshness,
    },
    /// What settings the asked node holds, and what the asking one lacks.
    #[deku(id = "4")]
    Settings(SettingsExchange),
}
