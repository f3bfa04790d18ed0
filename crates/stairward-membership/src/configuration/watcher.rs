//! Which nodes read the platform's store, and when.
//!
//! In each region the members that rank first by rendezvous hashing are its watchers. While views
//! differ more nodes may rank first; delays keep them from reading at once, and a store that has too
//! many readers makes the excess stand down for a growing time.

use std::cmp::Reverse;

use rand::{Rng, RngExt as _};
use stairward_types::{Duration, NodeId, RegionName, Revision, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::PeerLocation;
use super::parameters::DisseminationParameters;

/// Keeps the ranking of watchers apart from other uses of the hash.
const RANKING_SEED: u64 = 0x7761_7463_6865_7273;
/// Shortest pause between two reads, whatever the store answers.
const SHORTEST_READ_INTERVAL: Duration = Duration::from_millis(50);
/// First pause after a read that failed; doubles with each failure in a row.
const FIRST_RETRY: Duration = Duration::from_millis(250);
/// A watcher at work this long forgets how often it has stood down.
const STEADY_TIME: Duration = Duration::from_secs(60);
/// Largest exponent of the doubling pauses.
const MAXIMUM_DOUBLINGS: u32 = 10;

/// The members of a region that should watch the store: the first `count` by rendezvous hashing, of
/// those not leaving.
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

/// What a node's watcher does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// Does not read the store.
    Idle,
    /// Ranks as a watcher, and waits for the views to settle.
    Candidate { since: Time },
    /// Reads the store.
    Watching { since: Time },
    /// Reads the store, but no longer ranks as a watcher.
    Retiring { since: Time },
    /// The store has too many readers.
    StandingDown { until: Time },
}

/// A change of duty that the driver should hear of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DutyChange {
    Started,
    Stopped,
}

/// A read of the store without an answer yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OpenRead {
    started_at: Time,
    after: Revision,
}

/// One node's part in watching the store.
#[derive(Debug, Clone)]
pub(super) struct Watcher {
    duty: Duty,
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
            duty: Duty::Idle,
            is_ranked: false,
            last_join: now,
            stand_downs: 0,
            failures: 0,
            open_read: None,
            next_read: now,
        }
    }

    /// Whether this node reads the store at present.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.duty, Duty::Watching { .. } | Duty::Retiring { .. })
    }

    /// Takes a new ranking into account; `joined` tells of new members in the region.
    pub(super) fn ranked(&mut self, now: Time, is_ranked: bool, joined: bool) {
        self.is_ranked = is_ranked;
        if joined {
            self.last_join = now;
        }
    }

    /// Moves from duty to duty as time passes.
    pub(super) fn tick(
        &mut self,
        now: Time,
        parameters: &DisseminationParameters,
    ) -> Option<DutyChange> {
        match (self.duty, self.is_ranked) {
            (Duty::Idle, true) => {
                self.duty = Duty::Candidate { since: now };
                None
            }
            (Duty::Candidate { .. }, false) => {
                self.duty = Duty::Idle;
                None
            }
            (Duty::Candidate { since }, true) => self.start_if_settled(now, since, parameters),
            (Duty::Watching { since }, true) => {
                if now.since(since) >= STEADY_TIME {
                    self.stand_downs = 0;
                }
                None
            }
            (Duty::Watching { .. }, false) => {
                self.duty = Duty::Retiring { since: now };
                None
            }
            (Duty::Retiring { .. }, true) => {
                self.duty = Duty::Watching { since: now };
                None
            }
            (Duty::Retiring { since }, false) => {
                let is_over = now.since(since) >= parameters.watcher_stop_delay;
                is_over.then(|| self.stop(Duty::Idle))
            }
            (Duty::StandingDown { until }, _) => {
                if now >= until {
                    self.duty = Duty::Idle;
                }
                None
            }
            (Duty::Idle, false) => None,
        }
    }

    /// Starts a read when one is due; returns whether it does.
    pub(super) fn start_read(&mut self, now: Time, after: Revision) -> bool {
        let is_due = self.is_watching() && self.open_read.is_none() && now >= self.next_read;
        if is_due {
            let started_at = now;
            self.open_read = Some(OpenRead { started_at, after });
        }
        is_due
    }

    /// Notes that the store answered; returns when the read was started.
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
            SHORTEST_READ_INTERVAL
        } else {
            wait
        };
        // A store that does not hold back its answers is not asked more often for that.
        self.next_read = (started_at + interval).max(now);
        Some(started_at)
    }

    /// Notes that the store did not answer.
    pub(super) fn read_failed(
        &mut self,
        now: Time,
        parameters: &DisseminationParameters,
        rng: &mut dyn Rng,
    ) {
        self.open_read = None;
        let pause = doubled(
            FIRST_RETRY,
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
    ) -> Option<DutyChange> {
        self.open_read = None;
        let pause = doubled(
            parameters.stand_down_backoff,
            self.stand_downs,
            parameters.maximum_stand_down_backoff,
        );
        self.stand_downs = (self.stand_downs + 1).min(MAXIMUM_DOUBLINGS);
        let until = now + jittered(pause, rng);
        let was_watching = self.is_watching();
        let change = self.stop(Duty::StandingDown { until });
        was_watching.then_some(change)
    }

    fn start_if_settled(
        &mut self,
        now: Time,
        since: Time,
        parameters: &DisseminationParameters,
    ) -> Option<DutyChange> {
        let has_waited = now.since(since) >= parameters.watcher_start_delay;
        let is_settled = now.since(self.last_join) >= parameters.watcher_settle_time;
        let is_overdue = now.since(since) >= parameters.maximum_watcher_start_delay;
        let starts = (has_waited && is_settled) || is_overdue;
        starts.then(|| {
            self.duty = Duty::Watching { since: now };
            self.next_read = now;
            DutyChange::Started
        })
    }

    fn stop(&mut self, duty: Duty) -> DutyChange {
        self.duty = duty;
        DutyChange::Stopped
    }
}

fn doubled(first: Duration, doublings: u32, longest: Duration) -> Duration {
    (first * 2_u32.pow(doublings.min(MAXIMUM_DOUBLINGS))).min(longest)
}

/// Between the whole of a pause and twice as much, so that many nodes do not return at once.
fn jittered(pause: Duration, rng: &mut dyn Rng) -> Duration {
    pause + pause.mul_f64(rng.random_range(0.0..1.0))
}
