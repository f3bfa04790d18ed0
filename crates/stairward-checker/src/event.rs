//! What a history is made of.

use serde::{Deserialize, Serialize};
use stairward_types::{AdminState, BackendId, GroupId, LogPosition, NodeId, Revision, Term};

macro_rules! history_number {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

history_number! {
    /// One request of a caller, unique in the history. A whole transaction is one request: all its
    /// statements carry the same number, in a comment `/*request='7'*/`.
    RequestId
}
history_number! {
    /// One person's session. It stays the same when the client reconnects, to whichever proxy.
    SessionId
}
history_number! {
    /// A transaction of a back end, unique on that back end.
    TransactionId
}

/// What kind of request a caller made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerTransactionKind {
    /// One statement that only reads.
    Read,
    /// One statement that writes.
    Write,
    /// Several statements between `BEGIN` and `COMMIT`.
    Transaction,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered with success.
    Answered,
    /// The back end answered with an error of its own, such as a taken slot.
    Rejected,
    /// Refused as not run.
    NotRun,
    /// Told that the outcome is unknown.
    OutcomeUnknown,
    /// The connection ended without an answer.
    ConnectionLost,
    /// The caller itself left before it had its answer.
    CallerLeft,
}

/// A row that a request writes.
///
/// Versions of one key must grow in the order in which its writes take effect. The simplest way is
/// to let only one session write a key and to count its writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWritten {
    /// Names the row in the whole history.
    pub key: String,
    /// The version written.
    pub version: u64,
}

/// A row that a request read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowSeen {
    /// Names the row in the whole history.
    pub key: String,
    /// The version seen; 0 when the row was not there.
    pub version: u64,
}

/// Something that happened in a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A caller sent a request.
    RequestSent {
        /// The request.
        request: RequestId,
        /// The session it belongs to.
        session: SessionId,
        /// The proxy it was sent to.
        proxy: NodeId,
        /// The group it is for.
        group: GroupId,
        /// Its kind.
        kind: CallerTransactionKind,
        /// Whether running it twice is harmless.
        repeatable: bool,
        /// The request key it carries, if any.
        request_key: Option<String>,
        /// What it writes.
        writes: Vec<RowWritten>,
    },
    /// A proxy forwarded a request to the owner of a back end. Recorded where it can be observed.
    RequestForwarded {
        /// The request.
        request: RequestId,
        /// The owner.
        owner: NodeId,
    },
    /// A request ended for its caller.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
        /// The number of stairward's result code, when one was given.
        code: Option<u16>,
        /// The request number that the answer itself carries, when the statement asked for it.
        echo: Option<RequestId>,
        /// How many rows the whole answer must have, when known beforehand.
        rows_expected: Option<u64>,
        /// How many rows came.
        rows_received: u64,
        /// Rows whose version was seen.
        reads: Vec<RowSeen>,
    },
    /// A back end ran a statement of a request.
    StatementRan {
        /// The group.
        group: GroupId,
        /// The back end.
        backend: BackendId,
        /// The back end's connection.
        connection: u64,
        /// The back end's transaction, implicit ones included.
        transaction: TransactionId,
        /// Whether the transaction is the statement's own and ends with it.
        autocommit: bool,
        /// The request named in the statement's comment; none for the proxies' own statements.
        request: Option<RequestId>,
    },
    /// A back end committed a transaction that wrote.
    Committed {
        /// The group.
        group: GroupId,
        /// The back end.
        backend: BackendId,
        /// The back end's transaction.
        transaction: TransactionId,
        /// The term in which it committed.
        term: Term,
        /// The position of the commit in that term's log.
        position: LogPosition,
    },
    /// A back end rolled a transaction back.
    RolledBack {
        /// The back end.
        backend: BackendId,
        /// The back end's transaction.
        transaction: TransactionId,
    },
    /// A group elected a primary.
    Elected {
        /// The group.
        group: GroupId,
        /// The new term.
        term: Term,
        /// The new primary.
        backend: BackendId,
        /// Last position of the log it continues. Later positions of older terms are lost.
        log_start: LogPosition,
        /// The term whose log it continues; none for the term elected before it.
        continues: Option<Term>,
    },
    /// An operator's mark on a back end was accepted.
    BackendMarked {
        /// The back end.
        backend: BackendId,
        /// The mark.
        #[serde(with = "admin_state")]
        state: AdminState,
    },
    /// A process of a proxy started.
    ProxyStarted {
        /// The proxy.
        proxy: NodeId,
    },
    /// A planned stop of a proxy began.
    StopBegan {
        /// The proxy.
        proxy: NodeId,
    },
    /// A planned stop of a proxy ended and its process exited.
    StopEnded {
        /// The proxy.
        proxy: NodeId,
    },
    /// A proxy's process was killed.
    ProxyKilled {
        /// The proxy.
        proxy: NodeId,
    },
    /// A fault begins to keep a proxy from its peers: it is paused or cut off.
    ProxyFaultBegan {
        /// The proxy.
        proxy: NodeId,
    },
    /// Such a fault of a proxy ended.
    ProxyFaultEnded {
        /// The proxy.
        proxy: NodeId,
    },
    /// The platform's store became unreachable or slow.
    StoreFaultBegan,
    /// The platform's store works again.
    StoreFaultEnded,
    /// The platform's store accepted a revision of the settings.
    SettingsAccepted {
        /// The revision.
        revision: Revision,
    },
    /// A revision came into force on a proxy.
    SettingsApplied {
        /// The proxy.
        proxy: NodeId,
        /// The revision.
        revision: Revision,
    },
}

mod admin_state {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use stairward_types::AdminState;

    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    enum Mark {
        Joining,
        Active,
        Leaving,
    }

    pub(super) fn serialize<S: Serializer>(
        state: &AdminState,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mark = match state {
            AdminState::Joining => Mark::Joining,
            AdminState::Active => Mark::Active,
            AdminState::Leaving => Mark::Leaving,
        };
        mark.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<AdminState, D::Error> {
        Ok(match Mark::deserialize(deserializer)? {
            Mark::Joining => AdminState::Joining,
            Mark::Active => AdminState::Active,
            Mark::Leaving => AdminState::Leaving,
        })
    }
}
