//! Feeds where the store comes back from an older copy: its revisions are given out again, and name other contents. A
//! configuration written after that was left out as older than the one that was lost, on every node.

use std::collections::{BTreeMap, VecDeque};

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{Effect, Event, Feed, FeedContent, FeedParameters, FollowerId};
use stairward_testing::check;
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

const SETTLES_AFTER: u64 = 4_000;
const MEMBERS: u64 = 24;

fn members() -> Vec<PeerLocation> {
    let place = |number| PeerLocation {
        node: NodeId(number),
        region: RegionName::new("north").unwrap(),
        leaving: false,
    };
    (1..=MEMBERS).map(place).collect()
}

fn feed(number: u64) -> Feed {
    let parameters = FeedParameters {
        node: NodeId(number),
        region: RegionName::new("north").unwrap(),
        direct_read_timeout: Duration::from_secs(2),
        listing_timeout: Duration::ZERO,
        store_timeout: Duration::from_secs(3),
        restore_settle_time: Duration::from_millis(SETTLES_AFTER),
    };
    let mut feed = Feed::new(parameters, Time::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members()));
    feed
}

fn watcher() -> Feed {
    let mut feeds = (1..=MEMBERS).map(feed);
    feeds.find(Feed::is_watcher).unwrap()
}

/// A node that follows watchers, and these.
fn follower() -> (Feed, Vec<NodeId>) {
    let mut feeds = (1..=MEMBERS).map(feed);
    let mut feed = feeds.find(|feed| !feed.is_watcher()).unwrap();
    // Both are followed once the first had its time.
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

fn taken(effects: &[Effect]) -> Vec<(&FeedContent, Option<Time>)> {
    let taken = effects.iter().filter_map(|effect| match effect {
        Effect::Apply { content, since, .. } => Some((content, *since)),
        _ => None,
    });
    taken.collect()
}

const BEFORE: StoreRevision = StoreRevision::new(0, 900);
const AFTER: StoreRevision = StoreRevision::new(1, 40);

#[test]
fn a_listing_of_a_later_copy_is_taken_although_its_revision_is_lower() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, BEFORE, whole("before")));
    let effects = feed.handle(at(20), from_store(20, AFTER, whole("after")));
    assert_eq!(taken(&effects), [(&whole("after"), Some(at(10)))]);
    let later = StoreRevision::new(1, 41);
    let effects = feed.handle(at(30), from_store(30, later, changes("more")));
    assert_eq!(taken(&effects).len(), 1);
    assert_eq!(feed.held_revision(), Some(later));
}

#[test]
fn a_change_in_a_later_copy_does_not_follow_on_what_an_earlier_one_told() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, BEFORE, whole("before")));
    let later = StoreRevision::new(1, 901);
    let effects = feed.handle(at(20), from_source(20, source, later, changes("more")));
    assert!(taken(&effects).is_empty());
    assert_eq!(feed.held_revision(), Some(BEFORE));
    let asked = effects.iter().any(|effect| {
        let known = Some(BEFORE);
        matches!(effect, Effect::Follow { source: to, known: told } if *to == source && *told == known)
    });
    assert!(asked, "{effects:?}");
}

#[test]
fn a_follower_of_an_earlier_copy_is_told_all_objects() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, AFTER, whole("after")));
    let asked = Event::FollowRequested {
        follower: FollowerId(7),
        known: Some(BEFORE),
    };
    let effects = feed.handle(at(11), asked);
    let told = effects.iter().any(|effect| {
        matches!(effect, Effect::Push { content: FeedContent::Snapshot(_), at, .. } if *at == AFTER)
    });
    assert!(told, "{effects:?}");
}

#[test]
fn a_watcher_that_still_speaks_for_an_earlier_copy_confirms_nothing() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, AFTER, whole("after")));
    let mut reads_at = None;
    for now in (20..5_000).step_by(100) {
        let old = from_source(now, source, BEFORE, FeedContent::Unchanged);
        let effects = feed.handle(at(now), old);
        assert!(taken(&effects).is_empty());
        if effects.contains(&Effect::ReadStore(true)) {
            reads_at = Some(now);
            break;
        }
    }
    assert!(
        reads_at.is_some_and(|now| now < 2_200),
        "it reads the store itself: {reads_at:?}"
    );
}

#[test]
fn content_of_an_earlier_copy_is_not_taken_after_what_was_held_was_refused() {
    let (mut feed, sources) = follower();
    let source = sources[0];
    feed.handle(at(10), from_source(10, source, AFTER, whole("after")));
    feed.handle(at(20), Event::ContentMismatch);
    let effects = feed.handle(at(30), from_source(30, source, BEFORE, whole("before")));
    assert!(taken(&effects).is_empty());
}

#[test]
fn what_was_lost_may_be_written_again_for_a_while_and_news_of_that_time_is_dated_before_the_loss() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, BEFORE, whole("before")));
    feed.handle(at(1_000), from_store(1_000, AFTER, whole("after")));
    let news = StoreRevision::new(1, 41);
    let effects = feed.handle(at(2_000), from_store(2_000, news, changes("lost word")));
    assert_eq!(taken(&effects), [(&changes("lost word"), Some(at(10)))]);
    assert_eq!(
        feed.next_deadline(at(4_999)),
        Some(at(1_000 + SETTLES_AFTER))
    );
    let effects = feed.handle(at(1_000 + SETTLES_AFTER), Event::Tick);
    assert!(effects.contains(&Effect::RestoreSettled), "{effects:?}");
    let unchanged = from_store(5_100, news, FeedContent::Unchanged);
    feed.handle(at(5_100), unchanged);
    let later = StoreRevision::new(1, 42);
    let effects = feed.handle(at(5_200), from_store(5_200, later, changes("news")));
    assert_eq!(taken(&effects), [(&changes("news"), Some(at(5_100)))]);
}

#[test]
fn a_node_that_starts_after_a_restore_dates_no_news_by_what_the_copy_showed() {
    let mut feed = watcher();
    feed.handle(at(10), from_store(10, AFTER, whole("after")));
    let news = StoreRevision::new(1, 41);
    let effects = feed.handle(at(20), from_store(20, news, changes("lost word")));
    assert_eq!(taken(&effects), [(&changes("lost word"), None)]);
}

/// An object's value, and the revision of its last change.
type Objects = BTreeMap<u8, (u64, StoreRevision)>;

/// A store that takes copies of itself and comes back from them.
#[derive(Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Objects,
    written: u64,
    copies: Vec<(u64, Objects)>,
    /// What it held at each moment of its life.
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

    /// What a reader is told that has read up to here.
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
    /// Up to where it has read the store, as a reader of it.
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

    /// Takes content over. Returns whether the objects are now those that it is about.
    fn take(&mut self, content: &FeedContent) -> bool {
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
    /// What each watcher has told and the follower has not heard yet.
    told: Vec<VecDeque<Event>>,
    /// What the follower has asked of each watcher.
    asked: Vec<VecDeque<Event>>,
}

/// Messages each way that settle everything between two nodes.
const MESSAGES_AT_REST: usize = 1_000;
const FOLLOWER: FollowerId = FollowerId(1);

impl Fleet {
    fn new() -> Self {
        let (feed, _) = follower();
        let mut fleet = Self {
            store: Store::default(),
            now: at(2_000),
            watchers: Vec::new(),
            follower: Node::new(feed),
            told: vec![VecDeque::new(); 2],
            asked: vec![VecDeque::new(); 2],
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
        // The first watcher was asked when the follower was made.
        for place in 0..2 {
            fleet.asked[place].push_back(asks(None));
        }
        drop(effects);
        fleet
    }

    fn place(&self, source: NodeId) -> usize {
        let mut places = self.watchers.iter();
        places.position(|(node, _)| *node == source).unwrap()
    }

    fn step(&mut self, kind: u8, argument: u8) {
        let place = usize::from(argument) % 2;
        match kind % 9 {
            0 | 1 => self.store.write(argument % 4),
            2 => self.store.copy(),
            3 => self.store.restore(),
            4 => self.read(place),
            5 | 6 => self.hear(place),
            7 => self.pass_on(place),
            _ => {
                self.now = self.now + Duration::from_millis(u64::from(argument) * 4);
                self.tell_follower(Event::Tick);
                for place in 0..2 {
                    self.tell_watcher(place, Event::Tick);
                }
            }
        }
    }

    fn read(&mut self, place: usize) {
        let read = self.watchers[place].1.read;
        let content = self.store.answer(read);
        let at = self.store.at();
        self.watchers[place].1.read = Some(at);
        let answered = Event::StoreAnswered {
            at,
            current_at: self.now,
            content,
        };
        self.tell_watcher(place, answered);
    }

    fn hear(&mut self, place: usize) {
        if let Some(event) = self.told[place].pop_front() {
            self.tell_follower(event);
        }
    }

    fn pass_on(&mut self, place: usize) {
        if let Some(event) = self.asked[place].pop_front() {
            self.tell_watcher(place, event);
        }
    }

    fn tell_watcher(&mut self, place: usize, event: Event) {
        let (source, node) = &mut self.watchers[place];
        for effect in node.feed.handle(self.now, event) {
            match effect {
                Effect::Apply { content, .. } => assert!(node.take(&content)),
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
                    self.told[place].push_back(Event::SourceAnswered {
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

    fn tell_follower(&mut self, event: Event) {
        for effect in self.follower.feed.handle(self.now, event) {
            match effect {
                Effect::Apply { content, .. } => {
                    let is_in_turn = !matches!(content, FeedContent::Changes(_));
                    if !self.follower.take(&content) {
                        self.tell_follower(Event::ContentMismatch);
                    } else if is_in_turn && let Some(held) = self.follower.feed.held_revision() {
                        for asked in &mut self.asked {
                            let follower = FOLLOWER;
                            asked.push_back(Event::FollowerAcknowledged { follower, held });
                        }
                    }
                }
                Effect::Follow { source, known } => {
                    let place = self.place(source);
                    self.asked[place].push_back(asks(known));
                }
                _ => {}
            }
        }
    }

    /// Each node's objects are those that the store had at the revision that the node holds.
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

    /// Every message arrives, and the store is read once more.
    fn come_to_rest(&mut self) {
        for _ in 0..6 {
            self.now = self.now + Duration::from_millis(600);
            for place in 0..2 {
                self.read(place);
                self.tell_watcher(place, Event::Tick);
            }
            self.tell_follower(Event::Tick);
            for place in 0..2 {
                for _ in 0..MESSAGES_AT_REST {
                    self.pass_on(place);
                    self.hear(place);
                }
                let is_quiet = self.told[place].is_empty() && self.asked[place].is_empty();
                assert!(is_quiet, "the nodes go on asking and telling");
            }
        }
    }
}

fn asks(known: Option<StoreRevision>) -> Event {
    let follower = FOLLOWER;
    Event::FollowRequested { follower, known }
}

fn watcher_numbered(number: u64) -> Feed {
    let feed = feed(number);
    assert!(feed.is_watcher());
    feed
}

#[test]
fn what_a_node_holds_is_what_the_store_had_whatever_copies_it_came_back_from() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut fleet = Fleet::new();
        for (kind, argument) in steps {
            fleet.step(*kind, *argument);
            fleet.check();
        }
        fleet.come_to_rest();
        fleet.check();
        assert_eq!(fleet.follower.feed.held_revision(), Some(fleet.store.at()));
    });
}
