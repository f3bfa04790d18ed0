//! Driving the feeds: the store's objects by kind, read here or heard from watchers among the nodes.

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
use crate::neighbour_link::frame;
use crate::node::Node;
use crate::prometheus;
use crate::socket::Outgoing;
use crate::traffic::TrafficKind;
use crate::wire::Wire;

/// Shortest pause between two showings of a feed's objects: in a fleet that starts, hundreds change one by one.
/// A change after a quiet time is shown at once.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a node that starts waits for the store's stale listing before it asks others for all objects. Two pages
/// over 20 ms between regions and an eighth of a core take up to 300 ms (`fleetbench run`, 300 nodes, 900 objects).
const LISTING_PATIENCE: Duration = Duration::from_millis(600);
/// How often deadlines are looked at when none is known.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// When a node reads the store for a feed, and when it believes it.
#[derive(Debug, Clone, Copy)]
pub struct FeedTimeouts {
    /// How long after the last word of its watchers a follower reads the store itself.
    pub reads_after: Duration,
    /// How long after the store's last answer a watcher follows others.
    pub follows_after: Duration,
    /// How long whoever wrote what the store lost, when it came back from an older copy, is given to write it again.
    pub settles_after: Duration,
}

/// The objects of one feed, in the form that the embedder gives them.
pub trait FeedObjects {
    /// Replaces all objects, or changes some, so that they are those of a revision; none for a peer's document. Returns
    /// whether the objects are now those that the content is about.
    fn apply(&self, at: Option<StoreRevision>, content: &FeedContent) -> bool;
    /// The store came back from an older copy, and whoever wrote what it lost has had the time to write it again.
    fn end_restore_grace(&self);
    /// Acts on the objects as they are. Called after `take`, once for all that came within [`PUBLISH_INTERVAL`]. What differs
    /// from the last showing came about after `since`, or at any time where that is not known.
    fn publish(&self, since: Option<Time>);
    /// All objects; empty while there are none.
    fn snapshot(&self) -> Vec<u8>;
    /// What has changed after a revision, in the form of changes.
    fn changes_since(&self, revision: StoreRevision) -> Vec<u8>;
    /// A digest of all objects: where two are equal, the objects are.
    fn digest(&self) -> u64;
}

/// A feed and what belongs to it.
struct OpenFeed {
    feed: RefCell<Feed>,
    objects: Rc<dyn FeedObjects>,
    /// What has changed after a revision, compressed, until the objects change.
    packed_since: RefCell<Option<(StoreRevision, Vec<u8>)>>,
    /// All objects, compressed, until they change: hundreds of nodes that start ask for them within a second, and
    /// making them anew each time took a watcher on 0.12 of a core 80 ms a follower (300 nodes, 900 objects).
    packed: RefCell<Option<Vec<u8>>>,
    reading: watch::Sender<bool>,
    /// When the objects were last shown, or will be.
    shown_at: Cell<Option<Time>>,
    /// After which moment what has not been shown yet came about; the outer none where all has been shown.
    unshown_since: Cell<Option<Option<Time>>>,
}

impl OpenFeed {
    /// Replaces all objects, or changes some. The change came about after `since`.
    fn take(&self, at: Option<StoreRevision>, content: &FeedContent, since: Option<Time>) -> bool {
        self.note_unshown(since);
        *self.packed.borrow_mut() = None;
        *self.packed_since.borrow_mut() = None;
        self.objects.apply(at, content)
    }

    /// Something has changed after a moment, or at any time, and has not been shown yet.
    fn note_unshown(&self, since: Option<Time>) {
        // Not known is before all that is.
        let earliest = self
            .unshown_since
            .get()
            .map_or(since, |unshown| unshown.min(since));
        self.unshown_since.set(Some(earliest));
    }

    fn show(&self) {
        self.objects.publish(self.unshown_since.take().flatten());
    }

    /// What has changed after a revision, compressed.
    fn packed_since(&self, revision: StoreRevision) -> Vec<u8> {
        let mut packed = self.packed_since.borrow_mut();
        match packed.as_ref() {
            Some((since, bytes)) if *since == revision => bytes.clone(),
            _ => {
                let bytes = compress(&self.objects.changes_since(revision));
                *packed = Some((revision, bytes.clone()));
                bytes
            }
        }
    }

    /// All objects, compressed; empty while there are none.
    fn packed(&self) -> Vec<u8> {
        let mut packed = self.packed.borrow_mut();
        let known = packed.get_or_insert_with(|| {
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

/// The state of a feed that followers are told.
#[derive(Clone, Copy)]
struct ToldState {
    at: StoreRevision,
    age: Duration,
    current_at: Option<Time>,
}

/// The feeds of a node, and the links over which other nodes follow them.
#[derive(Default)]
pub(crate) struct Feeds {
    by_name: RefCell<BTreeMap<&'static str, Rc<OpenFeed>>>,
    follower_links: RefCell<BTreeMap<FollowerId, Rc<Outgoing>>>,
    /// Clocks of the watchers that are followed.
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

    /// All objects of a feed, compressed; none where it isn't followed here.
    pub(crate) fn packed(&self, name: &str) -> Option<Vec<u8>> {
        self.get(name).map(|feed| feed.packed())
    }

    /// A watcher told what its clock says.
    pub(crate) fn clock_told(&self, source: NodeId, clock: PeerClock) {
        self.source_clocks.borrow_mut().insert(source, clock);
    }

    /// A moment of this node's clock that is no later than one of a watcher's; none where its clock is not known yet.
    fn on_own_clock(&self, source: NodeId, theirs: Time) -> Option<Time> {
        let clocks = self.source_clocks.borrow();
        clocks.get(&source)?.local_lower_bound(theirs)
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
    /// Opens a feed. What is returned says whether this node is to read the store for it.
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
            listing_timeout: LISTING_PATIENCE,
            store_timeout: times.follows_after,
            restore_settle_time: times.settles_after,
        };
        let feed = Rc::new(OpenFeed {
            feed: RefCell::new(Feed::new(parameters, self.now())),
            objects,
            packed_since: RefCell::new(None),
            packed: RefCell::new(None),
            reading,
            shown_at: Cell::new(None),
            unshown_since: Cell::new(None),
        });
        self.feeds.by_name.borrow_mut().insert(name, feed);
        self.feed_event(name, Event::Tick);
        is_reading
    }

    /// The store answered for a feed: its state at a revision, a moment at which that was certainly the newest, and what
    /// came with it.
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
        self.feed_event(name, answered);
    }

    /// The store listed a feed's objects as they were a while ago.
    pub fn apply_stale_listing(
        self: &Rc<Self>,
        name: &'static str,
        at: StoreRevision,
        objects: Vec<u8>,
    ) {
        self.feed_event(name, Event::StaleListing { at, objects });
    }

    /// Takes over what a peer last read, until the store or a watcher answers.
    pub fn apply_peer_document(self: &Rc<Self>, name: &'static str, content: Vec<u8>) {
        self.feed_event(name, Event::PeerSnapshot(content));
    }

    /// Whether other nodes hear of a feed's changes from this one.
    #[must_use]
    pub fn has_feed_followers(&self, name: &str) -> bool {
        let feed = self.feeds.get(name);
        feed.is_some_and(|feed| feed.feed.borrow().has_followers())
    }

    /// The revision of a feed's objects that this node holds; none before the first.
    #[must_use]
    pub fn held_feed_revision(&self, name: &str) -> Option<StoreRevision> {
        self.feeds.get(name)?.feed.borrow().held_revision()
    }

    /// Whether this node ranks as a watcher of a feed, from which others hear of changes.
    #[must_use]
    pub fn is_feed_watcher(&self, name: &str) -> bool {
        let feed = self.feeds.get(name);
        feed.is_some_and(|feed| feed.feed.borrow().is_watcher())
    }

    /// Wakes the feeds when something is due. Runs for ever.
    pub async fn run_feeds(self: Rc<Self>) {
        loop {
            let now = self.now();
            let wake_at = self.feeds.next_wake(now);
            let pause = wake_at.map_or(IDLE_PAUSE, |at| at.since(now));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.feeds.rescheduled.notified() => continue,
            }
            for (name, _) in self.feeds.all() {
                self.feed_event(name, Event::Tick);
            }
        }
    }

    /// Tells the feeds of the membership view.
    pub(crate) fn tell_feeds_of_members(self: &Rc<Self>) {
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
            self.feed_event(name, Event::MembersChanged(places.clone()));
        }
    }

    /// A link over which watchers may have been followed has ended.
    pub(crate) fn source_lost(self: &Rc<Self>, source: NodeId) {
        self.feeds.source_clocks.borrow_mut().remove(&source);
        for (name, _) in self.feeds.all() {
            self.feed_event(name, Event::SourceLost(source));
        }
        self.feeds.rescheduled.notify_one();
    }

    /// Another node wants to follow a feed over its link.
    pub(crate) fn follower_asked(
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
        self.feed_event(name.as_str(), Event::FollowRequested { follower, known });
    }

    /// Another node no longer follows a feed.
    pub(crate) fn follower_left(self: &Rc<Self>, link: u64, name: &Text) {
        self.feed_event(name.as_str(), Event::FollowerLeft(FollowerId(link)));
    }

    /// Another node has taken over what it lacked of a feed.
    pub(crate) fn follower_took(self: &Rc<Self>, link: u64, name: &Text, held: u64) {
        let took = Event::FollowerAcknowledged {
            follower: FollowerId(link),
            held: StoreRevision::from_number(held),
        };
        self.feed_event(name.as_str(), took);
    }

    /// Tells the watchers of a feed which revision is held here now: who sent something long can go on with the next
    /// node, and the other need not send the same.
    fn tell_sources_what_is_held(self: &Rc<Self>, name: &Text) {
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
            self.tell_neighbour(source, &message);
        }
    }

    /// The link of another node has ended.
    pub(crate) fn follower_link_lost(self: &Rc<Self>, link: u64) {
        let follower = FollowerId(link);
        let removed = self.feeds.follower_links.borrow_mut().remove(&follower);
        if removed.is_some() {
            for (name, _) in self.feeds.all() {
                self.feed_event(name, Event::FollowerLeft(follower));
            }
        }
    }

    /// A watcher told of its state.
    pub(crate) fn source_answered(self: &Rc<Self>, source: NodeId, message: FeedStateMessage) {
        let Some(content) = content_of(&message) else {
            tracing::warn!(
                event = LogEvent::ConfigurationRefused.number(),
                source = source.0
            );
            return;
        };
        let came_in_turn = match &content {
            FeedContent::Snapshot(_) | FeedContent::ChangesSince { .. } => true,
            FeedContent::Changes(bytes) => bytes.len() > MAXIMUM_IMMEDIATE_PUSH_BYTES,
            FeedContent::Unchanged => false,
        };
        let current_at = Some(message.current_at_microseconds)
            .filter(|told| *told > 0)
            .and_then(|told| self.feeds.on_own_clock(source, Time(told)));
        let answered = Event::SourceAnswered {
            source,
            at: StoreRevision::from_number(message.at),
            age: Duration::from_micros(message.age_microseconds),
            current_at,
            content,
        };
        self.feed_event(message.name.as_str(), answered);
        self.keep_clock_known(source);
        if came_in_turn {
            self.tell_sources_what_is_held(&message.name);
        }
    }

    fn ask_clock(self: &Rc<Self>, source: NodeId) {
        let question = NodeMessage::QueryClock {
            asked_at_microseconds: self.now().0,
        };
        self.tell_neighbour(source, &question);
    }

    /// Asks a watcher for its clock again where that is due.
    fn keep_clock_known(self: &Rc<Self>, source: NodeId) {
        let now = self.now();
        let clock = self.feeds.source_clocks.borrow().get(&source).copied();
        if clock.is_some_and(|clock| clock.is_stale(now)) {
            self.ask_clock(source);
        }
    }

    fn feed_event(self: &Rc<Self>, name: &str, event: Event) {
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
            self.carry_out_feed(name, &open, effect);
        }
    }

    /// Shows a feed's objects at once, or with what else comes until the pause is over.
    fn show(&self, open: &Rc<OpenFeed>) {
        let now = self.now();
        match open.shown_at.get() {
            // It waits already.
            Some(at) if at > now => {}
            Some(at) if now.since(at) < PUBLISH_INTERVAL => {
                let due = at + PUBLISH_INTERVAL;
                open.shown_at.set(Some(due));
                let open = Rc::clone(open);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(due.since(now)).await;
                    open.show();
                });
            }
            _ => {
                open.shown_at.set(Some(now));
                open.show();
            }
        }
    }

    fn carry_out_feed(self: &Rc<Self>, name: &str, open: &Rc<OpenFeed>, effect: Effect) {
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
                // Its answer comes before the watcher's first word.
                self.ask_clock(source);
                let message = NodeMessage::SubscribeFeed {
                    name: Text::new(name),
                    known: known.map_or(0, StoreRevision::number),
                };
                self.tell_neighbour(source, &message);
            }
            Effect::Unfollow(source) => {
                if self.links.borrow().contains_key(&source) {
                    let name = Text::new(name);
                    self.tell_neighbour(source, &NodeMessage::UnsubscribeFeed { name });
                }
            }
            Effect::Apply { at, content, since } => {
                let is_consistent = open.take(at, &content, since);
                self.show(open);
                if !is_consistent {
                    let event = LogEvent::FeedInconsistent;
                    tracing::warn!(event = event.number(), name = event.name(), feed = name);
                    self.feed_event(name, Event::ContentMismatch);
                }
            }
            Effect::RestoreSettled => {
                open.objects.end_restore_grace();
                // What is shown from now on was known to the store when it came back, or has gone since.
                open.note_unshown(None);
                self.show(open);
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
                let state = ToldState {
                    at,
                    age,
                    current_at,
                };
                self.tell_followers(name, open, &followers, state, &content);
            }
        }
    }

    fn tell_followers(
        self: &Rc<Self>,
        name: &str,
        open: &OpenFeed,
        followers: &[FollowerId],
        state: ToldState,
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
                message.content = open.packed().into();
            }
            FeedContent::ChangesSince { since, .. } => {
                message.kind = FeedStateMessage::SINCE;
                message.since = since.number();
                message.digest = open.objects.digest();
                message.content = open.packed_since(*since).into();
            }
        }
        let bytes = frame(&NodeMessage::FeedState(message));
        let links = self.feeds.follower_links.borrow();
        for outgoing in followers.iter().filter_map(|follower| links.get(follower)) {
            self.traffic.sent(TrafficKind::Feed, bytes.len());
            // A link that has failed ends in its watcher.
            let _ = outgoing.send(&bytes);
        }
    }
}

fn content_of(message: &FeedStateMessage) -> Option<FeedContent> {
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
