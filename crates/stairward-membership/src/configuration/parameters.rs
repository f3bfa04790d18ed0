//! Times and bounds of the spreader.

use stairward_types::Duration;

/// How one node spreads settings. The same on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DisseminationParameters {
    /// Longest time between two [`super::Event::Tick`]s.
    pub tick_interval: Duration,
    /// Watchers per region, while views agree.
    pub watchers_per_region: usize,
    /// How long a node must rank as a watcher before it becomes one.
    pub watcher_start_delay: Duration,
    /// How long after a join in the region the ranking counts as unsettled, delaying new watchers.
    pub watcher_settle_time: Duration,
    /// Longest delay that unsettled views may cause.
    pub maximum_watcher_start_delay: Duration,
    /// How long a watcher goes on after it no longer ranks as one.
    pub watcher_stop_delay: Duration,
    /// Shortest time for which a watcher stands down when the store has too many readers. Doubles
    /// with each time in a row.
    pub stand_down_backoff: Duration,
    /// Longest time for which a watcher stands down.
    pub maximum_stand_down_backoff: Duration,
    /// How long the store may hold back its answer when there is nothing new.
    pub store_poll_timeout: Duration,
    /// Longest pause between reads of a store that does not answer.
    pub maximum_store_retry_delay: Duration,
    /// How much younger its knowledge of the store must be than a neighbour's before a node tells it.
    pub freshness_threshold: Duration,
    /// Time between exchanges with random members, which heal what pushes miss.
    pub exchange_interval: Duration,
    /// Shortest time between two rounds of pushes; newer edits wait and go together.
    pub push_interval: Duration,
    /// Shortest time between two whole trees sent.
    pub whole_tree_interval: Duration,
    /// Time between two rounds of asking the other watchers while the store does not answer.
    pub quorum_interval: Duration,
    /// For how long nothing is asked for after a peer's settings could not be put in force.
    pub refusal_backoff: Duration,
    /// Shortest time between two requests for younger proof made because of peers' digests.
    pub proof_request_interval: Duration,
    /// Exchanges under way at once.
    pub maximum_exchanges: usize,
    /// How long after the last news of the store a node counts as cut off from it.
    pub source_timeout: Duration,
    /// How long a new node waits for proof from the store before it asks peers alone.
    pub confirmation_timeout: Duration,
    /// Serving peers that must confirm a new node's revision when the store does not answer.
    pub confirmations: usize,
    /// Rings of the neighbour graph; each adds two neighbours.
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
