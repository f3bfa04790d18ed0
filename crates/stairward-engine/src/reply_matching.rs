//! Tells the reply to a command from a repetition of an earlier reply. Nothing in a reply names the command that it
//! answers, and a back end may send a reply again at any later moment.
//!
//! A repetition is an exact copy. Hence a reply is certainly new if its signature, or its content at this log
//! position, has not been received on the connection before.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use stairward_types::{Freshness, Time};

use crate::reply::{BackendReply, TransactionStatus};

/// A connection that has received this many signatures is not used again, which bounds the memory for them.
const SIGNATURES_KEPT: usize = 4_096;
/// Number of different unsigned replies and errors remembered for each connection. Beyond that, every new one counts
/// as a possible repetition.
const CONTENTS_KEPT: usize = 64;

/// Which checks of replies are in force. Tests switch them off one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyChecks {
    /// A signature that was received before marks a repetition.
    pub signatures: bool,
    /// A reply must have the shape that its command leads to.
    pub shapes: bool,
    /// An unsigned reply or an error at an earlier position than the last of the same content is a repetition.
    pub positions: bool,
    /// An error that may be a repetition is no evidence that a statement did not run.
    pub errors: bool,
    /// A success of one of the proxy's own commands that may be a repetition is confirmed.
    pub confirmations: bool,
}

impl Default for ReplyChecks {
    fn default() -> Self {
        Self {
            signatures: true,
            shapes: true,
            positions: true,
            errors: true,
            confirmations: true,
        }
    }
}

/// Why a reply is doubted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyDoubt {
    /// No command awaits a reply.
    Unsolicited,
    /// Its signature was received before.
    RepeatedSignature,
    /// It is signed, but the command is the proxy's own.
    UnexpectedSignature,
    /// It has no signature, but the command is a client's statement.
    MissingSignature,
    /// The command can't lead to this transaction status or these rows.
    UnexpectedShape,
    /// The last reply of the same content showed a later log position.
    EarlierPosition,
    /// It equals an earlier reply.
    PossibleRepetition,
}

impl ReplyDoubt {
    /// The name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unsolicited => "unsolicited",
            Self::RepeatedSignature => "repeated_signature",
            Self::UnexpectedSignature => "unexpected_signature",
            Self::MissingSignature => "missing_signature",
            Self::UnexpectedShape => "unexpected_shape",
            Self::EarlierPosition => "earlier_position",
            Self::PossibleRepetition => "possible_repetition",
        }
    }
}

/// The reply that a connection awaits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expected {
    /// None.
    Nothing,
    /// The reply to a command of the proxy itself.
    Internal {
        /// The transaction status after it.
        status: TransactionStatus,
        /// Whether it reports the status of a member.
        is_report: bool,
    },
    /// The reply to a client's statement.
    Statement {
        /// The transaction status after a success, if it is known.
        status: Option<TransactionStatus>,
        /// Whether the statement may be repeated if its reply is not accepted.
        is_repeatable: bool,
    },
}

/// What a reply is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The awaited reply.
    Answer,
    /// The awaited reply, or the repetition of an equal one.
    Ambiguous,
    /// A repetition; the awaited reply is still to come.
    Repetition(ReplyDoubt),
    /// Neither the awaited reply nor a known repetition: the connection's replies can't be matched any more.
    Mismatch(ReplyDoubt),
}

impl Verdict {
    /// Whether the connection is closed after such a reply.
    pub const fn ends_connection(self, reply: &BackendReply) -> bool {
        match self {
            Self::Answer | Self::Repetition(_) => false,
            Self::Ambiguous => reply.result.is_err(),
            Self::Mismatch(_) => true,
        }
    }

    /// Why the reply is not accepted. A success that may be a repetition is usual where nothing is written.
    pub const fn doubt(self, reply: &BackendReply) -> Option<ReplyDoubt> {
        match self {
            Self::Answer => None,
            Self::Ambiguous if reply.result.is_ok() => None,
            Self::Ambiguous => Some(ReplyDoubt::PossibleRepetition),
            Self::Repetition(doubt) | Self::Mismatch(doubt) => Some(doubt),
        }
    }
}

/// How far the log was in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    position: Option<Freshness>,
    received: Option<Freshness>,
}

impl Progress {
    fn of(reply: &BackendReply) -> Self {
        Self {
            position: reply.position,
            received: reply.member.map(|member| member.received),
        }
    }

    /// Whether it shows more of the log than an earlier reply in any respect.
    fn exceeds(self, earlier: Self) -> bool {
        log_order(self.position) > log_order(earlier.position)
            || log_order(self.received) > log_order(earlier.received)
    }
}

fn log_order(freshness: Option<Freshness>) -> Option<(u64, u64)> {
    freshness.map(|at| (at.term.0, at.position.0))
}

/// Whether a reply without a signature may be a repetition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Novelty {
    /// It differs from all earlier replies.
    New,
    /// It equals an earlier reply.
    Equal,
    /// The last reply of the same content showed more of the log.
    Earlier,
}

/// The replies received on one connection.
#[derive(Debug, Default)]
pub(crate) struct ReplyHistory {
    /// Digests of all signatures received.
    signatures: BTreeSet<u64>,
    /// For each unsigned content, as a digest, how far the log was in its last reply.
    contents: BTreeMap<u64, Progress>,
    /// When the last reply was received.
    last_at: Option<Time>,
}

impl ReplyHistory {
    /// Time since the last reply, which this one replaces.
    pub fn record_arrival(&mut self, now: Time) -> Option<Duration> {
        let last_at = self.last_at.replace(now);
        last_at.map(|at| now.since(at))
    }

    /// Whether it has no room for further signatures.
    pub fn is_full(&self) -> bool {
        self.signatures.len() >= SIGNATURES_KEPT
    }

    /// Judges a reply and remembers it.
    pub fn judge(
        &mut self,
        checks: ReplyChecks,
        expected: Expected,
        reply: &BackendReply,
    ) -> Verdict {
        match &reply.result {
            Ok(Some(signature)) => self.judge_signed(checks, expected, signature, reply.status),
            Ok(None) => {
                let novelty = self.remember_content(checks, reply);
                judge_unsigned(checks, expected, reply, novelty)
            }
            Err(_) => {
                let novelty = self.remember_content(checks, reply);
                judge_error(checks, expected, novelty)
            }
        }
    }

    fn judge_signed(
        &mut self,
        checks: ReplyChecks,
        expected: Expected,
        signature: &str,
        status: TransactionStatus,
    ) -> Verdict {
        let is_new = self.remember_signature(signature);
        match expected {
            _ if !is_new && checks.signatures => Verdict::Repetition(ReplyDoubt::RepeatedSignature),
            Expected::Nothing => Verdict::Mismatch(ReplyDoubt::Unsolicited),
            Expected::Statement {
                status: Some(awaited),
                ..
            } if checks.shapes && awaited != status => {
                Verdict::Mismatch(ReplyDoubt::UnexpectedShape)
            }
            Expected::Internal { .. } if checks.shapes => {
                Verdict::Mismatch(ReplyDoubt::UnexpectedSignature)
            }
            Expected::Statement { .. } | Expected::Internal { .. } => Verdict::Answer,
        }
    }

    /// Remembers a signature; returns whether it is new.
    fn remember_signature(&mut self, signature: &str) -> bool {
        self.signatures.insert(digest_of(signature))
    }

    /// Remembers an unsigned reply or an error; returns whether it may be a repetition.
    fn remember_content(&mut self, checks: ReplyChecks, reply: &BackendReply) -> Novelty {
        let progress = Progress::of(reply);
        let digest = content_digest(reply);
        let Some(last) = self.contents.get_mut(&digest) else {
            if self.contents.len() == CONTENTS_KEPT {
                return Novelty::Equal;
            }
            self.contents.insert(digest, progress);
            return Novelty::New;
        };
        if progress.exceeds(*last) {
            *last = progress;
            Novelty::New
        } else if progress == *last {
            Novelty::Equal
        } else if checks.positions {
            Novelty::Earlier
        } else {
            Novelty::New
        }
    }
}

fn judge_unsigned(
    checks: ReplyChecks,
    expected: Expected,
    reply: &BackendReply,
    novelty: Novelty,
) -> Verdict {
    match expected {
        // A transaction that nobody knows of may be open.
        Expected::Nothing if checks.shapes && reply.status != TransactionStatus::Idle => {
            Verdict::Mismatch(ReplyDoubt::Unsolicited)
        }
        Expected::Nothing => judge_unsolicited(novelty),
        Expected::Statement { .. } if checks.shapes => {
            Verdict::Repetition(ReplyDoubt::MissingSignature)
        }
        Expected::Internal { status, is_report }
            if checks.shapes && (reply.status != status || reply.member.is_some() != is_report) =>
        {
            Verdict::Mismatch(ReplyDoubt::UnexpectedShape)
        }
        Expected::Statement { .. } | Expected::Internal { .. } => match novelty {
            Novelty::New => Verdict::Answer,
            Novelty::Equal if checks.confirmations => Verdict::Ambiguous,
            Novelty::Equal => Verdict::Answer,
            Novelty::Earlier => Verdict::Mismatch(ReplyDoubt::EarlierPosition),
        },
    }
}

fn judge_error(checks: ReplyChecks, expected: Expected, novelty: Novelty) -> Verdict {
    match (expected, novelty) {
        (Expected::Nothing, _) => judge_unsolicited(novelty),
        (_, Novelty::New) => Verdict::Answer,
        (_, Novelty::Equal) if checks.errors => Verdict::Ambiguous,
        (_, Novelty::Equal) => Verdict::Answer,
        // Closing the connection would leave the outcome unknown.
        (
            Expected::Statement {
                is_repeatable: false,
                ..
            },
            Novelty::Earlier,
        ) => Verdict::Repetition(ReplyDoubt::EarlierPosition),
        (_, Novelty::Earlier) => Verdict::Mismatch(ReplyDoubt::EarlierPosition),
    }
}

fn judge_unsolicited(novelty: Novelty) -> Verdict {
    match novelty {
        Novelty::New => Verdict::Mismatch(ReplyDoubt::Unsolicited),
        Novelty::Equal | Novelty::Earlier => Verdict::Repetition(ReplyDoubt::Unsolicited),
    }
}

/// A digest of all that distinguishes an unsigned reply or an error, other than how far the log was.
fn content_digest(reply: &BackendReply) -> u64 {
    let error = reply.result.as_ref().err();
    let error = error.map(|error| (error.code, error.text.as_str()));
    let member = reply
        .member
        .map(|member| (member.role, member.term, member.held));
    let has_position = reply.position.is_some();
    digest_of(&(error, reply.status, member, has_position))
}

fn digest_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
