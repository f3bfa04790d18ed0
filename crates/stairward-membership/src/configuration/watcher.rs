//! Selection of the nodes that read the platform's store, and the timing of their reads.
//!
//! The first members of each region by rendezvous hashing are its watchers. While membership views
//! differ, more nodes may rank as watchers. Start delays keep them from reading at once, and a
//! store with too many readers makes the surplus stand down with exponential backoff.

use std::cmp::Reverse;

use rand::{Rng, RngExt as _};
use stairward_types::{Duration, NodeId, RegionName, Revision, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::PeerLocation;
use super::parameters::DisseminationParameters;

/// Separates this ranking from other uses of the hash.
const RANKING_SEED: u64 = 0x7761_7463_6865_7273;
/// Minimum time between two reads, whatever the store answers.
const MINIMUM_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after the first failed read; doubles with each consecutive failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time as an active watcher after which the stand-down backoff is reset.
const STAND_DOWN_RESET_TIME: Duration = Duration::from_secs(60);
/// Maximum exponent of the backoff.
const MAXIMUM_DOUBLINGS: u32 = 10;

/// The watchers of a region: the first `count` of its members by rendezvous hashing, without
/// leaving ones.
#[must_use]
pub fn ranked_watchers(region: &RegionName, members: &[PeerLocation], count: usize) -> Vec<NodeId> {
    let seed = xxh3_64_with_seed(region.as_str().as_bytes(), RANKING_SEED);
    let mut ranked: Vec<(Reverse<u64>, NodeId)> = members
        .iter()
        .filter(|member| member.region == *region && !member.leaving)
        .map(|member| (Reverse(score(member.node, seed)), member.node))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, node)| node).collect()
}

fn score(node: NodeId, seed: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_be_bytes(), seed)
}

/// State of a node with respect to watching the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatcherState {
    /// Does not read the store.
    Idle,
    /// Ranks as a watcher and waits for the membership view to settle.
    Candidate { since: Time },
    /// Ranks as a watcher and reads the store.
    Watching { since: Time },
    /// Still reads the store, but no longer ranks as a watcher.
    Retiring { since: Time },
    /// Does not read the store, which has too many readers.
    StandingDown { until: Time },
}

/// A state change to report to the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatcherChange {
    Started,
    Stopped,
}

/// A read of the store that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OpenRead {
    started_at: Time,
    after: Revision,
}

/// The watcher state machine of one node.
#[derive(Debug, Clone)]
pub(super) struct Watcher {
    state: WatcherState,
    is_ranked: bool,
    last_join: Time,
    stand_downs: u32,
    failures: u32,
    open_read: Option<OpenRead>,
    next_read: Time,
}

impl Watcher {
    pub(super) fn new(now: Time) -> Self {
        Self {
            state: WatcherState::Idle,
            is_ranked: false,
            last_join: now,
            stand_downs: 0,
            failures: 0,
            open_read: None,
            next_read: now,
        }
    }

    pub(super) fn is_watching(&self) -> bool {
        matches!(
            self.state,
            WatcherState::Watching { .. } | WatcherState::Retiring { .. }
        )
    }

    /// Applies a new ranking; `joined` is set when the region has new members.
    pub(super) fn update_ranking(&mut self, now: Time, is_ranked: bool, joined: bool) {
        self.is_ranked = is_ranked;
        if joined {
            self.last_join = now;
        }
    }

    /// Performs state transitions that depend on time.
    pub(super) fn tick(
        &mut self,
        now: Time,
        parameters: &DisseminationParameters,
    ) -> Option<WatcherChange> {
        match (self.state, self.is_ranked) {
            (WatcherState::Idle, true) => {
                self.state = WatcherState::Candidate { since: now };
                None
            }
            (WatcherState::Candidate { .. }, false) => {
                self.state = WatcherState::Idle;
                None
            }
            (WatcherState::Candidate { since }, true) => {
                self.start_if_settled(now, since, parameters)
            }
            (WatcherState::Watching { since }, true) => {
                if now.since(since) >= STAND_DOWN_RESET_TIME {
                    self.stand_downs = 0;
                }
                None
            }
            (WatcherState::Watching { .. }, false) => {
                self.state = WatcherState::Retiring { since: now };
                None
            }
            (WatcherState::Retiring { .. }, true) => {
                self.state = WatcherState::Watching { since: now };
                None
            }
            (WatcherState::Retiring { since }, false) => {
                let is_over = now.since(since) >= parameters.watcher_stop_delay;
                is_over.then(|| self.stop(WatcherState::Idle))
            }
            (WatcherState::StandingDown { until }, _) => {
                if now >= until {
                    self.state = WatcherState::Idle;
                }
                None
            }
            (WatcherState::Idle, false) => None,
        }
    }

    /// Starts a read if one is due; returns whether it did.
    pub(super) fn start_read(&mut self, now: Time, after: Revision) -> bool {
        let is_due = self.is_watching() && self.open_read.is_none() && now >= self.next_read;
        if is_due {
            let started_at = now;
            self.open_read = Some(OpenRead { started_at, after });
        }
        is_due
    }

    /// Records an answer of the store; returns when the read was started.
    pub(super) fn read_succeeded(
        &mut self,
        now: Time,
        revision: Revision,
        wait: Duration,
    ) -> Option<Time> {
        let OpenRead { started_at, after } = self.open_read.take()?;
        self.failures = 0;
        let is_newer = revision > after;
        let interval = if is_newer {
            MINIMUM_READ_INTERVAL
        } else {
            wait
        };
        // Bounds the read rate if the store answers without waiting.
        self.next_read = (started_at + interval).max(now);
        Some(started_at)
    }

    /// Records a failed read and schedules a retry.
    pub(super) fn read_failed(
        &mut self,
        now: Time,
        parameters: &DisseminationParameters,
        rng: &mut dyn Rng,
    ) {
        self.open_read = None;
        let pause = exponential_delay(
            INITIAL_RETRY_DELAY,
            self.failures,
            parameters.maximum_store_retry_delay,
        );
        self.failures = (self.failures + 1).min(MAXIMUM_DOUBLINGS);
        self.next_read = now + jittered(pause, rng);
    }

    /// Stands down because the store has too many readers.
    pub(super) fn too_many_readers(
        &mut self,
        now: Time,
        parameters: &DisseminationParameters,
        rng: &mut dyn Rng,
    ) -> Option<WatcherChange> {
        self.open_read = None;
        let pause = exponential_delay(
            parameters.stand_down_backoff,
            self.stand_downs,
            parameters.maximum_stand_down_backoff,
        );
        self.stand_downs = (self.stand_downs + 1).min(MAXIMUM_DOUBLINGS);
        let until = now + jittered(pause, rng);
        let was_watching = self.is_watching();
        let change = self.stop(WatcherState::StandingDown { until });
        was_watching.then_some(change)
    }

    fn start_if_settled(
        &mut self,
        now: Time,
        since: Time,
        parameters: &DisseminationParameters,
    ) -> Option<WatcherChange> {
        let has_waited = now.since(since) >= parameters.watcher_start_delay;
        let is_settled = now.since(self.last_join) >= parameters.watcher_settle_time;
        let is_overdue = now.since(since) >= parameters.maximum_watcher_start_delay;
        let starts = (has_waited && is_settled) || is_overdue;
        starts.then(|| {
            self.state = WatcherState::Watching { since: now };
            self.next_read = now;
            WatcherChange::Started
        })
    }

    fn stop(&mut self, state: WatcherState) -> WatcherChange {
        self.state = state;
        WatcherChange::Stopped
    }
}

fn exponential_delay(first: Duration, doublings: u32, maximum: Duration) -> Duration {
    (first * 2_u32.pow(doublings.min(MAXIMUM_DOUBLINGS))).min(maximum)
}

/// Adds up to 100% random jitter, so that nodes do not retry at the same time.
fn jittered(pause: Duration, rng: &mut dyn Rng) -> Duration {
    pause + pause.mul_f64(rng.random_range(0.0..1.0))
}
