//! Members that share an incomplete view, and whose digests therefore agree, still learn of the
//! other members.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stairward_membership::{Effect, Event, Packet, Profile, SwimConfig, SwimMember, Version};
use stairward_types::{Duration, Incarnation, NodeId, RegionName, Time, ZoneName};

const MEMBERS: u64 = 6;
/// The incomplete view. Its first two members know only these four members; all other members know
/// all.
const PARTIAL: [u64; 4] = [3, 4, 5, 6];

fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 7000))
}

fn profile(node: u64) -> Arc<Profile> {
    Arc::new(Profile {
        node: NodeId(node),
        version: Version::first(Incarnation(1)),
        address: address(node),
        region: RegionName::new("south").unwrap(),
        zone: ZoneName::new("a").unwrap(),
        leaving: false,
    })
}

/// Packets in transit with the sender's and the receiver's address.
type Packets = Vec<(SocketAddr, SocketAddr, Packet)>;

fn sent(from: u64, effects: Vec<Effect>) -> Packets {
    let packets = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { to, packet } => Some((address(from), to, packet)),
        _ => None,
    });
    packets.collect()
}

#[test]
fn members_that_agree_on_a_partial_view_learn_of_the_others() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut members: Vec<SwimMember> = Vec::new();
    for node in 1..=MEMBERS {
        let me = profile(node).as_ref().clone();
        let config = SwimConfig::default();
        let mut member = SwimMember::new(me, &[], config, Time::ZERO, &mut random);
        let knows_all = !PARTIAL[..2].contains(&node);
        let known: Vec<_> = (1..=MEMBERS)
            .filter(|other| knows_all || PARTIAL.contains(other))
            .map(profile)
            .collect();
        member.preload(&known, Time::ZERO, &mut random);
        members.push(member);
    }
    let mut in_transit = Packets::new();
    let mut now = Time::ZERO;
    while now < Time::from_millis(15_000) {
        now = now + Duration::from_millis(10);
        for (from, to, packet) in std::mem::take(&mut in_transit) {
            let index = (1..=MEMBERS).position(|node| address(node) == to).unwrap();
            let event = Event::Received { from, packet };
            let effects = members[index].handle(now, event, &mut random);
            in_transit.extend(sent(index as u64 + 1, effects));
        }
        for (index, member) in members.iter_mut().enumerate() {
            let effects = member.handle(now, Event::Tick, &mut random);
            in_transit.extend(sent(index as u64 + 1, effects));
        }
    }
    for member in &members {
        assert_eq!(member.view().count() as u64, MEMBERS);
    }
}
