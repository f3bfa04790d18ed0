//! Options of a simulation run, its fault kinds and the deliberately broken variants.

use std::time::Duration;

use stairward_types::BackendId;

use crate::cold::ColdStart;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The primary's process stops and later restarts with its log.
    PrimaryCrash,
    /// The primary stops responding and later recovers with its log.
    PrimaryUnresponsive,
    /// The primary announces that it is leaving and stops after the drain limit.
    PrimaryLeaves,
    /// The primary and its replicas cannot reach each other.
    PrimaryIsolated,
    /// A replica applies the log with a large delay.
    ReplicaLag,
    /// A replica receives no log entries.
    ReplicaIsolated,
    /// A node's process is killed and restarted.
    NodeKill,
    /// A node processes no events for a while.
    NodePause,
    /// Some nodes and the primary cannot reach each other.
    PrimaryPartition,
    /// A node and the metadata store cannot reach each other.
    StorePartition,
    /// The metadata store does not respond.
    StoreUnavailable,
    /// The metadata store carries out writes, but their responses are lost.
    StoreResponseLost,
    /// Promotions are carried out late and their responses are lost.
    DelayedPromotion,
    /// Databases run statements, but the responses are lost.
    ResponseLost,
    /// The operator changes the configuration.
    ConfigurationChange,
    /// A zone is evacuated for a while.
    Evacuation,
    /// The primary's process restarts under the same id without its log or term, and reports itself as
    /// primary.
    PrimaryLostLog,
    /// A replica's process restarts under the same id without its log or term, and reports itself as replica.
    ReplicaLostLog,
    /// The metadata store becomes unavailable and is restored from a copy that is some seconds old.
    StoreRestored,
    /// All databases of the group announce at the same time that they are leaving, and stop after the drain
    /// limit.
    GroupLeaves,
}

impl FaultKind {
    /// All kinds of [`Self::ALL`], and zone evacuations.
    #[must_use]
    pub fn with_evacuations() -> Vec<Self> {
        let evacuations = [Self::Evacuation; 3];
        Self::ALL.into_iter().chain(evacuations).collect()
    }

    /// All kinds of [`Self::ALL`], and restores of the metadata store from older copies.
    #[must_use]
    pub fn with_restores() -> Vec<Self> {
        let restores = [Self::StoreRestored; 5];
        Self::ALL.into_iter().chain(restores).collect()
    }

    /// All kinds except restores, evacuations, groups that leave and lost logs. Those are only added on
    /// request, so that a seed keeps producing the same run.
    pub const ALL: [Self; 15] = [
        Self::PrimaryCrash,
        Self::PrimaryUnresponsive,
        Self::PrimaryLeaves,
        Self::PrimaryIsolated,
        Self::ReplicaLag,
        Self::ReplicaIsolated,
        Self::NodeKill,
        Self::NodePause,
        Self::PrimaryPartition,
        Self::StorePartition,
        Self::StoreUnavailable,
        Self::StoreResponseLost,
        Self::DelayedPromotion,
        Self::ResponseLost,
        Self::ConfigurationChange,
    ];
}

/// Whether and how a database comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Return {
    /// It never does.
    Never,
    /// With its log, after this time.
    WithLog(Duration),
    /// Without its log, after this time.
    Empty(Duration),
}

/// What fails in a planned fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedFaultKind {
    /// The process of a database stops.
    DatabaseStops(BackendId, Return),
    /// A database receives no log entries for this long.
    DatabaseIsolated(BackendId, Duration),
    /// The nodes are killed and started again, one after the other.
    NodesRestart,
    /// The metadata store is restored from the copy of this long ago.
    StoreRestored(Duration),
}

/// A fault that is injected at a given time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it is injected, from the start of the run.
    pub at: Duration,
    /// What fails.
    pub kind: PlannedFaultKind,
}

/// A deliberately broken node, which shows that the checks can fail. The simulation alters the effects or
/// events of the real code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Reads are sent without the position that they must at least see.
    NoReadFloor,
    /// Reads at the leader are sent without the surrounding transaction that proves its leadership.
    NoLeaderCheck,
    /// A write with an unknown outcome is reported as not run.
    FalseNotRun,
    /// Each write is sent twice.
    DuplicateWrite,
    /// Session values and prepared statements are not reset between sessions.
    NoSessionReset,
    /// Some statements of a transaction are sent to another connection.
    WrongConnection,
    /// Every promotion uses the same fencing token.
    ReusedToken,
    /// Nodes do not see that a back end is leaving.
    IgnoredLeaving,
    /// An older configuration replaces a newer one.
    StaleConfiguration,
    /// Replicas are asked for their status before a promotion, but not put on hold.
    NoHold,
    /// An old primary is assumed to have stepped down although it was not asked to.
    NoStepDown,
    /// Nodes do not see that replicas are on hold and ignore revocations of leadership.
    IgnoredRevocation,
    /// The promoting node does not wait until the leadership confirmations of other nodes have expired.
    NoLeaseWait,
    /// Nodes consider a leadership confirmation valid for longer than the promoting node waits.
    LongLease,
    /// Responses of a leader are passed on without a confirmation of its leadership.
    NoConfirmation,
    /// Connections are opened for one tenant and used for all tenants.
    SharedTenantConnections,
    /// Withdrawn keys are still accepted.
    RevokedKeyAccepted,
    /// A rate limit coordinator grants every request in full.
    UnlimitedGrants,
    /// A restarted node does not know of evacuations.
    ForgottenEvacuation,
    /// Every node considers itself the only one that sends requests to databases that have just started.
    EveryNodeFirstRanked,
    /// Nodes do not see that a primary has lost its log.
    HiddenLostLog,
    /// Store revisions are compared without the era of the store copy that they belong to.
    IgnoredEra,
    /// Revisions rise after a restore and the era stays, so that nodes do not detect that records may have
    /// been lost.
    HiddenRecordLoss,
    /// Nodes apply the older state of a restored store immediately.
    UnprotectedRestore,
    /// Nodes are told of no promotion: neither by an announcement nor by the record. A holder of the failover
    /// lease does not see which terms its own node knows of.
    HiddenPromotions,
    /// Nodes do not tell each other of promotions: neither when they request one nor when a peer asks.
    NoPeerKnowledge,
    /// Nodes consider a promotion whose request is unanswered as answered.
    IgnoredPendingPromotions,
    /// Nodes do not compare a leader's log with those of the other members.
    UncomparedLogs,
    /// The failover controllers consider every primary as leaving, and replace it.
    EveryPrimaryLeaving,
    /// An in-sync member that discovery has not listed for a while is removed without any evidence.
    ForgottenMembers,
    /// A node that starts learns of no in-sync members from the store.
    MembersForgottenAtRestart,
    /// In-sync members are never removed.
    PermanentMembers,
    /// An attempt that is refused for want of a member leaves replicas on hold, and a later term announced, each time.
    RefusalsLeaveHolds,
    /// Replies with a signature that was received before are passed on.
    RepeatedSignaturesAccepted,
    /// Replies are accepted whatever their transaction status, rows and signature.
    ReplyShapesIgnored,
    /// Unsigned replies and errors are accepted although a later one of the same content showed more of the log.
    FallingPositionsAccepted,
    /// Errors that may be repetitions are believed.
    RepeatedErrorsBelieved,
    /// Successes of the proxy's own commands that may be repetitions are not confirmed.
    NoReplyConfirmation,
}

impl BrokenVariant {
    /// All variants that only databases that repeat replies expose.
    pub const OF_REPEATED_REPLIES: [Self; 5] = [
        Self::RepeatedSignaturesAccepted,
        Self::ReplyShapesIgnored,
        Self::FallingPositionsAccepted,
        Self::RepeatedErrorsBelieved,
        Self::NoReplyConfirmation,
    ];

    /// All variants that random faults expose. The others need faults at given times or repeated replies.
    pub const ALL: [Self; 29] = [
        Self::NoReadFloor,
        Self::NoLeaderCheck,
        Self::FalseNotRun,
        Self::DuplicateWrite,
        Self::NoSessionReset,
        Self::WrongConnection,
        Self::ReusedToken,
        Self::IgnoredLeaving,
        Self::StaleConfiguration,
        Self::NoHold,
        Self::NoStepDown,
        Self::IgnoredRevocation,
        Self::NoLeaseWait,
        Self::LongLease,
        Self::NoConfirmation,
        Self::SharedTenantConnections,
        Self::RevokedKeyAccepted,
        Self::UnlimitedGrants,
        Self::ForgottenEvacuation,
        Self::EveryNodeFirstRanked,
        Self::HiddenLostLog,
        Self::IgnoredEra,
        Self::HiddenRecordLoss,
        Self::UnprotectedRestore,
        Self::HiddenPromotions,
        Self::NoPeerKnowledge,
        Self::IgnoredPendingPromotions,
        Self::UncomparedLogs,
        Self::EveryPrimaryLeaving,
    ];
}

/// The operations that callers choose from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationMix {
    /// How many of twenty operations are single writes. With 1 or less, transactions only read.
    pub writes_per_twenty: u32,
    /// Whether callers also set values, prepare statements and execute them inside transactions.
    pub sets_up_in_transactions: bool,
}

impl Default for OperationMix {
    fn default() -> Self {
        Self {
            writes_per_twenty: 5,
            sets_up_in_transactions: false,
        }
    }
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// The kinds of faults to inject.
    pub faults: Vec<FaultKind>,
    /// Number of faults to inject.
    pub fault_count: u32,
    /// Faults at given times, besides the random ones.
    pub planned_faults: Vec<PlannedFault>,
    /// Maximum pause between two faults, in milliseconds.
    pub max_pause_ms: u64,
    /// Number of nodes.
    pub nodes: u32,
    /// Number of concurrent sessions.
    pub sessions: u32,
    /// The operations of the callers.
    pub operations: OperationMix,
    /// How long callers send statements.
    pub duration: Duration,
    /// Maximum number of connections that all nodes together may hold to each back end. With few connections,
    /// some nodes have to forward statements.
    pub connections: u32,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Whether an old primary keeps accepting writes after another was promoted.
    pub old_primaries_keep_running: bool,
    /// Whether nodes compare a leader's log with those of the other members although old primaries end.
    pub compares_logs: bool,
    /// How many percent of a database's replies it sends again later, to clients' statements and to the proxy's own.
    pub repeated_reply_percent: u32,
    /// How many percent of the statements that occupy a slot are refused because all slots are in use.
    pub busy_percent: u32,
    /// Number of tenants, assigned to callers in turn. With 0 the run has no tenants.
    pub tenants: u64,
    /// Operations per second that each tenant may run, which is also its burst; `None` for no limit.
    pub tenant_rate: Option<u64>,
    /// How databases that have just started are treated; `None` if they are treated like all others.
    pub cold: Option<ColdStart>,
    /// How long a leaving back end may receive new work, counted from when the store accepted its
    /// announcement.
    pub drain_limit: Duration,
    /// The broken variant that the nodes run, if any.
    pub broken: Option<BrokenVariant>,
}

impl Options {
    /// A run with all kinds of [`FaultKind::ALL`].
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            faults: FaultKind::ALL.to_vec(),
            fault_count: 5,
            planned_faults: Vec::new(),
            max_pause_ms: 5_000,
            nodes: 4,
            sessions: 24,
            operations: OperationMix::default(),
            duration: Duration::from_secs(20),
            connections: 40,
            synchronous_replicas: 0,
            old_primaries_keep_running: false,
            compares_logs: false,
            repeated_reply_percent: 0,
            busy_percent: 0,
            tenants: 0,
            tenant_rate: None,
            cold: None,
            drain_limit: Duration::from_secs(7),
            broken: None,
        }
    }
}
