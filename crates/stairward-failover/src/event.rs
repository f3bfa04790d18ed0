//! What goes into the duty and what comes out.

use std::collections::{BTreeMap, BTreeSet};

use std::time::Duration;

use stairward_types::{
    BackendId, BackendRole, Freshness, MemberStatus, NodeId, ServiceName, StoreRevision, Term,
};

use crate::demotion::DemotionProof;
use crate::placement::Placement;

/// The version of a service's record: the revision of the store at which it was written. Where there is none yet, the
/// revision 0 of the copy of the store that shows none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RecordVersion(pub StoreRevision);

impl RecordVersion {
    /// That a copy of the store shows no record.
    #[must_use]
    pub const fn absent_in_era(era: u64) -> Self {
        Self(StoreRevision::new(era, 0))
    }
}

/// A number that rises with every decision. A promotion with a lower one than was seen is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// A service's record in the store: who acts on its failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailoverRecord {
    /// The node that wrote it.
    pub holder: String,
    /// The newest term that a promotion was accepted for, as far as its holders noted it. Its leader may be out of
    /// reach, and members that never heard of it would let the next holder announce it again.
    pub term: Term,
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
    /// It calls itself primary and lacks commits that it had answered with.
    LostLog,
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
    pub revision: StoreRevision,
    /// What else speaks for or against it as leader.
    pub placement: Placement,
}

impl MemberState {
    /// A member that discovery lists.
    #[must_use]
    pub const fn listed(
        role: BackendRole,
        is_leaving: bool,
        revision: StoreRevision,
        placement: Placement,
    ) -> Self {
        Self {
            role,
            is_leaving,
            is_listed: true,
            revision,
            placement,
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

impl GroupState {
    /// How many of the members discovery lists at the moment.
    pub(crate) fn listed_members(&self) -> usize {
        let listed = self.members.values().filter(|member| member.is_listed);
        listed.count()
    }
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

/// The way by which a member was asked.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Via {
    /// By this node.
    Direct,
    /// By another node, which passes the question on.
    Peer(NodeId),
}

/// What came of a question to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberCallResult {
    /// It answered.
    Answered(MemberStatus),
    /// It led until it was asked to give way, and no longer does.
    GaveWay(MemberStatus),
    /// Nothing listens at its address.
    Refused,
    /// It gave no answer in time, or whoever was to ask it did not.
    Silent,
}

impl MemberCallResult {
    /// The answer, if there is one.
    #[must_use]
    pub const fn answer(self) -> Option<MemberStatus> {
        match self {
            Self::Answered(status) | Self::GaveWay(status) => Some(status),
            Self::Refused | Self::Silent => None,
        }
    }
}

/// What the duty hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The services and their members, whole.
    Groups(BTreeMap<ServiceName, GroupState>),
    /// Services of which some members or their state have changed; all others are as they were.
    GroupsChanged(BTreeMap<ServiceName, GroupState>),
    /// How many nodes there are.
    NodeCount(u32),
    /// Nodes that may pass questions on to members, whole.
    RelayPeers(Vec<NodeId>),
    /// All other nodes that may use a leader: those that live, and those that were seen to live a while ago.
    LeaderUsers(BTreeSet<NodeId>),
    /// A node believes no leader of a service any more whose term is below this one.
    Revoked {
        /// The service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// The node; this one answers too.
        user: NodeId,
        /// The newest term that the node knows to have begun.
        newest: Term,
    },
    /// Use of a back end showed something.
    Evidence(BackendId, LeaderEvidence),
    /// Whether replicas of a service wait for a later term than its leader's.
    LeadershipRevoked(ServiceName, bool),
    /// Which back ends another node finds silent, whole.
    Suspicion(NodeId, BTreeSet<BackendId>),
    /// This node has looked at a back end for another, as [`Effect::Verify`] asked, and found it silent.
    FoundSilent(BackendId),
    /// Another node has looked at a back end that this one finds silent, and finds it silent too.
    Verified(NodeId, BackendId),
    /// The records of all services, as a watch shows them; a service that is left out has none.
    Records {
        /// Which copy of the store shows them.
        era: u64,
        /// The records.
        records: BTreeMap<ServiceName, (RecordVersion, FailoverRecord)>,
    },
    /// A service's record, as the answer to a write shows it.
    Record(ServiceName, RecordVersion, Option<FailoverRecord>),
    /// A service's record was written: its version now, and what it says.
    RecordWritten(ServiceName, RecordVersion, FailoverRecord),
    /// A service's record was not written, or that is not known.
    RecordFailed(ServiceName),
    /// A member that was asked for its status, or put on hold, answered, or did not.
    StatusReply(BackendId, Option<MemberStatus>),
    /// What came of asking a member to step down or to hold, by one way.
    MemberCallEnded(BackendId, Via, MemberCallResult),
    /// A promotion was answered, or was not.
    Promotion(ServiceName, FencingToken, PromotionOutcome),
    /// Time has passed; see [`crate::FailoverController::next_wake`].
    Tick,
}

/// A step of the duty, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverStep {
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
    /// The old primary is to give way.
    Ending {
        /// The old primary; none where none is known.
        old: Option<BackendId>,
        /// The claim's token.
        token: Option<FencingToken>,
        /// The term that it must give way to.
        term: Term,
        /// Ways by which it is asked.
        ways: usize,
    },
    /// Replicas are put on hold, since the old primary did not step down.
    Holding {
        /// The replicas.
        replicas: usize,
        /// The term.
        term: Term,
    },
    /// The old primary's lead is over.
    Ended {
        /// What proves it.
        proof: DemotionProof,
        /// How long that took.
        after: Duration,
        /// Commits that its log has and the chosen replica's lacks, where both are known.
        behind: Option<u64>,
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
    /// Write a service's record if its version is still this one, and answer with [`Event::RecordWritten`],
    /// [`Event::Record`] and [`Event::RecordFailed`] or the latter alone.
    WriteRecord(ServiceName, RecordVersion, FailoverRecord),
    /// Tell some other nodes which back ends this node finds silent, whole.
    ReportSilent(BTreeSet<BackendId>),
    /// Look whether a back end that another node finds silent accepts connections. If it gives no sign of life either,
    /// tell that node, which hears [`Event::Verified`], and answer with [`Event::FoundSilent`].
    Verify {
        /// The back end.
        backend: BackendId,
        /// The node that finds it silent.
        asker: NodeId,
    },
    /// Ask a member for its status.
    QueryStatus(BackendId),
    /// Ask a member for its status until it has received this, or for as long as it makes sense; answered with
    /// [`Event::StatusReply`] once.
    QueryUntilReceived(BackendId, Freshness),
    /// Keep a replica from receiving in any term below this one, and ask it for its status.
    Hold(BackendId, Term),
    /// Let a replica receive again.
    Resume(BackendId),
    /// Ask a primary to give way to this term, by each of these ways; each is answered with
    /// [`Event::MemberCallEnded`].
    StepDown(BackendId, Term, Vec<Via>),
    /// Have these nodes believe no leader of a service whose term is below this one; each is answered with
    /// [`Event::Revoked`].
    Revoke(ServiceName, Term, BTreeSet<NodeId>),
    /// Tell these nodes that no promotion of a service that they were told of is under way any more.
    AnnounceAttemptEnded(ServiceName, BTreeSet<NodeId>),
    /// Keep a replica from receiving in any term below this one, by each of these ways; each is answered with
    /// [`Event::MemberCallEnded`].
    HoldVia(BackendId, Term, Vec<Via>),
    /// Promote a back end.
    Promote(ServiceName, BackendId, FencingToken),
    /// A step for the log.
    Log(ServiceName, FailoverStep),
}
