//! What goes into the duty and what comes out.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, Freshness, Revision, ServiceName};

/// The version of the duty's record in the store; 0 where there is none yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RecordVersion(pub u64);

/// A number that rises with every decision. A promotion with a lower one than was seen is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// The duty's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyRecord {
    /// The node that wrote it.
    pub holder: String,
    /// The service it was written for.
    pub service: ServiceName,
}

/// What use of a back end showed a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderEvidence {
    /// It answers.
    Answered,
    /// Nothing listens at its address.
    Refused,
    /// It leaves questions without an answer.
    Silent,
}

/// A member as discovery shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Its role as it sees itself.
    pub role: BackendRole,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// Whether discovery lists it at the moment.
    pub is_listed: bool,
    /// Grows with every change of its description.
    pub revision: u64,
}

impl MemberState {
    /// A member that discovery lists.
    #[must_use]
    pub const fn listed(role: BackendRole, is_leaving: bool, revision: Revision) -> Self {
        Self {
            role,
            is_leaving,
            is_listed: true,
            revision: revision.0,
        }
    }
}

/// A service's members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupState {
    /// Members by id.
    pub members: BTreeMap<BackendId, MemberState>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
}

/// What a member says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its role.
    pub role: BackendRole,
    /// How much of the log it has received.
    pub received: Freshness,
}

/// How a promotion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// It will be carried out, or was.
    Accepted,
    /// A higher token was seen, or the back end does not run.
    Refused,
    /// It was not carried out and may be asked for again.
    Throttled,
    /// No answer: it may be carried out at any later time.
    Unknown,
}

/// What the duty hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The services and their members, whole.
    Groups(BTreeMap<ServiceName, GroupState>),
    /// How many nodes there are.
    Nodes(u32),
    /// Use of a back end showed something.
    Evidence(BackendId, LeaderEvidence),
    /// Which back ends each other node finds silent.
    Suspicions(BTreeMap<String, BTreeSet<BackendId>>),
    /// The record, as a watch or an answer shows it.
    Record(RecordVersion, Option<DutyRecord>),
    /// The record was written.
    RecordWritten(RecordVersion),
    /// The record was not written, or that is not known.
    RecordFailed,
    /// A member answered, or did not.
    Status(BackendId, Option<MemberStatus>),
    /// A promotion was answered, or was not.
    Promotion(ServiceName, FencingToken, PromotionOutcome),
    /// Time has passed; see [`crate::FailoverDuty::next_wake`].
    Tick,
}

/// A step of the duty, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A primary is to be replaced.
    Began {
        /// Why.
        reason: &'static str,
    },
    /// The attempt came to nothing.
    GaveUp {
        /// Why.
        reason: &'static str,
    },
    /// A replica was chosen.
    Chose {
        /// The replica.
        target: BackendId,
        /// The decision's token.
        token: FencingToken,
        /// How much of the log it has received, where it said so.
        received: Option<Freshness>,
        /// Members that answered.
        answers: usize,
    },
    /// A promotion was answered, or was not.
    Answered {
        /// The decision's token.
        token: FencingToken,
        /// How.
        outcome: PromotionOutcome,
    },
}

/// What the duty wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write the record if its version is still this one, and answer with [`Event::RecordWritten`],
    /// [`Event::Record`] and [`Event::RecordFailed`] or the latter alone.
    WriteRecord(RecordVersion, DutyRecord),
    /// Tell the other nodes which back ends this node finds silent.
    Report(BTreeSet<BackendId>),
    /// Ask a member for its status.
    Ask(BackendId),
    /// Keep a replica from receiving in any term below this one, and ask it for its status.
    Hold(BackendId, stairward_types::Term),
    /// Let a replica receive again.
    Resume(BackendId),
    /// Promote a back end.
    Promote(ServiceName, BackendId, FencingToken),
    /// A step for the log.
    Log(ServiceName, Action),
}
