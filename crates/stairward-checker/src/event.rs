//! The events that make up a history.

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
    /// A request of a caller, unique in the history. A whole transaction is one request: all its
    /// statements carry the same number in a comment such as `/*request='7'*/`.
    RequestId
}
history_number! {
    /// A caller's session. It outlives connections: a client that reconnects, even to another
    /// proxy, continues its session.
    SessionId
}
history_number! {
    /// A transaction of a back end, unique on that back end.
    TransactionId
}

/// The kind of a caller's request.
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
    /// The back end itself answered with an error, for example because a slot was already taken.
    Rejected,
    /// Refused with an error saying that the request was not run.
    NotRun,
    /// Answered with an error saying that the outcome is unknown.
    OutcomeUnknown,
    /// The connection ended without an answer.
    ConnectionLost,
    /// The caller disconnected before it received an answer.
    CallerLeft,
}

/// A row that a request writes.
///
/// The versions of a key must increase in the order in which its writes take effect. The simplest
/// way is to let only one session write a key and to number its writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWritten {
    /// Identifies the row in the whole history.
    pub key: String,
    /// The version written.
    pub version: u64,
}

/// A row that a request read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowSeen {
    /// Identifies the row in the whole history.
    pub key: String,
    /// The version read; 0 if the row did not exist.
    pub version: u64,
}

/// An event of a run.
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
    /// A proxy forwarded a request to the owner of a back end. Recorded only where it can be
    /// observed.
    RequestForwarded {
        /// The request.
        request: RequestId,
        /// The owner.
        owner: NodeId,
    },
    /// A request ended, as seen by its caller.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: Outcome,
        /// The number of stairward's result code, when one was given.
        code: Option<u16>,
        /// The request number that the answer contains, if the statement returns it.
        echo: Option<RequestId>,
        /// How many rows the complete answer has, if known in advance.
        rows_expected: Option<u64>,
        /// How many rows were received.
        rows_received: u64,
        /// The rows whose version the answer contained.
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
        /// The back end's transaction, which may be an implicit one.
        transaction: TransactionId,
        /// Whether the statement runs in an implicit transaction of its own, which ends with it.
        autocommit: bool,
        /// The request named in the statement's comment; none for the proxies' internal statements.
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
        /// Last position of the log that the new term continues. Later positions of older terms are
        /// lost.
        log_start: LogPosition,
        /// The term whose log it continues; if none, the term elected before it.
        continues: Option<Term>,
    },
    /// An operator's change of a back end's admin state was accepted.
    BackendMarked {
        /// The back end.
        backend: BackendId,
        /// The new admin state.
        #[serde(with = "admin_state")]
        state: AdminState,
    },
    /// A proxy's process started.
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
    /// A fault that isolates a proxy from its peers began: the proxy is paused or its network is
    /// cut off.
    ProxyFaultBegan {
        /// The proxy.
        proxy: NodeId,
    },
    /// A fault that isolated a proxy from its peers ended.
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
    /// A revision of the settings came into force on a proxy.
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
