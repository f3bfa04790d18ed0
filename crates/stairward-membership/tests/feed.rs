//! Feeds: a few members of a region read the store, and the others follow them.

use std::collections::BTreeMap;

use stairward_membership::configuration::PeerLocation;
use stairward_membership::feed::{
    Effect, Event, Feed, FeedContent, FeedParameters, FollowerId, StoreRetry,
};
use stairward_types::{Duration, NodeId, RegionName, StoreRevision, Time};

const DIRECT_READ_TIMEOUT: Duration = Duration::from_millis(2_000);
const STORE_TIMEOUT: Duration = Duration::from_millis(3_000);
const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(4_000);
/// Time for which a node must rank as a watcher before it reads the store, in milliseconds.
const VIEW_SETTLE_MS: u64 = 1_000;

fn region(name: &str) -> RegionName {
    RegionName::new(name).expect("a valid region name")
}

fn members(count: u64) -> Vec<PeerLocation> {
    let place = |number| PeerLocation {
        node: NodeId(number),
        region: region("north"),
        leaving: false,
    };
    (1..=count).map(place).collect()
}

fn feed(node: u64) -> Feed {
    let parameters = FeedParameters {
        node: NodeId(node),
        region: region("north"),
        direct_read_timeout: DIRECT_READ_TIMEOUT,
        listing_timeout: Duration::ZERO,
        store_timeout: STORE_TIMEOUT,
        restore_settle_time: RESTORE_SETTLE_TIME,
    };
    Feed::new(parameters, Time::ZERO)
}

/// The feed of a node in a region of `count` members, and its effects on receiving the view.
fn feed_among(node: u64, count: u64) -> (Feed, Vec<Effect>) {
    let mut feed = feed(node);
    feed.handle(Time::ZERO, Event::Tick);
    let effects = feed.handle(Time::ZERO, Event::MembersChanged(members(count)));
    (feed, effects)
}

fn follower_among(count: u64) -> (Feed, Vec<NodeId>) {
    for node in 1..=count {
        let (feed, effects) = feed_among(node, count);
        if !feed.is_watcher() {
            let sources = effects.iter().filter_map(|effect| match effect {
                Effect::Follow { source, .. } => Some(*source),
                _ => None,
            });
            return (feed, sources.collect());
        }
    }
    panic!("all nodes are watchers");
}

fn changes(text: &str) -> FeedContent {
    FeedContent::Changes(text.as_bytes().to_vec())
}

fn whole(text: &str) -> FeedContent {
    FeedContent::Snapshot(text.as_bytes().to_vec())
}

fn from_source(source: NodeId, at: u64, age: u64, content: FeedContent) -> Event {
    Event::SourceAnswered {
        source,
        at: StoreRevision::new(0, at),
        age: Duration::from_millis(age),
        current_at: None,
        content,
    }
}

fn from_store(at: u64, content: FeedContent) -> Event {
    let at = StoreRevision::new(0, at);
    Event::StoreAnswered {
        at,
        current_at: Time::ZERO,
        content,
    }
}

fn reading_change(effects: &[Effect]) -> Option<bool> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReadStore(is_reading) => Some(*is_reading),
        _ => None,
    })
}

fn applied(effects: &[Effect]) -> Vec<&FeedContent> {
    let applied = effects.iter().filter_map(|effect| match effect {
        Effect::Apply { content, .. } => Some(content),
        _ => None,
    });
    applied.collect()
}

#[test]
fn every_node_of_a_small_region_reads_the_store() {
    for node in 1..=3 {
        let mut feed = feed(node);
        assert_eq!(reading_change(&feed.handle(Time::ZERO, Event::Tick)), None);
        let effects = feed.handle(Time::ZERO, Event::MembersChanged(members(3)));
        assert_eq!(reading_change(&effects), None, "the view must settle first");
        assert!(feed.is_watcher());
        assert_eq!(
            feed.next_deadline(Time::ZERO),
            Some(Time::from_millis(VIEW_SETTLE_MS))
        );
        let settled = feed.handle(Time::from_millis(VIEW_SETTLE_MS), Event::Tick);
        assert_eq!(reading_change(&settled), Some(true));
        let effects = feed.handle(
            Time::from_millis(VIEW_SETTLE_MS),
            Event::MembersChanged(members(3)),
        );
        assert_eq!(reading_change(&effects), None, "reading continues");
    }
}

#[test]
fn watcher_count_is_bounded_and_followers_are_spread_evenly() {
    for (count, watchers) in [(24, 3), (400, 13), (700, 22)] {
        let mut followed: BTreeMap<NodeId, usize> = BTreeMap::new();
        let mut reading = 0;
        for node in 1..=count {
            let (feed, effects) = feed_among(node, count);
            reading += usize::from(feed.is_watcher());
            for effect in effects {
                if let (false, Effect::Follow { source, .. }) = (feed.is_watcher(), effect) {
                    *followed.entry(source).or_default() += 1;
                }
            }
        }
        assert_eq!(reading, watchers);
        let most = followed.values().max().copied().unwrap_or_default();
        assert!(followed.len() == watchers && most < 110, "{followed:?}");
    }
}

#[test]
fn a_follower_stops_reading_once_a_watcher_confirms() {
    let (mut feed, sources) = follower_among(24);
    assert_eq!(sources.len(), 2);
    let answered = from_source(sources[0], 7, 100, whole("all"));
    let late = Time::from_millis(2_000);
    assert_eq!(reading_change(&feed.handle(late, Event::Tick)), Some(true));
    let effects = feed.handle(Time::from_millis(2_100), answered);
    assert_eq!(applied(&effects), [&whole("all")]);
    assert_eq!(reading_change(&effects), Some(false));
}

#[test]
fn a_starting_follower_reads_only_if_no_watcher_confirms_in_time() {
    let (mut feed, sources) = follower_among(24);
    let starting = feed.handle(Time::from_millis(1_500), Event::Tick);
    assert_eq!(reading_change(&starting), None);
    let answered = from_source(sources[0], 7, 100, whole("all"));
    feed.handle(Time::from_millis(1_600), answered);
    let later = feed.handle(Time::from_millis(3_499), Event::Tick);
    assert_eq!(reading_change(&later), None);
    let unconfirmed = feed.handle(Time::from_millis(3_500), Event::Tick);
    assert_eq!(reading_change(&unconfirmed), Some(true));
}

#[test]
fn a_node_that_briefly_ranks_as_watcher_does_not_read() {
    let (mut feed, _) = follower_among(24);
    let own = members(24).into_iter().take(1).collect();
    let alone = feed.handle(Time::from_millis(400), Event::MembersChanged(own));
    assert!(feed.is_watcher());
    assert_eq!(reading_change(&alone), None);
    let again = feed.handle(Time::from_millis(900), Event::MembersChanged(members(24)));
    assert_eq!(reading_change(&again), None);
    let later = feed.handle(Time::from_millis(1_450), Event::Tick);
    assert_eq!(reading_change(&later), None);
}

#[test]
fn a_stale_listing_is_applied_but_confirms_nothing() {
    let (mut feed, sources) = follower_among(24);
    let listing = |at, objects: &str| Event::StaleListing {
        at: StoreRevision::new(0, at),
        objects: objects.as_bytes().to_vec(),
    };
    let effects = feed.handle(Time::from_millis(10), listing(7, "seven"));
    assert_eq!(applied(&effects), [&whole("seven")]);
    let follower = FollowerId(1);
    let request = Event::FollowRequested {
        follower,
        known: None,
    };
    let effects = feed.handle(Time::from_millis(20), request);
    assert!(effects.is_empty(), "followers would consider it confirmed");
    let unconfirmed = feed.handle(Time::from_millis(2_000), Event::Tick);
    assert_eq!(reading_change(&unconfirmed), Some(true));
    feed.handle(
        Time::from_millis(2_100),
        from_source(sources[0], 9, 0, whole("nine")),
    );
    let effects = feed.handle(Time::from_millis(2_200), listing(8, "eight"));
    assert!(applied(&effects).is_empty(), "older than the held revision");
}

#[test]
fn a_follower_reads_the_store_once_its_watchers_time_out() {
    let (mut feed, sources) = follower_among(24);
    for source in &sources {
        let answered = from_source(*source, 7, 0, whole("all"));
        feed.handle(Time::from_millis(500), answered);
    }
    // One of the two watchers continues to confirm.
    let confirmed = from_source(sources[1], 7, 0, FeedContent::Unchanged);
    feed.handle(Time::from_millis(2_000), confirmed);
    assert_eq!(
        feed.next_deadline(Time::from_millis(2_000)),
        Some(Time::from_millis(4_000))
    );
    assert_eq!(
        reading_change(&feed.handle(Time::from_millis(3_999), Event::Tick)),
        None
    );
    assert_eq!(
        reading_change(&feed.handle(Time::from_millis(4_000), Event::Tick)),
        Some(true)
    );
}

#[test]
fn an_outdated_confirmation_does_not_stop_a_follower_from_reading() {
    let (mut feed, sources) = follower_among(24);
    let started = feed.handle(Time::from_millis(2_900), Event::Tick);
    assert_eq!(reading_change(&started), Some(true));
    for source in &sources {
        let answered = from_source(*source, 7, 2_500, whole("all"));
        let effects = feed.handle(Time::from_millis(3_000), answered);
        assert_eq!(reading_change(&effects), None, "reading continues");
    }
}

#[test]
fn content_older_than_the_held_revision_is_never_applied() {
    let (mut feed, sources) = follower_among(24);
    let now = Time::from_millis(500);
    feed.handle(now, from_source(sources[0], 9, 0, whole("nine")));
    for late in [
        from_source(sources[1], 8, 0, whole("eight")),
        from_source(sources[1], 9, 0, changes("nine")),
        from_store(8, whole("eight")),
    ] {
        assert!(applied(&feed.handle(now, late)).is_empty());
    }
    let next = feed.handle(now, from_source(sources[1], 10, 0, changes("ten")));
    assert_eq!(applied(&next), [&changes("ten")]);
}

#[test]
fn a_watcher_forwards_every_store_answer_even_if_already_held() {
    let (mut feed, effects) = feed_among(1, 3);
    assert!(
        effects
            .iter()
            .all(|effect| !matches!(effect, Effect::Follow { .. }))
            || feed.is_watcher()
    );
    let follower = FollowerId(1);
    feed.handle(Time::ZERO, from_store(5, whole("five")));
    let request = Event::FollowRequested {
        follower,
        known: None,
    };
    let effects = feed.handle(Time::from_millis(300), request);
    let pushed = Effect::Push {
        followers: vec![follower],
        at: StoreRevision::new(0, 5),
        age: Duration::from_millis(300),
        current_at: Some(Time::ZERO),
        content: whole(""),
    };
    assert_eq!(effects, [pushed]);
    // The store does not answer, another watcher has newer content, then the store answers with
    // older content.
    let silent = Time::from_millis(3_000);
    let effects = feed.handle(silent, Event::Tick);
    let source = effects.iter().find_map(|effect| match effect {
        Effect::Follow { source, .. } => Some(*source),
        _ => None,
    });
    let source = source.expect("it follows another watcher");
    feed.handle(silent, from_source(source, 8, 0, whole("eight")));
    let effects = feed.handle(silent, from_store(7, changes("seven")));
    assert!(applied(&effects).is_empty());
    let pushed = Effect::Push {
        followers: vec![follower],
        at: StoreRevision::new(0, 7),
        age: Duration::ZERO,
        current_at: Some(Time::ZERO),
        content: changes("seven"),
    };
    assert!(
        effects.contains(&pushed),
        "a synchronized follower would miss it"
    );
    assert!(effects.contains(&Effect::Unfollow(source)));
}

#[test]
fn a_watcher_does_not_forward_confirmations_by_other_watchers() {
    let (mut feed, _) = feed_among(1, 3);
    let follower = FollowerId(1);
    let effects = feed.handle(
        Time::ZERO,
        Event::FollowRequested {
            follower,
            known: None,
        },
    );
    assert!(effects.is_empty(), "nothing is held yet");
    feed.handle(Time::ZERO, from_store(5, whole("five")));
    let silent = Time::from_millis(4_000);
    let effects = feed.handle(silent, Event::Tick);
    for effect in effects {
        if let Effect::Follow { source, .. } = effect {
            let confirmed = from_source(source, 5, 0, FeedContent::Unchanged);
            let effects = feed.handle(silent, confirmed);
            assert!(
                effects.is_empty(),
                "two nodes would confirm each other indefinitely"
            );
        }
    }
}

#[test]
fn a_lost_watcher_is_followed_again_after_a_delay_from_the_held_revision() {
    let (mut feed, sources) = follower_among(24);
    let now = Time::from_millis(500);
    feed.handle(now, from_source(sources[0], 9, 0, whole("nine")));
    assert!(feed.handle(now, Event::SourceLost(sources[0])).is_empty());
    let later = feed.next_deadline(now).expect("a deadline");
    let effects = feed.handle(later, Event::Tick);
    let again = Effect::Follow {
        source: sources[0],
        known: Some(StoreRevision::new(0, 9)),
    };
    assert_eq!(effects, [again]);
}

#[test]
fn a_watcher_that_left_the_view_is_unfollowed() {
    let (mut feed, sources) = follower_among(24);
    let mut view = members(24);
    view.retain(|member| member.node != sources[0]);
    let effects = feed.handle(Time::from_millis(600), Event::MembersChanged(view));
    assert!(effects.contains(&Effect::Unfollow(sources[0])));
    let late = from_source(sources[0], 9, 0, whole("nine"));
    assert!(applied(&feed.handle(Time::from_millis(600), late)).is_empty());
}

/// During 5 s in which a store rejected all reads, 295 nodes made about 8,000 calls.
#[test]
fn followers_retry_an_unavailable_store_less_often_than_watchers() {
    let tries_within = |is_watcher: bool, limit: Duration| {
        let mut retry = StoreRetry::default();
        let mut elapsed = Duration::ZERO;
        let mut tries = 0;
        while elapsed < limit {
            tries += 1;
            elapsed += retry.record_failure(is_watcher, 1.0);
        }
        tries
    };
    let outage = Duration::from_secs(5);
    assert_eq!(tries_within(true, outage), 14);
    assert_eq!(tries_within(false, outage), 6);
}

#[test]
fn an_answer_resets_the_retry_delay_and_jitter_spreads_retries() {
    let mut retry = StoreRetry::default();
    for _ in 0..40 {
        retry.record_failure(false, 0.0);
    }
    assert_eq!(
        retry.record_failure(false, 1.0),
        Duration::from_millis(2_000)
    );
    assert_eq!(
        retry.record_failure(false, 0.0),
        Duration::from_millis(1_500)
    );
    retry.record_success();
    assert_eq!(retry.record_failure(false, 0.0), Duration::from_millis(75));
}

/// The time after its start at which a follower in a region of `count` members reads the store if
/// no watcher answers.
fn direct_read_delay(count: u64, held: Option<u64>) -> Duration {
    let (mut feed, _) = follower_among(count);
    if let Some(held) = held {
        let at = StoreRevision::new(0, held);
        let objects = Vec::new();
        feed.handle(Time::ZERO, Event::StaleListing { at, objects });
    }
    let mut now = Time::ZERO;
    loop {
        now = feed
            .next_deadline(now)
            .unwrap_or_else(|| panic!("no deadline after {now:?}: {count} {held:?}"));
        if reading_change(&feed.handle(now, Event::Tick)) == Some(true) {
            return now.since(Time::ZERO);
        }
    }
}

#[test]
fn only_a_node_without_content_waits_for_its_queued_delivery() {
    assert_eq!(direct_read_delay(330, Some(5)), DIRECT_READ_TIMEOUT);
    assert!(direct_read_delay(330, None) >= 2 * DIRECT_READ_TIMEOUT);
    assert!(direct_read_delay(330, None) < Duration::from_secs(15));
    // In a small region the watchers serve all followers within the normal timeout.
    assert_eq!(direct_read_delay(8, None), DIRECT_READ_TIMEOUT);
    // The delay depends on the number of followers per watcher, not on the size of the region.
    assert!(direct_read_delay(5_000, None) < Duration::from_secs(15));
}
