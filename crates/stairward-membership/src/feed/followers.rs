//! The followers of a watcher and the content that each still has to receive.
//!
//! Synchronized followers get each change at once. A follower that lacks more, because it has just
//! started to follow or because the watcher itself lost its position in the store, waits in a
//! queue. In a starting fleet the followers request, almost at the same time, more than the
//! watcher's link carries in several seconds. Its packets and probes would be lost behind that
//! traffic, and other members would declare it failed.

use std::collections::{BTreeMap, VecDeque};

use stairward_types::{Duration, StoreRevision, Time};

use super::message::{FeedContent, FollowerId};

/// Deliveries of missing content in progress at a time. At 35 kB each, four take 0.1 s of a
/// 10 Mbit/s link, which is less than the probe timeout.
const MAXIMUM_CONCURRENT_DELIVERIES: usize = 4;
/// A delivery that is not acknowledged within this time no longer counts against the limit.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delivery state of one follower.
#[derive(Debug, Clone, Copy)]
struct Follower {
    /// The revision that the follower holds once everything sent has arrived; `None` while it holds
    /// nothing.
    held: Option<StoreRevision>,
    /// Whether the follower is queued for missing content.
    is_waiting: bool,
}

/// All followers of a watcher.
#[derive(Debug, Clone, Default)]
pub(super) struct Followers {
    by_id: BTreeMap<FollowerId, Follower>,
    /// Followers that wait for missing content, in order of delivery.
    queue: VecDeque<FollowerId>,
    /// Unacknowledged deliveries and when they were sent.
    in_flight: BTreeMap<FollowerId, Time>,
}

impl Followers {
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Handles a new or repeated follow request.
    pub fn follow_requested(&mut self, follower: FollowerId, held: Option<StoreRevision>) {
        let requested = Follower {
            held,
            is_waiting: true,
        };
        let before = self.by_id.insert(follower, requested);
        if !before.is_some_and(|before| before.is_waiting) {
            self.queue.push_back(follower);
        }
    }

    /// Removes a follower.
    pub fn remove(&mut self, follower: FollowerId) {
        self.by_id.remove(&follower);
        self.in_flight.remove(&follower);
        self.queue.retain(|waiting| *waiting != follower);
    }

    /// Records the revision that a follower holds after it applied content, from this watcher or
    /// from the other one that it follows.
    pub fn acknowledge(&mut self, follower: FollowerId, held: StoreRevision) {
        self.in_flight.remove(&follower);
        if let Some(known) = self.by_id.get_mut(&follower) {
            known.held = known.held.max(Some(held));
        }
    }

    /// Returns the synchronized followers, recorded as having received a change that leads to `at`.
    pub fn push_to_synchronized(&mut self, at: StoreRevision) -> Vec<FollowerId> {
        let mut synchronized = Vec::new();
        for (id, follower) in &mut self.by_id {
            if !follower.is_waiting {
                follower.held = Some(at);
                synchronized.push(*id);
            }
        }
        synchronized
    }

    /// Queues all followers, after the watcher received a snapshot or a change too large to push at
    /// once. Followers that hold less than `at` are no longer synchronized.
    pub fn queue_all(&mut self, at: StoreRevision) {
        for (id, follower) in &mut self.by_id {
            if !follower.is_waiting {
                follower.is_waiting = true;
                self.queue.push_back(*id);
            }
        }
        // Followers that already hold `at` need only a confirmation and go first.
        let known = &self.by_id;
        let is_behind = |id: &FollowerId| {
            known
                .get(id)
                .is_some_and(|follower| follower.held < Some(at))
        };
        self.queue.make_contiguous().sort_by_key(is_behind);
    }

    /// Takes the next deliveries of the state at `at`, grouped by content.
    pub fn next_deliveries(
        &mut self,
        now: Time,
        at: StoreRevision,
    ) -> Vec<(Vec<FollowerId>, FeedContent)> {
        self.in_flight
            .retain(|_, sent| now.since(*sent) < DELIVERY_TIMEOUT);
        // One set of changes since the oldest held revision serves all queued followers. Encoding a
        // set for each follower took a watcher with an eighth of a core 0.7 s (60 revisions,
        // 35 kB).
        let waiting = self.queue.iter().filter_map(|id| self.by_id.get(id)?.held);
        let oldest = waiting.filter(|held| held.era() == at.era()).min();
        let mut deliveries: BTreeMap<Option<StoreRevision>, Vec<FollowerId>> = BTreeMap::new();
        while let Some(id) = self.queue.front().copied() {
            let Some(follower) = self.by_id.get_mut(&id) else {
                self.queue.pop_front();
                continue;
            };
            let is_behind = follower.held < Some(at);
            if is_behind && self.in_flight.len() >= MAXIMUM_CONCURRENT_DELIVERIES {
                break;
            }
            self.queue.pop_front();
            let base = if is_behind {
                // A follower that holds content of another era needs a snapshot.
                let held = follower.held.filter(|held| held.era() == at.era());
                held.and(oldest)
            } else {
                follower.held
            };
            deliveries.entry(base).or_default().push(id);
            follower.held = Some(at);
            follower.is_waiting = false;
            if is_behind {
                self.in_flight.insert(id, now);
            }
        }
        let deliveries = deliveries.into_iter();
        deliveries
            .map(|(held, followers)| (followers, content_for(held, at)))
            .collect()
    }

    /// When the oldest delivery times out and frees its slot; `None` while nobody is queued.
    pub fn next_deadline(&self) -> Option<Time> {
        let oldest = self.in_flight.values().min();
        oldest
            .filter(|_| !self.queue.is_empty())
            .map(|sent| *sent + DELIVERY_TIMEOUT)
    }
}

/// What a follower lacks of the state at `at`.
fn content_for(held: Option<StoreRevision>, at: StoreRevision) -> FeedContent {
    match held {
        Some(held) if held >= at => FeedContent::Unchanged,
        Some(since) => FeedContent::ChangesSince {
            since,
            changes: Vec::new(),
            digest: 0,
        },
        None => FeedContent::Snapshot(Vec::new()),
    }
}
