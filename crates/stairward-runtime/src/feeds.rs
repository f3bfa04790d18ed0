//! Drives the feeds: one stream of store objects per kind, read from the store or received from nodes that watch it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use stairward_membership::PeerClock;
use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{
    Effect, Event, Feed, FeedContent, FeedParameters, FollowerId, MAXIMUM_IMMEDIATE_PUSH_BYTES,
};
use stairward_protocol::Text;
use stairward_protocol::node_message::{FeedStateMessage, NodeMessage};
use stairward_types::{LogEvent, NodeId, StoreRevision, Time};
use tokio::sync::{Notify, watch};

use crate::compression::{compress, decompress};
use crate::node::Node;
use crate::peer_link::frame;
use crate::prometheus;
use crate::socket::Outgoing;
use crate::traffic::TrafficKind;
use crate::wire::Wire;

/// Minimum interval between publications of a feed's objects, since hundreds of them change one by one while a fleet
/// starts. The first change after a quiet time is published at once.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a starting node waits for a stale listing from the store before it requests all objects from peers. Two
/// pages, with 20 ms between regions and an eighth of a core, take up to 300 ms (`fleetbench run`, 300 nodes, 900
/// objects).
const LISTING_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks while no deadline is set.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts that decide when a node reads the store for a feed itself.
#[derive(Debug, Clone, Copy)]
pub struct FeedTimeouts {
    /// A follower reads the store after its watchers have been silent for this long.
    pub reads_after: Duration,
    /// A watcher follows other watchers after the store has not answered for this long.
    pub follows_after: Duration,
    /// Grace period after the store was restored from an older copy, in which the writers of lost objects can write
    /// them again.
    pub settles_after: Duration,
}

/// Storage for the objects of one feed, implemented by the embedding program.
pub trait FeedObjects {
    /// Replaces or changes objects to bring them to a revision; none for a document of a peer. Returns false if the
    /// content does not lead to the objects it describes, for example because the digests differ.
    fn apply(&self, at: Option<StoreRevision>, content: &FeedContent) -> bool;
    /// Ends the grace period after the store was restored from an older copy: objects that were not written again are
    /// lost.
    fn end_restore_grace(&self);
    /// Makes the current objects take effect. Called after `apply`, once for all changes within [`PUBLISH_INTERVAL`].
    /// Changes since the last call happened after `since`, or at an unknown time if that is none.
    fn publish(&self, since: Option<Time>);
    /// All objects, serialized; empty before the first listing.
    fn snapshot(&self) -> Vec<u8>;
    /// Changes after a revision, serialized.
    fn changes_since(&self, revision: StoreRevision) -> Vec<u8>;
    /// A digest of all objects, to compare them between nodes.
    fn digest(&self) -> u64;
}

/// An open feed with its objects and caches.
struct OpenFeed {
    feed: RefCell<Feed>,
    objects: Rc<dyn FeedObjects>,
    /// Cache of the compressed changes after a revision; cleared when the objects change.
    changes_cache: RefCell<Option<(StoreRevision, Vec<u8>)>>,
    /// Cache of all objects, compressed; cleared when they change. Hundreds of starting nodes request them within a
    /// second, and without the cache each request cost a watcher on 0.12 of a core 80 ms (300 nodes, 900 objects).
    snapshot_cache: RefCell<Option<Vec<u8>>>,
    reading: watch::Sender<bool>,
    /// When the objects were last published, or are scheduled to be.
    published_at: Cell<Option<Time>>,
    /// Lower bound on the time of the unpublished changes: the outer none when all are published, the inner none when
    /// the time is unknown.
    unpublished_since: Cell<Option<Option<Time>>>,
}

impl OpenFeed {
    /// Replaces or changes objects. The change happened after `since`.
    fn apply(&self, at: Option<StoreRevision>, content: &FeedContent, since: Option<Time>) -> bool {
        self.mark_unpublished(since);
        *self.snapshot_cache.borrow_mut() = None;
        *self.changes_cache.borrow_mut() = None;
        self.objects.apply(at, content)
    }

    /// Records that there are unpublished changes, which happened after `since` or at an unknown time.
    fn mark_unpublished(&self, since: Option<Time>) {
        // `None`, an unknown time, sorts before every known time.
        let earliest = self
            .unpublished_since
            .get()
            .map_or(since, |unpublished| unpublished.min(since));
        self.unpublished_since.set(Some(earliest));
    }

    fn publish(&self) {
        self.objects
            .publish(self.unpublished_since.take().flatten());
    }

    /// Changes after a revision, compressed.
    fn compressed_changes(&self, revision: StoreRevision) -> Vec<u8> {
        let mut cache = self.changes_cache.borrow_mut();
        match cache.as_ref() {
            Some((since, bytes)) if *since == revision => bytes.clone(),
            _ => {
                let bytes = compress(&self.objects.changes_since(revision));
                *cache = Some((revision, bytes.clone()));
                bytes
            }
        }
    }

    /// All objects, compressed; empty before the first listing.
    fn compressed_snapshot(&self) -> Vec<u8> {
        let mut cache = self.snapshot_cache.borrow_mut();
        let known = cache.get_or_insert_with(|| {
            let whole = self.objects.snapshot();
            if whole.is_empty() {
                whole
            } else {
                compress(&whole)
            }
        });
        known.clone()
    }
}

/// The state of a feed as sent to followers.
#[derive(Clone, Copy)]
struct FeedState {
    at: StoreRevision,
    age: Duration,
    current_at: Option<Time>,
}

/// The feeds of a node and the links of their followers.
#[derive(Default)]
pub(crate) struct Feeds {
    by_name: RefCell<BTreeMap<&'static str, Rc<OpenFeed>>>,
    follower_links: RefCell<BTreeMap<FollowerId, Rc<Outgoing>>>,
    /// Clock offsets of the followed watchers.
    source_clocks: RefCell<BTreeMap<NodeId, PeerClock>>,
    rescheduled: Notify,
}

impl Feeds {
    fn get(&self, name: &str) -> Option<Rc<OpenFeed>> {
        self.by_name.borrow().get(name).cloned()
    }

    fn all(&self) -> Vec<(&'static str, Rc<OpenFeed>)> {
        let feeds = self.by_name.borrow();
        feeds
            .iter()
            .map(|(name, feed)| (*name, Rc::clone(feed)))
            .collect()
    }

    /// All objects of a feed, compressed; none if the feed is not open on this node.
    pub(crate) fn compressed_snapshot(&self, name: &str) -> Option<Vec<u8>> {
        self.get(name).map(|feed| feed.compressed_snapshot())
    }

    /// Stores a clock reading of a watcher.
    pub(crate) fn set_source_clock(&self, source: NodeId, clock: PeerClock) {
        self.source_clocks.borrow_mut().insert(source, clock);
    }

    /// Converts a watcher's time to a lower bound on this node's clock; none while the watcher's clock is unknown.
    fn to_local_time(&self, source: NodeId, remote_time: Time) -> Option<Time> {
        let clocks = self.source_clocks.borrow();
        clocks.get(&source)?.local_lower_bound(remote_time)
    }

    fn next_wake(&self, now: Time) -> Option<Time> {
        let feeds = self.by_name.borrow();
        let deadlines = feeds.values();
        deadlines
            .filter_map(|feed| feed.feed.borrow().next_deadline(now))
            .min()
    }
}

impl<W: Wire> Node<W> {
    /// Opens a feed. The returned channel tells whether this node has to read the store for it.
    pub fn open_feed(
        self: &Rc<Self>,
        name: &'static str,
        times: FeedTimeouts,
        objects: Rc<dyn FeedObjects>,
    ) -> watch::Receiver<bool> {
        let (reading, is_reading) = watch::channel(false);
        let parameters = FeedParameters {
            node: self.peer.node,
            region: self.peer.region.clone(),
            direct_read_timeout: times.reads_after,
            listing_timeout: LISTING_TIMEOUT,
            store_timeout: times.follows_after,
            restore_settle_time: times.settles_after,
        };
        let feed = Rc::new(OpenFeed {
            feed: RefCell::new(Feed::new(parameters, self.now())),
            objects,
            changes_cache: RefCell::new(None),
            snapshot_cache: RefCell::new(None),
            reading,
            published_at: Cell::new(None),
            unpublished_since: Cell::new(None),
        });
        self.feeds.by_name.borrow_mut().insert(name, feed);
        self.handle_feed_event(name, Event::Tick);
        is_reading
    }

    /// Applies an answer of the store for a feed: the revision, a time at which that was certainly the newest one, and
    /// the content.
    pub fn apply_store_answer(
        self: &Rc<Self>,
        name: &'static str,
        at: StoreRevision,
        current_at: Time,
        content: FeedContent,
    ) {
        let answered = Event::StoreAnswered {
            at,
            current_at,
            content,
        };
        self.handle_feed_event(name, answered);
    }

    /// Applies a listing of the store that may be stale.
    pub fn apply_stale_listing(
        self: &Rc<Self>,
        name: &'static str,
        at: StoreRevision,
        objects: Vec<u8>,
    ) {
        self.handle_feed_event(name, Event::StaleListing { at, objects });
    }

    /// Applies a document that a peer last read, used until the store or a watcher answers.
    pub fn apply_peer_document(self: &Rc<Self>, name: &'static str, content: Vec<u8>) {
        self.handle_feed_event(name, Event::PeerSnapshot(content));
    }

    /// Whether other nodes follow a feed through this node.
    #[must_use]
    pub fn has_feed_followers(&self, name: &str) -> bool {
        let feed = self.feeds.get(name);
        feed.is_some_and(|feed| feed.feed.borrow().has_followers())
    }

    /// The revision of a feed's objects on this node; none before the first content.
    #[must_use]
    pub fn held_feed_revision(&self, name: &str) -> Option<StoreRevision> {
        self.feeds.get(name)?.feed.borrow().held_revision()
    }

    /// Whether this node is ranked as a watcher of a feed, which reads the store and serves followers.
    #[must_use]
    pub fn is_feed_watcher(&self, name: &str) -> bool {
        let feed = self.feeds.get(name);
        feed.is_some_and(|feed| feed.feed.borrow().is_watcher())
    }

    /// Sends the feeds a tick whenever a deadline is due. Never returns.
    pub async fn run_feeds(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake_at = self.feeds.next_wake(now);
            let pause = wake_at.map_or(IDLE_CHECK_INTERVAL, |at| at.since(now));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.feeds.rescheduled.notified() => continue,
            }
            for (name, _) in self.feeds.all() {
                self.handle_feed_event(name, Event::Tick);
            }
        }
    }

    /// Passes the membership view to the feeds.
    pub(crate) fn update_feed_members(self: &Rc<Self>) {
        let places: Vec<_> = {
            let members = self.members.borrow();
            let places = members.iter().map(|member| PeerLocation {
                node: member.node,
                region: member.region.clone(),
                leaving: member.leaving,
            });
            places.collect()
        };
        for (name, _) in self.feeds.all() {
            self.handle_feed_event(name, Event::MembersChanged(places.clone()));
        }
    }

    /// Handles the loss of a link to a node that may be a followed watcher.
    pub(crate) fn handle_source_lost(self: &Rc<Self>, source: NodeId) {
        self.feeds.source_clocks.borrow_mut().remove(&source);
        for (name, _) in self.feeds.all() {
            self.handle_feed_event(name, Event::SourceLost(source));
        }
        self.feeds.rescheduled.notify_one();
    }

    /// Adds a follower of a feed.
    pub(crate) fn add_follower(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        name: &Text,
        known: u64,
    ) {
        let follower = FollowerId(link);
        let mut links = self.feeds.follower_links.borrow_mut();
        links.insert(follower, Rc::clone(outgoing));
        drop(links);
        let known = (known > 0).then_some(StoreRevision::from_number(known));
        self.handle_feed_event(name.as_str(), Event::FollowRequested { follower, known });
    }

    /// Removes a follower of a feed.
    pub(crate) fn remove_follower(self: &Rc<Self>, link: u64, name: &Text) {
        self.handle_feed_event(name.as_str(), Event::FollowerLeft(FollowerId(link)));
    }

    /// Records that a follower has applied content up to a revision.
    pub(crate) fn follower_applied(self: &Rc<Self>, link: u64, name: &Text, held: u64) {
        let took = Event::FollowerAcknowledged {
            follower: FollowerId(link),
            held: StoreRevision::from_number(held),
        };
        self.handle_feed_event(name.as_str(), took);
    }

    /// Reports the held revision to the watchers of a feed: the sender of a large content can serve its next follower,
    /// and the other watchers need not send the same content.
    fn report_held_revision(self: &Rc<Self>, name: &Text) {
        let Some(open) = self.feeds.get(name.as_str()) else {
            return;
        };
        let (sources, held) = {
            let feed = open.feed.borrow();
            (feed.sources().collect::<Vec<_>>(), feed.held_revision())
        };
        let message = NodeMessage::FeedApplied {
            name: name.clone(),
            held: held.map_or(0, StoreRevision::number),
        };
        for source in sources {
            self.send_to_peer(source, &message);
        }
    }

    /// Removes a follower whose link has ended.
    pub(crate) fn remove_followers_of_link(self: &Rc<Self>, link: u64) {
        let follower = FollowerId(link);
        let removed = self.feeds.follower_links.borrow_mut().remove(&follower);
        if removed.is_some() {
            for (name, _) in self.feeds.all() {
                self.handle_feed_event(name, Event::FollowerLeft(follower));
            }
        }
    }

    /// Applies a state message of a watcher.
    pub(crate) fn handle_source_answer(self: &Rc<Self>, source: NodeId, message: FeedStateMessage) {
        let Some(content) = decode_content(&message) else {
            tracing::warn!(
                event = LogEvent::ConfigurationRefused.number(),
                source = source.0
            );
            return;
        };
        let is_large = match &content {
            FeedContent::Snapshot(_) | FeedContent::ChangesSince { .. } => true,
            FeedContent::Changes(bytes) => bytes.len() > MAXIMUM_IMMEDIATE_PUSH_BYTES,
            FeedContent::Unchanged => false,
        };
        let current_at = Some(message.current_at_microseconds)
            .filter(|told| *told > 0)
            .and_then(|told| self.feeds.to_local_time(source, Time(told)));
        let answered = Event::SourceAnswered {
            source,
            at: StoreRevision::from_number(message.at),
            age: Duration::from_micros(message.age_microseconds),
            current_at,
            content,
        };
        self.handle_feed_event(message.name.as_str(), answered);
        self.refresh_clock(source);
        if is_large {
            self.report_held_revision(&message.name);
        }
    }

    fn query_clock(self: &Rc<Self>, source: NodeId) {
        let question = NodeMessage::QueryClock {
            asked_at_microseconds: self.now().0,
        };
        self.send_to_peer(source, &question);
    }

    /// Requests a watcher's clock again when the last reading is too old.
    fn refresh_clock(self: &Rc<Self>, source: NodeId) {
        let now = self.now();
        let clock = self.feeds.source_clocks.borrow().get(&source).copied();
        if clock.is_some_and(|clock| clock.is_stale(now)) {
            self.query_clock(source);
        }
    }

    fn handle_feed_event(self: &Rc<Self>, name: &str, event: Event) {
        let Some(open) = self.feeds.get(name) else {
            return;
        };
        let now = self.now();
        let held_before = open.feed.borrow().held_revision();
        let effects = open.feed.borrow_mut().handle(now, event);
        let held = open.feed.borrow().held_revision();
        if let Some(held) = held.filter(|_| held != held_before) {
            prometheus::set_feed_revision(name, held);
        }
        for effect in effects {
            self.apply_feed_effect(name, &open, effect);
        }
    }

    /// Publishes a feed's objects at once, or at the end of the publish interval.
    fn publish_feed(&self, open: &Rc<OpenFeed>) {
        let now = self.now();
        match open.published_at.get() {
            // A publication is already scheduled.
            Some(at) if at > now => {}
            Some(at) if now.since(at) < PUBLISH_INTERVAL => {
                let due = at + PUBLISH_INTERVAL;
                open.published_at.set(Some(due));
                let open = Rc::clone(open);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(due.since(now)).await;
                    open.publish();
                });
            }
            _ => {
                open.published_at.set(Some(now));
                open.publish();
            }
        }
    }

    fn apply_feed_effect(self: &Rc<Self>, name: &str, open: &Rc<OpenFeed>, effect: Effect) {
        match effect {
            Effect::ReadStore(is_reading) => {
                let event = if is_reading {
                    LogEvent::WatcherStarted
                } else {
                    LogEvent::WatcherStopped
                };
                tracing::info!(event = event.number(), feed = name);
                open.reading.send_replace(is_reading);
            }
            Effect::Follow { source, known } => {
                // Sent first, so that the clock is known when the first state message arrives.
                self.query_clock(source);
                let message = NodeMessage::SubscribeFeed {
                    name: Text::new(name),
                    known: known.map_or(0, StoreRevision::number),
                };
                self.send_to_peer(source, &message);
            }
            Effect::Unfollow(source) => {
                if self.links.borrow().contains_key(&source) {
                    let name = Text::new(name);
                    self.send_to_peer(source, &NodeMessage::UnsubscribeFeed { name });
                }
            }
            Effect::Apply { at, content, since } => {
                let is_consistent = open.apply(at, &content, since);
                self.publish_feed(open);
                if !is_consistent {
                    let event = LogEvent::FeedInconsistent;
                    tracing::warn!(event = event.number(), name = event.name(), feed = name);
                    self.handle_feed_event(name, Event::ContentMismatch);
                }
            }
            Effect::RestoreSettled => {
                open.objects.end_restore_grace();
                // Lost objects disappear now; the time of that change is unknown.
                open.mark_unpublished(None);
                self.publish_feed(open);
            }
            Effect::OlderContentIgnored { at, held } => {
                let event = LogEvent::StoreContentLeftOut;
                tracing::warn!(
                    event = event.number(),
                    name = event.name(),
                    feed = name,
                    %at,
                    %held
                );
            }
            Effect::Push {
                followers,
                at,
                age,
                current_at,
                content,
            } => {
                let state = FeedState {
                    at,
                    age,
                    current_at,
                };
                self.send_to_followers(name, open, &followers, state, &content);
            }
        }
    }

    fn send_to_followers(
        self: &Rc<Self>,
        name: &str,
        open: &OpenFeed,
        followers: &[FollowerId],
        state: FeedState,
        content: &FeedContent,
    ) {
        let mut message = FeedStateMessage {
            name: Text::new(name),
            at: state.at.number(),
            age_microseconds: u64::try_from(state.age.as_micros()).unwrap_or(u64::MAX),
            current_at_microseconds: state.current_at.map_or(0, |at| at.0),
            kind: FeedStateMessage::UNCHANGED,
            since: 0,
            digest: 0,
            content: Vec::new().into(),
        };
        match content {
            FeedContent::Unchanged => {}
            FeedContent::Changes(bytes) => {
                message.kind = FeedStateMessage::CHANGES;
                message.content = compress(bytes).into();
            }
            FeedContent::Snapshot(_) => {
                message.kind = FeedStateMessage::WHOLE;
                message.content = open.compressed_snapshot().into();
            }
            FeedContent::ChangesSince { since, .. } => {
                message.kind = FeedStateMessage::SINCE;
                message.since = since.number();
                message.digest = open.objects.digest();
                message.content = open.compressed_changes(*since).into();
            }
        }
        let bytes = frame(&NodeMessage::FeedState(message));
        let links = self.feeds.follower_links.borrow();
        for outgoing in followers.iter().filter_map(|follower| links.get(follower)) {
            self.traffic.sent(TrafficKind::Feed, bytes.len());
            // A failed link is cleaned up by the task that reads it.
            let _ = outgoing.send(&bytes);
        }
    }
}

fn decode_content(message: &FeedStateMessage) -> Option<FeedContent> {
    let unpacked = || decompress(&message.content.bytes);
    Some(match message.kind {
        FeedStateMessage::UNCHANGED => FeedContent::Unchanged,
        FeedStateMessage::CHANGES => FeedContent::Changes(unpacked()?),
        FeedStateMessage::WHOLE => FeedContent::Snapshot(unpacked()?),
        FeedStateMessage::SINCE => FeedContent::ChangesSince {
            since: StoreRevision::from_number(message.since),
            changes: unpacked()?,
            digest: message.digest,
        },
        _ => return None,
    })
}
