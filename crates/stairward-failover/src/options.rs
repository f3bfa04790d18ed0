//! Times and limits of the duty.

use std::time::Duration;

/// The usual lease of a confirmed leader. A shorter one costs more questions to replicas, a longer one
/// a longer gap where an old leader can't be reached.
pub const LEADERSHIP_LEASE: Duration = Duration::from_millis(1_000);

/// Times and limits of the duty.
#[derive(Debug, Clone)]
pub struct FailoverOptions {
    /// A name of this node that neither another node nor another life of its process has: a record under this
    /// name was written by this duty.
    pub node: String,
    /// How long a holder's last record keeps others from acting.
    pub lease: Duration,
    /// How long members are given to answer.
    pub status_timeout: Duration,
    /// How long a record or a promotion is given to be answered.
    pub call_timeout: Duration,
    /// How long a promoted back end is given to lead.
    pub promotion_timeout: Duration,
    /// How long a primary's entry may be missing, or no member call itself primary, before it is replaced.
    pub missing_primary_delay: Duration,
    /// How long entries that lapsed together, as they do while the store is away, are given to come back.
    pub mass_expiry_grace: Duration,
    /// Pause after an attempt that came to nothing.
    pub retry_delay: Duration,
    /// How long nodes go on with a leader after a replica last told them that no hold stands. None where an
    /// old leader's databases end its lead in the moment of the promotion: it then needs no ending.
    pub leadership_lease: Option<Duration>,
    /// How long the old leader is given to step down before replicas are put on hold.
    pub step_down_timeout: Duration,
    /// How long a replica is given to receive the last of a log whose leader has stepped down.
    pub catch_up_timeout: Duration,
    /// The share of the nodes, in percent, that must find a primary silent before it is replaced.
    pub suspicion_percent: u32,
}

impl FailoverOptions {
    /// The usual times and limits.
    #[must_use]
    pub fn new(node: impl Into<String>) -> Self {
        Self {
            node: node.into(),
            lease: Duration::from_millis(3_000),
            status_timeout: Duration::from_millis(350),
            call_timeout: Duration::from_millis(2_500),
            promotion_timeout: Duration::from_millis(3_000),
            missing_primary_delay: Duration::from_millis(1_500),
            mass_expiry_grace: Duration::from_millis(2_500),
            retry_delay: Duration::from_millis(300),
            leadership_lease: None,
            step_down_timeout: Duration::from_millis(150),
            catch_up_timeout: Duration::from_millis(400),
            suspicion_percent: 30,
        }
    }
}
