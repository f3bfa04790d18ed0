//! Request-reply calls between nodes: each request has exactly one reply.

use deku::prelude::*;

use crate::field::{Text, WireFreshness};
use crate::settings::SettingsExchange;

/// A request from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum CallRequest {
    /// Asks the owner of a back end for the back end's current term, position and role. The owner must
    /// query the back end after this call arrived, instead of answering from an earlier result.
    #[deku(id = "1")]
    QueryBackend {
        /// The back end.
        backend: Text,
    },
    /// Announces which settings the sender holds and requests newer ones.
    #[deku(id = "2")]
    ExchangeSettings(SettingsExchange),
    /// Announces a newer term of a group.
    #[deku(id = "4")]
    AnnounceTerm {
        /// The group.
        group: Text,
        /// Its newest term.
        term: u64,
        /// The primary of that term.
        primary: Text,
    },
    /// Transfers ownership of a back end to the receiver, because the sender is leaving or has learnt
    /// that the receiver is the preferred owner.
    #[deku(id = "5")]
    HandOver {
        /// The back end.
        backend: Text,
    },
    /// Forwards a caller's `CancelRequest` that reached a proxy other than the one that holds its
    /// session.
    #[deku(id = "6")]
    CancelStatement {
        /// The process ID from the session's `BackendKeyData`.
        process: u32,
        /// The secret key from the same message.
        secret: u32,
    },
}

/// The reply to a [`CallRequest`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", id_type = "u8")]
pub enum CallReply {
    /// The request succeeded and returns no data.
    #[deku(id = "1")]
    Done,
    /// The request was refused; the [`stairward_types::ResultCode`] gives the reason.
    #[deku(id = "2")]
    Refused {
        /// The result code.
        code: u16,
    },
    /// The state that a back end reported.
    #[deku(id = "3")]
    Backend {
        /// Its term and applied log position: the state that reads on it observe.
        freshness: WireFreshness,
        /// 1 when it reports itself as the primary, else 0.
        is_primary: u8,
        /// Its term and received log position: what it has on disk, though reads may not observe it
        /// yet. Never behind the applied position.
        received: WireFreshness,
    },
    /// The settings that the replying node holds, with the update that the requester lacks.
    #[deku(id = "4")]
    Settings(SettingsExchange),
}
