//! Messages between the members of a group.

use stairward_types::{Freshness, Term};

use super::log::LogRecord;
use crate::sql::Tables;

/// A message between two members.
#[derive(Debug, Clone)]
pub enum Message {
    /// The primary's heartbeat, with log records if there are any to send.
    Append {
        /// The primary's term.
        term: Term,
        /// The record before the first one sent; the receiver must hold it.
        previous: Freshness,
        /// The records.
        records: Vec<LogRecord>,
        /// All members hold the log up to here; it may be trimmed.
        trim: Freshness,
    },
    /// A whole copy of the data, for a replica whose next record has been trimmed.
    Snapshot {
        /// The primary's term.
        term: Term,
        /// The last record that the copy includes.
        end: Freshness,
        /// The data.
        tables: Tables,
    },
    /// The receiver's log matches the primary's up to a record.
    Appended {
        /// The receiver's term.
        term: Term,
        /// The last matching record.
        matched: Freshness,
    },
    /// The receiver does not hold the record before those sent.
    Mismatch {
        /// The receiver's term.
        term: Term,
        /// The last record that the receiver holds before the one asked for.
        hint: Freshness,
    },
    /// Asks whether the receiver would vote for the sender, which has not raised its term yet.
    PreVote {
        /// The term that the sender would stand in.
        term: Term,
        /// The last record of the sender's log.
        last: Freshness,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The receiver's term.
        term: Term,
        /// The term asked for.
        proposed: Term,
        /// Whether it would vote so.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's term.
        term: Term,
        /// The last record of the sender's log.
        last: Freshness,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether it voted for the sender.
        granted: bool,
    },
    /// Tells the receiver to stand for election at once (Raft's leadership transfer).
    TimeoutNow {
        /// The primary's term.
        term: Term,
    },
}

impl Message {
    /// The sender's term, for messages that carry it. A pre-vote only proposes one.
    #[must_use]
    pub const fn term(&self) -> Option<Term> {
        match self {
            Self::Append { term, .. }
            | Self::Snapshot { term, .. }
            | Self::Appended { term, .. }
            | Self::Mismatch { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::TimeoutNow { term } => Some(*term),
            Self::PreVote { .. } => None,
        }
    }
}
