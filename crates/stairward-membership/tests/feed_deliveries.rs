//! What a watcher tells followers that lack something: only that, a few at a time, and nothing is missed.

use std::collections::{BTreeMap, BTreeSet};

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{
    Effect, Event, Feed, FeedContent, FeedParameters, FollowerId, MAXIMUM_IMMEDIATE_PUSH_BYTES,
};
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

/// Followers that are told at once.
const AT_ONCE: usize = 4;
/// After so many milliseconds a follower that says nothing holds others up no longer.
const PATIENCE: u64 = 500;
const LISTING_PATIENCE: Duration = Duration::from_millis(600);

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

/// A watcher that the store has given its objects.
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

fn asked(follower: u64, known: Option<u64>) -> Event {
    Event::FollowRequested {
        follower: FollowerId(follower),
        known: known.map(|revision| StoreRevision::new(0, revision)),
    }
}

fn took(follower: u64, held: u64) -> Event {
    Event::FollowerAcknowledged {
        follower: FollowerId(follower),
        held: StoreRevision::new(0, held),
    }
}

/// Who was told what.
fn told(effects: &[Effect]) -> Vec<(FollowerId, FeedContent)> {
    let mut told = Vec::new();
    for effect in effects {
        if let Effect::Push {
            followers, content, ..
        } = effect
        {
            told.extend(
                followers
                    .iter()
                    .map(|follower| (*follower, content.clone())),
            );
        }
    }
    told
}

fn since(revision: u64) -> FeedContent {
    FeedContent::ChangesSince {
        since: StoreRevision::new(0, revision),
        changes: Vec::new(),
        digest: 0,
    }
}

fn followed(effects: &[Effect]) -> Vec<(NodeId, Option<StoreRevision>)> {
    let followed = effects.iter().filter_map(|effect| match effect {
        Effect::Follow { source, known } => Some((*source, *known)),
        _ => None,
    });
    followed.collect()
}

#[test]
fn a_follower_with_a_listing_is_told_only_what_has_changed_since() {
    let mut feed = watcher(9);
    let effects = feed.handle(Time::ZERO, asked(1, Some(7)));
    assert_eq!(told(&effects), [(FollowerId(1), since(7))]);
    let effects = feed.handle(Time::ZERO, asked(2, Some(9)));
    assert_eq!(told(&effects), [(FollowerId(2), FeedContent::Unchanged)]);
    let effects = feed.handle(Time::ZERO, asked(3, None));
    let whole = FeedContent::Snapshot(Vec::new());
    assert_eq!(told(&effects), [(FollowerId(3), whole)]);
}

/// 50 followers ask within a moment, as when a fleet starts.
#[test]
fn many_followers_are_told_a_few_at_a_time_and_all_in_the_end() {
    let mut feed = watcher(9);
    let mut told_to: Vec<FollowerId> = Vec::new();
    for follower in 1..=50 {
        let effects = feed.handle(Time::ZERO, asked(follower, Some(follower % 9)));
        told_to.extend(told(&effects).into_iter().map(|(follower, _)| follower));
    }
    assert_eq!(told_to.len(), AT_ONCE);
    let mut next = 0;
    while next < told_to.len() {
        let took = took(told_to[next].0, 9);
        let effects = feed.handle(Time::from_millis(10), took);
        let more = told(&effects);
        assert!(more.len() <= 1, "one has made room for one");
        told_to.extend(more.into_iter().map(|(follower, _)| follower));
        next += 1;
    }
    let all: BTreeSet<_> = told_to.iter().copied().collect();
    assert_eq!((told_to.len(), all.len()), (50, 50));
}

#[test]
fn followers_that_wait_together_are_told_the_same_content() {
    let mut feed = feed(1, Duration::ZERO);
    feed.handle(Time::ZERO, Event::MembersChanged(members(3)));
    for follower in 1..=AT_ONCE as u64 {
        let effects = feed.handle(Time::ZERO, asked(follower, Some(follower)));
        assert!(told(&effects).is_empty(), "nothing is confirmed yet");
    }
    let whole = FeedContent::Snapshot(Vec::new());
    let effects = feed.handle(Time::ZERO, from_store(9, whole));
    let told = told(&effects);
    assert_eq!(told.len(), AT_ONCE);
    assert!(told.iter().all(|(_, content)| *content == since(1)));
}

#[test]
fn a_follower_that_says_nothing_holds_the_others_up_for_a_moment_only() {
    let mut feed = watcher(9);
    for follower in 1..=AT_ONCE as u64 + 1 {
        feed.handle(Time::ZERO, asked(follower, Some(3)));
    }
    assert_eq!(
        feed.next_deadline(Time::ZERO),
        Some(Time::from_millis(PATIENCE))
    );
    let effects = feed.handle(Time::from_millis(PATIENCE - 1), Event::Tick);
    assert!(told(&effects).is_empty());
    let effects = feed.handle(Time::from_millis(PATIENCE), Event::Tick);
    assert_eq!(told(&effects), [(FollowerId(5), since(3))]);
}

#[test]
fn a_follower_that_leaves_makes_room_and_is_told_nothing() {
    let mut feed = watcher(9);
    for follower in 1..=AT_ONCE as u64 + 2 {
        feed.handle(Time::ZERO, asked(follower, Some(3)));
    }
    feed.handle(Time::ZERO, Event::FollowerLeft(FollowerId(5)));
    let effects = feed.handle(Time::ZERO, Event::FollowerLeft(FollowerId(1)));
    assert_eq!(told(&effects), [(FollowerId(6), since(3))]);
}

#[test]
fn a_change_goes_to_those_in_step_at_once_and_to_others_with_what_they_lack() {
    let mut feed = watcher(9);
    for follower in 1..=AT_ONCE as u64 + 1 {
        feed.handle(Time::ZERO, asked(follower, Some(3)));
    }
    let change = FeedContent::Changes(vec![1]);
    let effects = feed.handle(Time::ZERO, from_store(11, change.clone()));
    let in_step: Vec<_> = (1..=4).map(|id| (FollowerId(id), change.clone())).collect();
    assert_eq!(told(&effects), in_step);
    let effects = feed.handle(Time::ZERO, took(2, 11));
    let [Effect::Push { at, .. }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(*at, StoreRevision::new(0, 11));
    assert_eq!(told(&effects), [(FollowerId(5), since(3))]);
}

#[test]
fn a_long_change_goes_to_followers_in_step_in_turn_too() {
    let mut feed = watcher(9);
    for follower in 1..=12 {
        feed.handle(Time::ZERO, asked(follower, Some(9)));
    }
    let change = FeedContent::Changes(vec![1; MAXIMUM_IMMEDIATE_PUSH_BYTES + 1]);
    let effects = feed.handle(Time::ZERO, from_store(11, change));
    let first: Vec<_> = (1..=4).map(|id| (FollowerId(id), since(9))).collect();
    assert_eq!(told(&effects), first);
    // Two that wait have it from the other watcher that they follow, and only hear so in their turn.
    let unchanged = |id| (FollowerId(id), FeedContent::Unchanged);
    let effects = feed.handle(Time::ZERO, took(5, 11));
    assert_eq!(told(&effects), [unchanged(5)]);
    assert!(told(&feed.handle(Time::ZERO, took(7, 11))).is_empty());
    let effects = feed.handle(Time::ZERO, took(1, 11));
    let mut told = told(&effects);
    told.sort_by_key(|(follower, _)| *follower);
    assert_eq!(told, [(FollowerId(6), since(9)), unchanged(7)]);
}

#[test]
fn after_history_was_lost_each_follower_is_told_what_it_lacks() {
    let mut feed = watcher(9);
    feed.handle(Time::ZERO, asked(1, Some(9)));
    feed.handle(Time::ZERO, asked(2, Some(9)));
    let whole = || FeedContent::Snapshot(Vec::new());
    let effects = feed.handle(Time::ZERO, from_store(12, whole()));
    let expected = [(FollowerId(1), since(9)), (FollowerId(2), since(9))];
    assert_eq!(told(&effects), expected);
    let effects = feed.handle(Time::ZERO, from_store(12, whole()));
    let unchanged = |id| (FollowerId(id), FeedContent::Unchanged);
    assert_eq!(told(&effects), [unchanged(1), unchanged(2)]);
}

/// The follower's side: what it holds is what it asks with, and it begins with one watcher.
#[test]
fn a_node_that_starts_waits_for_its_listing_and_follows_one_watcher_first() {
    for node in 1..=24 {
        let mut feed = feed(node, LISTING_PATIENCE);
        let effects = feed.handle(Time::ZERO, Event::MembersChanged(members(24)));
        if feed.is_watcher() {
            continue;
        }
        assert!(followed(&effects).is_empty());
        let listing = Event::StaleListing {
            at: StoreRevision::new(0, 5),
            objects: Vec::new(),
        };
        let effects = feed.handle(Time::from_millis(100), listing);
        let [(first, known)] = followed(&effects)[..] else {
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
        let [(second, known)] = followed(&effects)[..] else {
            panic!("{effects:?}");
        };
        assert!(second != first && known == Some(StoreRevision::new(0, 7)));
        return;
    }
    panic!("all are watchers");
}

fn first_follower() -> (Feed, NodeId) {
    for node in 1..=24 {
        let mut feed = feed(node, LISTING_PATIENCE);
        feed.handle(Time::ZERO, Event::MembersChanged(members(24)));
        let late = Time::from_millis(600);
        let effects = feed.handle(late, Event::Tick);
        if let ([(source, None)], false) = (&followed(&effects)[..], feed.is_watcher()) {
            return (feed, *source);
        }
    }
    panic!("no follower");
}

#[test]
fn without_a_listing_a_node_asks_for_all_after_a_while_and_another_where_the_first_is_lost() {
    let (mut feed, first) = first_follower();
    let lost = feed.handle(Time::from_millis(700), Event::SourceLost(first));
    let [(second, None)] = followed(&lost)[..] else {
        panic!("{lost:?}");
    };
    assert_ne!(second, first);
}

#[test]
fn a_silent_first_watcher_delays_the_second_for_a_while_only() {
    let (mut feed, first) = first_follower();
    let effects = feed.handle(Time::from_millis(1_799), Event::Tick);
    assert!(followed(&effects).is_empty());
    let effects = feed.handle(Time::from_millis(1_800), Event::Tick);
    let [(second, None)] = followed(&effects)[..] else {
        panic!("{effects:?}");
    };
    assert_ne!(second, first);
}

#[test]
fn changes_on_something_that_is_not_held_are_refused_and_all_is_asked_for() {
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
    assert!(followed(&effects).contains(&(first, None)));
}

#[test]
fn objects_that_do_not_match_the_watchers_are_asked_for_whole() {
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
    let asked: BTreeMap<_, _> = followed(&effects).into_iter().collect();
    assert!(!asked.is_empty() && asked.values().all(Option::is_none));
}
