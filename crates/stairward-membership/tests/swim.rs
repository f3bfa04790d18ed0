//! The rules of the membership protocol, one by one.

mod common;

use common::{Bench, address, alive, all_answer_but, failed, profile, sent, suspect};
use stairward_membership::{
    Effect, Event, MemberChange, Message, Status, SwimConfig, Update, Version,
};
use stairward_types::{Duration, Incarnation, NodeId, Revision};

const SECOND: Duration = Duration::from_secs(1);

fn has_change(effects: &[Effect], node: u64, change: MemberChange) -> bool {
    let node = NodeId(node);
    effects.contains(&Effect::MemberChanged { node, change })
}

#[test]
fn members_that_answer_stay_in_the_view() {
    let mut bench = Bench::knowing(5);
    let effects = bench.run_answering(30 * SECOND, all_answer_but(&[]));
    assert_eq!(bench.member.view().count(), 5);
    assert!(!effects.contains(&Effect::ViewChanged));
}

#[test]
fn a_member_that_never_answers_is_suspected_then_failed() {
    let mut bench = Bench::knowing(5);
    let effects = bench.run_answering(5 * SECOND, all_answer_but(&[4]));
    assert!(has_change(&effects, 4, MemberChange::Suspected));
    assert!(has_change(&effects, 4, MemberChange::Failed));
    assert!(!bench.sees(4));
    assert!(effects.contains(&Effect::ViewChanged));
}

#[test]
fn a_suspected_member_stays_in_the_view_until_its_time_is_up() {
    let mut bench = Bench::knowing(5);
    bench.gossip(vec![suspect(4, 2)]);
    assert_eq!(bench.member.status(NodeId(4)), Some(Status::Suspect));
    bench.run_answering(SECOND, all_answer_but(&[]));
    assert!(bench.sees(4));
    bench.run_answering(2 * SECOND, all_answer_but(&[]));
    assert!(!bench.sees(4));
}

#[test]
fn further_accusers_shorten_the_time_to_refute() {
    let mut alone = Bench::knowing(5);
    let mut confirmed = Bench::knowing(5);
    alone.gossip(vec![suspect(4, 2)]);
    for accuser in [2, 3, 5] {
        confirmed.gossip(vec![suspect(4, accuser)]);
    }
    let between = Duration::from_millis(1_200);
    alone.run_answering(between, all_answer_but(&[]));
    confirmed.run_answering(between, all_answer_but(&[]));
    assert!(alone.sees(4));
    assert!(!confirmed.sees(4));
}

/// In a fleet that starts, the few that all others ask first answer late, and many accuse them at once.
#[test]
fn where_suspicion_grows_with_the_fleet_a_member_of_many_has_longer_to_refute() {
    let growing = SwimConfig {
        scale_suspicion_timeout: true,
        ..SwimConfig::default()
    };
    let fails_within = |count, config: SwimConfig, time| {
        let mut bench = Bench::configured(count, config);
        for accuser in [2, 3, 5] {
            bench.gossip(vec![suspect(4, accuser)]);
        }
        bench.run_answering(time, all_answer_but(&[]));
        !bench.sees(4)
    };
    // Of 100 members, twice as long as the second that three accusers leave.
    let (before, after) = (Duration::from_millis(1_900), Duration::from_millis(2_100));
    assert!(fails_within(100, SwimConfig::default(), before));
    assert!(!fails_within(100, growing.clone(), before));
    assert!(fails_within(100, growing.clone(), after));
    assert!(fails_within(8, growing, Duration::from_millis(1_100)));
}

#[test]
fn the_same_accuser_again_does_not_shorten_it() {
    let mut bench = Bench::knowing(5);
    for _ in 0..10 {
        bench.gossip(vec![suspect(4, 2)]);
    }
    bench.run_answering(Duration::from_millis(1_200), all_answer_but(&[]));
    assert!(bench.sees(4));
}

#[test]
fn a_refutation_ends_the_suspicion() {
    let mut bench = Bench::knowing(5);
    bench.gossip(vec![suspect(4, 2)]);
    let mut refuting = profile(4, 1);
    refuting.version = refuting.version.next();
    let effects = bench.gossip(vec![alive(refuting)]);
    assert!(has_change(&effects, 4, MemberChange::Refuted));
    bench.run_answering(5 * SECOND, all_answer_but(&[]));
    assert!(bench.sees(4));
}

#[test]
fn an_accused_node_refutes_with_a_higher_version() {
    let mut bench = Bench::knowing(5);
    bench.gossip(vec![suspect(1, 2)]);
    let version = bench.member.profile().version;
    assert_eq!(version, Version::first(Incarnation(1)).next());
    let effects = bench.run(SECOND);
    let spoke = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .any(|update| matches!(update, Update::Alive(own) if own.node == NodeId(1)));
    assert!(spoke);
    // The same accusation is old now.
    bench.gossip(vec![suspect(1, 2), failed(1)]);
    assert_eq!(bench.member.profile().version, version);
}

#[test]
fn a_ping_to_a_suspected_member_tells_it_so() {
    let mut bench = Bench::knowing(2);
    bench.gossip(vec![suspect(2, 9)]);
    let effects = bench.run(Duration::from_millis(200));
    let (_, ping) = sent(&effects)
        .find(|(_, packet)| matches!(packet.message, Message::Ping { .. }))
        .unwrap();
    assert!(matches!(
        ping.updates[0],
        Update::Suspect {
            node: NodeId(2),
            ..
        }
    ));
}

#[test]
fn an_answer_to_a_member_held_failed_tells_it_so() {
    let mut bench = Bench::knowing(3);
    bench.gossip(vec![failed(3)]);
    let ping = Message::Ping {
        sequence: 5,
        target: NodeId(1),
    };
    let effects = bench.receive(3, ping, Vec::new());
    let (to, ack) = sent(&effects)
        .find(|(_, packet)| packet.message == Message::Ack { sequence: 5 })
        .unwrap();
    assert_eq!(to, address(3));
    assert_eq!(ack.updates[0], failed(3));
}

#[test]
fn others_are_asked_before_a_silent_member_is_suspected() {
    let mut bench = Bench::knowing(6);
    let effects = bench.run_answering(3 * SECOND, |packet| match packet.message {
        Message::Ping { sequence, target } if target != NodeId(4) => {
            Some((target.0, Message::Ack { sequence }))
        }
        // The asked ones reach it.
        Message::IndirectPing { sequence, .. } => Some((2, Message::Ack { sequence })),
        _ => None,
    });
    assert!(!has_change(&effects, 4, MemberChange::Suspected));
    assert!(bench.sees(4));
}

#[test]
fn an_indirect_ping_is_carried_out_and_its_ack_passed_back() {
    let mut bench = Bench::knowing(4);
    let request = Message::IndirectPing {
        sequence: 77,
        target: NodeId(3),
        address: address(3),
    };
    let effects = bench.receive(2, request, Vec::new());
    let sequence = sent(&effects)
        .find_map(|(to, packet)| match packet.message {
            Message::Ping { sequence, target } if to == address(3) && target == NodeId(3) => {
                Some(sequence)
            }
            _ => None,
        })
        .unwrap();
    let effects = bench.receive(3, Message::Ack { sequence }, Vec::new());
    let passed_back = sent(&effects)
        .any(|(to, packet)| to == address(2) && packet.message == Message::Ack { sequence: 77 });
    assert!(passed_back);
}

#[test]
fn an_indirect_ping_without_answer_brings_a_nack() {
    let mut bench = Bench::knowing(4);
    let request = Message::IndirectPing {
        sequence: 77,
        target: NodeId(3),
        address: address(3),
    };
    bench.receive(2, request, Vec::new());
    let effects = bench.run(Duration::from_millis(120));
    let nacked = sent(&effects)
        .any(|(to, packet)| to == address(2) && packet.message == Message::Nack { sequence: 77 });
    assert!(nacked);
}

#[test]
fn a_returning_process_is_a_new_member_of_the_view() {
    let mut bench = Bench::knowing(3);
    let effects = bench.gossip(vec![alive(profile(3, 2))]);
    assert!(has_change(&effects, 3, MemberChange::Joined));
    assert!(effects.contains(&Effect::ViewChanged));
    assert_eq!(bench.view_of(3).version.incarnation, Incarnation(2));
    // News of its earlier life changes nothing.
    bench.gossip(vec![suspect(3, 2), failed(3), alive(profile(3, 1))]);
    assert_eq!(bench.member.status(NodeId(3)), Some(Status::Alive));
    assert_eq!(bench.view_of(3).version.incarnation, Incarnation(2));
}

#[test]
fn a_new_process_at_an_address_ends_the_member_that_was_there() {
    let mut bench = Bench::knowing(3);
    let mut successor = profile(9, 5);
    successor.address = address(3);
    bench.gossip(vec![alive(successor.clone())]);
    assert!(bench.sees(9));
    assert!(!bench.sees(3));
    // Late news of the earlier one does not displace the later.
    let mut late = profile(3, 1);
    late.version = late.version.next();
    bench.gossip(vec![alive(late)]);
    assert!(bench.sees(9));
    assert!(!bench.sees(3));
}

#[test]
fn only_the_pinged_node_answers() {
    let mut bench = Bench::knowing(3);
    let ping = Message::Ping {
        sequence: 5,
        target: NodeId(8),
    };
    let effects = bench.receive(2, ping, Vec::new());
    assert!(sent(&effects).all(|(_, packet)| packet.message != Message::Ack { sequence: 5 }));
}

#[test]
fn a_planned_stop_is_seen_as_leaving_and_then_as_left() {
    let mut bench = Bench::knowing(3);
    let mut leaving = profile(3, 1);
    leaving.version = leaving.version.next();
    leaving.leaving = true;
    let effects = bench.gossip(vec![alive(leaving.clone())]);
    assert!(has_change(&effects, 3, MemberChange::Leaving));
    assert!(effects.contains(&Effect::ViewChanged));
    assert!(bench.view_of(3).leaving);
    let left = Update::Left {
        node: NodeId(3),
        version: leaving.version,
    };
    let effects = bench.gossip(vec![left]);
    assert!(has_change(&effects, 3, MemberChange::Left));
    assert!(!bench.sees(3));
}

#[test]
fn announcing_a_stop_tells_others_at_once() {
    let mut bench = Bench::knowing(5);
    let effects = bench.handle(Event::LeaveAnnounced);
    assert!(effects.contains(&Effect::ViewChanged));
    let told = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .filter(|update| matches!(update, Update::Alive(own) if own.leaving))
        .count();
    assert!(told >= 3);
}

#[test]
fn a_failed_member_is_probed_slowly_so_that_a_partition_can_heal() {
    let mut bench = Bench::knowing(3);
    bench.gossip(vec![failed(3)]);
    let effects = bench.run_answering(60 * SECOND, all_answer_but(&[3]));
    let probes = sent(&effects)
        .filter(|(to, packet)| *to == address(3) && packet.updates.first() == Some(&failed(3)))
        .count();
    assert!((6..=24).contains(&probes), "{probes} probes in a minute");
}

#[test]
fn the_platforms_list_introduces_but_never_makes_or_ends_a_member() {
    let mut bench = Bench::knowing(3);
    bench.gossip(vec![failed(3)]);
    bench.handle(Event::MachinesListed(vec![address(3), address(7)]));
    let effects = bench.run_answering(SECOND, all_answer_but(&[3]));
    let knocked = sent(&effects).any(|(to, packet)| {
        to == address(7) && matches!(packet.message, Message::Introduce { .. })
    });
    assert!(knocked);
    assert!(!bench.sees(3) && !bench.sees(7));
    // Member 2 is not on the list, and stays.
    bench.run_answering(10 * SECOND, all_answer_but(&[3]));
    assert!(bench.sees(2));
}

#[test]
fn a_node_that_was_paused_blames_nobody() {
    let mut bench = Bench::knowing(5);
    // Probes are under way when the process stops being run.
    bench.run(Duration::from_millis(160));
    bench.now = bench.now + 30 * SECOND;
    let effects = bench.handle(Event::Tick);
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::MemberChanged { .. }))
    );
    bench.run_answering(SECOND, all_answer_but(&[]));
    assert_eq!(bench.member.view().count(), 5);
}

#[test]
fn a_peer_with_other_settings_is_reported() {
    let mut bench = Bench::knowing(3);
    bench.handle(Event::SettingsApplied(Revision(4)));
    let effects = bench.receive(2, Message::Gossip, Vec::new());
    assert!(effects.contains(&Effect::PeerDigest {
        node: NodeId(2),
        settings_revision: Revision(0),
    }));
}

#[test]
fn a_lost_connection_makes_for_a_probe_at_once() {
    let mut bench = Bench::knowing(5);
    let effects = bench.handle(Event::PeerLost(NodeId(4)));
    let probed = sent(&effects)
        .any(|(to, packet)| to == address(4) && matches!(packet.message, Message::Ping { .. }));
    assert!(probed);
}

#[test]
fn news_is_passed_on_a_bounded_number_of_times() {
    let mut bench = Bench::knowing(5);
    bench.gossip(vec![alive(profile(6, 1))]);
    let effects = bench.run_answering(20 * SECOND, all_answer_but(&[]));
    let passed_on = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .filter(|update| matches!(update, Update::Alive(joined) if joined.node == NodeId(6)))
        .count();
    assert_eq!(passed_on, 3);
}
