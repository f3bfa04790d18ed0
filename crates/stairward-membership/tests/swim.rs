//! The rules of the membership protocol, tested individually.

mod common;

use common::{Harness, address, alive, all_answer_except, failed, profile, sent, suspect};
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
    let mut harness = Harness::with_members(5);
    let effects = harness.run_answering(30 * SECOND, all_answer_except(&[]));
    assert_eq!(harness.member.view().count(), 5);
    assert!(!effects.contains(&Effect::ViewChanged));
}

#[test]
fn a_member_that_never_answers_is_suspected_then_failed() {
    let mut harness = Harness::with_members(5);
    let effects = harness.run_answering(5 * SECOND, all_answer_except(&[4]));
    assert!(has_change(&effects, 4, MemberChange::Suspected));
    assert!(has_change(&effects, 4, MemberChange::Failed));
    assert!(!harness.sees(4));
    assert!(effects.contains(&Effect::ViewChanged));
}

#[test]
fn a_suspected_member_stays_in_the_view_until_its_timeout() {
    let mut harness = Harness::with_members(5);
    harness.gossip(vec![suspect(4, 2)]);
    assert_eq!(harness.member.status(NodeId(4)), Some(Status::Suspect));
    harness.run_answering(SECOND, all_answer_except(&[]));
    assert!(harness.sees(4));
    harness.run_answering(2 * SECOND, all_answer_except(&[]));
    assert!(!harness.sees(4));
}

#[test]
fn further_accusers_shorten_the_time_to_refute() {
    let mut alone = Harness::with_members(5);
    let mut confirmed = Harness::with_members(5);
    alone.gossip(vec![suspect(4, 2)]);
    for accuser in [2, 3, 5] {
        confirmed.gossip(vec![suspect(4, accuser)]);
    }
    let elapsed = Duration::from_millis(1_200);
    alone.run_answering(elapsed, all_answer_except(&[]));
    confirmed.run_answering(elapsed, all_answer_except(&[]));
    assert!(alone.sees(4));
    assert!(!confirmed.sees(4));
}

/// In a starting fleet, the few members that all others contact first answer late and are accused
/// by many at once.
#[test]
fn scaled_suspicion_timeout_grows_with_the_fleet() {
    let growing = SwimConfig {
        scale_suspicion_timeout: true,
        ..SwimConfig::default()
    };
    let fails_within = |count, config: SwimConfig, time| {
        let mut harness = Harness::with_config(count, config);
        for accuser in [2, 3, 5] {
            harness.gossip(vec![suspect(4, accuser)]);
        }
        harness.run_answering(time, all_answer_except(&[]));
        !harness.sees(4)
    };
    // With 100 members, twice the 1 s that remains with three accusers.
    let (before, after) = (Duration::from_millis(1_900), Duration::from_millis(2_100));
    assert!(fails_within(100, SwimConfig::default(), before));
    assert!(!fails_within(100, growing.clone(), before));
    assert!(fails_within(100, growing.clone(), after));
    assert!(fails_within(8, growing, Duration::from_millis(1_100)));
}

#[test]
fn repeated_accusations_do_not_shorten_the_time_to_refute() {
    let mut harness = Harness::with_members(5);
    for _ in 0..10 {
        harness.gossip(vec![suspect(4, 2)]);
    }
    harness.run_answering(Duration::from_millis(1_200), all_answer_except(&[]));
    assert!(harness.sees(4));
}

#[test]
fn a_refutation_ends_the_suspicion() {
    let mut harness = Harness::with_members(5);
    harness.gossip(vec![suspect(4, 2)]);
    let mut refuting = profile(4, 1);
    refuting.version = refuting.version.next();
    let effects = harness.gossip(vec![alive(refuting)]);
    assert!(has_change(&effects, 4, MemberChange::Refuted));
    harness.run_answering(5 * SECOND, all_answer_except(&[]));
    assert!(harness.sees(4));
}

#[test]
fn an_accused_node_refutes_with_a_higher_version() {
    let mut harness = Harness::with_members(5);
    harness.gossip(vec![suspect(1, 2)]);
    let version = harness.member.profile().version;
    assert_eq!(version, Version::first(Incarnation(1)).next());
    let effects = harness.run(SECOND);
    let announced = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .any(|update| matches!(update, Update::Alive(own) if own.node == NodeId(1)));
    assert!(announced);
    // The repeated accusation has an outdated version.
    harness.gossip(vec![suspect(1, 2), failed(1)]);
    assert_eq!(harness.member.profile().version, version);
}

#[test]
fn a_ping_to_a_suspected_member_includes_the_suspicion() {
    let mut harness = Harness::with_members(2);
    harness.gossip(vec![suspect(2, 9)]);
    let effects = harness.run(Duration::from_millis(200));
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
fn an_ack_to_a_failed_member_includes_its_status() {
    let mut harness = Harness::with_members(3);
    harness.gossip(vec![failed(3)]);
    let ping = Message::Ping {
        sequence: 5,
        target: NodeId(1),
    };
    let effects = harness.receive(3, ping, Vec::new());
    let (to, ack) = sent(&effects)
        .find(|(_, packet)| packet.message == Message::Ack { sequence: 5 })
        .unwrap();
    assert_eq!(to, address(3));
    assert_eq!(ack.updates[0], failed(3));
}

#[test]
fn indirect_probes_precede_a_suspicion() {
    let mut harness = Harness::with_members(6);
    let effects = harness.run_answering(3 * SECOND, |packet| match packet.message {
        Message::Ping { sequence, target } if target != NodeId(4) => {
            Some((target.0, Message::Ack { sequence }))
        }
        // The helpers reach the target.
        Message::IndirectPing { sequence, .. } => Some((2, Message::Ack { sequence })),
        _ => None,
    });
    assert!(!has_change(&effects, 4, MemberChange::Suspected));
    assert!(harness.sees(4));
}

#[test]
fn an_indirect_ping_is_relayed_and_its_ack_returned() {
    let mut harness = Harness::with_members(4);
    let request = Message::IndirectPing {
        sequence: 77,
        target: NodeId(3),
        address: address(3),
    };
    let effects = harness.receive(2, request, Vec::new());
    let sequence = sent(&effects)
        .find_map(|(to, packet)| match packet.message {
            Message::Ping { sequence, target } if to == address(3) && target == NodeId(3) => {
                Some(sequence)
            }
            _ => None,
        })
        .unwrap();
    let effects = harness.receive(3, Message::Ack { sequence }, Vec::new());
    let returned = sent(&effects)
        .any(|(to, packet)| to == address(2) && packet.message == Message::Ack { sequence: 77 });
    assert!(returned);
}

#[test]
fn an_unanswered_indirect_ping_returns_a_nack() {
    let mut harness = Harness::with_members(4);
    let request = Message::IndirectPing {
        sequence: 77,
        target: NodeId(3),
        address: address(3),
    };
    harness.receive(2, request, Vec::new());
    let effects = harness.run(Duration::from_millis(120));
    let nacked = sent(&effects)
        .any(|(to, packet)| to == address(2) && packet.message == Message::Nack { sequence: 77 });
    assert!(nacked);
}

#[test]
fn a_restarted_process_rejoins_with_its_new_incarnation() {
    let mut harness = Harness::with_members(3);
    let effects = harness.gossip(vec![alive(profile(3, 2))]);
    assert!(has_change(&effects, 3, MemberChange::Joined));
    assert!(effects.contains(&Effect::ViewChanged));
    assert_eq!(harness.view_of(3).version.incarnation, Incarnation(2));
    // Updates on the earlier incarnation change nothing.
    harness.gossip(vec![suspect(3, 2), failed(3), alive(profile(3, 1))]);
    assert_eq!(harness.member.status(NodeId(3)), Some(Status::Alive));
    assert_eq!(harness.view_of(3).version.incarnation, Incarnation(2));
}

#[test]
fn a_new_process_at_an_address_replaces_the_previous_member() {
    let mut harness = Harness::with_members(3);
    let mut successor = profile(9, 5);
    successor.address = address(3);
    harness.gossip(vec![alive(successor.clone())]);
    assert!(harness.sees(9));
    assert!(!harness.sees(3));
    // A late update on the previous member does not displace the new one.
    let mut late = profile(3, 1);
    late.version = late.version.next();
    harness.gossip(vec![alive(late)]);
    assert!(harness.sees(9));
    assert!(!harness.sees(3));
}

#[test]
fn only_the_pinged_node_answers() {
    let mut harness = Harness::with_members(3);
    let ping = Message::Ping {
        sequence: 5,
        target: NodeId(8),
    };
    let effects = harness.receive(2, ping, Vec::new());
    assert!(sent(&effects).all(|(_, packet)| packet.message != Message::Ack { sequence: 5 }));
}

#[test]
fn a_planned_stop_is_seen_as_leaving_and_then_as_left() {
    let mut harness = Harness::with_members(3);
    let mut leaving = profile(3, 1);
    leaving.version = leaving.version.next();
    leaving.leaving = true;
    let effects = harness.gossip(vec![alive(leaving.clone())]);
    assert!(has_change(&effects, 3, MemberChange::Leaving));
    assert!(effects.contains(&Effect::ViewChanged));
    assert!(harness.view_of(3).leaving);
    let left = Update::Left {
        node: NodeId(3),
        version: leaving.version,
    };
    let effects = harness.gossip(vec![left]);
    assert!(has_change(&effects, 3, MemberChange::Left));
    assert!(!harness.sees(3));
}

#[test]
fn announcing_a_stop_notifies_others_at_once() {
    let mut harness = Harness::with_members(5);
    let effects = harness.handle(Event::LeaveAnnounced);
    assert!(effects.contains(&Effect::ViewChanged));
    let notified = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .filter(|update| matches!(update, Update::Alive(own) if own.leaving))
        .count();
    assert!(notified >= 3);
}

#[test]
fn a_failed_member_is_pinged_slowly_so_that_a_partition_can_heal() {
    let mut harness = Harness::with_members(3);
    harness.gossip(vec![failed(3)]);
    let effects = harness.run_answering(60 * SECOND, all_answer_except(&[3]));
    let probes = sent(&effects)
        .filter(|(to, packet)| *to == address(3) && packet.updates.first() == Some(&failed(3)))
        .count();
    assert!((6..=24).contains(&probes), "{probes} probes in a minute");
}

#[test]
fn the_machine_list_never_adds_or_removes_a_member() {
    let mut harness = Harness::with_members(3);
    harness.gossip(vec![failed(3)]);
    harness.handle(Event::MachinesListed(vec![address(3), address(7)]));
    let effects = harness.run_answering(SECOND, all_answer_except(&[3]));
    let introduced = sent(&effects).any(|(to, packet)| {
        to == address(7) && matches!(packet.message, Message::Introduce { .. })
    });
    assert!(introduced);
    assert!(!harness.sees(3) && !harness.sees(7));
    // Member 2 is not on the list and remains.
    harness.run_answering(10 * SECOND, all_answer_except(&[3]));
    assert!(harness.sees(2));
}

#[test]
fn a_paused_node_suspects_nobody() {
    let mut harness = Harness::with_members(5);
    // Probes are pending when the process is paused.
    harness.run(Duration::from_millis(160));
    harness.now = harness.now + 30 * SECOND;
    let effects = harness.handle(Event::Tick);
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::MemberChanged { .. }))
    );
    harness.run_answering(SECOND, all_answer_except(&[]));
    assert_eq!(harness.member.view().count(), 5);
}

#[test]
fn a_peer_with_other_settings_is_reported() {
    let mut harness = Harness::with_members(3);
    harness.handle(Event::SettingsApplied(Revision(4)));
    let effects = harness.receive(2, Message::Gossip, Vec::new());
    assert!(effects.contains(&Effect::PeerDigest {
        node: NodeId(2),
        settings_revision: Revision(0),
    }));
}

#[test]
fn a_lost_connection_triggers_a_probe_at_once() {
    let mut harness = Harness::with_members(5);
    let effects = harness.handle(Event::PeerLost(NodeId(4)));
    let probed = sent(&effects)
        .any(|(to, packet)| to == address(4) && matches!(packet.message, Message::Ping { .. }));
    assert!(probed);
}

#[test]
fn an_update_is_sent_a_bounded_number_of_times() {
    let mut harness = Harness::with_members(5);
    harness.gossip(vec![alive(profile(6, 1))]);
    let effects = harness.run_answering(20 * SECOND, all_answer_except(&[]));
    let transmissions = sent(&effects)
        .flat_map(|(_, packet)| &packet.updates)
        .filter(|update| matches!(update, Update::Alive(joined) if joined.node == NodeId(6)))
        .count();
    assert_eq!(transmissions, 3);
}
