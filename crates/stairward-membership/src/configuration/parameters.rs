//! Parameters of settings dissemination.

use stairward_types::Duration;

/// Parameters of settings dissemination. Must be equal on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DisseminationParameters {
    /// Maximum time between two [`super::Event::Tick`]s.
    pub tick_interval: Duration,
    /// Watchers per region while membership views agree.
    pub watchers_per_region: usize,
    /// How long a node must rank as a watcher before it becomes one.
    pub watcher_start_delay: Duration,
    /// How long after a join in the region the ranking counts as unsettled, which delays new
    /// watchers.
    pub watcher_settle_time: Duration,
    /// Maximum delay caused by an unsettled ranking.
    pub maximum_watcher_start_delay: Duration,
    /// How long a watcher continues after it no longer ranks as one.
    pub watcher_stop_delay: Duration,
    /// Minimum time for which a watcher stands down when the store has too many readers. Doubles
    /// with each consecutive rejection.
    pub stand_down_backoff: Duration,
    /// Maximum time for which a watcher stands down.
    pub maximum_stand_down_backoff: Duration,
    /// How long the store may delay its answer to a long poll when there is nothing new.
    pub store_poll_timeout: Duration,
    /// Maximum delay between reads of a store that does not answer.
    pub maximum_store_retry_delay: Duration,
    /// How much fresher a node's proof must be than a neighbour's before it is sent or requested.
    pub freshness_threshold: Duration,
    /// Mean time between exchanges with random members, which repair missed pushes.
    pub exchange_interval: Duration,
    /// Minimum time between two rounds of pushes; edits arriving in between are sent together.
    pub push_interval: Duration,
    /// Minimum time between two transmissions of the whole tree.
    pub whole_tree_interval: Duration,
    /// Time between two rounds of requests to the other watchers while the store does not answer.
    pub quorum_interval: Duration,
    /// How long nothing is requested after settings from a peer could not be applied.
    pub refusal_backoff: Duration,
    /// Minimum time between two requests for fresher proof that are triggered by peers' digests.
    pub proof_request_interval: Duration,
    /// Maximum number of exchanges in progress.
    pub maximum_exchanges: usize,
    /// How long after the last proof from the store a node counts as disconnected from it.
    pub source_timeout: Duration,
    /// How long a new node waits for proof from the store before confirmations by peers suffice.
    pub confirmation_timeout: Duration,
    /// Number of serving peers that must confirm a new node's revision while the store does not
    /// answer.
    pub confirmations: usize,
    /// Number of rings in the neighbour graph; each adds two neighbours.
    pub rings: u64,
}

impl Default for DisseminationParameters {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(100),
            watchers_per_region: 2,
            watcher_start_delay: Duration::from_millis(500),
            watcher_settle_time: Duration::from_secs(1),
            maximum_watcher_start_delay: Duration::from_secs(5),
            watcher_stop_delay: Duration::from_secs(2),
            stand_down_backoff: Duration::from_secs(10),
            maximum_stand_down_backoff: Duration::from_secs(300),
            store_poll_timeout: Duration::from_millis(500),
            maximum_store_retry_delay: Duration::from_secs(2),
            freshness_threshold: Duration::from_millis(400),
            exchange_interval: Duration::from_secs(1),
            push_interval: Duration::from_millis(50),
            whole_tree_interval: Duration::from_millis(100),
            quorum_interval: Duration::from_millis(500),
            refusal_backoff: Duration::from_secs(5),
            proof_request_interval: Duration::from_millis(200),
            maximum_exchanges: 32,
            source_timeout: Duration::from_millis(2_000),
            confirmation_timeout: Duration::from_secs(3),
            confirmations: 3,
            rings: 3,
        }
    }
}
