//! Moments on a peer's clock are never placed later than they were, however long messages were on their way.

use stairward_membership::PeerClock;
use stairward_testing::check;
use stairward_types::{Duration, Time};

/// Milliseconds of each part of an exchange, and of the moment that is placed.
type Parts = (u16, u16, u16, u16, u16);

#[test]
fn a_moment_of_a_peer_is_placed_no_later_than_it_was() {
    check!().with_type::<Parts>().cloned().for_each(|parts| {
        let (own_start, peer_start, asked, question, moment) = parts;
        let milliseconds = |count: u16| Duration::from_millis(u64::from(count));
        // On a clock that nobody has: both start, one asks, the other answers when the question has arrived.
        let (own_start, peer_start) = (milliseconds(own_start), milliseconds(peer_start));
        let asked = own_start.max(peer_start) + milliseconds(asked);
        let answered = asked + milliseconds(question);
        let moment = peer_start + milliseconds(moment);
        let on = |start: Duration, at: Duration| Time::ZERO + at.saturating_sub(start);
        let clock = PeerClock::new(on(own_start, asked), on(peer_start, answered));
        match clock.local_lower_bound(on(peer_start, moment)) {
            Some(placed) => {
                let late = own_start + placed.since(Time::ZERO);
                assert!(late <= moment, "{late:?} for {moment:?}");
                assert!(moment.saturating_sub(late) <= milliseconds(question));
            }
            None => assert!(moment < own_start + milliseconds(question)),
        }
    });
}

#[test]
fn a_clock_is_asked_for_again_after_a_while() {
    let clock = PeerClock::new(Time::from_millis(500), Time::ZERO);
    assert!(!clock.is_stale(Time::from_millis(30_000)));
    assert!(clock.is_stale(Time::from_millis(30_500)));
}
