//! Events that the controller receives, and effects that it returns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use stairward_types::{
    BackendId, BackendRole, Freshness, MemberStatus, NodeId, ServiceName, StoreRevision, Term,
};

use crate::demotion::DemotionProof;
use crate::placement::Placement;

/// The version of a service's failover record: the store revision at which it was written. A
/// service without a record has revision 0 of the store era that shows none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RecordVersion(pub StoreRevision);

impl RecordVersion {
    /// The version of a record that does not exist in this store era.
    #[must_use]
    pub const fn absent_in_era(era: u64) -> Self {
        Self(StoreRevision::new(era, 0))
    }
}

/// A number that increases with every promotion decision. A promotion is refused if a higher token
/// has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// A service's failover record in the metadata store: which node acts on its failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailoverRecord {
    /// The node that wrote the record.
    pub holder: String,
    /// The newest term for which a promotion was requested, as recorded by the holders so far. The
    /// leader of that term may be unreachable, and members that never heard of the term would let
    /// the next holder announce it a second time.
    pub term: Term,
    /// The member whose promotion was requested for that term, if the holder recorded it.
    pub leader: Option<BackendId>,
    /// Whether that promotion has had no answer, so that it may still be carried out.
    pub is_pending: bool,
}

impl FailoverRecord {
    /// The recorded promotion, if its target is known.
    #[must_use]
    pub fn promotion(&self) -> Option<RecordedPromotion> {
        let leader = self.leader.clone()?;
        Some(RecordedPromotion {
            leader,
            term: self.term,
            is_pending: self.is_pending,
        })
    }
}

/// A synchronous service's record of the members on whose logs acknowledged commits may depend.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InSyncRecord {
    /// Where each of them listens. A node that starts after discovery has lost a member finds it
    /// here.
    pub members: BTreeMap<BackendId, SocketAddr>,
}

/// The newest requested promotion of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedPromotion {
    /// The member to be promoted.
    pub leader: BackendId,
    /// The term for which it was announced.
    pub term: Term,
    /// Whether the request has had no answer, so that it may still be carried out.
    pub is_pending: bool,
}

/// What a node knows of the promotions of a service, as it answers another node that has missed some.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPromotion {
    /// The service.
    pub service: ServiceName,
    /// The newest term that was announced to it and may still start; 0 if there is none.
    pub announced: Term,
    /// The newest requested promotion.
    pub promotion: Option<RecordedPromotion>,
}

impl KnownPromotion {
    /// Combines the newest requested promotions with the terms that were announced.
    pub fn merge<'a>(
        promotions: impl Iterator<Item = (&'a ServiceName, &'a RecordedPromotion)>,
        announced: impl Iterator<Item = (&'a ServiceName, Term)>,
    ) -> Vec<Self> {
        let mut known: BTreeMap<&ServiceName, Self> = BTreeMap::new();
        let unknown = |service: &ServiceName| Self {
            service: service.clone(),
            announced: Term::default(),
            promotion: None,
        };
        for (service, promotion) in promotions {
            let entry = known.entry(service).or_insert_with(|| unknown(service));
            entry.promotion = Some(promotion.clone());
        }
        for (service, term) in announced {
            let entry = known.entry(service).or_insert_with(|| unknown(service));
            entry.announced = term;
        }
        known.into_values().collect()
    }
}

/// What a node observed while using a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderEvidence {
    /// It responds.
    Answered,
    /// Nothing listens at its address.
    Refused,
    /// Requests to it get no response.
    Silent,
    /// It reports the primary role but lacks commits that it had acknowledged before.
    LostLog,
}

/// A member of a database group as service discovery lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Where it listens.
    pub address: SocketAddr,
    /// The role that it reports.
    pub role: BackendRole,
    /// Whether it is shutting down as planned.
    pub is_leaving: bool,
    /// Whether service discovery lists it now.
    pub is_listed: bool,
    /// Store revision of its entry; increases with every change.
    pub revision: StoreRevision,
    /// Criteria besides its log that decide whether it may lead.
    pub placement: Placement,
}

impl MemberState {
    /// A member that service discovery lists now.
    #[must_use]
    pub const fn listed(
        address: SocketAddr,
        role: BackendRole,
        is_leaving: bool,
        revision: StoreRevision,
        placement: Placement,
    ) -> Self {
        Self {
            address,
            role,
            is_leaving,
            is_listed: true,
            revision,
            placement,
        }
    }
}

/// The database group of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupState {
    /// Members by id.
    pub members: BTreeMap<BackendId, MemberState>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
}

impl GroupState {
    /// The number of members that service discovery lists now.
    pub(crate) fn listed_members(&self) -> usize {
        let listed = self.members.values().filter(|member| member.is_listed);
        listed.count()
    }
}

/// How a promotion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The promotion was or will be carried out.
    Accepted,
    /// A higher token has been seen, or the back end is not running.
    Refused,
    /// Rate-limited: it was not carried out and may be requested again.
    Throttled,
    /// No response: it may still be carried out at any later time.
    Unknown,
}

/// The path by which a call reaches a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Via {
    /// This node calls the member itself.
    Direct,
    /// Another node relays the call.
    Peer(NodeId),
}

/// Result of a call to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberCallResult {
    /// The member answered.
    Answered(MemberStatus),
    /// The member was primary until this call and has stepped down.
    GaveWay(MemberStatus),
    /// Nothing listens at its address, or another back end does.
    Refused,
    /// It is running, but had no capacity to answer.
    Busy,
    /// No answer in time, from the member or from the relaying node.
    Silent,
}

impl MemberCallResult {
    /// The status that the member returned, if it answered.
    #[must_use]
    pub const fn answer(self) -> Option<MemberStatus> {
        match self {
            Self::Answered(status) | Self::GaveWay(status) => Some(status),
            Self::Refused | Self::Busy | Self::Silent => None,
        }
    }
}

/// A call of a review of missing members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReviewCall {
    /// The service.
    pub service: ServiceName,
    /// Distinguishes the calls of one review from those of another.
    pub review: u64,
    /// The member.
    pub backend: BackendId,
    /// Where the member listens.
    pub address: SocketAddr,
    /// The path of the call.
    pub via: Via,
    /// Answer only once the member has received this position, or waiting longer is pointless.
    pub until: Option<Freshness>,
}

/// Input of the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The complete set of services and their members.
    Groups(BTreeMap<ServiceName, GroupState>),
    /// Only the services whose members have changed; all others are unchanged.
    GroupsChanged(BTreeMap<ServiceName, GroupState>),
    /// The number of nodes.
    NodeCount(u32),
    /// The complete list of nodes that may relay calls to members.
    RelayPeers(Vec<NodeId>),
    /// All other nodes that may send requests to a leader: those that are alive, and those that
    /// were alive recently.
    LeaderUsers(BTreeSet<NodeId>),
    /// A node no longer accepts a leader of the service whose term is below `term`.
    Revoked {
        /// The service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// The node that replied; this node replies as well.
        user: NodeId,
        /// The newest term that the node knows to have started.
        newest: Term,
    },
    /// This node observed something while using a back end.
    Evidence(BackendId, LeaderEvidence),
    /// Whether replicas of a service are on hold for a later term than that of its leader.
    LeadershipRevoked(ServiceName, bool),
    /// The complete set of back ends that another node reports as silent.
    Suspicion(NodeId, BTreeSet<BackendId>),
    /// This node probed a back end on behalf of another one, as [`Effect::Verify`] requested, and
    /// found it silent.
    FoundSilent(BackendId),
    /// Another node probed a back end that this node finds silent, and found it silent too.
    Verified(NodeId, BackendId),
    /// The newest terms of a service that this node knows of, as [`Effect::QueryNewestTerms`]
    /// requested.
    NewestTerms {
        /// The service.
        service: ServiceName,
        /// The newest term that has started.
        started: Term,
        /// The newest term that any holder has announced, if it may still start.
        announced: Term,
    },
    /// Another node has requested a promotion of a service, or has received the answer.
    PromotionAnnounced(ServiceName, RecordedPromotion),
    /// A peer's answer to [`Effect::QueryPromotions`]; `None` if it did not answer.
    PeerPromotions(NodeId, Option<Vec<KnownPromotion>>),
    /// The failover records of all services, from a watch of the store. A service that is missing
    /// has no record.
    Records {
        /// The store era that the records belong to.
        era: u64,
        /// The records.
        records: BTreeMap<ServiceName, (RecordVersion, FailoverRecord)>,
    },
    /// The current record of a service, as returned by a write that did not match its version.
    Record(ServiceName, RecordVersion, Option<FailoverRecord>),
    /// A service's record was written: its new version and content.
    RecordWritten(ServiceName, RecordVersion, FailoverRecord),
    /// A service's record was not written, or the result of the write is unknown.
    RecordFailed(ServiceName),
    /// The records of the in-sync members of all services, from a watch of the store.
    InSyncRecords {
        /// The store era that the records belong to.
        era: u64,
        /// The records.
        records: BTreeMap<ServiceName, (RecordVersion, InSyncRecord)>,
    },
    /// A service's record of in-sync members as a write of this node, successful or not, has found
    /// or left it.
    InSyncRecord(ServiceName, RecordVersion, InSyncRecord),
    /// Result of an [`Effect::ReviewMember`].
    MemberReviewed(ReviewCall, MemberCallResult),
    /// Reply of a member to a status query or a hold; `None` if it did not answer.
    StatusReply(BackendId, Option<MemberStatus>),
    /// Result of asking a member to step down or to hold, for one path.
    MemberCallEnded(BackendId, Via, MemberCallResult),
    /// A promotion call ended, with or without an answer.
    Promotion(ServiceName, FencingToken, PromotionOutcome),
    /// Time has passed; see [`crate::FailoverController::next_wake`].
    Tick,
}

/// A step of a failover, for the log. Log lines contain its `Debug` output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverStep {
    /// An attempt to replace a primary has started.
    Began {
        /// The reason, in words.
        reason: &'static str,
    },
    /// The attempt was abandoned.
    GaveUp {
        /// The reason, in words.
        reason: &'static str,
    },
    /// No replica may be promoted now: one that did not answer may be the only one with an
    /// acknowledged commit.
    MembersMissing {
        /// The in-sync members that did not answer, without the primary.
        missing: BTreeSet<BackendId>,
        /// The number of in-sync members that must answer.
        needed: usize,
        /// The number that answered.
        answered: usize,
    },
    /// Probes of missing in-sync members have ended.
    MembersProbed {
        /// Members that are running, so that commits may depend on them.
        running: BTreeSet<BackendId>,
        /// Members that have ended.
        ended: BTreeSet<BackendId>,
        /// Members that no path has led to.
        silent: BTreeSet<BackendId>,
    },
    /// All members that stay have received what depended on these, which are in-sync members no
    /// longer.
    MembersRemoved {
        /// The members.
        removed: BTreeSet<BackendId>,
        /// The position up to which the others have received the log.
        covered: Freshness,
    },
    /// A replica was chosen for promotion.
    Chose {
        /// The chosen replica.
        target: BackendId,
        /// The fencing token of the decision.
        token: FencingToken,
        /// How much of the log it has received, if it reported that.
        received: Option<Freshness>,
        /// The number of members that answered.
        answers: usize,
    },
    /// The old primary is asked to step down.
    Ending {
        /// The old primary, if one is known.
        old: Option<BackendId>,
        /// The fencing token of this claim.
        token: Option<FencingToken>,
        /// The term in whose favour it must step down.
        term: Term,
        /// The number of paths by which it is asked.
        ways: usize,
    },
    /// Replicas are put on hold because the old primary has not stepped down.
    Holding {
        /// The number of replicas.
        replicas: usize,
        /// The term.
        term: Term,
    },
    /// The old primary is proved to lead no longer.
    Ended {
        /// The proof.
        proof: DemotionProof,
        /// Time since the demotion started.
        after: Duration,
        /// Commits of its log that the chosen replica lacks, if both positions are known.
        behind: Option<u64>,
    },
    /// A promotion call ended, with or without an answer.
    Answered {
        /// The fencing token of the decision.
        token: FencingToken,
        /// The outcome.
        outcome: PromotionOutcome,
    },
}

/// Output of the controller, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write a service's record if its version still matches. A successful write is answered with
    /// [`Event::RecordWritten`], a conflict with [`Event::Record`] followed by
    /// [`Event::RecordFailed`], and a failure with [`Event::RecordFailed`] alone.
    WriteRecord(ServiceName, RecordVersion, FailoverRecord),
    /// Write a service's record of in-sync members if its version still matches. Answered with
    /// [`Event::InSyncRecord`], unless the store did not answer.
    WriteInSyncRecord(ServiceName, RecordVersion, InSyncRecord),
    /// Query the status of a member for a review; answered with [`Event::MemberReviewed`].
    ReviewMember(ReviewCall),
    /// Send some other nodes the complete set of back ends that this node finds silent.
    ReportSilent(BTreeSet<BackendId>),
    /// Probe whether a back end that another node finds silent accepts connections. If it does not
    /// respond, notify that node, which receives [`Event::Verified`], and answer with
    /// [`Event::FoundSilent`].
    Verify {
        /// The back end.
        backend: BackendId,
        /// The node that reported it as silent.
        asker: NodeId,
    },
    /// This promotion is the newest that any holder of a service is known to have requested. Its
    /// leader may be missing from discovery.
    PromotionRecorded(ServiceName, RecordedPromotion),
    /// Tell these nodes of a promotion that this node has requested, or of its answer; each
    /// receives [`Event::PromotionAnnounced`]. The store may lose the record.
    AnnouncePromotion(ServiceName, RecordedPromotion, BTreeSet<NodeId>),
    /// This node may have missed announcements: it must confirm no leader until
    /// [`Effect::PeersConsulted`].
    ConsultationNeeded,
    /// Ask these peers which promotions they know of; each is answered with
    /// [`Event::PeerPromotions`].
    QueryPromotions(BTreeSet<NodeId>),
    /// A peer knows that this term of a service was announced and may still start.
    TermAnnounced(ServiceName, Term),
    /// What the peers know has been applied, so that leaders may be confirmed again.
    PeersConsulted {
        /// The number of peers that did not answer in time.
        unanswered: usize,
    },
    /// Query the newest terms of a service that this node knows of; answered with
    /// [`Event::NewestTerms`].
    QueryNewestTerms(ServiceName),
    /// Query the status of a member.
    QueryStatus(BackendId),
    /// Query the status of a member until it has received this position, or until waiting longer is
    /// pointless; answered with [`Event::StatusReply`] once.
    QueryUntilReceived(BackendId, Freshness),
    /// Stop a replica from receiving log entries of any term below this one, and query its status.
    Hold(BackendId, Term),
    /// Release the hold on a replica.
    Resume(BackendId),
    /// Ask a primary to step down in favour of this term, by each of these paths; each call is
    /// answered with [`Event::MemberCallEnded`].
    StepDown(BackendId, Term, Vec<Via>),
    /// Tell these nodes to stop accepting any leader of the service whose term is below this one;
    /// each answers with [`Event::Revoked`].
    Revoke(ServiceName, Term, BTreeSet<NodeId>),
    /// Tell these nodes that the promotion of a service announced to them with [`Effect::Revoke`]
    /// is no longer in progress.
    AnnounceAttemptEnded(ServiceName, BTreeSet<NodeId>),
    /// Stop a replica from receiving log entries of any term below this one, by each of these
    /// paths; each call is answered with [`Event::MemberCallEnded`].
    HoldVia(BackendId, Term, Vec<Via>),
    /// Promote a back end.
    Promote(ServiceName, BackendId, FencingToken),
    /// Log a step of a failover.
    Log(ServiceName, FailoverStep),
}
