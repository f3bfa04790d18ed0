//! What a run is made of.

use std::time::Duration;

use crate::cold::ColdStart;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The primary's process ends; it comes back with its log.
    PrimaryCrash,
    /// The primary falls silent and comes back with its log.
    PrimaryUnresponsive,
    /// The primary says that it leaves, and ends after its time.
    PrimaryLeaves,
    /// The primary and its replicas don't reach each other.
    PrimaryIsolated,
    /// A replica applies late.
    ReplicaLag,
    /// A replica receives nothing.
    ReplicaIsolated,
    /// A node's process is killed and started again.
    NodeKill,
    /// A node stands still.
    NodePause,
    /// Some nodes and the primary don't reach each other.
    PrimaryPartition,
    /// A node and the store don't reach each other.
    StorePartition,
    /// The store answers nothing.
    StoreUnavailable,
    /// Writes to the store are done and not answered.
    StoreResponseLost,
    /// Promotions are not answered and carried out late.
    DelayedPromotion,
    /// Databases run statements whose answers are lost.
    ResponseLost,
    /// The configuration changes.
    ConfigurationChange,
    /// A zone is evacuated for a while.
    Evacuation,
    /// The primary's process ends and starts again under its id, calls itself primary, and knows nothing of before.
    PrimaryLostLog,
    /// A replica's does, and calls itself replica.
    ReplicaLostLog,
    /// The store goes away and comes back from a copy some seconds old.
    StoreRestored,
    /// All databases of the group say that they leave, close upon each other, and end after their time.
    GroupLeaves,
}

impl FaultKind {
    /// The kinds where zones are evacuated too.
    #[must_use]
    pub fn with_evacuations() -> Vec<Self> {
        let evacuations = [Self::Evacuation; 3];
        Self::ALL.into_iter().chain(evacuations).collect()
    }

    /// The kinds where the store comes back from older copies too.
    #[must_use]
    pub fn with_restores() -> Vec<Self> {
        let restores = [Self::StoreRestored; 5];
        Self::ALL.into_iter().chain(restores).collect()
    }

    /// All kinds but restores, evacuations, groups that leave and databases that forget, which are drawn apart, so that a seed goes on standing for the same run.
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

/// A deliberately broken node, to show that the checks can fail. The damage is done to what the real code
/// wants done, on its way out or in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Reads go out without their floor.
    NoReadFloor,
    /// Reads at the leader go out without the transaction around them.
    NoLeaderCheck,
    /// A write whose outcome is unknown is called not run.
    FalseNotRun,
    /// A write goes out twice.
    DuplicateWrite,
    /// Values and prepared names are not dropped between sessions.
    NoSessionReset,
    /// Statements of a transaction go to another connection.
    WrongConnection,
    /// Every decision uses the same fencing token.
    ReusedToken,
    /// Back ends that leave are not known to leave.
    IgnoredLeaving,
    /// An older configuration is put in force over a newer one.
    StaleConfiguration,
    /// Replicas are asked but not held before a promotion.
    NoHold,
    /// An old primary is taken to have stepped down without being asked.
    NoStepDown,
    /// Nodes don't hear that replicas are on hold.
    IgnoredRevocation,
    /// Whoever promotes does not wait until the nodes' confirmations have lapsed.
    NoLeaseWait,
    /// Nodes take a confirmation to hold longer than whoever promotes waits.
    LongLease,
    /// What a leader answers is passed on without a confirmation.
    NoConfirmation,
    /// Connections are opened for one tenant and used for all.
    SharedTenantConnections,
    /// A key that was withdrawn is still known.
    RevokedKeyAccepted,
    /// A coordinator grants whatever is asked for.
    UnlimitedGrants,
    /// A node that has started anew does not know of evacuations.
    ForgottenEvacuation,
    /// Every node takes itself for the one that sends to databases that have just started.
    EveryNodeFirstRanked,
    /// Nodes don't see that a primary has lost its log.
    HiddenLostLog,
    /// Revisions of the store are taken without the copy that they are of.
    IgnoredEra,
    /// Nodes don't learn that records may have been lost, though revisions rise.
    HiddenRecordLoss,
    /// Nodes take a restored store's older word at once.
    UnprotectedRestore,
}

impl BrokenVariant {
    /// All variants.
    pub const ALL: [Self; 24] = [
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
    ];
}

/// A run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// Kinds of faults that strike.
    pub faults: Vec<FaultKind>,
    /// How many faults strike in all.
    pub fault_count: u32,
    /// The longest pause between two of them, in milliseconds.
    pub max_pause_ms: u64,
    /// Nodes.
    pub nodes: u32,
    /// Sessions at once.
    pub sessions: u32,
    /// Operations of twenty that are single writes; with 1 or less, transactions only read.
    pub writes_per_twenty: u32,
    /// How long callers act.
    pub duration: Duration,
    /// Connections to each back end that nodes are told they may hold together. Few make some nodes forward.
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Whether an old primary goes on after another was promoted.
    pub old_primaries_keep_running: bool,
    /// Tenants that callers belong to, in turn; with 0 they are not told apart.
    pub tenants: u64,
    /// Operations a second that each tenant may run, and as many at once; none where that is not limited.
    pub tenant_rate: Option<u64>,
    /// How databases that have just started are to be treated; none where they are like all others.
    pub cold: Option<ColdStart>,
    /// How long a back end that leaves may get new work, from when the store took that.
    pub drain_limit: Duration,
    /// A deliberate damage.
    pub broken: Option<BrokenVariant>,
}

impl Options {
    /// A run with all kinds of faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            faults: FaultKind::ALL.to_vec(),
            fault_count: 5,
            max_pause_ms: 5_000,
            nodes: 4,
            sessions: 24,
            writes_per_twenty: 5,
            duration: Duration::from_secs(20),
            connections: 40,
            synchronous_replicas: 0,
            old_primaries_keep_running: false,
            tenants: 0,
            tenant_rate: None,
            cold: None,
            drain_limit: Duration::from_secs(7),
            broken: None,
        }
    }
}
