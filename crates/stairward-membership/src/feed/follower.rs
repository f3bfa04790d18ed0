//! State machine of one node for one feed. A node may follow watchers and, as a watcher, serve
//! followers of its own.

use std::collections::BTreeMap;

use stairward_types::{Duration, NodeId, StoreRevision, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::followers::Followers;
use super::message::{Effect, Event, FeedContent};
use super::parameters::{FeedParameters, VIEW_SETTLE_TIME};
use super::ranking;
use crate::configuration::PeerLocation;

/// Delay before a follow request is repeated to a watcher whose link was lost.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Largest change, in bytes, that is pushed to all followers at once. Larger ones, such as a whole
/// configuration, are queued and delivered to a few followers at a time. Pushing 4 kB to 50
/// followers takes 0.04 s on a 10 Mbit/s link with compression; a configuration of 35 kB took
/// 1.4 s, during which the watcher's membership probes were lost.
pub const MAXIMUM_IMMEDIATE_PUSH_BYTES: usize = 4 * 1024;

/// The first watcher that a starting node follows gets this multiple of `listing_timeout` to
/// answer, because the node may be the last of about 50 queued followers.
const FIRST_WATCHER_TIMEOUT_FACTOR: u32 = 2;

/// Estimated time for a watcher to deliver the missing content to one queued follower and for the
/// follower to apply it.
const DELIVERY_TIME_PER_FOLLOWER: Duration = Duration::from_millis(80);

/// Steps into which the jitter of direct reads is divided.
const JITTER_STEPS: u64 = 1_024;

/// State of a watcher that this node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The follow request was sent; no answer has arrived yet.
    Requested,
    /// The watcher has answered: its further messages arrive in order and without gaps.
    Synchronized,
    /// The link was lost at this time.
    Disconnected(Time),
}

/// Decides how one node obtains the objects of one kind: from the store, or from watchers.
#[derive(Debug, Clone)]
pub struct Feed {
    parameters: FeedParameters,
    /// The watchers to follow when this node needs any, best rank first.
    preferred_sources: Vec<NodeId>,
    /// Since when this node has ranked as a watcher; `None` while it does not.
    watcher_since: Option<Time>,
    /// When this node started. Counts as the last confirmation until a watcher confirms the feed,
    /// so that a starting node waits as long for its watchers as one that has lost them.
    started_at: Time,
    is_reading: bool,
    /// When this node first chose watchers to follow.
    first_follow_at: Option<Time>,
    /// The revision held; `None` before the first content.
    held: Option<StoreRevision>,
    /// Era (the copy of the store) of the newest content applied; `None` before the first content.
    era: Option<u64>,
    /// When the store last confirmed to this node directly that the held content is the newest.
    store_confirmed_at: Option<Time>,
    /// When a watcher last confirmed that the held content is the newest.
    source_confirmed_at: Option<Time>,
    /// The latest time at which the held content is known to have been the newest; any other change
    /// was made later. A confirmation delayed in transit, or by a pause of this process, counts
    /// from when it was given.
    current_at: Option<Time>,
    sources: BTreeMap<NodeId, Source>,
    followers: Followers,
    /// Estimated time for a watcher to deliver missing content to all its followers in turn.
    expected_delivery_time: Duration,
    /// Whether content from the store has been ignored as older since content was last applied.
    is_ignoring_store: bool,
    /// Until when writers may still rewrite what the store lost in a restore from an older copy;
    /// `None` when there was no recent restore.
    restore_settles_at: Option<Time>,
}

impl Feed {
    /// Creates the state of a node without content. It starts to read the store once its membership
    /// view has settled, unless the view shows that other nodes read it on this node's behalf.
    #[must_use]
    pub fn new(parameters: FeedParameters, now: Time) -> Self {
        Self {
            parameters,
            preferred_sources: Vec::new(),
            watcher_since: Some(now),
            started_at: now,
            is_reading: false,
            first_follow_at: None,
            held: None,
            era: None,
            store_confirmed_at: None,
            source_confirmed_at: None,
            current_at: None,
            sources: BTreeMap::new(),
            followers: Followers::default(),
            expected_delivery_time: Duration::ZERO,
            is_ignoring_store: false,
            restore_settles_at: None,
        }
    }

    /// Handles an event and returns the resulting effects. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::MembersChanged(members) => self.members_changed(now, &members),
            Event::StaleListing { at, objects } => {
                self.apply(now, at, FeedContent::Snapshot(objects), &mut effects);
            }
            // A peer's snapshot has no revision and may be older than any content that has one.
            Event::PeerSnapshot(objects) if self.held.is_none() => effects.push(Effect::Apply {
                at: None,
                content: FeedContent::Snapshot(objects),
                since: None,
            }),
            Event::PeerSnapshot(_) => {}
            Event::StoreAnswered {
                at,
                current_at,
                content,
            } => {
                self.store_answered(now, at, content, current_at, &mut effects);
            }
            Event::SourceAnswered {
                source,
                at,
                age,
                current_at,
                content,
            } => {
                if self.source_answered(now, source, at, age, content, &mut effects) {
                    self.advance_current_at(current_at);
                }
            }
            Event::SourceLost(source) => self.source_lost(now, source),
            Event::FollowRequested { follower, known } => {
                self.followers.follow_requested(follower, known)
            }
            Event::FollowerLeft(follower) => self.followers.remove(follower),
            Event::FollowerAcknowledged { follower, held } => {
                self.followers.acknowledge(follower, held)
            }
            // Follow again without a base, so that the watchers send a snapshot.
            Event::ContentMismatch => {
                self.held = None;
                self.current_at = None;
                self.sources.clear();
            }
            Event::Tick => {}
        }
        self.finish_restore(now, &mut effects);
        self.update_sources(now, &mut effects);
        self.update_store_reading(now, &mut effects);
        self.deliver(now, &mut effects);
        effects
    }

    /// When [`Event::Tick`] is next due.
    #[must_use]
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        let direct_read_at = self.last_source_confirmation() + self.direct_read_timeout();
        let view_settles_at = self.watcher_since.map(|since| since + VIEW_SETTLE_TIME);
        let store_times_out_at = self
            .store_confirmed_at
            .map(|at| at + self.parameters.store_timeout);
        let retries = self.sources.values().filter_map(|source| match source {
            Source::Disconnected(at) => Some(*at + FOLLOW_RETRY_DELAY),
            Source::Requested | Source::Synchronized => None,
        });
        let listing_times_out_at = self.started_at + self.parameters.listing_timeout;
        let all_followed_at = self
            .first_follow_at
            .map(|at| at + self.first_watcher_timeout());
        // Deadlines in the past were handled when they expired.
        let deadlines = [direct_read_at, listing_times_out_at]
            .into_iter()
            .chain(all_followed_at)
            .chain(view_settles_at)
            .chain(self.restore_settles_at)
            .chain(store_times_out_at)
            .chain(self.followers.next_deadline())
            .chain(retries);
        deadlines.filter(|at| *at > now).min()
    }

    /// Whether other nodes follow this one.
    #[must_use]
    pub fn has_followers(&self) -> bool {
        !self.followers.is_empty()
    }

    /// Whether this node ranks as a watcher of the store.
    #[must_use]
    pub const fn is_watcher(&self) -> bool {
        self.watcher_since.is_some()
    }

    /// The watchers that this node follows.
    pub fn sources(&self) -> impl Iterator<Item = NodeId> {
        self.sources.keys().copied()
    }

    /// The revision held; `None` before the first content.
    #[must_use]
    pub const fn held_revision(&self) -> Option<StoreRevision> {
        self.held
    }

    /// When a watcher last confirmed the feed, or when this node started.
    fn last_source_confirmation(&self) -> Time {
        self.source_confirmed_at.unwrap_or(self.started_at)
    }

    fn members_changed(&mut self, now: Time, members: &[PeerLocation]) {
        let (node, region) = (self.parameters.node, &self.parameters.region);
        let watchers = ranking::watchers(region, members);
        let is_watcher = watchers.is_empty() || watchers.contains(&node);
        self.watcher_since = is_watcher.then(|| self.watcher_since.unwrap_or(now));
        self.preferred_sources = ranking::sources(node, region, members);
        self.expected_delivery_time =
            DELIVERY_TIME_PER_FOLLOWER * ranking::followers_per_watcher(region, members);
    }

    /// How long after the last confirmation by a watcher this node reads the store directly. A node
    /// without content waits longer: it cannot act on outdated content, and it may be the last in a
    /// watcher's delivery queue. If all nodes of a starting fleet read the store at once, they
    /// saturate the store's link.
    fn direct_read_timeout(&self) -> Duration {
        let base_timeout = self.parameters.direct_read_timeout;
        if self.held.is_some() || self.expected_delivery_time <= base_timeout {
            return base_timeout;
        }
        // Spread nodes that give up waiting, so that they do not all read the store at once.
        let step = xxh3_64(&self.parameters.node.0.to_be_bytes()) % JITTER_STEPS;
        let spread = microseconds(self.expected_delivery_time - base_timeout) * step / JITTER_STEPS;
        self.expected_delivery_time + Duration::from_micros(spread)
    }

    fn store_answered(
        &mut self,
        now: Time,
        at: StoreRevision,
        content: FeedContent,
        current_at: Time,
        effects: &mut Vec<Effect>,
    ) {
        let is_queued = match &content {
            FeedContent::Snapshot(_) => true,
            FeedContent::Changes(bytes) => bytes.len() > MAXIMUM_IMMEDIATE_PUSH_BYTES,
            FeedContent::ChangesSince { .. } | FeedContent::Unchanged => false,
        };
        // Forward every answer of the store, even without new content, so that synchronized
        // followers miss nothing.
        let pushed = content.clone();
        if content != FeedContent::Unchanged {
            self.report_ignored_content(at, effects);
        }
        if !self.apply(now, at, content, effects) {
            return;
        }
        self.store_confirmed_at = Some(now);
        self.advance_current_at(Some(current_at));
        if is_queued {
            self.followers.queue_all(self.held.unwrap_or(at));
            return;
        }
        let followers = self.followers.push_to_synchronized(at);
        if !followers.is_empty() {
            effects.push(Effect::Push {
                followers,
                at,
                age: Duration::ZERO,
                // Must describe the pushed state, which may be older than the held one.
                current_at: self.current_at.min(Some(current_at)),
                content: pushed,
            });
        }
    }

    /// Delivers the missing content to a limited number of queued followers.
    fn deliver(&mut self, now: Time, effects: &mut Vec<Effect>) {
        // Nothing held here is confirmed until the store has answered.
        let (Some(at), Some(confirmed)) = (self.held, self.store_confirmed_at) else {
            return;
        };
        for (followers, content) in self.followers.next_deliveries(now, at) {
            effects.push(Effect::Push {
                followers,
                at,
                age: now.since(confirmed),
                current_at: self.current_at,
                content,
            });
        }
    }

    /// Handles an answer of a watcher. Returns whether it was accepted.
    fn source_answered(
        &mut self,
        now: Time,
        source: NodeId,
        at: StoreRevision,
        age: Duration,
        content: FeedContent,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.sources.contains_key(&source) {
            return false;
        }
        if self.is_from_earlier_era(at) {
            return false;
        }
        self.sources.insert(source, Source::Synchronized);
        // Changes after a revision that is not held cannot be applied.
        let is_base_missing =
            matches!(&content, FeedContent::ChangesSince { since, .. } if self.held < Some(*since));
        if is_base_missing {
            self.held = None;
            self.sources.clear();
            return false;
        }
        if !self.apply(now, at, content, effects) {
            // The change belongs to an era of which nothing is held: request a snapshot from this
            // watcher.
            self.sources.remove(&source);
            return false;
        }
        // A watcher that lags behind still confirms the feed: changes that it has not seen were
        // made after its confirmation.
        let confirmed = Time(now.0.saturating_sub(microseconds(age)));
        self.source_confirmed_at = self.source_confirmed_at.max(Some(confirmed));
        true
    }

    /// Reports once that the store's content is older than the held content.
    fn report_ignored_content(&mut self, at: StoreRevision, effects: &mut Vec<Effect>) {
        let newer = self.held.filter(|held| at < *held);
        let was_ignoring = std::mem::replace(&mut self.is_ignoring_store, newer.is_some());
        if let Some(held) = newer.filter(|_| !was_ignoring) {
            effects.push(Effect::OlderContentIgnored { at, held });
        }
    }

    /// Applies content that is newer than the held one. Returns whether the held content is now at
    /// least as new. Content of an earlier era is rejected, and so are changes in a later era,
    /// which have no base here.
    fn apply(
        &mut self,
        now: Time,
        at: StoreRevision,
        content: FeedContent,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if self.is_from_earlier_era(at) {
            return false;
        }
        let is_other_era = self.era.is_some_and(|era| era != at.era());
        if is_other_era && !matches!(content, FeedContent::Snapshot(_)) {
            return false;
        }
        // A node that has just started cannot know when the store was last restored.
        let may_be_restored = self.era.is_none() && at.era() > 0;
        if is_other_era || may_be_restored {
            self.restore_settles_at = Some(now + self.parameters.restore_settle_time);
        }
        self.era = Some(at.era());
        let is_newer = self.held.is_none_or(|held| at > held);
        self.held = self.held.max(Some(at));
        if is_newer && content != FeedContent::Unchanged {
            effects.push(Effect::Apply {
                at: Some(at),
                content,
                since: self.current_at,
            });
        }
        true
    }

    /// Whether content belongs to a copy of the store that has since been replaced by a restore.
    fn is_from_earlier_era(&self, at: StoreRevision) -> bool {
        self.era.is_some_and(|era| at.era() < era)
    }

    /// Records that the held content was the newest at `moment`. Has no effect while writers may
    /// still rewrite what a restore lost, because such content may have been created before the
    /// loss.
    fn advance_current_at(&mut self, moment: Option<Time>) {
        if self.restore_settles_at.is_none() {
            self.current_at = self.current_at.max(moment);
        }
    }

    fn finish_restore(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.restore_settles_at.is_some_and(|at| now >= at) {
            self.restore_settles_at = None;
            effects.push(Effect::RestoreSettled);
        }
    }

    fn source_lost(&mut self, now: Time, source: NodeId) {
        if let Some(known) = self.sources.get_mut(&source) {
            *known = Source::Disconnected(now);
        }
    }

    /// How long a starting node waits for its first watcher before it follows the second one too.
    fn first_watcher_timeout(&self) -> Duration {
        self.parameters.listing_timeout * FIRST_WATCHER_TIMEOUT_FACTOR
    }

    /// The watchers to follow now. A starting node begins with one, since two would both send it
    /// all the missing content.
    fn sources_to_follow(&mut self, now: Time) -> Vec<NodeId> {
        let followed_at = *self.first_follow_at.get_or_insert(now);
        let is_awaiting_first = self.source_confirmed_at.is_none()
            && now.since(followed_at) < self.first_watcher_timeout();
        if !is_awaiting_first {
            return self.preferred_sources.clone();
        }
        let is_lost =
            |node: &&NodeId| matches!(self.sources.get(*node), Some(Source::Disconnected(_)));
        let first = self.preferred_sources.iter().find(|node| !is_lost(node));
        first.copied().into_iter().collect()
    }

    /// Follows watchers if this node is not a watcher itself, or if it is one and the store does
    /// not answer.
    fn update_sources(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_awaiting_listing =
            self.held.is_none() && now.since(self.started_at) < self.parameters.listing_timeout;
        if is_awaiting_listing {
            return;
        }
        let store_timeout = self.parameters.store_timeout;
        let is_confirmed = self
            .store_confirmed_at
            .is_some_and(|at| now.since(at) < store_timeout);
        let wanted = if self.is_watcher() && is_confirmed {
            Vec::new()
        } else {
            self.sources_to_follow(now)
        };
        let unwanted: Vec<_> = self
            .sources
            .keys()
            .copied()
            .filter(|source| !wanted.contains(source))
            .collect();
        for source in unwanted {
            self.sources.remove(&source);
            effects.push(Effect::Unfollow(source));
        }
        for source in wanted {
            let is_due = match self.sources.get(&source) {
                None => true,
                Some(Source::Disconnected(at)) => now.since(*at) >= FOLLOW_RETRY_DELAY,
                Some(Source::Requested | Source::Synchronized) => false,
            };
            if is_due {
                self.sources.insert(source, Source::Requested);
                let known = self.held;
                effects.push(Effect::Follow { source, known });
            }
        }
    }

    fn update_store_reading(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_settled_watcher = self
            .watcher_since
            .is_some_and(|since| now.since(since) >= VIEW_SETTLE_TIME);
        let is_unconfirmed =
            now.since(self.last_source_confirmation()) >= self.direct_read_timeout();
        let should_read = is_settled_watcher || is_unconfirmed;
        if should_read != self.is_reading {
            self.is_reading = should_read;
            effects.push(Effect::ReadStore(should_read));
        }
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
