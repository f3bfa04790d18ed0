//! One node's part in one feed: as a follower, and as a watcher with followers of its own.

use std::collections::BTreeMap;

use stairward_types::{Duration, NodeId, StoreRevision, Time};
use xxhash_rust::xxh3::xxh3_64;

use super::followers::Followers;
use super::message::{Effect, Event, FeedContent};
use super::parameters::{FeedParameters, VIEW_SETTLES};
use super::ranking;
use crate::configuration::PeerLocation;

/// Pause before a watcher whose link ended is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Bytes of a change that go to all followers at once; a longer one, such as a whole configuration, goes to them in turn.
/// 50 followers take 4 kB each in 0.04 s over a link of 10 Mbit/s, as compressed; a configuration of 35 kB took 1.4 s,
/// in which the watcher's probes were lost.
pub const MAXIMUM_IMMEDIATE_PUSH_BYTES: usize = 4 * 1024;

/// A node that starts gives its first watcher this many times as long as the store's stale listing: it may be the
/// last of some 50 followers in turn.
const FIRST_PATIENCE: u32 = 2;

/// What a watcher takes to tell one follower in turn all that it lacks, and the follower to take it over.
const DELIVERY_TIME: Duration = Duration::from_millis(80);

/// Moments among which nodes that give up waiting are spread.
const SHARES: u64 = 1_024;

/// A watcher that this node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It was asked and has not answered yet.
    Asked,
    /// All that it tells from here on reaches this node in order.
    InStep,
    /// Its link ended at this moment.
    Lost(Time),
}

/// Decides how one node follows one kind of the store's objects.
#[derive(Debug, Clone)]
pub struct Feed {
    parameters: FeedParameters,
    /// The watchers that this node follows when it needs to.
    wanted_sources: Vec<NodeId>,
    /// Since when this node has ranked as a watcher; none while it does not.
    watcher_since: Option<Time>,
    /// The watchers of the others are given as long to confirm the feed to a node that starts as to one that has
    /// lost them.
    started_at: Time,
    is_reading: bool,
    /// When the first watcher was asked.
    first_asked_at: Option<Time>,
    /// The revision held; none before the first content.
    at: Option<StoreRevision>,
    /// The latest copy of the store that anything was taken over from; none before the first content.
    era: Option<u64>,
    /// When the store last confirmed to this node itself that what it holds is the newest.
    confirmed_by_store: Option<Time>,
    /// When a watcher's word last did.
    confirmed_by_source: Option<Time>,
    /// The latest moment at which what is held was certainly the newest: what is not held came later. A confirmation
    /// that was held up on its way, or by this node's own pause, does not move it further than to when it was given.
    current_at: Option<Time>,
    sources: BTreeMap<NodeId, Source>,
    followers: Followers,
    /// How long a watcher takes to tell all of its followers in turn what they lack.
    turn_patience: Duration,
    /// Whether content of the store's was left out since some was last taken over.
    leaves_out: bool,
    /// Until when what the store lost may still be written again; none where it has not come back from an older copy
    /// lately.
    settled_at: Option<Time>,
}

impl Feed {
    /// A node that knows nothing yet. It reads the store once its view of the others has had time to settle,
    /// unless it turns out that others read it for this node.
    #[must_use]
    pub fn new(parameters: FeedParameters, now: Time) -> Self {
        Self {
            parameters,
            wanted_sources: Vec::new(),
            watcher_since: Some(now),
            started_at: now,
            is_reading: false,
            first_asked_at: None,
            at: None,
            era: None,
            confirmed_by_store: None,
            confirmed_by_source: None,
            current_at: None,
            sources: BTreeMap::new(),
            followers: Followers::default(),
            turn_patience: Duration::ZERO,
            leaves_out: false,
            settled_at: None,
        }
    }

    /// Takes an event into account and says what to do. `now` never goes back.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::MembersChanged(members) => self.members_changed(now, &members),
            Event::StaleListing { at, objects } => {
                self.take(now, at, FeedContent::Snapshot(objects), &mut effects);
            }
            // It may be older than anything that came with a revision.
            Event::PeerSnapshot(objects) if self.at.is_none() => effects.push(Effect::Apply {
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
                    self.note_current(current_at);
                }
            }
            Event::SourceLost(source) => self.source_lost(now, source),
            Event::FollowRequested { follower, known } => self.followers.asked(follower, known),
            Event::FollowerLeft(follower) => self.followers.remove(follower),
            Event::FollowerAcknowledged { follower, held } => self.followers.took(follower, held),
            // All is asked for anew.
            Event::ContentMismatch => {
                self.at = None;
                self.current_at = None;
                self.sources.clear();
            }
            Event::Tick => {}
        }
        self.settle(now, &mut effects);
        self.choose_sources(now, &mut effects);
        self.choose_reading(now, &mut effects);
        self.deliver(now, &mut effects);
        effects
    }

    /// When [`Event::Tick`] is next due.
    #[must_use]
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        let reads_at = self.last_source_word() + self.direct_read_timeout();
        let settles_at = self.watcher_since.map(|since| since + VIEW_SETTLES);
        let follows_at = self
            .confirmed_by_store
            .map(|at| at + self.parameters.store_timeout);
        let asks = self.sources.values().filter_map(|source| match source {
            Source::Lost(at) => Some(*at + ASK_AGAIN),
            Source::Asked | Source::InStep => None,
        });
        let begins_at = self.started_at + self.parameters.listing_timeout;
        let all_asked_at = self.first_asked_at.map(|at| at + self.first_patience());
        // What has passed was dealt with when it passed.
        let deadlines = [reads_at, begins_at]
            .into_iter()
            .chain(all_asked_at)
            .chain(settles_at)
            .chain(self.settled_at)
            .chain(follows_at)
            .chain(self.followers.next_deadline())
            .chain(asks);
        deadlines.filter(|at| *at > now).min()
    }

    /// Whether other nodes hear of changes from this one.
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

    /// The revision held; none before the first content.
    #[must_use]
    pub const fn held_revision(&self) -> Option<StoreRevision> {
        self.at
    }

    /// When a watcher last confirmed the feed, or this node started.
    fn last_source_word(&self) -> Time {
        self.confirmed_by_source.unwrap_or(self.started_at)
    }

    fn members_changed(&mut self, now: Time, members: &[PeerLocation]) {
        let (node, region) = (self.parameters.node, &self.parameters.region);
        let watchers = ranking::watchers(region, members);
        let is_watcher = watchers.is_empty() || watchers.contains(&node);
        self.watcher_since = is_watcher.then(|| self.watcher_since.unwrap_or(now));
        self.wanted_sources = ranking::sources(node, region, members);
        self.turn_patience = DELIVERY_TIME * ranking::followers_each(region, members);
    }

    /// How long after the last word of its watchers this node reads the store itself. One that holds nothing can't act
    /// on anything outdated and may be the last in turn of a watcher's followers: a fleet that starts and reads the store
    /// as one takes all of its link.
    fn direct_read_timeout(&self) -> Duration {
        let usual = self.parameters.direct_read_timeout;
        if self.at.is_some() || self.turn_patience <= usual {
            return usual;
        }
        // Those who give up don't all read the store at once.
        let share = xxh3_64(&self.parameters.node.0.to_be_bytes()) % SHARES;
        let spread = microseconds(self.turn_patience - usual) * share / SHARES;
        self.turn_patience + Duration::from_micros(spread)
    }

    fn store_answered(
        &mut self,
        now: Time,
        at: StoreRevision,
        content: FeedContent,
        current_at: Time,
        effects: &mut Vec<Effect>,
    ) {
        let goes_in_turn = match &content {
            FeedContent::Snapshot(_) => true,
            FeedContent::Changes(bytes) => bytes.len() > MAXIMUM_IMMEDIATE_PUSH_BYTES,
            FeedContent::ChangesSince { .. } | FeedContent::Unchanged => false,
        };
        // Followers get every word of the store's, so that none is missing to those in step.
        let told = content.clone();
        if content != FeedContent::Unchanged {
            self.note_left_out(at, effects);
        }
        if !self.take(now, at, content, effects) {
            return;
        }
        self.confirmed_by_store = Some(now);
        self.note_current(Some(current_at));
        if goes_in_turn {
            self.followers.queue_all(self.at.unwrap_or(at));
            return;
        }
        let followers = self.followers.tell_in_step(at);
        if !followers.is_empty() {
            effects.push(Effect::Push {
                followers,
                at,
                age: Duration::ZERO,
                // Of the state that is told, which may be older than what is held.
                current_at: self.current_at.min(Some(current_at)),
                content: told,
            });
        }
    }

    /// Tells followers that wait what they lack of the state here, a few at a time.
    fn deliver(&mut self, now: Time, effects: &mut Vec<Effect>) {
        // Until the store has answered, nothing here is confirmed.
        let (Some(at), Some(confirmed)) = (self.at, self.confirmed_by_store) else {
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

    /// Takes a watcher's word over. Returns whether it could be.
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
        if self.is_outdated(at) {
            return false;
        }
        self.sources.insert(source, Source::InStep);
        // What follows on something that is not held can't be taken over.
        let lacks_base =
            matches!(&content, FeedContent::ChangesSince { since, .. } if self.at < Some(*since));
        if lacks_base {
            self.at = None;
            self.sources.clear();
            return false;
        }
        if !self.take(now, at, content, effects) {
            // A change of a copy of the store of which nothing is held: the watcher is asked for all of it.
            self.sources.remove(&source);
            return false;
        }
        // A watcher that is behind confirms all the same: what it has not seen came later than its confirmation.
        let confirmed = Time(now.0.saturating_sub(microseconds(age)));
        self.confirmed_by_source = self.confirmed_by_source.max(Some(confirmed));
        true
    }

    /// Tells, once, that the store's content is older than what is held.
    fn note_left_out(&mut self, at: StoreRevision, effects: &mut Vec<Effect>) {
        let newer = self.at.filter(|held| at < *held);
        let was_left_out = std::mem::replace(&mut self.leaves_out, newer.is_some());
        if let Some(held) = newer.filter(|_| !was_left_out) {
            effects.push(Effect::OlderContentIgnored { at, held });
        }
    }

    /// Takes over what is newer than what is held. Returns whether that is now at least as new; not so for what is of an
    /// earlier copy of the store than what is held, and for a change in a later one, which leads from nothing that is held.
    fn take(
        &mut self,
        now: Time,
        at: StoreRevision,
        content: FeedContent,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if self.is_outdated(at) {
            return false;
        }
        let is_other_copy = self.era.is_some_and(|era| era != at.era());
        if is_other_copy && !matches!(content, FeedContent::Snapshot(_)) {
            return false;
        }
        // A node that has just started can't know when the store last came back.
        let may_be_restored = self.era.is_none() && at.era() > 0;
        if is_other_copy || may_be_restored {
            self.settled_at = Some(now + self.parameters.restore_settle_time);
        }
        self.era = Some(at.era());
        let is_newer = self.at.is_none_or(|held| at > held);
        self.at = self.at.max(Some(at));
        if is_newer && content != FeedContent::Unchanged {
            effects.push(Effect::Apply {
                at: Some(at),
                content,
                since: self.current_at,
            });
        }
        true
    }

    /// Whether something is told of a copy of the store that is gone.
    fn is_outdated(&self, at: StoreRevision) -> bool {
        self.era.is_some_and(|era| at.era() < era)
    }

    /// What is held was the newest at this moment. While what the store lost may still be written again, that dates
    /// nothing: what comes may have been said before the store lost it.
    fn note_current(&mut self, moment: Option<Time>) {
        if self.settled_at.is_none() {
            self.current_at = self.current_at.max(moment);
        }
    }

    fn settle(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.settled_at.is_some_and(|at| now >= at) {
            self.settled_at = None;
            effects.push(Effect::RestoreSettled);
        }
    }

    fn source_lost(&mut self, now: Time, source: NodeId) {
        if let Some(known) = self.sources.get_mut(&source) {
            *known = Source::Lost(now);
        }
    }

    /// How long a node that starts gives its first watcher before it follows the second as well.
    fn first_patience(&self) -> Duration {
        self.parameters.listing_timeout * FIRST_PATIENCE
    }

    /// The watchers to follow now. A node that starts begins with one: two would both send it all that it lacks.
    fn sources_to_follow(&mut self, now: Time) -> Vec<NodeId> {
        let asked_at = *self.first_asked_at.get_or_insert(now);
        let awaits_first =
            self.confirmed_by_source.is_none() && now.since(asked_at) < self.first_patience();
        if !awaits_first {
            return self.wanted_sources.clone();
        }
        let is_lost = |node: &&NodeId| matches!(self.sources.get(*node), Some(Source::Lost(_)));
        let first = self.wanted_sources.iter().find(|node| !is_lost(node));
        first.copied().into_iter().collect()
    }

    /// A node that doesn't rank as a watcher follows some; so does a watcher that the store doesn't answer.
    fn choose_sources(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let awaits_listing =
            self.at.is_none() && now.since(self.started_at) < self.parameters.listing_timeout;
        if awaits_listing {
            return;
        }
        let store_timeout = self.parameters.store_timeout;
        let is_confirmed = self
            .confirmed_by_store
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
                Some(Source::Lost(at)) => now.since(*at) >= ASK_AGAIN,
                Some(Source::Asked | Source::InStep) => false,
            };
            if is_due {
                self.sources.insert(source, Source::Asked);
                let known = self.at;
                effects.push(Effect::Follow { source, known });
            }
        }
    }

    fn choose_reading(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_settled_watcher = self
            .watcher_since
            .is_some_and(|since| now.since(since) >= VIEW_SETTLES);
        let is_unconfirmed = now.since(self.last_source_word()) >= self.direct_read_timeout();
        let wants = is_settled_watcher || is_unconfirmed;
        if wants != self.is_reading {
            self.is_reading = wants;
            effects.push(Effect::ReadStore(wants));
        }
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
