//! Times and sizes of the membership protocol.

use stairward_types::Duration;

/// Times and sizes of the membership protocol; docs/design/membership.md gives the reasons.
#[derive(Debug, Clone)]
pub struct SwimConfig {
    /// Time between the starts of two probes by one node.
    pub probe_interval: Duration,
    /// How long a probed node may take to answer before others are asked to probe it.
    pub direct_timeout: Duration,
    /// How long the indirect probes may take before the node is suspected.
    pub indirect_timeout: Duration,
    /// How many others are asked to probe.
    pub indirect_probes: usize,
    /// How long a suspected node has to refute once enough others confirm the suspicion.
    pub suspicion_minimum: Duration,
    /// How long a suspected node has to refute while nobody else confirms the suspicion.
    pub suspicion_maximum: Duration,
    /// Whether both times grow with the logarithm (base 10) of the number of members. A few members that all others
    /// ask first when a fleet starts answer late then: in a fleet of 300, 28 of them were declared failed after 1 s.
    pub scale_suspicion_timeout: bool,
    /// How many other accusers bring the time down to its minimum.
    pub confirmations: usize,
    /// Time between rounds of gossip while there is news.
    pub gossip_interval: Duration,
    /// Nodes told in one round.
    pub gossip_fanout: usize,
    /// A piece of news is sent by each node this many times the logarithm (base 10) of the number
    /// of members.
    pub retransmit_multiplier: u32,
    /// News of terms, which is rare and urgent, is sent more often by this factor.
    pub term_retransmit_factor: u32,
    /// Time between probes of members that have failed, to find out that a partition has healed.
    pub failed_probe_interval: Duration,
    /// How long a failed member is kept and probed.
    pub failed_retention: Duration,
    /// How long a member that left is remembered, so that late news does not bring it back.
    pub left_retention: Duration,
    /// How long a peer's view may differ before the two compare theirs.
    pub sync_delay: Duration,
    /// Mean time between two comparisons started by one node.
    pub sync_interval: Duration,
    /// Time to the next comparison when the last one brought news.
    pub sync_catch_up_interval: Duration,
    /// The same for a node that has just started.
    pub sync_joining_interval: Duration,
    /// Buckets sent in answer to one comparison.
    pub sync_buckets_per_answer: usize,
    /// Time from an unanswered introduction to the next at the same address, at first.
    pub introduction_interval: Duration,
    /// The same after many, for a node that knows no other.
    pub maximum_introduction_interval_alone: Duration,
    /// The same after many, for a node that knows others.
    pub maximum_introduction_interval: Duration,
    /// A node that was not run for so long takes itself, not the others, to have been silent.
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
    /// By how much the time to refute a suspicion is stretched in a fleet of this many members.
    #[must_use]
    pub fn suspicion_multiplier(&self, members: usize) -> f64 {
        if !self.scale_suspicion_timeout {
            return 1.0;
        }
        f64::from(u32::try_from(members).unwrap_or(u32::MAX))
            .log10()
            .max(1.0)
    }

    /// How often each node sends a piece of news in a fleet of this many members.
    #[must_use]
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        let digits = u32::try_from(members.max(1).to_string().len()).unwrap_or(u32::MAX);
        self.retransmit_multiplier.saturating_mul(digits)
    }
}
