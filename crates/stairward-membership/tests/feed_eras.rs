//! Feeds across restores of the store from an older copy, after which it assigns the same revisions
//! to different content. The tests guard against ignoring a configuration written after a restore
//! as older than the lost one, which happened on every node.

use std::collections::{BTreeMap, VecDeque};

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{Effect, Event, Feed, FeedContent, FeedParameters, FollowerId};
use stairward_testing::check;
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

const RESTORE_SETTLE_MS: u64 = 4_000;
const MEMBERS: u64 = 24;

fn members() -> Vec<PeerLocation> {
    let index = |number| PeerLocation {
        node: NodeId(number),
        region: RegionName::new("north").unwrap(),
        leaving: false,
    };
    (1..=MEMBERS).map(index).collect()
}

fn feed(number: u64) -> Feed {
    let parameters = FeedParameters {
        node: NodeId(number),
        region: RegionName::new("north").unwrap(),
        direct_read_timeout: Duration::from_secs(2),
        listing_timeout: Duration::ZERO,
        store_timeout: Duration::from_secs(3),
        restore_settle_time: Duration::from_millis(RESTORE_SETTLE_MS),
    };
    let mut feed = Feed::new(parameters, Time::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members()));
    feed
}

fn watcher() -> Feed {
    let mut feeds = (1..=MEMBERS).map(feed);
    feeds.find(Feed::is_watcher).unwrap()
}

/// A node that follows watchers, and the watchers it follows.
fn follower() -> (Feed, Vec<NodeId>) {
    let mut feeds = (1..=MEMBERS).map(feed);
    let mut feed = feeds.find(|feed| !feed.is_watcher()).unwrap();
    // Follow both watchers, after the time reserved for the first.
    feed.handle(at(1), Event::Tick);
    let sources: Vec<_> = feed.sources().collect();
    (feed, sources)
}

fn at(milliseconds: u64) -> Time {
    Time::from_millis(milliseconds)
}

fn whole(text: &str) -> FeedContent {
    FeedContent::Snapshot(text.as_bytes().to_vec())
}

fn changes(text: &str) -> FeedContent {
    FeedContent::Changes(text.as_bytes().to_vec())
}

fn from_store(now: u64, at_revision: StoreRevision, content: FeedContent) -> Event {
    Event::StoreAnswered {
        at: at_revision,
        current_at: at(now),
        content,
    }
}

fn from_source(
    now: u64,
    source: NodeId,
    at_revision: StoreRevision,
    content: FeedContent,
) -> Event {
    Event::SourceAnswered {
        source,
        at: at_revision,
        age: Duration::ZERO,
        current_at: Some(at(now)),
        content,
    }
}

fn applied(effects: &[Effect]) -> Vec<(&FeedContent, Option<Time>)> {
    let applied = effects.iter().filter_map(|effect| match effect {
        Effect::Apply { content, since, .. } => Some((content, *since)),
        _ => None,
    });
    applied.collect()
}

const BEFORE: StoreRevision = StoreRevision::new(0, 900);
const AFTER: StoreRevision = StoreRevision::new(1, 40);

#[test]
fn a_listing_of_a_later_era_is_applied_despite_its_lower_revision() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, BEFORE, whole("before")));
    let effects = feed.handle(at(20), from_store(20, AFTER, whole("after")));
    assert_eq!(applied(&effects), [(&whole("after"), Some(at(10)))]);
    let later = StoreRevision::new(1, 41);
    let effects = feed.handle(at(30), from_store(30, later, changes("more")));
    assert_eq!(applied(&effects).len(), 1);
    assert_eq!(feed.held_revision(), Some(later));
}

#[test]
fn changes_of_a_later_era_are_not_applied_to_an_earlier_one() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, BEFORE, whole("before")));
    let later = StoreRevision::new(1, 901);
    let effects = feed.handle(at(20), from_source(20, source, later, changes("more")));
    assert!(applied(&effects).is_empty());
    assert_eq!(feed.held_revision(), Some(BEFORE));
    let requests = effects.iter().any(|effect| {
        let known = Some(BEFORE);
        matches!(effect, Effect::Follow { source: to, known: revision } if *to == source && *revision == known)
    });
    assert!(requests, "{effects:?}");
}

#[test]
fn a_follower_with_an_earlier_era_receives_a_snapshot() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, AFTER, whole("after")));
    let requests = Event::FollowRequested {
        follower: FollowerId(7),
        known: Some(BEFORE),
    };
    let effects = feed.handle(at(11), requests);
    let pushed = effects.iter().any(|effect| {
        matches!(effect, Effect::Push { content: FeedContent::Snapshot(_), at, .. } if *at == AFTER)
    });
    assert!(pushed, "{effects:?}");
}

#[test]
fn a_watcher_with_an_earlier_era_confirms_nothing() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, AFTER, whole("after")));
    let mut reads_at = None;
    for now in (20..5_000).step_by(100) {
        let old = from_source(now, source, BEFORE, FeedContent::Unchanged);
        let effects = feed.handle(at(now), old);
        assert!(applied(&effects).is_empty());
        if effects.contains(&Effect::ReadStore(true)) {
            reads_at = Some(now);
            break;
        }
    }
    assert!(
        reads_at.is_some_and(|now| now < 2_200),
        "must read the store directly: {reads_at:?}"
    );
}

#[test]
fn content_of_an_earlier_era_is_rejected_even_after_a_mismatch() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, AFTER, whole("after")));
    feed.handle(at(20), Event::ContentMismatch);
    let effects = feed.handle(at(30), from_source(30, source, BEFORE, whole("before")));
    assert!(applied(&effects).is_empty());
}

#[test]
fn changes_during_the_settle_time_are_dated_before_the_restore() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, BEFORE, whole("before")));
    feed.handle(at(1_000), from_store(1_000, AFTER, whole("after")));
    let update = StoreRevision::new(1, 41);
    let effects = feed.handle(
        at(2_000),
        from_store(2_000, update, changes("lost content")),
    );
    assert_eq!(
        applied(&effects),
        [(&changes("lost content"), Some(at(10)))]
    );
    assert_eq!(
        feed.next_deadline(at(4_999)),
        Some(at(1_000 + RESTORE_SETTLE_MS))
    );
    let effects = feed.handle(at(1_000 + RESTORE_SETTLE_MS), Event::Tick);
    assert!(effects.contains(&Effect::RestoreSettled), "{effects:?}");
    let unchanged = from_store(5_100, update, FeedContent::Unchanged);
    feed.handle(at(5_100), unchanged);
    let later = StoreRevision::new(1, 42);
    let effects = feed.handle(at(5_200), from_store(5_200, later, changes("news")));
    assert_eq!(applied(&effects), [(&changes("news"), Some(at(5_100)))]);
}

#[test]
fn a_node_started_after_a_restore_does_not_date_changes() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, AFTER, whole("after")));
    let update = StoreRevision::new(1, 41);
    let effects = feed.handle(at(20), from_store(20, update, changes("lost content")));
    assert_eq!(applied(&effects), [(&changes("lost content"), None)]);
}

/// An object's value, and the revision of its last change.
type Objects = BTreeMap<u8, (u64, StoreRevision)>;

/// A store that can be copied and restored.
#[derive(Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Objects,
    written: u64,
    copies: Vec<(u64, Objects)>,
    /// The content at each revision.
    history: BTreeMap<StoreRevision, Vec<(u8, u64)>>,
}

impl Store {
    fn at(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }

    fn remember(&mut self) {
        self.history.insert(self.at(), values(&self.objects));
    }

    fn write(&mut self, name: u8) {
        self.revision += 1;
        self.written += 1;
        self.objects.insert(name, (self.written, self.at()));
        self.remember();
    }

    fn copy(&mut self) {
        self.copies.push((self.revision, self.objects.clone()));
    }

    fn restore(&mut self) {
        let Some((revision, objects)) = self.copies.pop() else {
            return;
        };
        self.copies.clear();
        self.era += 1;
        self.revision = revision;
        let of_this_copy = |(value, at): (u64, StoreRevision)| {
            (value, StoreRevision::new(self.era, at.revision()))
        };
        self.objects = objects
            .into_iter()
            .map(|(name, object)| (name, of_this_copy(object)))
            .collect();
        self.remember();
    }

    /// The answer to a reader that has read up to this revision.
    fn answer(&self, read: Option<StoreRevision>) -> FeedContent {
        let known = read.filter(|read| read.era() == self.era && read.revision() <= self.revision);
        match known {
            None => FeedContent::Snapshot(pack(&self.objects)),
            Some(read) if read == self.at() => FeedContent::Unchanged,
            Some(read) => FeedContent::Changes(pack(&later_than(&self.objects, read))),
        }
    }
}

fn values(objects: &Objects) -> Vec<(u8, u64)> {
    let values = objects.iter().map(|(name, (value, _))| (*name, *value));
    values.collect()
}

fn later_than(objects: &Objects, revision: StoreRevision) -> Objects {
    let later = objects.iter().filter(|(_, (_, at))| *at > revision);
    later.map(|(name, object)| (*name, *object)).collect()
}

fn pack(objects: &Objects) -> Vec<u8> {
    let packed = objects.iter().flat_map(|(name, (value, at))| {
        let mut bytes = vec![*name];
        bytes.extend(value.to_be_bytes());
        bytes.extend(at.number().to_be_bytes());
        bytes
    });
    packed.collect()
}

fn unpack(bytes: &[u8]) -> Objects {
    let number = |bytes: &[u8]| u64::from_be_bytes(bytes.try_into().unwrap());
    let objects = bytes.chunks(17).map(|object| {
        let (value, at) = (number(&object[1..9]), number(&object[9..17]));
        (object[0], (value, StoreRevision::from_number(at)))
    });
    objects.collect()
}

fn digest(objects: &Objects) -> u64 {
    let numbers = objects.iter().map(|(name, (value, _))| {
        value
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            .rotate_left(u32::from(*name))
    });
    numbers.fold(0, u64::wrapping_add)
}

/// A node with its copy of the objects.
struct Node {
    feed: Feed,
    objects: Objects,
    /// The revision up to which it has read the store.
    read: Option<StoreRevision>,
}

impl Node {
    fn new(feed: Feed) -> Self {
        Self {
            feed,
            objects: Objects::new(),
            read: None,
        }
    }

    /// Applies content. Returns whether the objects match the content's digest.
    fn apply(&mut self, content: &FeedContent) -> bool {
        match content {
            FeedContent::Snapshot(bytes) => self.objects = unpack(bytes),
            FeedContent::Changes(bytes) => self.objects.extend(unpack(bytes)),
            FeedContent::ChangesSince {
                changes, digest: d, ..
            } => {
                self.objects.extend(unpack(changes));
                return digest(&self.objects) == *d;
            }
            FeedContent::Unchanged => {}
        }
        true
    }
}

/// Two watchers and a node that follows both.
struct Fleet {
    store: Store,
    now: Time,
    watchers: Vec<(NodeId, Node)>,
    follower: Node,
    /// Messages in transit from each watcher to the follower.
    to_follower: Vec<VecDeque<Event>>,
    /// Messages in transit from the follower to each watcher.
    to_watchers: Vec<VecDeque<Event>>,
}

/// Upper bound on the messages in each direction until two nodes are idle.
const MAXIMUM_MESSAGES: usize = 1_000;
const FOLLOWER: FollowerId = FollowerId(1);

impl Fleet {
    fn new() -> Self {
        let (feed, _) = follower();
        let mut fleet = Self {
            store: Store::default(),
            now: at(2_000),
            watchers: Vec::new(),
            follower: Node::new(feed),
            to_follower: vec![VecDeque::new(); 2],
            to_watchers: vec![VecDeque::new(); 2],
        };
        fleet.store.remember();
        let effects = fleet.follower.feed.handle(fleet.now, Event::Tick);
        let sources: Vec<_> = fleet.follower.feed.sources().collect();
        assert_eq!(sources.len(), 2);
        for source in &sources {
            fleet
                .watchers
                .push((*source, Node::new(watcher_numbered(source.0))));
        }
        // Queue the follow requests, of which the first was sent when the follower was created.
        for index in 0..2 {
            fleet.to_watchers[index].push_back(follow_request(None));
        }
        drop(effects);
        fleet
    }

    fn index(&self, source: NodeId) -> usize {
        let mut positions = self.watchers.iter();
        positions.position(|(node, _)| *node == source).unwrap()
    }

    fn step(&mut self, kind: u8, argument: u8) {
        let index = usize::from(argument) % 2;
        match kind % 9 {
            0 | 1 => self.store.write(argument % 4),
            2 => self.store.copy(),
            3 => self.store.restore(),
            4 => self.read(index),
            5 | 6 => self.deliver_to_follower(index),
            7 => self.deliver_to_watcher(index),
            _ => {
                self.now = self.now + Duration::from_millis(u64::from(argument) * 4);
                self.handle_at_follower(Event::Tick);
                for index in 0..2 {
                    self.handle_at_watcher(index, Event::Tick);
                }
            }
        }
    }

    fn read(&mut self, index: usize) {
        let read = self.watchers[index].1.read;
        let content = self.store.answer(read);
        let at = self.store.at();
        self.watchers[index].1.read = Some(at);
        let answered = Event::StoreAnswered {
            at,
            current_at: self.now,
            content,
        };
        self.handle_at_watcher(index, answered);
    }

    fn deliver_to_follower(&mut self, index: usize) {
        if let Some(event) = self.to_follower[index].pop_front() {
            self.handle_at_follower(event);
        }
    }

    fn deliver_to_watcher(&mut self, index: usize) {
        if let Some(event) = self.to_watchers[index].pop_front() {
            self.handle_at_watcher(index, event);
        }
    }

    fn handle_at_watcher(&mut self, index: usize, event: Event) {
        let (source, node) = &mut self.watchers[index];
        for effect in node.feed.handle(self.now, event) {
            match effect {
                Effect::Apply { content, .. } => assert!(node.apply(&content)),
                Effect::Push {
                    at,
                    age,
                    current_at,
                    content,
                    ..
                } => {
                    let content = match content {
                        FeedContent::Snapshot(_) => FeedContent::Snapshot(pack(&node.objects)),
                        FeedContent::ChangesSince { since, .. } => FeedContent::ChangesSince {
                            since,
                            changes: pack(&later_than(&node.objects, since)),
                            digest: digest(&node.objects),
                        },
                        other => other,
                    };
                    self.to_follower[index].push_back(Event::SourceAnswered {
                        source: *source,
                        at,
                        age,
                        current_at,
                        content,
                    });
                }
                _ => {}
            }
        }
    }

    fn handle_at_follower(&mut self, event: Event) {
        for effect in self.follower.feed.handle(self.now, event) {
            match effect {
                Effect::Apply { content, .. } => {
                    let is_acknowledged = !matches!(content, FeedContent::Changes(_));
                    if !self.follower.apply(&content) {
                        self.handle_at_follower(Event::ContentMismatch);
                    } else if is_acknowledged && let Some(held) = self.follower.feed.held_revision()
                    {
                        for requests in &mut self.to_watchers {
                            let follower = FOLLOWER;
                            requests.push_back(Event::FollowerAcknowledged { follower, held });
                        }
                    }
                }
                Effect::Follow { source, known } => {
                    let index = self.index(source);
                    self.to_watchers[index].push_back(follow_request(known));
                }
                _ => {}
            }
        }
    }

    /// Checks that each node's objects equal those of the store at the node's held revision.
    fn check(&self) {
        let nodes = self.watchers.iter().map(|(_, node)| node);
        for node in nodes.chain([&self.follower]) {
            if let Some(held) = node.feed.held_revision() {
                assert_eq!(
                    Some(&values(&node.objects)),
                    self.store.history.get(&held),
                    "at {held}"
                );
            }
        }
    }

    /// Delivers all messages and reads the store again.
    fn run_until_idle(&mut self) {
        for _ in 0..6 {
            self.now = self.now + Duration::from_millis(600);
            for index in 0..2 {
                self.read(index);
                self.handle_at_watcher(index, Event::Tick);
            }
            self.handle_at_follower(Event::Tick);
            for index in 0..2 {
                for _ in 0..MAXIMUM_MESSAGES {
                    self.deliver_to_watcher(index);
                    self.deliver_to_follower(index);
                }
                let is_idle =
                    self.to_follower[index].is_empty() && self.to_watchers[index].is_empty();
                assert!(is_idle, "the nodes do not become idle");
            }
        }
    }
}

fn follow_request(known: Option<StoreRevision>) -> Event {
    let follower = FOLLOWER;
    Event::FollowRequested { follower, known }
}

fn watcher_numbered(number: u64) -> Feed {
    let feed = feed(number);
    assert!(feed.is_watcher());
    feed
}

#[test]
fn held_content_matches_the_store_history_across_restores() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut fleet = Fleet::new();
        for (kind, argument) in steps {
            fleet.step(*kind, *argument);
            fleet.check();
        }
        fleet.run_until_idle();
        fleet.check();
        assert_eq!(fleet.follower.feed.held_revision(), Some(fleet.store.at()));
    });
}
