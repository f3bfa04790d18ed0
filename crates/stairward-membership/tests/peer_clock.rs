//! Times on a peer's clock are never converted to later times, regardless of message delays.

use stairward_membership::PeerClock;
use stairward_testing::check;
use stairward_types::{Duration, Time};

/// Durations, in milliseconds, of the parts of an exchange, and the time to convert.
type Parts = (u16, u16, u16, u16, u16);

#[test]
fn a_peer_time_is_never_converted_to_a_later_time() {
    check!().with_type::<Parts>().cloned().for_each(|parts| {
        let (own_start, peer_start, requested, transit, moment) = parts;
        let milliseconds = |count: u16| Duration::from_millis(u64::from(count));
        // On a global clock: both processes start, one sends a request, and the other answers it on
        // arrival.
        let (own_start, peer_start) = (milliseconds(own_start), milliseconds(peer_start));
        let requested = own_start.max(peer_start) + milliseconds(requested);
        let answered = requested + milliseconds(transit);
        let moment = peer_start + milliseconds(moment);
        let on = |start: Duration, at: Duration| Time::ZERO + at.saturating_sub(start);
        let clock = PeerClock::new(on(own_start, requested), on(peer_start, answered));
        match clock.local_lower_bound(on(peer_start, moment)) {
            Some(converted) => {
                let converted_moment = own_start + converted.since(Time::ZERO);
                assert!(
                    converted_moment <= moment,
                    "{converted_moment:?} for {moment:?}"
                );
                assert!(moment.saturating_sub(converted_moment) <= milliseconds(transit));
            }
            None => assert!(moment < own_start + milliseconds(transit)),
        }
    });
}

#[test]
fn a_clock_offset_becomes_stale() {
    let clock = PeerClock::new(Time::from_millis(500), Time::ZERO);
    assert!(!clock.is_stale(Time::from_millis(30_000)));
    assert!(clock.is_stale(Time::from_millis(30_500)));
}
