//! What a run is made of.

use std::time::Duration;

use crate::cold::ColdStart;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The primary's process ends; it comes back with its log.
    PrimaryCrash,
    /// The primary falls silent and comes back with its log.
    PrimaryDark,
    /// The primary says that it leaves, and ends after its time.
    PrimaryLeaves,
    /// The primary and its replicas don't reach each other.
    PrimaryIsolated,
    /// A replica applies late.
    ReplicaLag,
    /// A replica receives nothing.
    ReplicaDeaf,
    /// A node's process is killed and started again.
    NodeKill,
    /// A node stands still.
    NodeFreeze,
    /// Some nodes and the primary don't reach each other.
    PrimaryCut,
    /// A node and the store don't reach each other.
    StoreCut,
    /// The store answers nothing.
    StoreDown,
    /// Writes to the store are done and not answered.
    StoreLost,
    /// Promotions are not answered and carried out late.
    LatePromotion,
    /// Databases run statements whose answers are lost.
    AnswerLost,
    /// The configuration changes.
    ConfigurationChange,
    /// A zone is evacuated for a while.
    Evacuation,
    /// The primary's process ends and starts again under its id, calls itself primary, and knows nothing of before.
    PrimaryReborn,
    /// A replica's does, and calls itself replica.
    ReplicaReborn,
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
        Self::PrimaryDark,
        Self::PrimaryLeaves,
        Self::PrimaryIsolated,
        Self::ReplicaLag,
        Self::ReplicaDeaf,
        Self::NodeKill,
        Self::NodeFreeze,
        Self::PrimaryCut,
        Self::StoreCut,
        Self::StoreDown,
        Self::StoreLost,
        Self::LatePromotion,
        Self::AnswerLost,
        Self::ConfigurationChange,
    ];
}

/// A deliberately broken node, to show that the checks can fail. The damage is done to what the real code
/// wants done, on its way out or in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Reads go out without their floor.
    Floor,
    /// Reads at the leader go out without the transaction around them.
    LeaderProof,
    /// A write whose outcome is unknown is called not run.
    Promise,
    /// A write goes out twice.
    Resend,
    /// Values and prepared names are not dropped between sessions.
    Reset,
    /// Statements of a transaction go to another connection.
    Multiplex,
    /// Every decision uses the same fencing token.
    Token,
    /// Back ends that leave are not known to leave.
    Drain,
    /// An older configuration is put in force over a newer one.
    Configuration,
    /// Replicas are asked but not held before a promotion.
    Hold,
    /// An old primary is taken to have stepped down without being asked.
    StepDown,
    /// Nodes don't hear that replicas are on hold.
    Revocation,
    /// Whoever promotes does not wait until the nodes' confirmations have lapsed.
    NoWait,
    /// Nodes take a confirmation to hold longer than whoever promotes waits.
    LongLease,
    /// What a leader answers is passed on without a confirmation.
    Withhold,
    /// Connections are opened for one tenant and used for all.
    Tenant,
    /// A key that was withdrawn is still known.
    Key,
    /// A coordinator grants whatever is asked for.
    Limit,
    /// A node that has started anew does not know of evacuations.
    Evacuation,
    /// Every node takes itself for the one that sends to databases that have just started.
    Cold,
    /// Nodes don't see that a primary has lost its log.
    LostLog,
    /// Revisions of the store are taken without the copy that they are of.
    Era,
    /// Nodes don't learn that records may have been lost, though revisions rise.
    LostLease,
    /// Nodes take a restored store's older word at once.
    Restored,
}

impl BrokenVariant {
    /// All variants.
    pub const ALL: [Self; 24] = [
        Self::Floor,
        Self::LeaderProof,
        Self::Promise,
        Self::Resend,
        Self::Reset,
        Self::Multiplex,
        Self::Token,
        Self::Drain,
        Self::Configuration,
        Self::Hold,
        Self::StepDown,
        Self::Revocation,
        Self::NoWait,
        Self::LongLease,
        Self::Withhold,
        Self::Tenant,
        Self::Key,
        Self::Limit,
        Self::Evacuation,
        Self::Cold,
        Self::LostLog,
        Self::Era,
        Self::LostLease,
        Self::Restored,
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
    pub strikes: u32,
    /// The longest pause between two of them, in milliseconds.
    pub longest_pause: u64,
    /// Nodes.
    pub nodes: u32,
    /// Sessions at once.
    pub sessions: u32,
    /// Operations of twenty that are single writes; with 1 or less, transactions only read.
    pub writes_per_twenty: u32,
    /// How long callers act.
    pub length: Duration,
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
            strikes: 5,
            longest_pause: 5_000,
            nodes: 4,
            sessions: 24,
            writes_per_twenty: 5,
            length: Duration::from_secs(20),
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
