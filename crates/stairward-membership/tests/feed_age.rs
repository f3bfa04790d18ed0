//! Ages of applied content: never underestimated, whatever delayed the messages.

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{Effect, Event, Feed, FeedContent, FeedParameters, FollowerId};
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

fn members() -> Vec<PeerLocation> {
    let place = |number| PeerLocation {
        node: NodeId(number),
        region: RegionName::new("north").expect("a valid region name"),
        leaving: false,
    };
    (1..=24).map(place).collect()
}

fn feed(number: u64) -> Feed {
    let parameters = FeedParameters {
        node: NodeId(number),
        region: RegionName::new("north").expect("a valid region name"),
        direct_read_timeout: Duration::from_millis(2_000),
        listing_timeout: Duration::ZERO,
        store_timeout: Duration::from_millis(3_000),
        restore_settle_time: Duration::from_millis(4_000),
    };
    let mut feed = Feed::new(parameters, Time::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members()));
    feed
}

fn at(milliseconds: u64) -> Time {
    Time::from_millis(milliseconds)
}

fn changes() -> FeedContent {
    FeedContent::Changes(Vec::new())
}

fn from_store(revision: u64, current_at: u64, content: FeedContent) -> Event {
    Event::StoreAnswered {
        at: StoreRevision::new(0, revision),
        current_at: at(current_at),
        content,
    }
}

/// The time after which applied content was created; the outer `None` means that nothing was
/// applied.
fn applied_since(effects: &[Effect]) -> Option<Option<Time>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Apply { since, .. } => Some(*since),
        _ => None,
    })
}

#[test]
fn first_content_of_a_starting_node_may_be_of_any_age() {
    let listing = Event::StaleListing {
        at: StoreRevision::new(0, 5),
        objects: Vec::new(),
    };
    assert_eq!(applied_since(&feed(1).handle(at(10), listing)), Some(None));
    let first = from_store(6, 5, FeedContent::Snapshot(Vec::new()));
    assert_eq!(applied_since(&feed(1).handle(at(10), first)), Some(None));
}

#[test]
fn changes_after_a_stale_listing_may_be_of_any_age() {
    let mut feed = feed(1);
    let listing = Event::StaleListing {
        at: StoreRevision::new(0, 5),
        objects: Vec::new(),
    };
    feed.handle(at(10), listing);
    let first = from_store(6, 5, FeedContent::Snapshot(Vec::new()));
    assert_eq!(applied_since(&feed.handle(at(20), first)), Some(None));
}

#[test]
fn a_change_is_dated_after_the_last_store_confirmation() {
    let mut feed = feed(1);
    feed.handle(at(10), from_store(5, 5, FeedContent::Snapshot(Vec::new())));
    feed.handle(at(3_010), from_store(5, 3_000, FeedContent::Unchanged));
    // The answer was delayed in transit, or this process was paused.
    let effects = feed.handle(at(9_000), from_store(6, 3_010, changes()));
    assert_eq!(applied_since(&effects), Some(Some(at(3_000))));
    let effects = feed.handle(at(9_100), from_store(7, 9_010, changes()));
    assert_eq!(applied_since(&effects), Some(Some(at(3_010))));
}

#[test]
fn a_delayed_store_confirmation_counts_from_when_it_was_given() {
    let mut feed = feed(1);
    feed.handle(at(10), from_store(5, 5, FeedContent::Snapshot(Vec::new())));
    feed.handle(at(8_000), from_store(5, 1_000, FeedContent::Unchanged));
    feed.handle(at(8_001), from_store(5, 900, FeedContent::Unchanged));
    let effects = feed.handle(at(8_010), from_store(6, 8_000, changes()));
    assert_eq!(applied_since(&effects), Some(Some(at(1_000))));
}

fn follower() -> (Feed, NodeId) {
    for number in 1..=24 {
        let mut feed = feed(number);
        let effects = feed.handle(Time::ZERO, Event::Tick);
        let source = effects.iter().find_map(|effect| match effect {
            Effect::Follow { source, .. } => Some(*source),
            _ => None,
        });
        let followed = source.or_else(|| feed.sources().next());
        if let (Some(source), false) = (followed, feed.is_watcher()) {
            return (feed, source);
        }
    }
    panic!("no follower");
}

fn from_source(
    source: NodeId,
    revision: u64,
    current_at: Option<u64>,
    content: FeedContent,
) -> Event {
    Event::SourceAnswered {
        source,
        at: StoreRevision::new(0, revision),
        // Claims to be current; the transit time is set by each test.
        age: Duration::ZERO,
        current_at: current_at.map(at),
        content,
    }
}

#[test]
fn a_delayed_watcher_confirmation_counts_from_when_its_state_was_the_newest() {
    let (mut feed, source) = follower();
    let whole = FeedContent::Snapshot(Vec::new());
    feed.handle(at(50), from_source(source, 5, Some(40), whole));
    // A network fault delays the confirmation by 4 s, and the next message follows at once.
    let confirmation = from_source(source, 5, Some(1_600), FeedContent::Unchanged);
    feed.handle(at(5_600), confirmation);
    let effects = feed.handle(at(5_601), from_source(source, 6, Some(2_000), changes()));
    assert_eq!(applied_since(&effects), Some(Some(at(1_600))));
}

#[test]
fn an_unknown_watcher_clock_leaves_changes_undated() {
    let (mut feed, source) = follower();
    let whole = FeedContent::Snapshot(Vec::new());
    feed.handle(at(50), from_source(source, 5, None, whole));
    let effects = feed.handle(at(100), from_source(source, 6, None, changes()));
    assert_eq!(applied_since(&effects), Some(None));
}

#[test]
fn a_content_mismatch_discards_the_known_age() {
    let (mut feed, source) = follower();
    let whole = || FeedContent::Snapshot(Vec::new());
    feed.handle(at(50), from_source(source, 5, Some(40), whole()));
    feed.handle(at(60), Event::ContentMismatch);
    let effects = feed.handle(at(90), from_source(source, 6, Some(80), whole()));
    assert_eq!(applied_since(&effects), Some(None));
}

/// The pushed revisions, each with the time at which its state was the newest.
fn pushed(effects: &[Effect]) -> Vec<(StoreRevision, Option<Time>)> {
    let pushed = effects.iter().filter_map(|effect| match effect {
        Effect::Push { at, current_at, .. } => Some((*at, *current_at)),
        _ => None,
    });
    pushed.collect()
}

#[test]
fn a_watcher_pushes_the_time_of_the_state_that_it_pushes() {
    let mut feed = feed(1);
    let follower = FollowerId(1);
    feed.handle(at(10), from_store(5, 5, FeedContent::Snapshot(Vec::new())));
    let request = Event::FollowRequested {
        follower,
        known: None,
    };
    let effects = feed.handle(at(300), request);
    assert_eq!(pushed(&effects), [(StoreRevision::new(0, 5), Some(at(5)))]);
    let effects = feed.handle(at(1_700), from_store(5, 1_610, FeedContent::Unchanged));
    assert_eq!(
        pushed(&effects),
        [(StoreRevision::new(0, 5), Some(at(1_610)))]
    );
    // An answer that overlapped with later ones carries the time of its own state.
    let effects = feed.handle(at(1_800), from_store(4, 700, FeedContent::Unchanged));
    assert_eq!(
        pushed(&effects),
        [(StoreRevision::new(0, 4), Some(at(700)))]
    );
}

#[test]
fn a_peer_snapshot_does_not_replace_content_with_a_revision() {
    let mut feed = feed(1);
    let document = || Event::PeerSnapshot(Vec::new());
    assert_eq!(applied_since(&feed.handle(at(10), document())), Some(None));
    feed.handle(at(20), from_store(5, 15, FeedContent::Snapshot(Vec::new())));
    assert_eq!(applied_since(&feed.handle(at(30), document())), None);
}
