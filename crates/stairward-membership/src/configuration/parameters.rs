//! Times and bounds of the spreader.

use stairward_types::Duration;

/// How one node spreads settings. The same on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreaderParameters {
    /// Longest time between two [`super::Event::Tick`]s.
    pub tick: Duration,
    /// Watchers per region, while views agree.
    pub watchers_per_region: usize,
    /// How long a node must rank as a watcher before it becomes one.
    pub watcher_start_delay: Duration,
    /// How long after a join in the region the ranking counts as unsettled, delaying new watchers.
    pub watcher_settle_time: Duration,
    /// Longest delay that unsettled views may cause.
    pub watcher_longest_delay: Duration,
    /// How long a watcher goes on after it no longer ranks as one.
    pub watcher_stop_delay: Duration,
    /// Shortest time for which a watcher stands down when the store has too many readers. Doubles
    /// with each time in a row.
    pub stand_down: Duration,
    /// Longest time for which a watcher stands down.
    pub longest_stand_down: Duration,
    /// How long the store may hold back its answer when there is nothing new.
    pub store_wait: Duration,
    /// Longest pause between reads of a store that does not answer.
    pub store_longest_retry: Duration,
    /// How much younger its knowledge of the store must be than a neighbour's before a node tells it.
    pub notice_step: Duration,
    /// Time between exchanges with random members, which heal what pushes miss.
    pub exchange_interval: Duration,
    /// Shortest time between two rounds of pushes; newer edits wait and go together.
    pub push_interval: Duration,
    /// Shortest time between two whole trees sent.
    pub whole_tree_interval: Duration,
    /// Time between two rounds of asking the other watchers while the store does not answer.
    pub quorum_interval: Duration,
    /// For how long nothing is asked for after a peer's settings could not be put in force.
    pub refusal_pause: Duration,
    /// Shortest time between two requests for younger proof made because of peers' digests.
    pub proof_request_interval: Duration,
    /// Exchanges under way at once.
    pub maximum_exchanges: usize,
    /// How long after the last news of the store a node counts as cut off from it.
    pub source_limit: Duration,
    /// How long a new node waits for proof from the store before it asks peers alone.
    pub confirmation_wait: Duration,
    /// Serving peers that must confirm a new node's revision when the store does not answer.
    pub confirmations: usize,
    /// Rings of the neighbour graph; each adds two neighbours.
    pub rings: u64,
}

impl Default for SpreaderParameters {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            watchers_per_region: 2,
            watcher_start_delay: Duration::from_millis(500),
            watcher_settle_time: Duration::from_secs(1),
            watcher_longest_delay: Duration::from_secs(5),
            watcher_stop_delay: Duration::from_secs(2),
            stand_down: Duration::from_secs(10),
            longest_stand_down: Duration::from_secs(300),
            store_wait: Duration::from_millis(500),
            store_longest_retry: Duration::from_secs(2),
            notice_step: Duration::from_millis(400),
            exchange_interval: Duration::from_secs(1),
            push_interval: Duration::from_millis(50),
            whole_tree_interval: Duration::from_millis(100),
            quorum_interval: Duration::from_millis(500),
            refusal_pause: Duration::from_secs(5),
            proof_request_interval: Duration::from_millis(200),
            maximum_exchanges: 32,
            source_limit: Duration::from_millis(2_000),
            confirmation_wait: Duration::from_secs(3),
            confirmations: 3,
            rings: 3,
        }
    }
}
