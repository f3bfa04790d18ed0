//! Deliveries of missing content to followers: only what is missing, a few at a time, and complete.

use std::collections::{BTreeMap, BTreeSet};

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{
    Effect, Event, Feed, FeedContent, FeedParameters, FollowerId, MAXIMUM_IMMEDIATE_PUSH_BYTES,
};
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

/// Deliveries in progress at a time.
const MAXIMUM_CONCURRENT_DELIVERIES: usize = 4;
/// Time after which an unacknowledged delivery no longer blocks the queue, in milliseconds.
const DELIVERY_TIMEOUT_MS: u64 = 500;
const LISTING_TIMEOUT: Duration = Duration::from_millis(600);

fn members(count: u64) -> Vec<PeerLocation> {
    let place = |number| PeerLocation {
        node: NodeId(number),
        region: RegionName::new("north").unwrap(),
        leaving: false,
    };
    (1..=count).map(place).collect()
}

fn feed(node: u64, listing_timeout: Duration) -> Feed {
    let parameters = FeedParameters {
        node: NodeId(node),
        region: RegionName::new("north").unwrap(),
        direct_read_timeout: Duration::from_secs(2),
        listing_timeout,
        store_timeout: Duration::from_secs(3),
        restore_settle_time: Duration::from_secs(4),
    };
    Feed::new(parameters, Time::ZERO)
}

/// A watcher that has received the store's objects at a revision.
fn watcher(at: u64) -> Feed {
    let mut feed = feed(1, Duration::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members(3)));
    feed.handle(
        Time::ZERO,
        from_store(at, FeedContent::Snapshot(Vec::new())),
    );
    feed
}

fn from_store(at: u64, content: FeedContent) -> Event {
    Event::StoreAnswered {
        at: StoreRevision::new(0, at),
        current_at: Time::ZERO,
        content,
    }
}

fn follow_request(follower: u64, known: Option<u64>) -> Event {
    Event::FollowRequested {
        follower: FollowerId(follower),
        known: known.map(|revision| StoreRevision::new(0, revision)),
    }
}

fn acknowledged(follower: u64, held: u64) -> Event {
    Event::FollowerAcknowledged {
        follower: FollowerId(follower),
        held: StoreRevision::new(0, held),
    }
}

/// The pushed content, per follower.
fn pushed(effects: &[Effect]) -> Vec<(FollowerId, FeedContent)> {
    let mut pushed = Vec::new();
    for effect in effects {
        if let Effect::Push {
            followers, content, ..
        } = effect
        {
            pushed.extend(
                followers
                    .iter()
                    .map(|follower| (*follower, content.clone())),
            );
        }
    }
    pushed
}

fn since(revision: u64) -> FeedContent {
    FeedContent::ChangesSince {
        since: StoreRevision::new(0, revision),
        changes: Vec::new(),
        digest: 0,
    }
}

fn follow_requests(effects: &[Effect]) -> Vec<(NodeId, Option<StoreRevision>)> {
    let follow_requests = effects.iter().filter_map(|effect| match effect {
        Effect::Follow { source, known } => Some((*source, *known)),
        _ => None,
    });
    follow_requests.collect()
}

#[test]
fn a_follower_with_a_listing_receives_only_later_changes() {
    let mut feed = watcher(9);
    let effects = feed.handle(Time::ZERO, follow_request(1, Some(7)));
    assert_eq!(pushed(&effects), [(FollowerId(1), since(7))]);
    let effects = feed.handle(Time::ZERO, follow_request(2, Some(9)));
    assert_eq!(pushed(&effects), [(FollowerId(2), FeedContent::Unchanged)]);
    let effects = feed.handle(Time::ZERO, follow_request(3, None));
    let whole = FeedContent::Snapshot(Vec::new());
    assert_eq!(pushed(&effects), [(FollowerId(3), whole)]);
}

/// 50 followers send requests almost at the same time, as when a fleet starts.
#[test]
fn deliveries_to_many_followers_are_limited_and_all_complete() {
    let mut feed = watcher(9);
    let mut receivers: Vec<FollowerId> = Vec::new();
    for follower in 1..=50 {
        let effects = feed.handle(Time::ZERO, follow_request(follower, Some(follower % 9)));
        receivers.extend(pushed(&effects).into_iter().map(|(follower, _)| follower));
    }
    assert_eq!(receivers.len(), MAXIMUM_CONCURRENT_DELIVERIES);
    let mut next = 0;
    while next < receivers.len() {
        let acknowledged = acknowledged(receivers[next].0, 9);
        let effects = feed.handle(Time::from_millis(10), acknowledged);
        let more = pushed(&effects);
        assert!(more.len() <= 1, "an acknowledgement frees a single slot");
        receivers.extend(more.into_iter().map(|(follower, _)| follower));
        next += 1;
    }
    let all: BTreeSet<_> = receivers.iter().copied().collect();
    assert_eq!((receivers.len(), all.len()), (50, 50));
}

#[test]
fn queued_followers_receive_the_same_content() {
    let mut feed = feed(1, Duration::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members(3)));
    for follower in 1..=MAXIMUM_CONCURRENT_DELIVERIES as u64 {
        let effects = feed.handle(Time::ZERO, follow_request(follower, Some(follower)));
        assert!(pushed(&effects).is_empty(), "nothing is confirmed yet");
    }
    let whole = FeedContent::Snapshot(Vec::new());
    let effects = feed.handle(Time::ZERO, from_store(9, whole));
    let pushed = pushed(&effects);
    assert_eq!(pushed.len(), MAXIMUM_CONCURRENT_DELIVERIES);
    assert!(pushed.iter().all(|(_, content)| *content == since(1)));
}

#[test]
fn an_unacknowledged_delivery_blocks_the_queue_only_until_its_timeout() {
    let mut feed = watcher(9);
    for follower in 1..=MAXIMUM_CONCURRENT_DELIVERIES as u64 + 1 {
        feed.handle(Time::ZERO, follow_request(follower, Some(3)));
    }
    assert_eq!(
        feed.next_deadline(Time::ZERO),
        Some(Time::from_millis(DELIVERY_TIMEOUT_MS))
    );
    let effects = feed.handle(Time::from_millis(DELIVERY_TIMEOUT_MS - 1), Event::Tick);
    assert!(pushed(&effects).is_empty());
    let effects = feed.handle(Time::from_millis(DELIVERY_TIMEOUT_MS), Event::Tick);
    assert_eq!(pushed(&effects), [(FollowerId(5), since(3))]);
}

#[test]
fn a_removed_follower_frees_its_slot_and_receives_nothing() {
    let mut feed = watcher(9);
    for follower in 1..=MAXIMUM_CONCURRENT_DELIVERIES as u64 + 2 {
        feed.handle(Time::ZERO, follow_request(follower, Some(3)));
    }
    feed.handle(Time::ZERO, Event::FollowerLeft(FollowerId(5)));
    let effects = feed.handle(Time::ZERO, Event::FollowerLeft(FollowerId(1)));
    assert_eq!(pushed(&effects), [(FollowerId(6), since(3))]);
}

#[test]
fn a_change_is_pushed_to_synchronized_followers_and_included_for_queued_ones() {
    let mut feed = watcher(9);
    for follower in 1..=MAXIMUM_CONCURRENT_DELIVERIES as u64 + 1 {
        feed.handle(Time::ZERO, follow_request(follower, Some(3)));
    }
    let change = FeedContent::Changes(vec![1]);
    let effects = feed.handle(Time::ZERO, from_store(11, change.clone()));
    let synchronized: Vec<_> = (1..=4).map(|id| (FollowerId(id), change.clone())).collect();
    assert_eq!(pushed(&effects), synchronized);
    let effects = feed.handle(Time::ZERO, acknowledged(2, 11));
    let [Effect::Push { at, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(*at, StoreRevision::new(0, 11));
    assert_eq!(pushed(&effects), [(FollowerId(5), since(3))]);
}

#[test]
fn a_large_change_is_queued_for_synchronized_followers_too() {
    let mut feed = watcher(9);
    for follower in 1..=12 {
        feed.handle(Time::ZERO, follow_request(follower, Some(9)));
    }
    let change = FeedContent::Changes(vec![1; MAXIMUM_IMMEDIATE_PUSH_BYTES + 1]);
    let effects = feed.handle(Time::ZERO, from_store(11, change));
    let first: Vec<_> = (1..=4).map(|id| (FollowerId(id), since(9))).collect();
    assert_eq!(pushed(&effects), first);
    // Two queued followers already have the change from their other watcher and only need a
    // confirmation in their turn.
    let unchanged = |id| (FollowerId(id), FeedContent::Unchanged);
    let effects = feed.handle(Time::ZERO, acknowledged(5, 11));
    assert_eq!(pushed(&effects), [unchanged(5)]);
    assert!(pushed(&feed.handle(Time::ZERO, acknowledged(7, 11))).is_empty());
    let effects = feed.handle(Time::ZERO, acknowledged(1, 11));
    let mut pushed = pushed(&effects);
    pushed.sort_by_key(|(follower, _)| *follower);
    assert_eq!(pushed, [(FollowerId(6), since(9)), unchanged(7)]);
}

#[test]
fn after_a_snapshot_each_follower_receives_what_it_lacks() {
    let mut feed = watcher(9);
    feed.handle(Time::ZERO, follow_request(1, Some(9)));
    feed.handle(Time::ZERO, follow_request(2, Some(9)));
    let whole = || FeedContent::Snapshot(Vec::new());
    let effects = feed.handle(Time::ZERO, from_store(12, whole()));
    let expected = [(FollowerId(1), since(9)), (FollowerId(2), since(9))];
    assert_eq!(pushed(&effects), expected);
    let effects = feed.handle(Time::ZERO, from_store(12, whole()));
    let unchanged = |id| (FollowerId(id), FeedContent::Unchanged);
    assert_eq!(pushed(&effects), [unchanged(1), unchanged(2)]);
}

/// A follow request carries the held revision, and only one watcher is followed at first.
#[test]
fn a_starting_node_waits_for_its_listing_and_follows_one_watcher_first() {
    for node in 1..=24 {
        let mut feed = feed(node, LISTING_TIMEOUT);
        let effects = feed.handle(Time::ZERO, Event::MembersChanged(members(24)));
        if feed.is_watcher() {
            continue;
        }
        assert!(follow_requests(&effects).is_empty());
        let listing = Event::StaleListing {
            at: StoreRevision::new(0, 5),
            objects: Vec::new(),
        };
        let effects = feed.handle(Time::from_millis(100), listing);
        let [(first, known)] = follow_requests(&effects)[..] else {
            panic!("{effects:?}");
        };
        assert_eq!(known, Some(StoreRevision::new(0, 5)));
        let answered = Event::SourceAnswered {
            source: first,
            at: StoreRevision::new(0, 7),
            age: Duration::ZERO,
            current_at: None,
            content: since(5),
        };
        let effects = feed.handle(Time::from_millis(300), answered);
        let [(second, known)] = follow_requests(&effects)[..] else {
            panic!("{effects:?}");
        };
        assert!(second != first && known == Some(StoreRevision::new(0, 7)));
        return;
    }
    panic!("all nodes are watchers");
}

fn first_follower() -> (Feed, NodeId) {
    for node in 1..=24 {
        let mut feed = feed(node, LISTING_TIMEOUT);
        feed.handle(Time::ZERO, Event::MembersChanged(members(24)));
        let late = Time::from_millis(600);
        let effects = feed.handle(late, Event::Tick);
        if let ([(source, None)], false) = (&follow_requests(&effects)[..], feed.is_watcher()) {
            return (feed, *source);
        }
    }
    panic!("no follower");
}

#[test]
fn without_a_listing_a_node_requests_a_snapshot_and_replaces_a_lost_first_watcher() {
    let (mut feed, first) = first_follower();
    let lost = feed.handle(Time::from_millis(700), Event::SourceLost(first));
    let [(second, None)] = follow_requests(&lost)[..] else {
        panic!("{lost:?}");
    };
    assert_ne!(second, first);
}

#[test]
fn a_silent_first_watcher_delays_the_second_only_until_the_timeout() {
    let (mut feed, first) = first_follower();
    let effects = feed.handle(Time::from_millis(1_799), Event::Tick);
    assert!(follow_requests(&effects).is_empty());
    let effects = feed.handle(Time::from_millis(1_800), Event::Tick);
    let [(second, None)] = follow_requests(&effects)[..] else {
        panic!("{effects:?}");
    };
    assert_ne!(second, first);
}

#[test]
fn changes_without_their_base_are_rejected_and_a_snapshot_is_requested() {
    let (mut feed, first) = first_follower();
    let answered = Event::SourceAnswered {
        source: first,
        at: StoreRevision::new(0, 7),
        age: Duration::ZERO,
        current_at: None,
        content: since(5),
    };
    let effects = feed.handle(Time::from_millis(700), answered);
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::Apply { .. }))
    );
    assert!(follow_requests(&effects).contains(&(first, None)));
}

#[test]
fn a_content_mismatch_requests_a_snapshot() {
    let (mut feed, first) = first_follower();
    let answered = |content| Event::SourceAnswered {
        source: first,
        at: StoreRevision::new(0, 7),
        age: Duration::ZERO,
        current_at: None,
        content,
    };
    let whole = answered(FeedContent::Snapshot(Vec::new()));
    feed.handle(Time::from_millis(700), whole);
    let effects = feed.handle(Time::from_millis(800), Event::ContentMismatch);
    let requests: BTreeMap<_, _> = follow_requests(&effects).into_iter().collect();
    assert!(!requests.is_empty() && requests.values().all(Option::is_none));
}
