//! Timeouts and limits of the membership protocol.

use stairward_types::Duration;

/// Timeouts and limits of the membership protocol; docs/design/membership.md gives the reasons.
#[derive(Debug, Clone)]
pub struct SwimConfig {
    /// Time between the starts of two probes by one node.
    pub probe_interval: Duration,
    /// How long a probed member may take to answer before indirect probes are requested.
    pub direct_timeout: Duration,
    /// How long the indirect probes may take before the member is suspected.
    pub indirect_timeout: Duration,
    /// Number of members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time for a suspected member to refute, with enough confirmations by other members.
    pub suspicion_minimum: Duration,
    /// Time for a suspected member to refute, without any confirmation.
    pub suspicion_maximum: Duration,
    /// Whether both times grow with the logarithm (base 10) of the number of members. While a fleet
    /// starts, the few members that all others contact first answer late: in a fleet of 300, 28
    /// such members were declared failed after 1 s.
    pub scale_suspicion_timeout: bool,
    /// Number of confirmations that reduce the time to its minimum.
    pub confirmations: usize,
    /// Time between gossip rounds while there are updates to send.
    pub gossip_interval: Duration,
    /// Number of members addressed per gossip round.
    pub gossip_fanout: usize,
    /// Each node sends an update this many times the number of decimal digits of the member count,
    /// which grows with its logarithm.
    pub retransmit_multiplier: u32,
    /// Factor by which term updates, which are rare and urgent, are sent more often.
    pub term_retransmit_factor: u32,
    /// Mean time between pings of failed members, which detect that a partition has healed.
    pub failed_probe_interval: Duration,
    /// How long a failed member is kept and pinged.
    pub failed_retention: Duration,
    /// How long a left member is remembered, so that delayed updates do not add it again.
    pub left_retention: Duration,
    /// How long peers' digests must differ before views are compared.
    pub sync_delay: Duration,
    /// Mean time between two comparisons started by one node.
    pub sync_interval: Duration,
    /// Time to the next comparison after one that brought new information.
    pub sync_catch_up_interval: Duration,
    /// The same for a node that has just started.
    pub sync_joining_interval: Duration,
    /// Buckets sent in answer to one comparison.
    pub sync_buckets_per_answer: usize,
    /// Initial time between two introductions to the same address; doubles up to the maximum.
    pub introduction_interval: Duration,
    /// Maximum of that time for a node that knows no other member.
    pub maximum_introduction_interval_alone: Duration,
    /// Maximum of that time for a node that knows other members.
    pub maximum_introduction_interval: Duration,
    /// A delay of its own timers by more than this makes a node assume that it was paused itself.
    pub pause_threshold: Duration,
}

impl Default for SwimConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(150),
            direct_timeout: Duration::from_millis(100),
            indirect_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_minimum: Duration::from_millis(1_000),
            suspicion_maximum: Duration::from_millis(2_000),
            scale_suspicion_timeout: false,
            confirmations: 2,
            gossip_interval: Duration::from_millis(50),
            gossip_fanout: 3,
            retransmit_multiplier: 3,
            term_retransmit_factor: 2,
            failed_probe_interval: Duration::from_secs(5),
            failed_retention: Duration::from_secs(24 * 3_600),
            left_retention: Duration::from_secs(3_600),
            sync_delay: Duration::from_secs(1),
            sync_interval: Duration::from_secs(2),
            sync_catch_up_interval: Duration::from_secs(1),
            sync_joining_interval: Duration::from_millis(100),
            sync_buckets_per_answer: 16,
            introduction_interval: Duration::from_millis(250),
            maximum_introduction_interval_alone: Duration::from_secs(2),
            maximum_introduction_interval: Duration::from_secs(30),
            pause_threshold: Duration::from_millis(500),
        }
    }
}

impl SwimConfig {
    /// Factor applied to suspicion timeouts in a fleet of this size.
    #[must_use]
    pub fn suspicion_multiplier(&self, members: usize) -> f64 {
        if !self.scale_suspicion_timeout {
            return 1.0;
        }
        f64::from(u32::try_from(members).unwrap_or(u32::MAX))
            .log10()
            .max(1.0)
    }

    /// Number of times each node sends an update in a fleet of this size.
    #[must_use]
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        let digits = u32::try_from(members.max(1).to_string().len()).unwrap_or(u32::MAX);
        self.retransmit_multiplier.saturating_mul(digits)
    }
}
